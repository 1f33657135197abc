/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** `bench -- routing` and `bench -- overload`: ours against baselines. */
import type {Decisions, Figures, Situation} from './RoutingExperiment';
import {OURS, RoutingExperiment} from './RoutingExperiment';
import type {WorkloadOptions} from './RoutingWorkload';
import {makeWorkload} from './RoutingWorkload';

/** One line of a result. */
export interface RoutingRow {
  readonly situation: string;
  readonly decisions: string;
  readonly figures: Figures;
}

const BOXES = 7;
const PROFILE = {
  blockMs: 5,
  cacheBlocks: 160,
  slots: 16,
  stepMs: 12,
  stepPerRequestMs: 0.4,
};

const BASELINE: Decisions = {
  choice: 'least',
  hedges: false,
  limit: 'static',
  queue: 'fifo',
  refusesEarly: false,
  retries: 'unlimited',
};

/** Every set of decisions that is compared. */
export const DECISIONS: Readonly<Record<string, Decisions>> = {
  ours: OURS,
  'least in flight': BASELINE,
  random: {...BASELINE, choice: 'random'},
  'round robin': {...BASELINE, choice: 'round-robin'},
};

function situation(name: string, change: Partial<Situation> = {}): Situation {
  return {
    deadlineMs: 20_000,
    engines: 13,
    events: [],
    loadLagMs: 500,
    name,
    profile: PROFILE,
    targetMs: 1_100,
    ...change,
  };
}

/** What can go wrong, at the size of the larger pool of today's users. */
export function routingSituations(durationMs: number): Situation[] {
  const third = durationMs / 3;
  return [
    situation('steady'),
    situation('one upstream slow', {
      events: [
        {
          apply: (engines) => {
            if (engines[0] !== undefined) {
              engines[0].slowness = 5;
            }
          },
          at: third,
        },
      ],
    }),
    situation('one upstream lies about its load', {liar: 0, loadLagMs: 100}),
    situation('one upstream dies', {
      events: [{apply: (engines) => engines[0]?.kill(), at: third}],
    }),
    situation('one upstream leaves', {
      events: [{apply: () => undefined, at: third, leaving: [0]}],
    }),
    situation('load reports 2 s late', {loadLagMs: 2_000}),
    situation('a hall is lost', {
      events: [
        {
          apply: (engines) =>
            engines
              .filter((_, at) => at % 3 === 0)
              .forEach((engine) => engine.kill()),
          at: third,
        },
      ],
    }),
  ];
}

/** Capacity of the pool, requests a second, found by trying. */
const FULL_RATE = 55;

/** Compares all decisions in all situations at a share of the capacity. */
export async function benchRouting(
  seed: number,
  durationMs: number,
): Promise<RoutingRow[]> {
  const rows: RoutingRow[] = [];
  for (const one of routingSituations(durationMs)) {
    const hall = one.name === 'a hall is lost';
    // A hall less leaves eight of thirteen engines.
    const rate = FULL_RATE * (hall ? 0.5 : 0.85);
    const workload = makeWorkload(workloadOf(seed, durationMs, rate));
    for (const [decisions, how] of Object.entries(DECISIONS)) {
      rows.push({
        decisions,
        figures: await RoutingExperiment.run(one, how, workload, BOXES, seed),
        situation: one.name,
      });
    }
  }
  return rows;
}

/** Load from below to far above the capacity, and one team flooding. */
export async function benchOverload(
  seed: number,
  durationMs: number,
): Promise<RoutingRow[]> {
  const rows: RoutingRow[] = [];
  const situations: [string, Partial<WorkloadOptions>][] = [
    ['load 100%', {rate: FULL_RATE}],
    ['load 150%', {rate: FULL_RATE * 1.5}],
    ['burst ×2 at 70%', {burst: 2, rate: FULL_RATE * 0.7}],
    ['one team floods at 150%', {largeShare: 0.7, rate: FULL_RATE * 1.5}],
  ];
  for (const [name, change] of situations) {
    const base = workloadOf(seed, durationMs, FULL_RATE);
    const workload = makeWorkload({...base, ...change});
    const one = situation(name, {deadlineMs: 5_000});
    for (const [decisions, how] of Object.entries(DECISIONS)) {
      rows.push({
        decisions,
        figures: await RoutingExperiment.run(one, how, workload, BOXES, seed),
        situation: name,
      });
    }
  }
  return rows;
}

function workloadOf(
  seed: number,
  durationMs: number,
  rate: number,
): WorkloadOptions {
  return {
    boxes: BOXES,
    burst: 1,
    durationMs,
    largeShare: 0.3,
    rate,
    seed,
    teams: 10,
  };
}
