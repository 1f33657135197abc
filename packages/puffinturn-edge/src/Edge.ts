/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * An edge: takes callers' requests and serves them from the configuration, the
 * upstreams and the allowances that it holds, however long the core is away.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {ResultAsync} from 'neverthrow';
import {ok, safeTry} from 'neverthrow';
import type {DecisionLog} from 'puffinturn-decisions';
import type {
  BoxRecord,
  ConfigurationChange,
  Evacuations,
  FleetConfiguration,
  HandOver,
  Regions,
  Rollouts,
} from 'puffinturn-fleet';
import {
  applyChange,
  FleetWatch,
  lifeOf,
  NO_EVACUATIONS,
  NO_ROLLOUTS,
} from 'puffinturn-fleet';
import type {ColdTolerance} from 'puffinturn-permits';
import {Permits} from 'puffinturn-permits';
import {NO_QUARANTINE} from 'puffinturn-quarantine';
import type {Link} from 'puffinturn-wire';
import type {Clock, Random} from 'shared';

import {BacklogLines} from './callers/BacklogLines';
import type {BacklogWatch} from './callers/BacklogWatch';
import type {CallerDialect} from './callers/CallerDialect';
import {CallerRequest} from './callers/CallerRequest';
import type {HttpAddress, HttpListenFailure} from './callers/EdgeHttp';
import {headerBytes, HttpListener} from './callers/EdgeHttp';
import {StepAside} from './callers/StepAside';
import {RETRY_AFTER_MISSING_S, RETRY_AFTER_STOPPING_S} from './EdgeConstants';
import {EdgeMetrics} from './EdgeMetrics';
import {EdgeNews} from './EdgeNews';
import {KnownBoxes} from './KnownBoxes';
import {Neighbours} from './Neighbours';
import {CrossingEpisodes} from './regions/CrossingEpisodes';
import {RegionCrossing} from './regions/RegionCrossing';
import {RegionTraffic} from './regions/RegionTraffic';
import {Renewal} from './Renewal';
import {CrashingRequests} from './requests/CrashingRequests';
import type {ForwardingParts} from './requests/Forwarding';
import {Forwarding} from './requests/Forwarding';
import type {RetryBound} from './requests/RetryBudgets';
import {RetryBudgets} from './requests/RetryBudgets';
import {RouteTable} from './requests/RouteTable';
import {ExposureExchange} from './rollouts/ExposureExchange';
import {Exposures} from './rollouts/Exposures';
import {Allowances} from './tokens/Allowances';
import {Totals} from './Totals';
import {HomeProbes} from './upstreams/HomeProbes';
import {LimitReports} from './upstreams/LimitReports';
import {ReturnTimes} from './upstreams/ReturnTimes';
import {PermitAdmission} from './upstreams/UpstreamAdmission';
import {ExpectedTime, ShorterWait} from './upstreams/UpstreamChoice';
import {UpstreamPool} from './upstreams/UpstreamPool';

/** What an edge is made of. */
export interface EdgeParts {
  readonly self: BoxRecord;
  readonly seeds: () => readonly string[];
  readonly clock: Clock;
  readonly random: Random;
  readonly link: Link;
  readonly log: DecisionLog;
  readonly dialect: CallerDialect;
  readonly retryBound: RetryBound;
  readonly coldTolerance: ColdTolerance;
  readonly callers: HttpAddress;
  readonly ready: HttpAddress & {readonly path: string};
  readonly metrics: HttpAddress & {readonly path: string};
  /** The region of each hall; they may change. */
  readonly regions: Regions;
}

/** Without an answer by barrier, an edge is ready after this time, ms. */
const SETTLE_MS = 2_500;

/**
 * Without an answer of the core for this time after its start, an edge takes
 * what it serves from from other edges, ms; the core answers sooner in all calm.
 */
const NEEDS_STATE_MS = 400;

/** Control boxes asked for news at a time; the others stand by. */
const CONTROLS_ASKED = 2;

/** Least time that a stopping edge goes on taking requests, ms. */
const LINGER_MS = 3_000;

/** A stopping edge that had no request for this long has nothing to do, ms. */
const QUIET_MS = 700;

/** How often a stopping edge looks whether it is done, ms. */
const LOOK_MS = 50;

/** Time of the grace that is left unused, ms. */
const CLOSING_MS = 250;

/** See the module comment. */
export class Edge implements AsyncDisposable {
  readonly metrics = new EdgeMetrics();
  readonly pool: UpstreamPool;
  /** Requests that must not be run. */
  readonly crashing: CrashingRequests;
  private readonly allowances: Allowances;
  private readonly exposures: Exposures;
  private readonly exposureExchange: ExposureExchange;
  private readonly totals: Totals;
  private readonly episodes: CrossingEpisodes;
  private readonly watch: FleetWatch;
  private readonly neighbours: Neighbours;
  private readonly stepAside: StepAside;
  private readonly permits: Permits;
  private readonly limitReports: LimitReports;
  private readonly forwarding: ForwardingParts;
  private readonly listeners: HttpListener[] = [];
  /** How long callers wait to be read; nothing is known before all listen. */
  private backlog: BacklogWatch | undefined;
  /** When it began to learn what it serves from: its start, or a wake-up. */
  private startedAt: number;
  private readonly renewal: Renewal;
  private readonly boxes: KnownBoxes;
  /** Whether another edge handed over what is served from. */
  private handedOver = false;
  private table: RouteTable | undefined;
  private open = 0;
  private lastRequestAt: number;
  private stopping = false;
  /** Whether callers have had time to go elsewhere since the stop began. */
  private lingering = false;
  private wasReady = false;

  private constructor(private readonly parts: EdgeParts) {
    const {clock, link, log, random, regions, self} = parts;
    this.startedAt = clock.now();
    this.lastRequestAt = this.startedAt;
    this.boxes = new KnownBoxes(parts);
    this.pool = new UpstreamPool(clock, log);
    // The watch asks at once which roll-outs are held.
    this.exposures = new Exposures({
      clock,
      log,
      metrics: this.metrics,
      pool: this.pool,
      random,
    });
    this.crashing = new CrashingRequests({
      box: self.box,
      clock,
      controls: () => this.controls(),
      link,
      log,
      metrics: this.metrics,
    });
    this.watch = new FleetWatch({
      askedAtOnce: CONTROLS_ASKED,
      clock,
      link,
      log,
      news: new EdgeNews(this),
      regions,
      seeds: parts.seeds,
      self,
    });
    this.allowances = new Allowances({
      box: self.box,
      clock,
      controls: () => this.controls(),
      hall: self.hall,
      life: lifeOf(self),
      link,
      log,
      peers: () => this.boxes.peers,
      regions,
    });
    this.exposureExchange = new ExposureExchange({
      box: self.box,
      clock,
      controls: () => this.controls(),
      exposures: this.exposures,
      life: lifeOf(self),
      link,
    });
    this.totals = new Totals(clock, log, () => this.allowances.status());
    this.episodes = new CrossingEpisodes(clock, log);
    this.neighbours = new Neighbours({
      clock,
      edges: () => this.boxes.peers,
      inTouch: () => this.watch.inTouch,
      link,
      needsState: () => this.needsState,
      regions,
      self,
      state: () => this.state(),
      take: (state, source) => this.takeOver(state, source),
    });
    this.stepAside = new StepAside({
      ageMs: () => this.backlog?.ageMs ?? 0,
      clock,
      edges: () => this.boxes.peers,
      link,
      log,
      ready: () => this.serves,
      self,
    });
    this.renewal = new Renewal({
      clock,
      link,
      log,
      pool: this.pool,
      watch: this.watch,
      woke: () => (this.startedAt = clock.now()),
    });
    this.permits = new Permits({
      areTogether: (hall, other) => regions.areTogether(hall, other),
      clock,
      coldTolerance: parts.coldTolerance,
      learnLimit: (id, limit, source) =>
        this.pool.learnLimit(id, limit, source),
      limitOf: (id) => this.pool.limitOf(id),
      link,
      onCount: (count) => log.note({...count, event: 'permits-counted'}),
      peers: () => this.boxes.peers,
      self,
    });
    const admission = new PermitAdmission(this.permits);
    this.limitReports = new LimitReports({
      admission,
      box: self.box,
      clock,
      controls: () => this.controls(),
      link,
      pool: this.pool,
    });
    this.forwarding = {
      admission,
      allowances: this.allowances,
      clock,
      crossing: new RegionCrossing({
        clock,
        edges: () => this.boxes.edgesOfRegion,
        episodes: this.episodes,
        hall: self.hall,
        regions,
      }),
      dialect: parts.dialect,
      engineChoice: new ExpectedTime(),
      crashing: this.crashing,
      homeProbes: new HomeProbes(clock),
      exposures: this.exposures,
      limitReports: this.limitReports,
      log,
      metrics: this.metrics,
      newestRegions: (route, team) => this.table?.allowedRegions(route, team),
      plainChoice: new ShorterWait(random),
      pool: this.pool,
      random,
      regionTraffic: new RegionTraffic(this.metrics),
      regions,
      retryBudgets: new RetryBudgets(parts.retryBound, () => this.boxes.edges),
      returnTimes: new ReturnTimes(clock, random, () => this.boxes.edges),
      hall: self.hall,
      totals: this.totals,
    };
  }

  /** Starts to listen and to follow the fleet. */
  static open(parts: EdgeParts): ResultAsync<Edge, HttpListenFailure> {
    const edge = new Edge(parts);
    return safeTry(async function* () {
      edge.listeners.push(
        yield* HttpListener.open(parts.callers, (request, response) =>
          edge.take(request, response),
        ),
        yield* HttpListener.open(parts.ready, (request, response) =>
          edge.answerReady(request, response),
        ),
        yield* HttpListener.open(parts.metrics, (request, response) =>
          edge.answerMetrics(request, response),
        ),
      );
      const lines = new BacklogLines(parts.log);
      edge.backlog = edge.listeners[0]?.watchBacklog(parts.clock, (ageMs) =>
        lines.update(ageMs, edge.open),
      );
      return ok<Edge, HttpListenFailure>(edge);
    });
  }

  /** The version in force here, or -Infinity. */
  get configurationVersion(): number {
    return this.table?.version ?? -Infinity;
  }

  /** Whether this edge should get new connections. */
  get ready(): boolean {
    return this.serves && !this.stepAside.aside;
  }

  /** Whether this edge can serve and means to go on. */
  private get serves(): boolean {
    if (this.stopping || this.table === undefined) {
      return false;
    }
    const settled = this.parts.clock.now() - this.startedAt > SETTLE_MS;
    return (
      this.watch.current ||
      (this.handedOver && !this.watch.inTouch) ||
      (settled && this.watch.answered > 0)
    );
  }

  /** Puts a configuration in force, unless a newer one is. */
  configure(configuration: FleetConfiguration, source: string): void {
    const former = this.table?.version;
    if (former !== undefined && configuration.version <= former) {
      return;
    }
    this.table = new RouteTable(configuration);
    this.allowances.configure(configuration.teams ?? []);
    this.listeners[0]?.limit(configuration.limits);
    this.metrics.configurationVersion.set(configuration.version);
    this.parts.log.note({
      event: 'configuration-adopted',
      former,
      source,
      version: configuration.version,
    });
  }

  /** Puts a change in force where its base is; else a later answer brings it. */
  change(change: ConfigurationChange, source: string): void {
    const held = this.table?.configuration;
    if (held?.version === change.base) {
      this.configure(applyChange(held, change), source);
    }
  }

  /** Puts evacuations in force, unless newer ones are. */
  evacuate(found: Evacuations, source: string): void {
    this.pool.evacuate(found, source, (service) => {
      return this.table?.service(service)?.coldStart?.durationMs ?? 0;
    });
  }

  /** The revision of the roll-outs in force here. */
  get rolloutRevision(): number {
    return this.exposures.rollouts.revision;
  }

  /** Puts roll-outs in force, unless newer ones are. */
  rollOut(found: Rollouts, source: string): void {
    this.exposures.adopt(found, source);
  }

  /** Takes over who else is alive. */
  learnBoxes(records: readonly BoxRecord[]): void {
    this.boxes.learn(records);
  }

  /**
   * Stops within the grace: not ready at once, goes on serving until callers
   * were sent elsewhere and nothing is open, then hands its allowances back.
   */
  async drain(graceMs: number): Promise<void> {
    const {clock, log} = this.parts;
    const began = clock.now();
    const until = began + graceMs - CLOSING_MS;
    this.stopping = true;
    const detail = `${this.open} open`;
    log.note({detail, event: 'process-changed', phase: 'draining'});
    await clock.sleep(Math.min(LINGER_MS, graceMs / 2));
    this.lingering = true;
    this.listeners[0]?.closeIdle();
    const returned = this.allowances.close();
    while (clock.now() < until) {
      const quiet = clock.now() - this.lastRequestAt >= QUIET_MS;
      if (this.open === 0 && quiet) {
        break;
      }
      await clock.sleep(LOOK_MS);
    }
    await Promise.race([returned, clock.sleep(CLOSING_MS / 2)]);
    const cut = `${this.open} cut`;
    log.note({detail: cut, event: 'process-changed', phase: 'stopped'});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.backlog?.[Symbol.dispose]();
    await this.renewal[Symbol.asyncDispose]();
    await Promise.all(
      this.listeners.map((listener) => listener[Symbol.asyncDispose]()),
    );
    await this.totals[Symbol.asyncDispose]();
    await this.episodes[Symbol.asyncDispose]();
    await this.crashing[Symbol.asyncDispose]();
    await this.limitReports[Symbol.asyncDispose]();
    this.permits[Symbol.dispose]();
    await this.allowances[Symbol.asyncDispose]();
    await this.exposureExchange[Symbol.asyncDispose]();
    await this.neighbours[Symbol.asyncDispose]();
    await this.stepAside[Symbol.asyncDispose]();
    await this.watch[Symbol.asyncDispose]();
    this.pool[Symbol.dispose]();
  }

  private get needsState(): boolean {
    const age = this.parts.clock.now() - this.startedAt;
    return (
      this.table === undefined &&
      this.watch.answered === 0 &&
      age > NEEDS_STATE_MS &&
      !this.stopping
    );
  }

  private state(): HandOver | undefined {
    const configuration = this.table?.configuration;
    return configuration === undefined
      ? undefined
      : {
          boxes: this.boxes.all,
          configuration,
          evacuations: this.pool.evacuations,
          quarantine: this.crashing.quarantine,
          rollouts: this.exposures.rollouts,
          upstreams: this.pool.records(),
        };
  }

  private takeOver(state: HandOver, source: string): void {
    this.learnBoxes(state.boxes);
    this.watch.learn(state.boxes);
    this.rollOut(state.rollouts ?? NO_ROLLOUTS, source);
    this.pool.merge(state.upstreams, source);
    this.configure(state.configuration, source);
    this.evacuate(state.evacuations ?? NO_EVACUATIONS, source);
    this.crashing.adopt(state.quarantine ?? NO_QUARANTINE, source);
    this.handedOver = true;
  }

  private controls(): string[] {
    const {controls, leader} = this.watch;
    return leader === undefined || !controls.includes(leader)
      ? controls
      : [leader, ...controls.filter((box) => box !== leader)];
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    const {pending} = this.renewal;
    if (pending === undefined) {
      this.takeNow(request, response);
    } else {
      void pending.then(() => this.takeNow(request, response));
    }
  }

  private takeNow(request: IncomingMessage, response: ServerResponse): void {
    const {clock, dialect} = this.parts;
    const now = clock.now();
    this.lastRequestAt = now;
    const came = this.backlog?.arrivalOf(request.socket) ?? now;
    const caller = new CallerRequest(request, response, dialect.headers, came);
    caller.closing = this.stopping;
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    if (this.table === undefined) {
      this.refuse(caller, 503, 'no-configuration', RETRY_AFTER_MISSING_S);
      return;
    }
    const {maxHeaderBytes} = this.table.configuration.limits;
    if (headerBytes(request) > maxHeaderBytes) {
      this.refuse(caller, 431, 'headers-too-large');
      return;
    }
    if (this.lingering) {
      this.refuse(caller, 503, 'stopping', RETRY_AFTER_STOPPING_S);
      return;
    }
    this.open += 1;
    void new Forwarding(this.forwarding, this.table, caller)
      .run()
      .finally(() => (this.open -= 1));
  }

  /** Answers a request that is not looked into. */
  private refuse(
    caller: CallerRequest,
    status: number,
    cause: string,
    retryAfterS?: number,
  ): void {
    caller.incoming.resume();
    caller.refuse(status, cause, retryAfterS);
    this.totals.count(status, cause);
  }

  private answerReady(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const {log, ready} = this.parts;
    if (request.url !== ready.path) {
      response.writeHead(404).end();
      return;
    }
    if (this.ready !== this.wasReady) {
      this.wasReady = this.ready;
      const phase = this.ready ? 'ready' : 'not-ready';
      const detail = `configuration ${this.configurationVersion}`;
      log.note({detail, event: 'process-changed', phase});
    }
    response.writeHead(this.ready ? 200 : 503).end();
  }

  private answerMetrics(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const {
      allowance,
      backlogAge,
      charged,
      inTouch,
      limits,
      open,
      regionCalls,
      registry,
    } = this.metrics;
    if (request.url !== this.parts.metrics.path) {
      response.writeHead(404).end();
      return;
    }
    open.set(this.open);
    regionCalls.set(this.boxes.bytesToOtherRegions);
    limits.set(this.pool.limitedUpstreams);
    backlogAge.set((this.backlog?.ageMs ?? 0) / 1_000);
    inTouch.set(this.watch.inTouch ? 1 : 0);
    for (const tokens of this.allowances.status()) {
      const {held, reserved, team} = tokens;
      charged.set({team}, tokens.charged);
      allowance.set({state: 'held', team}, held);
      allowance.set({state: 'reserved', team}, reserved);
    }
    void registry.metrics().then((text) => {
      response.setHeader('Content-Type', registry.contentType);
      response.end(text);
    });
  }
}
