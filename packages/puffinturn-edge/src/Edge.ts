/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * An edge: accepts requests and forwards them to upstreams. It serves from its cached
 * configuration, upstreams and token allowances while the control plane is unreachable.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {ResultAsync} from 'neverthrow';
import {ok, safeTry} from 'neverthrow';
import type {DecisionLog} from 'puffinturn-decisions';
import type {
  BoxRecord,
  ConfigurationChange,
  ConfigurationOrigin,
  EdgeState,
  Evacuations,
  FleetConfiguration,
  Regions,
  RegisteredVersions,
  Rollouts,
} from 'puffinturn-fleet';
import {
  applyChange,
  DEFAULT_STREAM_LIFETIME_MS,
  digestOf,
  EMPTY_ROLLOUTS,
  FleetWatch,
  incarnationIdOf,
  NO_EVACUATIONS,
  roundAge,
  TUNNEL_OUTCOME,
} from 'puffinturn-fleet';
import type {ColdTolerance} from 'puffinturn-permits';
import {PermitClient, SlotClient} from 'puffinturn-permits';
import {EMPTY_QUARANTINE, probeListener} from 'puffinturn-quarantine';
import type {RequestBody, ServerLimits} from 'puffinturn-server';
import {CHECK_LIMITS} from 'puffinturn-server';
import {StreamOrigins} from 'puffinturn-streams';
import type {Link} from 'puffinturn-wire';
import type {Clock, MachineClock, Random} from 'shared';

import {BacklogLogger} from './callers/BacklogLogger';
import type {BacklogMonitor} from './callers/BacklogMonitor';
import type {CallerProtocol} from './callers/CallerProtocol';
import {CallerRequest} from './callers/CallerRequest';
import {ClientListeners} from './callers/ClientListeners';
import {ConnectionShedding} from './callers/ConnectionShedding';
import type {HttpAddress, HttpListenFailure} from './callers/HttpListener';
import {headerBytes} from './callers/HttpListener';
import {OverloadWithdrawal} from './callers/OverloadWithdrawal';
import {PartialEvents} from './callers/PartialEvents';
import {
  EDGE_STOPPING,
  RETRY_AFTER_DRAINING_S,
  RETRY_AFTER_UNAVAILABLE_S,
} from './EdgeConstants';
import {EdgeMetrics} from './EdgeMetrics';
import {EdgeUpdateHandler} from './EdgeUpdateHandler';
import {KnownBoxes} from './KnownBoxes';
import {NeighbourRecovery} from './NeighbourRecovery';
import {CrossRegionEpisodes} from './regions/CrossRegionEpisodes';
import {RegionByteCounter} from './regions/RegionByteCounter';
import {RegionLinkBudget} from './regions/RegionLinkBudget';
import type {RequestForwarderParts} from './requests/RequestForwarder';
import {RequestForwarder} from './requests/RequestForwarder';
import {findGrant} from './requests/RequestPlan';
import {RequestQuarantine} from './requests/RequestQuarantine';
import type {RetryLimit} from './requests/RetryBudgets';
import {RetryBudgets} from './requests/RetryBudgets';
import {RouteTable} from './requests/RouteTable';
import {ResponseTotals} from './ResponseTotals';
import {ExposureController} from './rollouts/ExposureController';
import {ExposureReporter} from './rollouts/ExposureReporter';
import {StreamVersions} from './streams/StreamVersions';
import {VersionHistory} from './streams/VersionHistory';
import {Allowances} from './tokens/Allowances';
import {DirectLinks} from './tunnels/DirectLinks';
import {TunnelClient} from './tunnels/TunnelClient';
import {MAX_HELPER_QUEUE_AGE_MS} from './tunnels/TunnelConstants';
import type {TunnelRefusal} from './tunnels/TunnelServer';
import {TunnelServer} from './tunnels/TunnelServer';
import {BrittleServices} from './upstreams/BrittleServices';
import {LimitReporter} from './upstreams/LimitReporter';
import {LowestLatency, PowerOfTwoChoices} from './upstreams/LoadBalancer';
import {RecoveryProbes} from './upstreams/RecoveryProbes';
import {RetrySchedule} from './upstreams/RetrySchedule';
import {PermitAdmission} from './upstreams/UpstreamAdmission';
import {UpstreamPool} from './upstreams/UpstreamPool';
import {WakeRefresh} from './WakeRefresh';

/** Dependencies and addresses of an edge. */
export interface EdgeParts {
  readonly self: BoxRecord;
  readonly seeds: () => readonly string[];
  readonly clock: Clock;
  readonly machineClock: MachineClock;
  readonly random: Random;
  readonly link: Link;
  readonly log: DecisionLog;
  readonly protocol: CallerProtocol;
  readonly retryLimit: RetryLimit;
  readonly coldTolerance: ColdTolerance;
  /** Time within which an acknowledged configuration must be in force here, ms. */
  readonly applyBoundMs: number;
  /** Time for which upstreams serve after they announced their shutdown, ms. */
  readonly drainMs: number;
  readonly callerAddress: HttpAddress;
  /** What callers may take up. */
  readonly callerLimits: ServerLimits;
  readonly readinessAddress: HttpAddress & {readonly path: string};
  readonly metricsAddress: HttpAddress & {readonly path: string};
  /** Where this edge accepts tunnels of other edges. */
  readonly tunnelAddress: HttpAddress;
  /** The region of each hall; may change at run time. */
  readonly regions: Regions;
}

/** Time after which a starting edge is ready even if its state may be stale, ms. */
const READY_FALLBACK_MS = 2_500;

/**
 * Time without a reply of the control plane after which a starting edge accepts state
 * from other edges, ms; a reachable control plane replies sooner.
 */
const HANDOVER_DELAY_MS = 400;

/** Control boxes polled for updates at a time; the others are on standby. */
const MAX_POLLED_CONTROL_BOXES = 2;

/** Maximum time that a draining edge still accepts requests, ms. */
const DRAIN_NOTICE_MS = 3_000;

/** Time without requests after which a drain is complete, ms. */
const DRAIN_IDLE_MS = 700;

/** Interval at which completion of a drain is checked, ms. */
const DRAIN_CHECK_INTERVAL_MS = 50;

/** Part of the grace period that is reserved for shutting down, ms. */
const SHUTDOWN_RESERVE_MS = 250;

/** Time in which the last responses are written before the process ends, ms. */
const RESPONSE_FLUSH_MS = 50;

/** Serves requests, and follows the state of the fleet. */
export class Edge implements AsyncDisposable {
  readonly metrics = new EdgeMetrics();
  readonly pool: UpstreamPool;
  /** Requests that are quarantined because they crash upstreams. */
  readonly quarantine: RequestQuarantine;
  private readonly allowances: Allowances;
  private readonly exposureController: ExposureController;
  private readonly exposureReporter: ExposureReporter;
  private readonly responseTotals: ResponseTotals;
  private readonly crossRegionEpisodes: CrossRegionEpisodes;
  private readonly fleetWatch: FleetWatch;
  private readonly neighbourRecovery: NeighbourRecovery;
  private readonly withdrawal: OverloadWithdrawal;
  private readonly permits: PermitClient;
  private readonly slots: SlotClient;
  private readonly limitReporter: LimitReporter;
  private readonly streamOrigins: StreamOrigins;
  private readonly streamVersions: StreamVersions;
  private readonly directLinks: DirectLinks;
  /** Undefined until all servers listen. */
  private tunnelServer: TunnelServer | undefined;
  private readonly forwarderParts: RequestForwarderParts;
  /** Undefined until all servers listen. */
  private listeners: ClientListeners | undefined;
  /** Undefined until all servers listen. */
  private backlogMonitor: BacklogMonitor | undefined;
  /** Time of the start or of the last wake-up, monotonic ms. */
  private startedAt: number;
  private readonly wakeRefresh: WakeRefresh;
  private readonly knownBoxes: KnownBoxes;
  private readonly partialEvents = new PartialEvents();
  /** Whether the state was received from another edge. */
  private hasHandover = false;
  private routeTable: RouteTable | undefined;
  /** Whether the last difference led to other content than its sender has. */
  private needsFullConfiguration = false;
  private openRequests = 0;
  /** Those of the open requests, but for requests that still wait for a configuration. */
  private readonly forwarders = new Set<RequestForwarder>();
  private lastRequestAt: number;
  private isStopping = false;
  /** Whether new requests are rejected; set late in a drain. */
  private rejectsRequests = false;
  private lastReportedReady = false;

  private constructor(private readonly parts: EdgeParts) {
    const {clock, link, log, random, regions, self} = parts;
    this.startedAt = clock.now();
    this.lastRequestAt = this.startedAt;
    this.knownBoxes = new KnownBoxes(parts);
    this.pool = new UpstreamPool(
      clock,
      log,
      new VersionHistory(
        clock,
        () => this.streamLifetimeMs,
        (service) => this.streamOrigins.replicateService(service),
      ),
    );
    const peerParts = {
      areInSameRegion: (hall: string, other: string) =>
        regions.areInSameRegion(hall, other),
      clock,
      link,
      peers: () => this.knownBoxes.peers,
      self,
    };
    this.streamOrigins = new StreamOrigins({
      ...peerParts,
      controlBoxes: () => this.fleetWatch.controlAddresses,
      lifetimeMs: () => this.streamLifetimeMs,
      hasVersionLease: () => this.streamVersions.hasLease,
      versionLeaseMs: () =>
        this.streamVersions.hasLease
          ? this.fleetWatch.freshness.versionLeaseMs
          : 0,
      versionsRevision: () => this.pool.versions.revision,
    });
    this.streamVersions = new StreamVersions({
      clock,
      log,
      metrics: this.metrics,
      origins: this.streamOrigins,
      stateAgeMs: () => this.fleetWatch.freshness.versionsAgeMs,
      suspension: {check: () => this.wakeRefresh.check()},
      versions: this.pool.versions,
    });
    // Must exist before the fleet watch, which reads the rollout revision at once.
    this.exposureController = new ExposureController({
      clock,
      log,
      metrics: this.metrics,
      pool: this.pool,
      random,
    });
    const tunnelClient = new TunnelClient({
      clock,
      link,
      log,
      metrics: this.metrics,
      otherEdges: () => this.knownBoxes.peers,
      random,
      regions,
      self,
    });
    this.directLinks = new DirectLinks({
      clock,
      log,
      metrics: this.metrics,
      pool: this.pool,
      probe: probeListener,
      probeByOthers: (upstream) => tunnelClient.isReachable(upstream),
      random,
    });
    this.quarantine = new RequestQuarantine({
      areLinksLost: () => this.directLinks.areAllLost,
      box: self.box,
      clock,
      controlBoxes: () => this.controlBoxes(),
      link,
      log,
      metrics: this.metrics,
    });
    this.fleetWatch = new FleetWatch({
      // Departures come with the same updates.
      applyBoundMs: Math.min(parts.applyBoundMs, parts.drainMs),
      maxPolledControls: MAX_POLLED_CONTROL_BOXES,
      clock,
      link,
      log,
      updateHandler: new EdgeUpdateHandler(this),
      regions,
      seeds: parts.seeds,
      self,
    });
    this.allowances = new Allowances({
      box: self.box,
      clock,
      controlBoxes: () => this.controlBoxes(),
      hall: self.hall,
      incarnationId: incarnationIdOf(self),
      link,
      log,
      machineClock: parts.machineClock,
      peers: () => this.knownBoxes.peers,
      regions,
    });
    this.exposureReporter = new ExposureReporter({
      box: self.box,
      clock,
      controlBoxes: () => this.controlBoxes(),
      exposureController: this.exposureController,
      incarnationId: incarnationIdOf(self),
      link,
    });
    this.responseTotals = new ResponseTotals(clock, log, () =>
      this.allowances.status(),
    );
    this.crossRegionEpisodes = new CrossRegionEpisodes(clock, log);
    this.neighbourRecovery = new NeighbourRecovery({
      clock,
      otherEdges: () => this.knownBoxes.peers,
      isControlReachable: () => this.fleetWatch.isConnected,
      link,
      needsState: () => this.needsState,
      regions,
      self,
      getState: () => this.handoverState(),
      applyState: (state, source) => this.applyHandover(state, source),
    });
    this.withdrawal = new OverloadWithdrawal({
      clock,
      isServing: () => this.canServe,
      link,
      log,
      otherEdges: () => this.knownBoxes.peers,
      queueAgeMs: () => this.backlogMonitor?.queueAgeMs ?? 0,
      self,
    });
    this.wakeRefresh = new WakeRefresh({
      clock,
      link,
      log,
      onWake: () => (this.startedAt = clock.now()),
      pool: this.pool,
      watch: this.fleetWatch,
    });
    this.permits = new PermitClient({
      ...peerParts,
      coldTolerance: parts.coldTolerance,
      mergeLimit: (id, limit, source) =>
        this.pool.mergeLimit(id, limit, source),
      limitOf: (id) => this.pool.limitOf(id),
      onCounts: (count) => log.note({...count, event: 'permits-counted'}),
    });
    this.slots = new SlotClient(peerParts);
    const brittleServices = new BrittleServices(clock, log);
    const admission = new PermitAdmission(
      this.permits,
      this.slots,
      brittleServices,
    );
    this.limitReporter = new LimitReporter({
      admission,
      box: self.box,
      clock,
      controlBoxes: () => this.controlBoxes(),
      link,
      pool: this.pool,
    });
    this.forwarderParts = {
      admission,
      allowances: this.allowances,
      brittleServices,
      clock,
      directLinks: this.directLinks,
      drainMs: parts.drainMs,
      tunnelClient,
      linkBudget: new RegionLinkBudget({
        clock,
        countEdges: () => this.knownBoxes.regionEdgeCount,
        episodes: this.crossRegionEpisodes,
        hall: self.hall,
        regions,
      }),
      protocol: parts.protocol,
      engineBalancer: new LowestLatency(),
      quarantine: this.quarantine,
      recoveryProbes: new RecoveryProbes(clock),
      exposureController: this.exposureController,
      limitReporter: this.limitReporter,
      log,
      metrics: this.metrics,
      latestAllowedRegions: (route, team) =>
        this.routeTable?.findAllowedRegions(route, team),
      plainBalancer: new PowerOfTwoChoices(random),
      pool: this.pool,
      random,
      regionByteCounter: new RegionByteCounter(this.metrics),
      regions,
      retryBudgets: new RetryBudgets(
        parts.retryLimit,
        () => this.knownBoxes.edgeCount,
      ),
      retrySchedule: new RetrySchedule(
        clock,
        random,
        () => this.knownBoxes.edgeCount,
      ),
      hall: self.hall,
      responseTotals: this.responseTotals,
      partialEvents: this.partialEvents,
      isConfigurationOverdue: () => this.fleetWatch.isConfigurationOverdue,
      rejectsRequests: () => this.rejectsRequests,
      stateAgeMs: () => this.stateAgeMs,
      streamVersions: this.streamVersions,
    };
  }

  /** Starts the servers and following the state of the fleet. */
  static open(parts: EdgeParts): ResultAsync<Edge, HttpListenFailure> {
    const edge = new Edge(parts);
    return safeTry(async function* () {
      edge.listeners = yield* ClientListeners.open({
        clock: parts.clock,
        listeners: {
          callers: {
            address: parts.callerAddress,
            limits: parts.callerLimits,
            onRequest: (...request) => edge.handleRequest(...request),
          },
          metrics: {
            address: parts.metricsAddress,
            limits: CHECK_LIMITS,
            onRequest: (request, response) =>
              edge.answerMetrics(request, response),
          },
          readiness: {
            address: parts.readinessAddress,
            limits: CHECK_LIMITS,
            onRequest: (request, response) =>
              edge.answerReady(request, response),
          },
        },
        log: parts.log,
        metrics: edge.metrics,
      });
      edge.applyTimeouts();
      edge.tunnelServer = yield* TunnelServer.open(parts.tunnelAddress, {
        clock: parts.clock,
        drainMs: parts.drainMs,
        link: parts.link,
        log: parts.log,
        metrics: edge.metrics,
        pool: edge.pool,
        refusal: (service) => edge.refuseTunnel(service),
      });
      const backlogLogger = new BacklogLogger(parts.log);
      edge.backlogMonitor = edge.listeners.callers.monitorBacklog(
        parts.clock,
        (queueAgeMs) => backlogLogger.update(queueAgeMs, edge.openRequests),
        new ConnectionShedding(() => edge.metrics.closedUnread.inc()),
      );
      return ok<Edge, HttpListenFailure>(edge);
    });
  }

  /** Version of the current configuration; -Infinity if there is none. */
  get configurationVersion(): number {
    return this.routeTable?.version ?? -Infinity;
  }

  /** Version on which a difference may be based; -Infinity to get a configuration in full. */
  get baseVersion(): number {
    return this.needsFullConfiguration ? -Infinity : this.configurationVersion;
  }

  /** Whether load balancers should send new connections to this edge. */
  get ready(): boolean {
    return this.canServe && !this.withdrawal.isWithdrawn;
  }

  /** Whether this edge has a state to serve from and is not draining. */
  private get canServe(): boolean {
    if (this.isStopping || this.routeTable === undefined) {
      return false;
    }
    const isPastFallback =
      this.parts.clock.now() - this.startedAt > READY_FALLBACK_MS;
    return (
      this.fleetWatch.isCurrent ||
      (this.hasHandover && !this.fleetWatch.isConnected) ||
      (isPastFallback && this.fleetWatch.respondedCount > 0)
    );
  }

  /** Applies a configuration if it is newer than the current one. */
  applyConfiguration(
    configuration: FleetConfiguration,
    {box, delayMs = Infinity}: ConfigurationOrigin,
  ): void {
    const previousVersion = this.routeTable?.version;
    if (
      previousVersion !== undefined &&
      configuration.version <= previousVersion
    ) {
      return;
    }
    const previousTable = this.routeTable;
    this.routeTable = new RouteTable(configuration);
    this.needsFullConfiguration = false;
    this.streamVersions.applyRoutes(previousTable, this.routeTable);
    this.allowances.configure(configuration.teams ?? []);
    this.applyTimeouts();
    this.metrics.configurationVersion.set(configuration.version);
    this.parts.log.note({
      event: 'configuration-adopted',
      delayMs: roundAge(delayMs),
      digest: digestOf(configuration),
      former: previousVersion,
      source: box,
      version: configuration.version,
    });
    if (previousVersion !== undefined && delayMs < Infinity) {
      this.metrics.configurationDelay.observe(delayMs / 1_000);
    }
  }

  /** Applies the timeouts of the configuration, which may come before the listeners open. */
  private applyTimeouts(): void {
    if (this.routeTable !== undefined) {
      this.listeners?.callers.applyLimits(this.routeTable.configuration.limits);
    }
  }

  /** Applies a configuration change if its base is the current version. */
  applyConfigurationChange(
    change: ConfigurationChange,
    origin: ConfigurationOrigin,
  ): void {
    const current = this.routeTable?.configuration;
    if (current?.version !== change.base) {
      return;
    }
    const next = applyChange(current, change);
    const digest = digestOf(next);
    const {base, digest: expectedDigest = digest, version} = change;
    if (digest === expectedDigest) {
      this.applyConfiguration(next, origin);
      return;
    }
    this.needsFullConfiguration = true;
    this.parts.log.note({
      base,
      digest,
      event: 'configuration-mismatch',
      expectedDigest,
      source: origin.box,
      version,
    });
  }

  /** Applies evacuations if they are newer than the current ones. */
  applyEvacuations(evacuations: Evacuations, source: string): void {
    this.pool.applyEvacuations(evacuations, source, (service) => {
      return this.routeTable?.findService(service)?.coldStart?.durationMs ?? 0;
    });
  }

  /** Revision of the current rollouts. */
  get rolloutRevision(): number {
    return this.exposureController.rollouts.revision;
  }

  /** Applies rollouts if they are newer than the current ones. */
  applyRollouts(rollouts: Rollouts, source: string): void {
    this.exposureController.adopt(rollouts, source);
  }

  /** Applies the list of the versions of all services from a control box. */
  applyVersions(update: RegisteredVersions): void {
    const {versions} = this.pool;
    const former = versions.registered?.revision;
    versions.applyRegistered(update, true);
    this.parts.log.note({
      event: 'versions-adopted',
      former,
      revision: update.revision,
      several: servicesWithSeveral(update),
    });
  }

  /** Replaces the list of boxes. */
  updateBoxes(records: readonly BoxRecord[]): void {
    this.knownBoxes.update(records);
  }

  /**
   * Drains within the grace period: reports not ready, serves until load balancers
   * have had time to react, then rejects new requests, returns its token allowances
   * and waits for open requests.
   */
  async drain(graceMs: number): Promise<void> {
    const {clock, log} = this.parts;
    const startedAt = clock.now();
    const deadline = startedAt + graceMs - SHUTDOWN_RESERVE_MS;
    this.isStopping = true;
    const detail = `${this.openRequests} open requests`;
    log.note({detail, event: 'process-changed', phase: 'draining'});
    await clock.sleep(Math.min(DRAIN_NOTICE_MS, graceMs / 2));
    this.rejectsRequests = true;
    this.listeners?.callers.closeIdle();
    const allowancesReturned = this.allowances.close();
    while (clock.now() < deadline) {
      const isIdle = clock.now() - this.lastRequestAt >= DRAIN_IDLE_MS;
      const openTunnels = this.tunnelServer?.openCount ?? 0;
      if (this.openRequests + openTunnels === 0 && isIdle) {
        break;
      }
      await clock.sleep(DRAIN_CHECK_INTERVAL_MS);
    }
    const abortedDetail = `${this.openRequests} requests aborted`;
    await this.endRequests();
    await Promise.race([
      allowancesReturned,
      clock.sleep(SHUTDOWN_RESERVE_MS / 2),
    ]);
    log.note({
      detail: abortedDetail,
      event: 'process-changed',
      phase: 'stopped',
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.backlogMonitor?.[Symbol.dispose]();
    await this.wakeRefresh[Symbol.asyncDispose]();
    await this.listeners?.[Symbol.asyncDispose]();
    await this.tunnelServer?.[Symbol.asyncDispose]();
    await this.directLinks[Symbol.asyncDispose]();
    await this.responseTotals[Symbol.asyncDispose]();
    await this.crossRegionEpisodes[Symbol.asyncDispose]();
    await this.quarantine[Symbol.asyncDispose]();
    await this.limitReporter[Symbol.asyncDispose]();
    this.permits[Symbol.dispose]();
    this.slots[Symbol.dispose]();
    this.streamOrigins[Symbol.dispose]();
    await this.allowances[Symbol.asyncDispose]();
    await this.exposureReporter[Symbol.asyncDispose]();
    await this.neighbourRecovery[Symbol.asyncDispose]();
    await this.withdrawal[Symbol.asyncDispose]();
    await this.fleetWatch[Symbol.asyncDispose]();
    this.pool[Symbol.dispose]();
  }

  /** Ends the requests that are still open, so that none is left without a response. */
  private async endRequests(): Promise<void> {
    if (this.forwarders.size === 0) {
      return;
    }
    for (const forwarder of this.forwarders) {
      forwarder.stop();
    }
    await this.parts.clock.sleep(RESPONSE_FLUSH_MS);
  }

  /** Why this edge carries no tunnels to a service; undefined if it does. */
  private refuseTunnel(service: string): TunnelRefusal | undefined {
    if (this.isStopping) {
      return TUNNEL_OUTCOME.stopping;
    }
    if (this.directLinks.areLost(service)) {
      return TUNNEL_OUTCOME.cutOff;
    }
    const queueAgeMs = this.backlogMonitor?.queueAgeMs ?? 0;
    return this.withdrawal.isWithdrawn || queueAgeMs > MAX_HELPER_QUEUE_AGE_MS
      ? TUNNEL_OUTCOME.overloaded
      : undefined;
  }

  /** How long streams may be served and resumed, ms. */
  private get streamLifetimeMs(): number {
    return this.routeTable?.streamLifetimeMs ?? DEFAULT_STREAM_LIFETIME_MS;
  }

  /** Age of the received state, ms; undefined before it was confirmed. */
  private get stateAgeMs(): number | undefined {
    const {ageMs} = this.fleetWatch.freshness;
    return roundAge(ageMs);
  }

  private get needsState(): boolean {
    const elapsedMs = this.parts.clock.now() - this.startedAt;
    return (
      this.routeTable === undefined &&
      this.fleetWatch.respondedCount === 0 &&
      elapsedMs > HANDOVER_DELAY_MS &&
      !this.isStopping
    );
  }

  private handoverState(): EdgeState | undefined {
    const configuration = this.routeTable?.configuration;
    return configuration === undefined
      ? undefined
      : {
          boxes: this.knownBoxes.all,
          configuration,
          evacuations: this.pool.evacuations,
          quarantine: this.quarantine.current,
          rollouts: this.exposureController.rollouts,
          versions: this.pool.versions.handedOver,
          upstreams: this.pool.records(),
        };
  }

  private applyHandover(handover: EdgeState, source: string): void {
    this.updateBoxes(handover.boxes);
    this.fleetWatch.addControls(handover.boxes);
    this.applyRollouts(handover.rollouts ?? EMPTY_ROLLOUTS, source);
    if (handover.versions !== undefined && handover.versions !== null) {
      this.pool.versions.applyRegistered(handover.versions, false);
    }
    this.pool.merge(handover.upstreams, source);
    this.applyConfiguration(handover.configuration, {box: source});
    this.applyEvacuations(handover.evacuations ?? NO_EVACUATIONS, source);
    this.quarantine.adopt(handover.quarantine ?? EMPTY_QUARANTINE, source);
    this.hasHandover = true;
  }

  /** Control boxes in the order in which they are tried, the leader first. */
  private controlBoxes(): string[] {
    const {controlAddresses, leaderAddress} = this.fleetWatch;
    return leaderAddress === undefined ||
      !controlAddresses.includes(leaderAddress)
      ? controlAddresses
      : [
          leaderAddress,
          ...controlAddresses.filter((box) => box !== leaderAddress),
        ];
  }

  private handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    body: RequestBody,
  ): void {
    const readAt = this.parts.clock.now();
    this.lastRequestAt = readAt;
    const arrivedAt =
      this.backlogMonitor?.estimateArrival(request.socket) ?? readAt;
    const times = {arrivedAt, readAt};
    const {pending} = this.wakeRefresh;
    const caller = new CallerRequest(
      request,
      response,
      this.parts.protocol.headers,
      times,
      body,
    );
    if (pending === undefined) {
      this.serveRequest(caller);
    } else {
      void pending.then(() => this.serveRequest(caller));
    }
  }

  private serveRequest(caller: CallerRequest): void {
    const {incoming: request, response} = caller;
    caller.closesConnection = this.isStopping;
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    if (this.routeTable === undefined) {
      this.refuse(caller, 503, 'no-configuration', RETRY_AFTER_UNAVAILABLE_S);
      return;
    }
    const {maxHeaderBytes} = this.routeTable.configuration.limits;
    if (headerBytes(request) > maxHeaderBytes) {
      this.refuse(caller, 431, 'headers-too-large');
      return;
    }
    if (this.rejectsRequests) {
      this.refuse(caller, 503, EDGE_STOPPING, RETRY_AFTER_DRAINING_S);
      return;
    }
    this.openRequests += 1;
    void this.forwardRequest(caller, this.routeTable).finally(
      () => (this.openRequests -= 1),
    );
  }

  /** Forwards a request, after a wait if only a newer configuration may allow it. */
  private async forwardRequest(
    caller: CallerRequest,
    table: RouteTable,
  ): Promise<void> {
    const {fleetWatch, forwarderParts, parts} = this;
    if (
      fleetWatch.isConfigurationOverdue &&
      findGrant(caller, table, parts.protocol).isErr()
    ) {
      await fleetWatch.awaitConfiguration();
    }
    const newestTable = this.routeTable ?? table;
    const forwarder = new RequestForwarder(forwarderParts, newestTable, caller);
    this.forwarders.add(forwarder);
    await forwarder.run().finally(() => this.forwarders.delete(forwarder));
  }

  /** Rejects a request without reading its body. */
  private refuse(
    caller: CallerRequest,
    status: number,
    cause: string,
    retryAfterS?: number,
  ): void {
    caller.sendError(status, cause, retryAfterS);
    this.responseTotals.recordResponse(status, cause);
  }

  private answerReady(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const {log, readinessAddress} = this.parts;
    if (request.url !== readinessAddress.path) {
      sendStatus(response, 404);
      return;
    }
    if (this.ready !== this.lastReportedReady) {
      this.lastReportedReady = this.ready;
      const phase = this.ready ? 'ready' : 'not-ready';
      const detail = `configuration ${this.configurationVersion}`;
      log.note({detail, event: 'process-changed', phase});
    }
    sendStatus(response, this.ready ? 200 : 503);
  }

  private answerMetrics(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const {
      allowance,
      backlogAge,
      charged,
      controlReachable,
      crossRegionCallBytes,
      limitedUpstreams,
      openRequests,
      partialEventBytes,
      registry,
      stateAge,
      streamReplicas,
    } = this.metrics;
    if (request.url !== this.parts.metricsAddress.path) {
      sendStatus(response, 404);
      return;
    }
    openRequests.set(this.openRequests);
    partialEventBytes.set(this.partialEvents.totalBytes);
    streamReplicas.set(this.streamOrigins.replicaCount);
    crossRegionCallBytes.set(this.knownBoxes.crossRegionBytes);
    limitedUpstreams.set(this.pool.limitedUpstreamCount);
    this.listeners?.updateMetrics();
    this.metrics.updateEventLoopDelay();
    backlogAge.set((this.backlogMonitor?.queueAgeMs ?? 0) / 1_000);
    controlReachable.set(this.fleetWatch.isConnected ? 1 : 0);
    stateAge.set(this.fleetWatch.freshness.ageMs / 1_000);
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

/** Sends a response without a body. */
function sendStatus(response: ServerResponse, status: number): void {
  response.statusCode = status;
  response.end();
}

/** Services with several versions, and these, for the log. */
function servicesWithSeveral({
  versions,
}: RegisteredVersions): Record<string, string[]> {
  const byService = new Map<string, string[]>();
  for (const {service, version} of versions) {
    byService.set(service, [...(byService.get(service) ?? []), version]);
  }
  return Object.fromEntries(
    [...byService].filter(([, known]) => known.length > 1),
  );
}
