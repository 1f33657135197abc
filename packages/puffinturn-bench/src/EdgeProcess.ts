/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Runs one edge as a process for measurements. The configuration and the
 * upstreams are fixed at the start. There is no control box, so that only
 * requests use CPU time.
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
import {deriveServerLimits, FORWARDING_SHARES} from 'puffinturn-server';
import {MemoryNetwork} from 'puffinturn-wire';
import {invariant, Random, SystemClock, SystemMachineClock} from 'shared';

/** Settings of the process, passed as JSON on the command line. */
export interface EdgeProcessSettings {
  readonly callerPort: number;
  readonly readyPort: number;
  readonly metricsPort: number;
  readonly upstreams: readonly EdgeProcessUpstream[];
}

/** Address and service of an upstream. */
export interface EdgeProcessUpstream {
  readonly id: string;
  readonly service: string;
  readonly address: string;
}

/** Host name of all routes. */
export const BENCH_HOST = 'bench.example';

/** API key of the only team. */
export const BENCH_KEY = 'bench-key';

/** Name of the service and route for event streams. */
export const STREAM_SERVICE = 'stream';

/** Name of the service and route for plain responses. */
export const PLAIN_SERVICE = 'plain';

/** Path of the readiness endpoint. */
export const READY_PATH = '/ready';

/** Header names of the benchmark protocol. */
export const BENCH_HEADERS = {
  deadline: 'x-deadline',
  expectedUpstream: 'x-upstream',
  credential: 'x-key',
  lastEventId: 'last-event-id',
  resumedRequest: 'x-resumes',
  draining: 'x-leaving',
  rateLimit: 'x-limit',
  brittleness: 'x-brittle',
  notExecuted: 'x-not-run',
  prefixSource: 'x-prefix-source',
  priority: 'x-priority',
  requestId: 'x-request-id',
  reserved: ['x-hold', 'x-pin'],
  retryAfter: 'retry-after',
  seal: 'x-seal',
  team: 'x-team',
} as const;

/** Header that lists the prompt parts as `ID:TOKENS`, separated by commas. */
export const PARTS_HEADER = 'x-parts';

/** Header with the prompt tokens and maximum completion tokens. */
export const TOKENS_HEADER = 'x-tokens';

const HOST = '127.0.0.1';

/** The machine that the edge believes to have. */
const MACHINE = {descriptors: 4_096, memoryMb: 350};
const HALL = 'hall-1';
const SLOTS_PER_UPSTREAM = 200;
const MAX_LOG_LINES_PER_SECOND = 60;
const SUCCESS_SAMPLE_INTERVAL = 20;

/** Reads prompt parts and token counts from headers. */
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

/** Runs the edge until the parent process disconnects. */
export async function runEdgeProcess(settingsJson: string): Promise<void> {
  const settings = JSON.parse(settingsJson) as EdgeProcessSettings;
  const clock = new SystemClock();
  const random = new Random(1);
  const edge = await Edge.open({
    applyBoundMs: 2_000,
    callerAddress: {host: HOST, port: settings.callerPort},
    callerLimits: deriveServerLimits(MACHINE, FORWARDING_SHARES),
    clock,
    drainMs: 2_000,
    coldTolerance: {extra: 1, overage: 1},
    protocol: new BenchProtocol(),
    link: new MemoryNetwork(clock, random).connect('edge'),
    log: new JsonDecisionLog({
      box: 'edge',
      linesPerSecond: MAX_LOG_LINES_PER_SECOND,
      now: () => clock.now(),
      successSampleInterval: SUCCESS_SAMPLE_INTERVAL,
    }),
    machineClock: new SystemMachineClock(),
    metricsAddress: {host: HOST, path: '/metrics', port: settings.metricsPort},
    random,
    readinessAddress: {host: HOST, path: READY_PATH, port: settings.readyPort},
    regions: new Regions(),
    retryLimit: {extra: 50, ratio: 0.2},
    seeds: () => [],
    self: {box: 'edge', hall: HALL, incarnation: '1', role: BOX_ROLE.edge},
    tunnelAddress: {host: HOST, port: 0},
  });
  invariant(
    edge.isOk(),
    'could not open the edge on its caller, metrics and readiness ports',
  );
  edge.value.applyConfiguration(buildConfiguration(), {box: 'bench'});
  edge.value.pool.merge(settings.upstreams.map(toUpstreamRecord), 'bench');
  await new Promise((resolve) => process.once('disconnect', resolve));
}

function buildConfiguration(): FleetConfiguration {
  const engine = {
    copyMsPerToken: undefined,
    memoryTokens: 1_000_000,
    slots: SLOTS_PER_UPSTREAM,
    tokensPerEvent: 1,
  };
  return {
    limits: {
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
      maxBodyBytes: 1_000_000,
      maxHeaderBytes: 16_384,
    },
    routes: [
      buildRoute(STREAM_SERVICE, true),
      buildRoute(PLAIN_SERVICE, false),
    ],
    services: [
      buildService(STREAM_SERVICE, engine),
      buildService(PLAIN_SERVICE, undefined),
    ],
    teams: [
      {keys: [BENCH_KEY], name: 't', prepaidTokens: undefined, priority: 0},
    ],
    version: 1,
  };
}

function buildRoute(name: string, streams: boolean): Route {
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

function buildService(name: string, engine: Service['engine']): Service {
  return {engine, maxConnections: SLOTS_PER_UPSTREAM, name};
}

function toUpstreamRecord({
  address,
  id,
  service,
}: EdgeProcessUpstream): UpstreamRecord {
  return {
    address,
    coldMs: 0,
    hall: HALL,
    id,
    sequence: 1,
    service,
    slots: SLOTS_PER_UPSTREAM,
    state: UPSTREAM_STATE.ready,
  };
}
