/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Forwards requests over loopback to a pool that tests fill with upstreams. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Agent, createServer, request} from 'node:http';
import type {Socket} from 'node:net';

import {InMemoryDecisionLog} from 'puffinturn-decisions';
import type {Route, UpstreamRecord} from 'puffinturn-fleet';
import {BOX_ROLE, Regions, RETRY_POLICY} from 'puffinturn-fleet';
import type {GranterCandidate} from 'puffinturn-permits';
import {PermitClient, SlotClient} from 'puffinturn-permits';
import {probeListener} from 'puffinturn-quarantine';
import {StreamOrigins} from 'puffinturn-streams';
import type {Clock} from 'shared';
import {Random, SystemClock} from 'shared';

import {CallerProtocol} from '../../callers/CallerProtocol';
import {CallerRequest} from '../../callers/CallerRequest';
import {PartialEvents} from '../../callers/PartialEvents';
import {EdgeMetrics} from '../../EdgeMetrics';
import {CrossRegionEpisodes} from '../../regions/CrossRegionEpisodes';
import {RegionByteCounter} from '../../regions/RegionByteCounter';
import {RegionLinkBudget} from '../../regions/RegionLinkBudget';
import type {RequestForwarderParts} from '../../requests/RequestForwarder';
import {RequestForwarder} from '../../requests/RequestForwarder';
import {RequestQuarantine} from '../../requests/RequestQuarantine';
import {RetryBudgets} from '../../requests/RetryBudgets';
import {RouteTable} from '../../requests/RouteTable';
import {ResponseTotals} from '../../ResponseTotals';
import {ExposureController} from '../../rollouts/ExposureController';
import {StreamVersions} from '../../streams/StreamVersions';
import type {Allowances} from '../../tokens/Allowances';
import {DirectLinks} from '../../tunnels/DirectLinks';
import {TunnelClient} from '../../tunnels/TunnelClient';
import {BrittleServices} from '../../upstreams/BrittleServices';
import {LimitReporter} from '../../upstreams/LimitReporter';
import {LeastRequests} from '../../upstreams/LoadBalancer';
import {RecoveryProbes} from '../../upstreams/RecoveryProbes';
import {RetrySchedule} from '../../upstreams/RetrySchedule';
import type {UpstreamAdmission} from '../../upstreams/UpstreamAdmission';
import {PermitAdmission} from '../../upstreams/UpstreamAdmission';
import {UpstreamPool} from '../../upstreams/UpstreamPool';
import {makeConfiguration, makeUpstream} from './EdgeFixture';
import {collectBody} from './serverParts';
import {UnreachableLink} from './TestEdge';

/**
 * Start of a body that is kept, bytes; no test looks at more. An endless one can bring more
 * than a string holds.
 */
const MAX_KEPT_BYTES = 64 * 1_024 * 1_024;

const HOST = '127.0.0.1';

/** Identity of the edge under test, and its peers. */
const SELF = {
  box: 'e1',
  hall: 'a',
  incarnation: '1',
  role: BOX_ROLE.edge,
} as const;
const NO_PEERS: readonly GranterCandidate[] = [];

/** A protocol with fixed header names and without token accounting. */
export class TestProtocol extends CallerProtocol {
  override readonly headers = {
    deadline: 'x-deadline',
    expectedUpstream: 'x-expected',
    credential: 'x-key',
    lastEventId: 'x-last-event',
    resumedRequest: 'x-resumes',
    draining: 'x-leaving',
    rateLimit: 'x-limit',
    brittleness: 'x-brittle',
    notExecuted: 'x-not-run',
    prefixSource: 'x-prefix-source',
    priority: 'x-priority',
    requestId: 'x-request',
    reserved: [],
    retryAfter: 'retry-after',
    seal: 'x-seal',
    team: 'x-team',
  };

  override parseTokenCounts(): undefined {
    return undefined;
  }

  override parsePromptParts(): [] {
    return [];
  }

  override computePriority(): number {
    return 0;
  }
}

/** Creates a route whose path prefix is its name. */
export function createRoute(name: string, fields: Partial<Route> = {}): Route {
  return {
    anonymous: true,
    host: HOST,
    maxAttempts: 3,
    name,
    objectiveMs: 500,
    pathPrefix: `/${name}/`,
    priority: 0,
    repetition: RETRY_POLICY.repeatable,
    streams: false,
    targets: [{service: 's', weight: 1}],
    timeoutMs: 20_000,
    ...fields,
  };
}

/** Routes with two attempts: plain ones and streams, that may be repeated or not. */
export const TWO_ATTEMPT_ROUTES: readonly Route[] = [
  createRoute('look', {maxAttempts: 2}),
  createRoute('order', {maxAttempts: 2, repetition: RETRY_POLICY.never}),
  createRoute('stream', {
    maxAttempts: 2,
    repetition: RETRY_POLICY.resumable,
    streams: true,
  }),
  createRoute('fixed', {
    maxAttempts: 2,
    repetition: RETRY_POLICY.never,
    streams: true,
  }),
];

/** An HTTP server that acts as an upstream. */
export class TestUpstream implements AsyncDisposable {
  /** Paths of the received requests. */
  readonly requestPaths: string[] = [];
  /** Responds to a request. A handler that does nothing keeps it open. */
  handler = (_: IncomingMessage, response: ServerResponse): void => {
    response.end(this.name);
  };

  private readonly sockets = new Set<Socket>();

  private constructor(
    readonly name: string,
    private readonly server: Server,
  ) {
    server.on('connection', (socket) => this.sockets.add(socket));
  }

  /** Stops listening and ends all connections in order, as if the process had ended. */
  crash(): void {
    this.server.close();
    for (const socket of this.sockets) {
      socket.end();
    }
  }

  static async start(name: string): Promise<TestUpstream> {
    const server = createServer((incoming, response) => {
      upstream.requestPaths.push(incoming.url ?? '');
      response.setHeader('x-request', String(incoming.headers['x-request']));
      response.setHeader('x-seal', 'seal');
      upstream.handler(incoming, response);
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

  /** The record of this upstream for the pool. */
  record(fields: Partial<UpstreamRecord> = {}): UpstreamRecord {
    return makeUpstream(this.name, {address: this.address, ...fields});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.server.closeAllConnections();
    for (const socket of this.sockets) {
      socket.destroy();
    }
    await closed;
  }
}

/** A response as the caller received it. */
export interface CallerResponse {
  readonly status: number;
  readonly body: string;
  /** Value of `Content-Length`. */
  readonly contentLength: string | undefined;
  /** Value of `Retry-After`, s; undefined without the header. */
  readonly retryAfterS: number | undefined;
  /** Whether the response was received completely. */
  readonly isComplete: boolean;
}

/** Forwards requests like an edge, without control boxes or peers. */
export class ForwardingFixture implements AsyncDisposable {
  readonly log = new InMemoryDecisionLog();
  readonly metrics = new EdgeMetrics();
  readonly partialEvents = new PartialEvents();
  readonly pool: UpstreamPool;
  /** Response body bytes received by callers. */
  receivedBytes = 0;
  private readonly random = new Random(5);
  readonly exposureController: ExposureController;
  /** Quarantine of crashing requests, without control boxes. */
  readonly quarantine: RequestQuarantine;
  private readonly brittleServices: BrittleServices;
  readonly directLinks: DirectLinks;
  private readonly limitReporter: LimitReporter;
  private readonly responseTotals: ResponseTotals;
  private readonly agent = new Agent();
  private readonly server: Server;
  private requestCount = 0;

  private constructor(
    readonly clock: Clock,
    routes: readonly Route[],
    getOverrides: (
      fixture: ForwardingFixture,
    ) => Partial<RequestForwarderParts>,
  ) {
    const {log, metrics, random} = this;
    this.pool = new UpstreamPool(clock, log);
    this.exposureController = new ExposureController({
      clock,
      log,
      metrics,
      pool: this.pool,
      random,
    });
    this.directLinks = new DirectLinks({
      clock,
      log,
      metrics,
      pool: this.pool,
      probe: probeListener,
      probeByOthers: async () => false,
      random,
    });
    this.quarantine = new RequestQuarantine({
      box: SELF.box,
      clock,
      controlBoxes: () => [],
      areLinksLost: () => this.directLinks.areAllLost,
      link: new UnreachableLink(),
      log,
      metrics,
    });
    this.responseTotals = new ResponseTotals(clock, log, () => []);
    this.brittleServices = new BrittleServices(clock, log);
    const admission = this.createAdmission();
    this.limitReporter = new LimitReporter({
      admission,
      box: SELF.box,
      clock,
      controlBoxes: () => [],
      link: new UnreachableLink(),
      pool: this.pool,
    });
    const services = [{engine: undefined, maxConnections: 10, name: 's'}];
    const limits = {
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
      maxBodyBytes: 10_000,
      maxHeaderBytes: 4_000,
    };
    const configuration = makeConfiguration(1, {limits, routes, services});
    const table = new RouteTable(configuration);
    const choice = new LeastRequests(this.random);
    const parts: RequestForwarderParts = {
      allowances: {} as Allowances,
      clock: this.clock,
      brittleServices: this.brittleServices,
      directLinks: this.directLinks,
      drainMs: 2_000,
      tunnelClient: new TunnelClient({
        clock,
        link: new UnreachableLink(),
        log,
        metrics,
        otherEdges: () => [],
        random,
        regions: new Regions(),
        self: SELF,
      }),
      admission,
      linkBudget: new RegionLinkBudget({
        clock: this.clock,
        countEdges: () => 1,
        episodes: new CrossRegionEpisodes(this.clock, this.log),
        hall: 'a',
        regions: new Regions(),
      }),
      quarantine: this.quarantine,
      protocol: new TestProtocol(),
      engineBalancer: choice,
      exposureController: this.exposureController,
      hall: 'a',
      recoveryProbes: new RecoveryProbes(this.clock),
      limitReporter: this.limitReporter,
      log: this.log,
      metrics: this.metrics,
      latestAllowedRegions: () => undefined,
      plainBalancer: choice,
      pool: this.pool,
      random: this.random,
      regionByteCounter: new RegionByteCounter(this.metrics),
      regions: new Regions(),
      retryBudgets: new RetryBudgets({extra: 100, ratio: 0.2}, () => 1),
      retrySchedule: new RetrySchedule(clock, random, () => 1),
      responseTotals: this.responseTotals,
      partialEvents: this.partialEvents,
      isConfigurationOverdue: () => false,
      rejectsRequests: () => false,
      stateAgeMs: () => undefined,
      streamVersions: new StreamVersions({
        clock,
        log,
        metrics,
        origins: new StreamOrigins({
          areInSameRegion: () => true,
          clock,
          controlBoxes: () => [],
          hasVersionLease: () => true,
          lifetimeMs: () => 30_000,
          link: new UnreachableLink(),
          peers: () => NO_PEERS,
          self: SELF,
          versionLeaseMs: () => 30_000,
          versionsRevision: () => this.pool.versions.revision,
        }),
        stateAgeMs: () => 0,
        suspension: {check: () => undefined},
        versions: this.pool.versions,
      }),
      ...getOverrides(this),
    };
    this.server = createServer((incoming, response) => {
      const names = parts.protocol.headers;
      const now = this.clock.now();
      const times = {arrivedAt: now, readAt: now};
      const body = collectBody(incoming);
      const caller = new CallerRequest(incoming, response, names, times, body);
      void new RequestForwarder(parts, table, caller).run();
    });
  }

  /** Creates permits for a single edge without peers. */
  private createAdmission(): UpstreamAdmission {
    const {clock, pool} = this;
    const permits = new PermitClient({
      areInSameRegion: () => true,
      clock,
      coldTolerance: {extra: 0, overage: 1},
      mergeLimit: () => undefined,
      limitOf: (id) => pool.limitOf(id),
      link: new UnreachableLink(),
      peers: () => NO_PEERS,
      self: SELF,
    });
    const slots = new SlotClient({
      areInSameRegion: () => true,
      clock,
      link: new UnreachableLink(),
      peers: () => NO_PEERS,
      self: SELF,
    });
    return new PermitAdmission(permits, slots, this.brittleServices);
  }

  static async start(
    routes: readonly Route[],
    getOverrides: (
      fixture: ForwardingFixture,
    ) => Partial<RequestForwarderParts> = () => ({}),
    clock: Clock = new SystemClock(),
  ): Promise<ForwardingFixture> {
    const fixture = new ForwardingFixture(clock, routes, getOverrides);
    await new Promise<void>((resolve) =>
      fixture.server.listen(0, HOST, resolve),
    );
    return fixture;
  }

  /** Listen address, as in the `Host` header of callers. */
  get address(): string {
    return `${HOST}:${this.port}`;
  }

  private get port(): number {
    const address = this.server.address();
    return typeof address === 'object' ? (address?.port ?? 0) : 0;
  }

  /** Sends requests to a route one after another and returns their statuses. */
  async sendRequests(route: string, count: number): Promise<number[]> {
    const statuses: number[] = [];
    for (let index = 0; index < count; index += 1) {
      statuses.push((await this.sendRequest(route)).status);
    }
    return statuses;
  }

  /** Sends one request to a route, with an ID of its own by default. */
  sendRequest(
    route: string,
    method = 'GET',
    id = `q-${this.requestCount + 1}`,
  ): Promise<CallerResponse> {
    const {port} = this;
    this.requestCount += 1;
    const headers = {'x-request': id};
    const {agent} = this;
    const path = `/${route}/${this.requestCount}`;
    return new Promise((resolve, reject) => {
      const outgoing = request({
        agent,
        headers,
        host: HOST,
        method,
        path,
        port,
      });
      outgoing.on('error', reject);
      outgoing.on('response', (response) => {
        const chunks: Buffer[] = [];
        let bodyBytes = 0;
        response.on('error', () => undefined);
        response.on('data', (chunk: Buffer) => {
          this.receivedBytes += chunk.length;
          bodyBytes += chunk.length;
          if (bodyBytes <= MAX_KEPT_BYTES) {
            chunks.push(chunk);
          }
        });
        response.on('close', () =>
          resolve({
            body: Buffer.concat(chunks).toString(),
            contentLength: response.headers['content-length'],
            retryAfterS: secondsOf(response.headers['retry-after']),
            status: response.statusCode ?? 0,
            isComplete: response.complete,
          }),
        );
      });
      outgoing.end();
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.server.closeAllConnections();
    this.agent.destroy();
    this.pool[Symbol.dispose]();
    await this.quarantine[Symbol.asyncDispose]();
    await this.directLinks[Symbol.asyncDispose]();
    await this.limitReporter[Symbol.asyncDispose]();
    await this.responseTotals[Symbol.asyncDispose]();
    await closed;
  }
}

function secondsOf(value: string | undefined): number | undefined {
  return value === undefined ? undefined : Number(value);
}

/** Polls until a condition holds. */
export async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) {
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}
