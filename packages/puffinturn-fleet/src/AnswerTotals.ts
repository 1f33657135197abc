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

/** Counts that grow in place, as many edges report many routes. */
interface Total {
  readonly route: string;
  readonly version: string;
  readonly times: number[];
  answers: number;
  failures: number;
}

/** See the module comment. */
export class AnswerTotals {
  private readonly totals = new Map<string, Total>();

  /** All tallies, one for each route and version. */
  get tallies(): VersionTally[] {
    return [...this.totals.values()].map((total) => ({
      ...total,
      times: [...total.times],
    }));
  }

  /** Takes in what one edge counts more than before. */
  add(key: string, now: VersionTally, before: AnswerCounts): void {
    const total = this.totals.get(key) ?? noneOf(now);
    this.totals.set(key, total);
    total.answers += now.answers - before.answers;
    total.failures += now.failures - before.failures;
    for (const [at, count] of now.times.entries()) {
      total.times[at] =
        (total.times[at] ?? 0) + count - (before.times[at] ?? 0);
    }
  }
}

function noneOf({route, version}: VersionTally): Total {
  return {answers: 0, failures: 0, route, times: [], version};
}

/** Tells the tallies of one edge apart. */
export function tallyKey(route: string, version: string): string {
  // The length keeps apart what would be the same put together.
  return `${route.length} ${route} ${version}`;
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
