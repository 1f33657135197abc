/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** An edge in hall `e1` that serves over loopback, with real upstreams. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer, request as sendRequest} from 'node:http';
import type {AddressInfo} from 'node:net';

import {errAsync} from 'neverthrow';
import {KeptDecisionLog} from 'puffinturn-decisions';
import type {FleetConfiguration, Route, Team} from 'puffinturn-fleet';
import {BOX_ROLE, Regions, REPETITION} from 'puffinturn-fleet';
import type {LinkFailure} from 'puffinturn-wire';
import {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {Random, SystemClock} from 'shared';

import {Edge} from '../../Edge';
import {configurationOf, upstreamOf} from './EdgeFixture';
import {PlainDialect} from './PlainDialect';
import {TWO_REGIONS} from './RegionEdge';

const LOOPBACK = '127.0.0.1';

/** A link on which nobody answers; it keeps what was to be sent. */
export class SilentLink extends Link {
  readonly sent: unknown[] = [];

  override call(box: string, service: string, body: unknown) {
    this.sent.push({body, box, service});
    const failure: LinkFailure = {kind: 'not-sent', message: 'nobody there'};
    return errAsync<unknown, LinkFailure>(failure);
  }
}

/** What an upstream got. */
export interface Arrival {
  readonly upstream: string;
  readonly body: string;
  readonly lastEvent: string | undefined;
  readonly copyFrom: string | undefined;
}

/** How an upstream answers one request. */
export type Behaviour = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** What a caller got. */
export interface CallerAnswer {
  readonly status: number;
  readonly body: string;
  readonly retryAfter: string | undefined;
}

/** Answers whole. */
export const serves: Behaviour = (request, response) => {
  response.writeHead(200, sealOf(request));
  response.end('done');
};

/** Says that it did not run the request. */
export const isFull: Behaviour = (_, response) => {
  response.writeHead(429, {'x-not-run': '1'}).end();
};

/** Begins a stream and breaks off after an event. */
export const breaksOff: Behaviour = (request, response) => {
  response.writeHead(200, {
    ...sealOf(request),
    'content-type': 'text/event-stream',
  });
  response.write('id: 4\ndata: begun\n\n', () => response.destroy());
};

/** Streams one event, and ends. */
export const streams: Behaviour = (request, response) => {
  response.writeHead(200, {
    ...sealOf(request),
    'content-type': 'text/event-stream',
  });
  response.end('id: 5\ndata: ended\n\n');
};

/** See the module comment. */
export class ServingEdge implements AsyncDisposable {
  readonly arrivals: Arrival[] = [];
  readonly link = new SilentLink();
  readonly log = new KeptDecisionLog();
  private readonly servers: Server[] = [];
  private version = 0;
  private asked = 0;

  private constructor(
    readonly edge: Edge,
    private readonly port: number,
    link: SilentLink,
    log: KeptDecisionLog,
  ) {
    this.link = link;
    this.log = log;
  }

  static async open(clock: Clock = new SystemClock()): Promise<ServingEdge> {
    const link = new SilentLink();
    const log = new KeptDecisionLog();
    const [callers = 0, ready = 0, metrics = 0] = await freePorts(3);
    const host = LOOPBACK;
    const edge = await Edge.open({
      callers: {host, port: callers},
      clock,
      coldTolerance: {extra: 0, overage: 1},
      dialect: new PlainDialect(),
      link,
      log,
      metrics: {host, path: '/metrics', port: metrics},
      random: new Random(3),
      ready: {host, path: '/ready', port: ready},
      regions: new Regions(TWO_REGIONS),
      retryBound: {extra: 1_000, ratio: 1},
      seeds: () => [],
      self: {box: 'b', hall: 'e1', incarnation: '1', role: BOX_ROLE.edge},
    });
    return new ServingEdge(edge._unsafeUnwrap(), callers, link, log);
  }

  /** Starts an upstream of service `s`; its id begins with its hall. */
  async start(id: string, behaviour: Behaviour): Promise<void> {
    const server = createServer((request, response) => {
      void bodyOf(request).then((body) => {
        const {headers} = request;
        this.arrivals.push({
          body,
          copyFrom: headers['x-copy-from'] as string | undefined,
          lastEvent: headers['last-event-id'] as string | undefined,
          upstream: id,
        });
        behaviour(request, response);
      });
    });
    this.servers.push(server);
    const port = await listen(server);
    const address = `${LOOPBACK}:${port}`;
    const record = upstreamOf(id, {address, hall: id.slice(0, 2), slots: 9});
    this.edge.pool.merge([record], 'test');
  }

  /** Puts the next version in force. */
  configure(route: Partial<Route>, team: Partial<Team> = {}): void {
    this.version += 1;
    const configuration: FleetConfiguration = {
      ...configurationOf(this.version),
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
    this.edge.configure(configuration, 'test');
  }

  /** Sends one request and reads its answer to the end. */
  ask(body: string): Promise<CallerAnswer> {
    this.asked += 1;
    const headers = {host: 'h', 'x-id': `r${this.asked}`, 'x-key': 'k'};
    return new Promise((resolve, reject) => {
      const request = sendRequest(
        {headers, host: LOOPBACK, method: 'POST', path: '/', port: this.port},
        (answer) => {
          void bodyOf(answer).then((text) => {
            resolve({
              body: text,
              retryAfter: answer.headers['retry-after'],
              status: answer.statusCode ?? 0,
            });
          });
        },
      );
      request.on('error', reject);
      request.end(body);
    });
  }

  /** Ids of the upstreams that got something, in order. */
  get reached(): string[] {
    return this.arrivals.map(({upstream}) => upstream);
  }

  /** The causes of all that was answered. */
  get causes(): string[] {
    return this.log.lines.flatMap((line) =>
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
  repetition: REPETITION.resumable,
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

function sealOf({headers}: IncomingMessage): Record<string, string> {
  return {'x-id': String(headers['x-id']), 'x-seal': 'sealed'};
}

async function bodyOf(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of message) {
      chunks.push(chunk as Buffer);
    }
  } catch {
    // What came until it broke off counts.
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

/** Ports that were free a moment ago, all at the same time. */
async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({length: count}, () => createServer());
  const ports = await Promise.all(servers.map(listen));
  await Promise.all(
    servers.map((server) => new Promise((done) => server.close(done))),
  );
  return ports;
}
