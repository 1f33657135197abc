/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Serves requests over loopback from a pool that tests fill themselves. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Agent, createServer, request} from 'node:http';

import {KeptDecisionLog} from 'puffinturn-decisions';
import type {Route, UpstreamRecord} from 'puffinturn-fleet';
import {Regions, REPETITION} from 'puffinturn-fleet';
import type {GrantingBox} from 'puffinturn-permits';
import {Permits} from 'puffinturn-permits';
import type {Clock} from 'shared';
import {Random, SystemClock} from 'shared';

import {CallerDialect} from '../../callers/CallerDialect';
import {CallerRequest} from '../../callers/CallerRequest';
import {EdgeMetrics} from '../../EdgeMetrics';
import {CrossingEpisodes} from '../../regions/CrossingEpisodes';
import {RegionCrossing} from '../../regions/RegionCrossing';
import {RegionTraffic} from '../../regions/RegionTraffic';
import {CrashingRequests} from '../../requests/CrashingRequests';
import type {ForwardingParts} from '../../requests/Forwarding';
import {Forwarding} from '../../requests/Forwarding';
import {RetryBudgets} from '../../requests/RetryBudgets';
import {RouteTable} from '../../requests/RouteTable';
import {Exposures} from '../../rollouts/Exposures';
import type {Allowances} from '../../tokens/Allowances';
import {Totals} from '../../Totals';
import {HomeProbes} from '../../upstreams/HomeProbes';
import {LimitReports} from '../../upstreams/LimitReports';
import {ReturnTimes} from '../../upstreams/ReturnTimes';
import type {UpstreamAdmission} from '../../upstreams/UpstreamAdmission';
import {PermitAdmission} from '../../upstreams/UpstreamAdmission';
import {LeastInFlight} from '../../upstreams/UpstreamChoice';
import {UpstreamPool} from '../../upstreams/UpstreamPool';
import {configurationOf, upstreamOf} from './EdgeFixture';
import {SilentLink} from './ServingEdge';

const HOST = '127.0.0.1';

/** The edge, and the other ones. */
const SELF: GrantingBox = {box: 'e1', hall: 'a'};
const NO_PEERS: readonly GrantingBox[] = [];

/** Names of headers, and no tokens. */
export class TestDialect extends CallerDialect {
  override readonly headers = {
    deadline: 'x-deadline',
    expectedUpstream: 'x-expected',
    key: 'x-key',
    lastEvent: 'x-last-event',
    leaving: 'x-leaving',
    limit: 'x-limit',
    notRun: 'x-not-run',
    prefixSource: 'x-prefix-source',
    priority: 'x-priority',
    requestId: 'x-request',
    reserved: [],
    retryAfter: 'retry-after',
    seal: 'x-seal',
    team: 'x-team',
  };

  override tokensOf(): undefined {
    return undefined;
  }

  override partsOf(): [] {
    return [];
  }

  override priorityOf(): number {
    return 0;
  }
}

/** A route below a path of its name. */
export function servingRoute(name: string, fields: Partial<Route> = {}): Route {
  return {
    anonymous: true,
    host: HOST,
    maxAttempts: 3,
    name,
    objectiveMs: 500,
    pathPrefix: `/${name}/`,
    priority: 0,
    repetition: REPETITION.repeatable,
    streams: false,
    targets: [{service: 's', weight: 1}],
    timeoutMs: 20_000,
    ...fields,
  };
}

/** A process that plays an upstream. */
export class TestUpstream implements AsyncDisposable {
  /** Paths of the requests that reached it. */
  readonly seen: string[] = [];
  /** Answers a request; holds it open for good where it does nothing. */
  answer = (_: IncomingMessage, response: ServerResponse): void => {
    response.end(this.name);
  };

  private constructor(
    readonly name: string,
    private readonly server: Server,
  ) {}

  static async start(name: string): Promise<TestUpstream> {
    const server = createServer((incoming, response) => {
      upstream.seen.push(incoming.url ?? '');
      response.setHeader('x-request', String(incoming.headers['x-request']));
      response.setHeader('x-seal', 'seal');
      upstream.answer(incoming, response);
    });
    const upstream = new TestUpstream(name, server);
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    return upstream;
  }

  get address(): string {
    const address = this.server.address();
    const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
    return `${HOST}:${port}`;
  }

  /** What it says of itself. */
  record(fields: Partial<UpstreamRecord> = {}): UpstreamRecord {
    return upstreamOf(this.name, {address: this.address, ...fields});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }
}

/** What a caller got. */
export interface Got {
  readonly status: number;
  readonly body: string;
  /** When to come back, s; undefined where the answer does not say. */
  readonly retryAfterS: number | undefined;
  /** Whether the whole answer came. */
  readonly whole: boolean;
}

/** Serves callers as an edge does, without a fleet around it. */
export class ServingFixture implements AsyncDisposable {
  readonly log = new KeptDecisionLog();
  readonly metrics = new EdgeMetrics();
  readonly pool: UpstreamPool;
  /** Bytes of answers that callers have got. */
  received = 0;
  private readonly random = new Random(5);
  readonly exposures: Exposures;
  /** Requests that must not be run; no control box is there to tell. */
  readonly crashing: CrashingRequests;
  private readonly limitReports: LimitReports;
  private readonly totals: Totals;
  private readonly agent = new Agent();
  private readonly server: Server;
  private requests = 0;

  private constructor(
    readonly clock: Clock,
    routes: readonly Route[],
    more: (fixture: ServingFixture) => Partial<ForwardingParts>,
  ) {
    const {log, metrics, random} = this;
    this.pool = new UpstreamPool(clock, log);
    this.exposures = new Exposures({
      clock,
      log,
      metrics,
      pool: this.pool,
      random,
    });
    this.crashing = new CrashingRequests({
      box: SELF.box,
      clock,
      controls: () => [],
      link: new SilentLink(),
      log,
      metrics,
    });
    this.totals = new Totals(clock, log, () => []);
    const admission = this.makeAdmission();
    this.limitReports = new LimitReports({
      admission,
      box: SELF.box,
      clock,
      controls: () => [],
      link: new SilentLink(),
      pool: this.pool,
    });
    const services = [{engine: undefined, maxConnections: 10, name: 's'}];
    const limits = {
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
      maxBodyBytes: 10_000,
      maxHeaderBytes: 4_000,
    };
    const configuration = configurationOf(1, {limits, routes, services});
    const table = new RouteTable(configuration);
    const choice = new LeastInFlight(this.random);
    const parts: ForwardingParts = {
      allowances: {} as Allowances,
      clock: this.clock,
      admission,
      crossing: new RegionCrossing({
        clock: this.clock,
        edges: () => 1,
        episodes: new CrossingEpisodes(this.clock, this.log),
        hall: 'a',
        regions: new Regions(),
      }),
      crashing: this.crashing,
      dialect: new TestDialect(),
      engineChoice: choice,
      exposures: this.exposures,
      hall: 'a',
      homeProbes: new HomeProbes(this.clock),
      limitReports: this.limitReports,
      log: this.log,
      metrics: this.metrics,
      newestRegions: () => undefined,
      plainChoice: choice,
      pool: this.pool,
      random: this.random,
      regionTraffic: new RegionTraffic(this.metrics),
      regions: new Regions(),
      retryBudgets: new RetryBudgets({extra: 100, ratio: 0.2}, () => 1),
      returnTimes: new ReturnTimes(clock, random, () => 1),
      totals: this.totals,
      ...more(this),
    };
    this.server = createServer((incoming, response) => {
      const names = parts.dialect.headers;
      const now = this.clock.now();
      const caller = new CallerRequest(incoming, response, names, now);
      void new Forwarding(parts, table, caller).run();
    });
  }

  /** Permits of the only edge that there is. */
  private makeAdmission(): UpstreamAdmission {
    const {clock, pool} = this;
    const permits = new Permits({
      areTogether: () => true,
      clock,
      coldTolerance: {extra: 0, overage: 1},
      learnLimit: () => undefined,
      limitOf: (id) => pool.limitOf(id),
      link: new SilentLink(),
      peers: () => NO_PEERS,
      self: SELF,
    });
    return new PermitAdmission(permits);
  }

  static async start(
    routes: readonly Route[],
    more: (fixture: ServingFixture) => Partial<ForwardingParts> = () => ({}),
    clock: Clock = new SystemClock(),
  ): Promise<ServingFixture> {
    const fixture = new ServingFixture(clock, routes, more);
    await new Promise<void>((resolve) =>
      fixture.server.listen(0, HOST, resolve),
    );
    return fixture;
  }

  /** Where it listens, as callers name the host. */
  get address(): string {
    return `${HOST}:${this.port}`;
  }

  private get port(): number {
    const address = this.server.address();
    return typeof address === 'object' ? (address?.port ?? 0) : 0;
  }

  /** The statuses of so many requests of a route, one after the other. */
  async askMany(route: string, count: number): Promise<number[]> {
    const statuses: number[] = [];
    for (let asked = 0; asked < count; asked += 1) {
      statuses.push((await this.ask(route)).status);
    }
    return statuses;
  }

  /** One request of a route. */
  ask(route: string): Promise<Got> {
    const {port} = this;
    this.requests += 1;
    const headers = {'x-request': `q-${this.requests}`};
    const {agent} = this;
    const path = `/${route}/${this.requests}`;
    return new Promise((resolve, reject) => {
      const sent = request({agent, headers, host: HOST, path, port});
      sent.on('error', reject);
      sent.on('response', (answer) => {
        const chunks: Buffer[] = [];
        answer.on('error', () => undefined);
        answer.on('data', (chunk: Buffer) => {
          this.received += chunk.length;
          chunks.push(chunk);
        });
        answer.on('close', () =>
          resolve({
            body: Buffer.concat(chunks).toString(),
            retryAfterS: secondsOf(answer.headers['retry-after']),
            status: answer.statusCode ?? 0,
            whole: answer.complete,
          }),
        );
      });
      sent.end();
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.server.closeAllConnections();
    this.agent.destroy();
    this.pool[Symbol.dispose]();
    await this.crashing[Symbol.asyncDispose]();
    await this.limitReports[Symbol.asyncDispose]();
    await this.totals[Symbol.asyncDispose]();
    await closed;
  }
}

function secondsOf(value: string | undefined): number | undefined {
  return value === undefined ? undefined : Number(value);
}

/** Waits until something is so. */
export async function until(isSo: () => boolean): Promise<void> {
  while (!isSo()) {
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}
