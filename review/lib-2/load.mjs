/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Clients with kept connections, the configuration they use, and answers of runners. */
import {Agent, request} from 'node:http';

import {FRONTEND_PORT, READY_PORT, sleep} from './deployment.mjs';
import {call} from './parties.mjs';

export const HOST = 'clinic.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';
export const PLAIN_DEADLINE_MS = 4_000;
export const STREAM_DEADLINE_MS = 15_000;

const LIMITS = {
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
  maxBodyBytes: 4_194_304,
  maxHeaderBytes: 16_384,
};

const route = (name, service, fields) => ({
  anonymous: false,
  host: HOST,
  maxAttempts: 2,
  name,
  pathPrefix: `/${name}/`,
  priority: 0,
  resumable: false,
  service,
  sloMs: 800,
  ...fields,
});

/** The routes and services of a small deployment: plain requests, and streams. */
export const CONFIGURATION = {
  limits: LIMITS,
  routes: [
    route('order-status', 'order-desk', {
      maxAttempts: 1,
      routeType: 'non_idempotent',
      timeoutMs: PLAIN_DEADLINE_MS,
    }),
    route('lab-handoff', 'order-desk', {
      routeType: 'idempotent',
      timeoutMs: PLAIN_DEADLINE_MS,
    }),
    route('rx-review', 'puffin-pool', {
      gapTargetMs: 400,
      resumable: true,
      routeType: 'streaming',
      sticky: true,
      timeoutMs: STREAM_DEADLINE_MS,
    }),
  ],
  services: [
    {
      healthPath: '/healthz',
      maxConns: 96,
      name: 'order-desk',
      protocol: 'h1',
      tls: false,
    },
    {
      engine: {
        backups: true,
        handleTtlS: 5,
        holdMs: 2_000,
        kvBytes: 18_432,
        kvCapacityTokens: 562_615,
        linkMbps: 370_000,
        models: [{name: 'm'}],
        most: 12,
        moves: true,
        pinMs: 4_000,
        slots: 64,
        stride: 5,
      },
      healthPath: '/healthz',
      maxConns: 360,
      name: 'puffin-pool',
      protocol: 'h1',
      tls: false,
    },
  ],
  tenants: [
    {apiKeys: [KEY], name: 'clinic', prepaid: 1_000_000_000, priority: 0},
  ],
  version: 1,
};

/** Sends one request over the agent's connections; resolves to what became of it. */
export function send(
  ip,
  agent,
  {attempt, body, headers, maxGapMs, method, path, timeoutMs},
) {
  const startedAt = Date.now();
  return new Promise((resolve) => {
    const result = {attempt, path, startedAt};
    let hasLeft = false;
    const leave = () => {
      hasLeft = true;
      outgoing.destroy();
    };
    const end = (fields) =>
      resolve({...result, ...fields, hasLeft, tookMs: Date.now() - startedAt});
    const outgoing = request(
      {
        agent,
        headers: {
          'Attempt-Id': attempt,
          Credential: KEY,
          Host: HOST,
          ...headers,
        },
        host: ip,
        method,
        path,
        port: FRONTEND_PORT,
      },
      (answer) => {
        result.status = answer.statusCode;
        result.bytes = 0;
        answer.on('data', (chunk) => {
          result.bytes += chunk.length;
        });
        answer.on('error', () => end({cut: true}));
        answer.on('end', () => end({cut: false}));
      },
    );
    // Whether its connection has carried a request before.
    outgoing.on('socket', () => (result.isKept = outgoing.reusedSocket));
    outgoing.on('error', ({code}) => end({error: code ?? 'error'}));
    // The client leaves at its deadline, or after a gap in a stream.
    setTimeout(leave, timeoutMs).unref();
    if (maxGapMs !== undefined) {
      outgoing.setTimeout(maxGapMs, leave);
    }
    outgoing.end(body);
  });
}

function describe({cut, error, hasLeft, status}) {
  if (hasLeft) {
    return status === undefined
      ? 'its client left'
      : `${status}, its client left`;
  }
  return cut ? `${status}, cut short` : String(status ?? error);
}

/** Lists what was sent, answered and run, and prints a summary. */
export function listResults(record, results, runners) {
  const counts = {};
  for (const result of results) {
    const {attempt, path, startedAt, tookMs} = result;
    const runs = runners
      .filter((runner) => runner.runs.some((run) => run.attempt === attempt))
      .map(({id}) => id);
    const answer = describe(result);
    counts[answer] = (counts[answer] ?? 0) + 1;
    record.list(
      `${attempt} ${path} sent: ${answer} after ${tookMs} ms; run by ${runs.join(', ') || 'nobody'}`,
      startedAt,
    );
  }
  record.note(`${results.length} requests: ${JSON.stringify(counts)}`);
}

/** Sends `perSecond` requests at an even pace until `isOver`; collects the results. */
export async function sendSteadily({create, isOver, perSecond, results}) {
  const pending = new Set();
  const startedAt = Date.now();
  for (let index = 0; !isOver(); index += 1) {
    const sent = create(index).then((result) => {
      results.push(result);
      pending.delete(sent);
    });
    pending.add(sent);
    await sleep(startedAt + ((index + 1) * 1_000) / perSecond - Date.now());
  }
  await Promise.all(pending);
}

export const keptConnections = () =>
  new Agent({keepAlive: true, maxFreeSockets: 64, timeout: 12_000});

/** Answers a plain request after its work, with a body as long as in the sheet. */
export async function answerPlain(_, incoming, response) {
  await sleep(60);
  if (!incoming.socket.destroyed) {
    response.end('r'.repeat(800));
  }
}

/** Streams events, about as many and as long as in the sheet. */
export async function answerStream(run, incoming, response) {
  await sleep(100);
  response.setHeader('Content-Type', 'text/event-stream');
  const first = 1 + Number(run.headers['last-event-id'] ?? 0);
  for (let id = first; id <= 60 && !incoming.socket.destroyed; id += 1) {
    response.write(`id: ${id}\ndata: ${'w'.repeat(40)}\n\n`);
    await sleep(20);
  }
  response.end();
}

/** Misses in a row after which a machine gets no new connections. */
const MAX_MISSES = 2;
const READINESS_INTERVAL_MS = 1_000;

/** The platform's ingress: asks the machines each second, and places new connections. */
export class Ingress {
  #misses;
  #isOver = false;

  constructor(edges, agents) {
    this.edges = edges;
    this.agents = agents;
    this.#misses = edges.map(() => 0);
    edges.forEach((_, at) => void this.#watch(at));
  }

  stop() {
    this.#isOver = true;
  }

  /** Where a request goes: its kept connection stays, a new one needs a machine that is in. */
  place(preferred) {
    const isIn = (at) => this.#misses[at] < MAX_MISSES;
    const hasKept = Object.keys(this.agents[preferred].freeSockets).length > 0;
    const other = this.edges.findIndex((_, at) => isIn(at));
    return hasKept || isIn(preferred) || other < 0 ? preferred : other;
  }

  async #watch(at) {
    while (!this.#isOver) {
      const next = sleep(READINESS_INTERVAL_MS);
      const answer = await call(this.edges[at].ip, READY_PORT, {
        path: '/api/readyz',
        timeoutMs: READINESS_INTERVAL_MS,
      }).catch(() => undefined);
      this.#misses[at] = answer?.status === 200 ? 0 : this.#misses[at] + 1;
      await next;
    }
  }
}
