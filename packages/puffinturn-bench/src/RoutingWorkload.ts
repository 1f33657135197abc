/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Seeded demand like that of the brief's users: teams, prompts, shifts. */
import {Random} from 'shared';

/** One request of the workload. */
export interface Demand {
  /** ms from the start. */
  readonly at: number;
  readonly box: number;
  readonly team: string;
  readonly priority: number;
  readonly tokens: number;
  readonly prefix: readonly string[];
}

/** What a workload is made from. */
export interface WorkloadOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** Requests a second. */
  readonly rate: number;
  readonly boxes: number;
  readonly teams: number;
  /** Share of one large team. */
  readonly largeShare: number;
  /** Rate in a burst in the middle fifth, relative to the rest. */
  readonly burst: number;
}

const PROMPT_FAMILIES = 24;
const SHARED_BLOCKS = 16;
const OWN_BLOCKS = 4;
const MIN_TOKENS = 20;
const MAX_TOKENS = 180;

/** Requests in order of time; the same options give the same ones. */
export function makeWorkload(options: WorkloadOptions): Demand[] {
  const {boxes, burst, durationMs, rate, seed} = options;
  const random = new Random(seed);
  const demands: Demand[] = [];
  let at = 0;
  for (;;) {
    const inBurst = at > durationMs * 0.4 && at < durationMs * 0.6;
    const now = rate * (inBurst ? burst : 1);
    at += (-Math.log(1 - random.fraction()) * 1_000) / now;
    if (at >= durationMs) {
      return demands;
    }
    demands.push({
      at,
      box: random.integer(0, boxes - 1),
      prefix: makePrefix(random, demands.length),
      priority: random.fraction() < 0.2 ? 2 : 5,
      team: teamOf(random, options),
      tokens: random.integer(MIN_TOKENS, MAX_TOKENS),
    });
  }
}

function teamOf(random: Random, {largeShare, teams}: WorkloadOptions): string {
  return random.fraction() < largeShare
    ? 'team-0'
    : `team-${random.integer(1, teams - 1)}`;
}

/** A long prompt shared by a family, then blocks of its own. */
function makePrefix(random: Random, id: number): string[] {
  // Families are used unequally, as some prompts are in every label check.
  const family = Math.floor(PROMPT_FAMILIES * random.fraction() ** 2);
  const shared = Array.from(
    {length: SHARED_BLOCKS},
    (_, block) => `family-${family}-${block}`,
  );
  const own = Array.from(
    {length: random.integer(0, OWN_BLOCKS)},
    (_, block) => `own-${id}-${block}`,
  );
  return [...shared, ...own];
}
