/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * One edge as a process of its own, with a protocol and a configuration for
 * measurements. No control box exists: the configuration and the upstreams are
 * given at the start, so nothing but requests costs processor time.
 */
import {JsonDecisionLog} from 'puffinturn-decisions';
import type {PromptPart, TokenCounts} from 'puffinturn-edge';
import {CallerProtocol, Edge} from 'puffinturn-edge';
import type {
  FleetConfiguration,
  Route,
  Service,
  UpstreamRecord,
} from 'puffinturn-fleet';
import {
  BOX_ROLE,
  Regions,
  RETRY_POLICY,
  UPSTREAM_STATE,
} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {invariant, Random, SystemClock} from 'shared';

/** What the process is told on its command line, as JSON. */
export interface EdgeProcessSettings {
  readonly callerPort: number;
  readonly readyPort: number;
  readonly metricsPort: number;
  readonly upstreams: readonly EdgeProcessUpstream[];
}

/** One upstream of the edge. */
export interface EdgeProcessUpstream {
  readonly id: string;
  readonly service: string;
  readonly address: string;
}

/** The host of all routes. */
export const BENCH_HOST = 'bench.example';

/** The key of the one team. */
export const BENCH_KEY = 'bench-key';

/** The service, and route, of streams. */
export const STREAM_SERVICE = 'stream';

/** The service, and route, of plain answers. */
export const PLAIN_SERVICE = 'plain';

/** Where the edge says whether it is ready. */
export const READY_PATH = '/ready';

/** Names of headers in measurements. */
export const BENCH_HEADERS = {
  deadline: 'x-deadline',
  expectedUpstream: 'x-upstream',
  credential: 'x-key',
  lastEventId: 'last-event-id',
  draining: 'x-leaving',
  rateLimit: 'x-limit',
  notExecuted: 'x-not-run',
  prefixSource: 'x-prefix-source',
  priority: 'x-priority',
  requestId: 'x-request-id',
  reserved: ['x-hold', 'x-pin'],
  retryAfter: 'retry-after',
  seal: 'x-seal',
  team: 'x-team',
} as const;

/** The header with the parts of a prompt. */
export const PARTS_HEADER = 'x-parts';

/** The header with the tokens of a request. */
export const TOKENS_HEADER = 'x-tokens';

const HOST = '127.0.0.1';
const HALL = 'hall-1';
const SLOTS = 200;
const LINES_PER_SECOND = 60;
const SUCCESS_SAMPLE = 20;

/** Requests like those of a model engine: parts of a prompt, tokens in and out. */
class BenchProtocol extends CallerProtocol {
  override readonly headers = BENCH_HEADERS;

  override parseTokenCounts(
    header: (name: string) => string | undefined,
  ): TokenCounts | undefined {
    const [promptTokens, maxCompletionTokens] = (header(TOKENS_HEADER) ?? '')
      .split(',')
      .map(Number);
    return promptTokens === undefined || maxCompletionTokens === undefined
      ? undefined
      : {maxCompletionTokens, promptTokens};
  }

  override parsePromptParts(
    header: (name: string) => string | undefined,
  ): readonly PromptPart[] {
    const text = header(PARTS_HEADER);
    if (text === undefined) {
      return [];
    }
    return text.split(',').map((part) => {
      const [id = '', tokens = '0'] = part.split(':');
      return {id, tokens: Number(tokens)};
    });
  }

  override computePriority(team: number, route: number): number {
    return team + route;
  }
}

/** Serves until the process that started it goes away. */
export async function runEdgeProcess(text: string): Promise<void> {
  const settings = JSON.parse(text) as EdgeProcessSettings;
  const clock = new SystemClock();
  const random = new Random(1);
  const edge = await Edge.open({
    callerAddress: {host: HOST, port: settings.callerPort},
    clock,
    coldTolerance: {extra: 1, overage: 1},
    protocol: new BenchProtocol(),
    link: new MemoryNetwork(clock, random).connect('edge'),
    log: new JsonDecisionLog({
      box: 'edge',
      linesPerSecond: LINES_PER_SECOND,
      now: () => clock.now(),
      successSample: SUCCESS_SAMPLE,
    }),
    metricsAddress: {host: HOST, path: '/metrics', port: settings.metricsPort},
    random,
    readinessAddress: {host: HOST, path: READY_PATH, port: settings.readyPort},
    regions: new Regions(),
    retryLimit: {extra: 50, ratio: 0.2},
    seeds: () => [],
    self: {box: 'edge', hall: HALL, incarnation: '1', role: BOX_ROLE.edge},
  });
  invariant(edge.isOk(), 'the ports are free');
  edge.value.applyConfiguration(configuration(), 'bench');
  edge.value.pool.merge(settings.upstreams.map(recordOf), 'bench');
  await new Promise((resolve) => process.once('disconnect', resolve));
}

function configuration(): FleetConfiguration {
  const engine = {
    copyMsPerToken: undefined,
    memoryTokens: 1_000_000,
    slots: SLOTS,
    tokensPerEvent: 1,
  };
  return {
    limits: {
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
      maxBodyBytes: 1_000_000,
      maxHeaderBytes: 16_384,
    },
    routes: [routeOf(STREAM_SERVICE, true), routeOf(PLAIN_SERVICE, false)],
    services: [
      serviceOf(STREAM_SERVICE, engine),
      serviceOf(PLAIN_SERVICE, undefined),
    ],
    teams: [
      {keys: [BENCH_KEY], name: 't', prepaidTokens: undefined, priority: 0},
    ],
    version: 1,
  };
}

function routeOf(name: string, streams: boolean): Route {
  return {
    anonymous: false,
    host: BENCH_HOST,
    maxAttempts: 2,
    name,
    objectiveMs: 800,
    pathPrefix: `/${name}/`,
    priority: 0,
    repetition: streams ? RETRY_POLICY.resumable : RETRY_POLICY.repeatable,
    streams,
    targets: [{service: name, weight: 1}],
    timeoutMs: 30_000,
  };
}

function serviceOf(name: string, engine: Service['engine']): Service {
  return {engine, maxConnections: SLOTS, name};
}

function recordOf({address, id, service}: EdgeProcessUpstream): UpstreamRecord {
  return {
    address,
    coldMs: 0,
    hall: HALL,
    id,
    sequence: 1,
    service,
    slots: SLOTS,
    state: UPSTREAM_STATE.ready,
  };
}
