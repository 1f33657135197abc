/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Answers by route and version, of all edges together, kept up as edges report. */
import type {VersionTally} from './Rollouts';

/** Answers of one version on one route; times in the buckets of TIME_RATIO_BOUNDS. */
export type AnswerCounts = Pick<VersionTally, 'answers' | 'failures' | 'times'>;

/** No answers. */
export const NO_ANSWERS: AnswerCounts = {answers: 0, failures: 0, times: []};

/** See the module comment. */
export class AnswerTotals {
  private readonly totals = new Map<string, VersionTally>();

  /** All tallies, one for each route and version. */
  get tallies(): VersionTally[] {
    return [...this.totals.values()];
  }

  /** Takes in what one edge counts more than before. */
  add({route, version}: VersionTally, more: AnswerCounts): void {
    const key = tallyKey(route, version);
    const held = this.totals.get(key) ?? NO_ANSWERS;
    this.totals.set(key, {...sumOf(held, more), route, version});
  }
}

/** Tells the tallies of one edge apart. */
export function tallyKey(route: string, version: string): string {
  return JSON.stringify([route, version]);
}

/** Both together. */
export function sumOf(a: AnswerCounts, b: AnswerCounts): AnswerCounts {
  return combine(a, b, (one, other) => one + other);
}

/** What `a` has more than `b`. */
export function differenceOf(a: AnswerCounts, b: AnswerCounts): AnswerCounts {
  return combine(a, b, (one, other) => one - other);
}

function combine(
  a: AnswerCounts,
  b: AnswerCounts,
  join: (one: number, other: number) => number,
): AnswerCounts {
  const longer = a.times.length >= b.times.length ? a : b;
  const times = longer.times.map((_, at) =>
    join(a.times[at] ?? 0, b.times[at] ?? 0),
  );
  return {
    answers: join(a.answers, b.answers),
    failures: join(a.failures, b.failures),
    times,
  };
}
