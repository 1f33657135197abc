/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * `bench -- routing` and `bench -- overload`: compare the routing strategy of
 * the gateway with baselines.
 */
import type {
  RoutingResult,
  RoutingStrategy,
  Situation,
} from './RoutingExperiment';
import {DEFAULT_STRATEGY, RoutingExperiment} from './RoutingExperiment';
import type {WorkloadOptions} from './RoutingWorkload';
import {generateWorkload} from './RoutingWorkload';

/** Results of one strategy in one situation. */
export interface RoutingRow {
  readonly situation: string;
  readonly decisions: string;
  readonly figures: RoutingResult;
}

const BOX_COUNT = 7;
const ENGINE_PROFILE = {
  blockMs: 5,
  cacheBlocks: 160,
  slots: 16,
  stepMs: 12,
  stepPerRequestMs: 0.4,
};

const BASELINE_STRATEGY: RoutingStrategy = {
  balancer: 'least-in-flight',
  hedgingEnabled: false,
  concurrencyLimit: 'static',
  queue: 'fifo',
  rejectsEarly: false,
  retryBudget: 'unlimited',
};

/** The strategies that are compared, by name. */
export const STRATEGIES: Readonly<Record<string, RoutingStrategy>> = {
  ours: DEFAULT_STRATEGY,
  'least in flight': BASELINE_STRATEGY,
  random: {...BASELINE_STRATEGY, balancer: 'random'},
  'round robin': {...BASELINE_STRATEGY, balancer: 'round-robin'},
};

function createSituation(
  name: string,
  overrides: Partial<Situation> = {},
): Situation {
  return {
    deadlineMs: 20_000,
    engineCount: 13,
    events: [],
    loadReportDelayMs: 500,
    name,
    profile: ENGINE_PROFILE,
    firstTokenTargetMs: 1_100,
    ...overrides,
  };
}

/** Steady load, and one situation for each kind of fault. */
export function routingSituations(durationMs: number): Situation[] {
  const faultAtMs = durationMs / 3;
  return [
    createSituation('steady'),
    createSituation('one upstream slow', {
      events: [
        {
          apply: (engines) => {
            if (engines[0] !== undefined) {
              engines[0].slowdownFactor = 5;
            }
          },
          atMs: faultAtMs,
        },
      ],
    }),
    createSituation('one upstream lies about its load', {
      misreportingEngine: 0,
      loadReportDelayMs: 100,
    }),
    createSituation('one upstream dies', {
      events: [{apply: (engines) => engines[0]?.crash(), atMs: faultAtMs}],
    }),
    createSituation('one upstream leaves', {
      events: [{apply: () => undefined, atMs: faultAtMs, drainingEngines: [0]}],
    }),
    createSituation('load reports 2 s late', {loadReportDelayMs: 2_000}),
    createSituation('a hall is lost', {
      events: [
        {
          apply: (engines) =>
            engines
              .filter((_, index) => index % 3 === 0)
              .forEach((engine) => engine.crash()),
          atMs: faultAtMs,
        },
      ],
    }),
  ];
}

/** Capacity of the simulated pool. */
const CAPACITY_REQUESTS_PER_SECOND = 55;

/** Compares all strategies in all situations, below the capacity. */
export async function benchRouting(
  seed: number,
  durationMs: number,
): Promise<RoutingRow[]> {
  const rows: RoutingRow[] = [];
  for (const situation of routingSituations(durationMs)) {
    const losesHall = situation.name === 'a hall is lost';
    // Eight of thirteen engines remain when a hall is lost.
    const requestsPerSecond =
      CAPACITY_REQUESTS_PER_SECOND * (losesHall ? 0.5 : 0.85);
    const workload = generateWorkload(
      buildWorkloadOptions(seed, durationMs, requestsPerSecond),
    );
    for (const [decisions, strategy] of Object.entries(STRATEGIES)) {
      rows.push({
        decisions,
        figures: await RoutingExperiment.run(
          situation,
          strategy,
          workload,
          BOX_COUNT,
          seed,
        ),
        situation: situation.name,
      });
    }
  }
  return rows;
}

/** Compares all strategies under overload and bursts. */
export async function benchOverload(
  seed: number,
  durationMs: number,
): Promise<RoutingRow[]> {
  const rows: RoutingRow[] = [];
  const situations: [string, Partial<WorkloadOptions>][] = [
    ['load 100%', {requestsPerSecond: CAPACITY_REQUESTS_PER_SECOND}],
    ['load 150%', {requestsPerSecond: CAPACITY_REQUESTS_PER_SECOND * 1.5}],
    [
      'burst ×2 at 70%',
      {burstFactor: 2, requestsPerSecond: CAPACITY_REQUESTS_PER_SECOND * 0.7},
    ],
    [
      'one team floods at 150%',
      {
        largeTeamShare: 0.7,
        requestsPerSecond: CAPACITY_REQUESTS_PER_SECOND * 1.5,
      },
    ],
  ];
  for (const [name, overrides] of situations) {
    const baseOptions = buildWorkloadOptions(
      seed,
      durationMs,
      CAPACITY_REQUESTS_PER_SECOND,
    );
    const workload = generateWorkload({...baseOptions, ...overrides});
    const situation = createSituation(name, {deadlineMs: 5_000});
    for (const [decisions, strategy] of Object.entries(STRATEGIES)) {
      rows.push({
        decisions,
        figures: await RoutingExperiment.run(
          situation,
          strategy,
          workload,
          BOX_COUNT,
          seed,
        ),
        situation: name,
      });
    }
  }
  return rows;
}

function buildWorkloadOptions(
  seed: number,
  durationMs: number,
  requestsPerSecond: number,
): WorkloadOptions {
  return {
    boxCount: BOX_COUNT,
    burstFactor: 1,
    durationMs,
    largeTeamShare: 0.3,
    requestsPerSecond,
    seed,
    teamCount: 10,
  };
}
