/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Runs a complete edge in hall `e1` over loopback, with HTTP servers as upstreams. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer, request as sendHttpRequest} from 'node:http';
import type {AddressInfo} from 'node:net';

import {errAsync} from 'neverthrow';
import {InMemoryDecisionLog} from 'puffinturn-decisions';
import type {FleetConfiguration, Route, Team} from 'puffinturn-fleet';
import {BOX_ROLE, Regions, RETRY_POLICY} from 'puffinturn-fleet';
import type {LinkFailure} from 'puffinturn-wire';
import {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {Random, SystemClock, SystemMachineClock} from 'shared';

import {Edge} from '../../Edge';
import {makeConfiguration, makeUpstream} from './EdgeFixture';
import {PlainProtocol} from './PlainProtocol';
import {REGION_BY_HALL} from './RegionEdge';
import {makeServerParts} from './serverParts';

const LOOPBACK = '127.0.0.1';

/** A link on which every call fails; records the calls. */
export class UnreachableLink extends Link {
  readonly calls: unknown[] = [];

  override call(box: string, service: string, body: unknown) {
    this.calls.push({body, box, service});
    const failure: LinkFailure = {kind: 'not-sent', message: 'box unreachable'};
    return errAsync<unknown, LinkFailure>(failure);
  }
}

/** A request as an upstream received it. */
export interface ReceivedRequest {
  readonly upstream: string;
  readonly body: string;
  readonly lastEventId: string | undefined;
  readonly prefixSource: string | undefined;
}

/** Responds to one request at an upstream. */
export type UpstreamHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** A response as the caller received it. */
export interface CallerResponse {
  readonly status: number;
  readonly body: string;
  readonly retryAfter: string | undefined;
}

/** Sends a complete response. */
export const respondDone: UpstreamHandler = (request, response) => {
  response.writeHead(200, sealHeaders(request));
  response.end('done');
};

/** Rejects a request without running it. */
export const rejectAsFull: UpstreamHandler = (_, response) => {
  response.writeHead(429, {'x-not-run': '1'}).end();
};

/** Starts a stream and closes the connection after one event. */
export const breakMidStream: UpstreamHandler = (request, response) => {
  response.writeHead(200, {
    ...sealHeaders(request),
    'content-type': 'text/event-stream',
  });
  response.write('id: 4\ndata: begun\n\n', () => response.destroy());
};

/** Sends a complete stream of one event. */
export const respondWithStream: UpstreamHandler = (request, response) => {
  response.writeHead(200, {
    ...sealHeaders(request),
    'content-type': 'text/event-stream',
  });
  response.end('id: 5\ndata: ended\n\n');
};

/** A running edge with its upstreams, link and log. */
export class TestEdge implements AsyncDisposable {
  readonly receivedRequests: ReceivedRequest[] = [];
  readonly link = new UnreachableLink();
  readonly log = new InMemoryDecisionLog();
  private readonly servers: Server[] = [];
  private version = 0;
  private requestCount = 0;

  private constructor(
    readonly edge: Edge,
    private readonly port: number,
    link: UnreachableLink,
    log: InMemoryDecisionLog,
  ) {
    this.link = link;
    this.log = log;
  }

  static async open(clock: Clock = new SystemClock()): Promise<TestEdge> {
    const link = new UnreachableLink();
    const log = new InMemoryDecisionLog();
    const [callers = 0, ready = 0, metrics = 0] = await findFreePorts(3);
    const host = LOOPBACK;
    const edge = await Edge.open({
      applyBoundMs: 2_000,
      callerAddress: {host, port: callers},
      callerLimits: makeServerParts(clock).limits,
      clock,
      drainMs: 2_000,
      coldTolerance: {extra: 0, overage: 1},
      protocol: new PlainProtocol(),
      link,
      log,
      machineClock: new SystemMachineClock(),
      metricsAddress: {host, path: '/metrics', port: metrics},
      random: new Random(3),
      readinessAddress: {host, path: '/ready', port: ready},
      regions: new Regions(REGION_BY_HALL),
      retryLimit: {extra: 1_000, ratio: 1},
      seeds: () => [],
      self: {box: 'b', hall: 'e1', incarnation: '1', role: BOX_ROLE.edge},
      tunnelAddress: {host, port: 0},
    });
    return new TestEdge(edge._unsafeUnwrap(), callers, link, log);
  }

  /** Starts an upstream of service `s`. The first two characters of `id` are its hall. */
  async startUpstream(id: string, handler: UpstreamHandler): Promise<void> {
    const server = createServer((request, response) => {
      void readBody(request).then((body) => {
        const {headers} = request;
        this.receivedRequests.push({
          body,
          prefixSource: headers['x-copy-from'] as string | undefined,
          lastEventId: headers['last-event-id'] as string | undefined,
          upstream: id,
        });
        handler(request, response);
      });
    });
    this.servers.push(server);
    const port = await listen(server);
    const address = `${LOOPBACK}:${port}`;
    const record = makeUpstream(id, {address, hall: id.slice(0, 2), slots: 9});
    this.edge.pool.merge([record], 'test');
  }

  /** Applies a configuration with the next version number. */
  configure(route: Partial<Route>, team: Partial<Team> = {}): void {
    this.version += 1;
    const configuration: FleetConfiguration = {
      ...makeConfiguration(this.version),
      limits: {
        headerTimeoutMs: 5_000,
        idleTimeoutMs: 5_000,
        maxBodyBytes: 100_000,
        maxHeaderBytes: 10_000,
      },
      routes: [{...ROUTE, ...route}],
      services: [{engine: undefined, maxConnections: 9, name: 's'}],
      teams: [{...TEAM, ...team}],
    };
    this.edge.applyConfiguration(configuration, {box: 'test'});
  }

  /**
   * Sends one request and reads the complete response. The last byte of the body is sent
   * after `beforeLastByte`.
   */
  sendRequest(
    body: string,
    beforeLastByte?: Promise<void>,
  ): Promise<CallerResponse> {
    this.requestCount += 1;
    const headers = {host: 'h', 'x-id': `r${this.requestCount}`, 'x-key': 'k'};
    return new Promise((resolve, reject) => {
      const request = sendHttpRequest(
        {headers, host: LOOPBACK, method: 'POST', path: '/', port: this.port},
        (response) => {
          void readBody(response).then((text) => {
            resolve({
              body: text,
              retryAfter: response.headers['retry-after'],
              status: response.statusCode ?? 0,
            });
          });
        },
      );
      request.on('error', reject);
      if (beforeLastByte === undefined) {
        request.end(body);
        return;
      }
      request.write(body.slice(0, -1));
      void beforeLastByte.then(() => request.end(body.slice(-1)));
    });
  }

  /** IDs of the upstreams that received requests, in order. */
  get reachedUpstreams(): string[] {
    return this.receivedRequests.map(({upstream}) => upstream);
  }

  /** Logged causes of all ended requests. */
  get endCauses(): string[] {
    return this.log.decisions.flatMap((line) =>
      line.event === 'request-ended' ? [line.cause] : [],
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.edge[Symbol.asyncDispose]();
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }
}

const ROUTE: Route = {
  anonymous: false,
  host: 'h',
  maxAttempts: 3,
  name: 'r',
  objectiveMs: 300,
  pathPrefix: '/',
  priority: 0,
  repetition: RETRY_POLICY.resumable,
  streams: true,
  targets: [{service: 's', weight: 1}],
  timeoutMs: 5_000,
};

const TEAM: Team = {
  keys: ['k'],
  name: 't',
  prepaidTokens: undefined,
  priority: 0,
};

function sealHeaders({headers}: IncomingMessage): Record<string, string> {
  return {'x-id': String(headers['x-id']), 'x-seal': 'sealed'};
}

async function readBody(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of message) {
      chunks.push(chunk as Buffer);
    }
  } catch {
    // Returns the bytes received before the connection closed.
  }
  return Buffer.concat(chunks).toString();
}

function listen(server: Server): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, LOOPBACK, () =>
      resolve((server.address() as AddressInfo).port),
    );
  });
}

/** Finds distinct free ports by opening and closing servers. */
async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({length: count}, () => createServer());
  const ports = await Promise.all(servers.map(listen));
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}
