/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Generates a reproducible open-loop workload from a seed. */
import {Random} from 'shared';

/** One request of the workload. */
export interface WorkloadRequest {
  /** Time of arrival since the start, ms. */
  readonly arrivalMs: number;
  readonly box: number;
  readonly team: string;
  readonly priority: number;
  readonly tokens: number;
  readonly prefix: readonly string[];
}

/** Parameters of a workload. */
export interface WorkloadOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly requestsPerSecond: number;
  readonly boxCount: number;
  readonly teamCount: number;
  /** Share of the requests that one large team sends. */
  readonly largeTeamShare: number;
  /** Factor on the request rate during the middle fifth of the run. */
  readonly burstFactor: number;
}

const PROMPT_FAMILY_COUNT = 24;
const SHARED_BLOCKS_PER_PROMPT = 16;
const MAX_UNIQUE_BLOCKS = 4;
const MIN_COMPLETION_TOKENS = 20;
const MAX_COMPLETION_TOKENS = 180;

/** Returns requests in order of arrival; equal options give equal requests. */
export function generateWorkload(options: WorkloadOptions): WorkloadRequest[] {
  const {boxCount, burstFactor, durationMs, requestsPerSecond, seed} = options;
  const random = new Random(seed);
  const requests: WorkloadRequest[] = [];
  let arrivalMs = 0;
  for (;;) {
    const inBurst =
      arrivalMs > durationMs * 0.4 && arrivalMs < durationMs * 0.6;
    const currentRate = requestsPerSecond * (inBurst ? burstFactor : 1);
    arrivalMs += (-Math.log(1 - random.fraction()) * 1_000) / currentRate;
    if (arrivalMs >= durationMs) {
      return requests;
    }
    requests.push({
      arrivalMs,
      box: random.integer(0, boxCount - 1),
      prefix: generatePrefix(random, requests.length),
      priority: random.fraction() < 0.2 ? 2 : 5,
      team: pickTeam(random, options),
      tokens: random.integer(MIN_COMPLETION_TOKENS, MAX_COMPLETION_TOKENS),
    });
  }
}

function pickTeam(
  random: Random,
  {largeTeamShare, teamCount}: WorkloadOptions,
): string {
  return random.fraction() < largeTeamShare
    ? 'team-0'
    : `team-${random.integer(1, teamCount - 1)}`;
}

/** Returns prompt blocks shared by a prompt family, then unique blocks. */
function generatePrefix(random: Random, id: number): string[] {
  // Squaring makes some families more frequent than others.
  const family = Math.floor(PROMPT_FAMILY_COUNT * random.fraction() ** 2);
  const shared = Array.from(
    {length: SHARED_BLOCKS_PER_PROMPT},
    (_, block) => `family-${family}-${block}`,
  );
  const unique = Array.from(
    {length: random.integer(0, MAX_UNIQUE_BLOCKS)},
    (_, block) => `own-${id}-${block}`,
  );
  return [...shared, ...unique];
}
