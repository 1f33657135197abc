/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {VersionTally} from './Rollouts';

/**
 * Responses of one version on one route, with a histogram of times as in VersionTally.
 */
export type AnswerCounts = Pick<VersionTally, 'answers' | 'failures' | 'times'>;

/** Counts without any responses. */
export const NO_ANSWERS: AnswerCounts = {answers: 0, failures: 0, times: []};

/** Mutable, to avoid allocations when many edges report many routes. */
interface Total {
  readonly route: string;
  readonly version: string;
  readonly times: number[];
  answers: number;
  failures: number;
}

/** Sums the responses of all edges by route and version. */
export class AnswerTotals {
  private readonly totals = new Map<string, Total>();

  /** Returns one tally for each route and version. */
  get tallies(): VersionTally[] {
    return [...this.totals.values()].map((total) => ({
      ...total,
      times: [...total.times],
    }));
  }

  /** Adds the increase of an edge's counts from `previous` to `current`. */
  addIncrease(
    key: string,
    current: VersionTally,
    previous: AnswerCounts,
  ): void {
    const total = this.totals.get(key) ?? emptyTotal(current);
    this.totals.set(key, total);
    total.answers += current.answers - previous.answers;
    total.failures += current.failures - previous.failures;
    for (const [index, count] of current.times.entries()) {
      total.times[index] =
        (total.times[index] ?? 0) + count - (previous.times[index] ?? 0);
    }
  }
}

function emptyTotal({route, version}: VersionTally): Total {
  return {answers: 0, failures: 0, route, times: [], version};
}

/** Returns a key that is unique for each route and version. */
export function createTallyKey(route: string, version: string): string {
  // The length prevents collisions of names that contain spaces.
  return `${route.length} ${route} ${version}`;
}

/** Returns the sum of two counts. */
export function addCounts(a: AnswerCounts, b: AnswerCounts): AnswerCounts {
  return combine(a, b, (left, right) => left + right);
}

/** Returns the counts of `a` minus those of `b`. */
export function subtractCounts(a: AnswerCounts, b: AnswerCounts): AnswerCounts {
  return combine(a, b, (left, right) => left - right);
}

function combine(
  a: AnswerCounts,
  b: AnswerCounts,
  operation: (left: number, right: number) => number,
): AnswerCounts {
  const longer = a.times.length >= b.times.length ? a : b;
  const times = longer.times.map((_, index) =>
    operation(a.times[index] ?? 0, b.times[index] ?? 0),
  );
  return {
    answers: operation(a.answers, b.answers),
    failures: operation(a.failures, b.failures),
    times,
  };
}
