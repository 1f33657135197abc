/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {VersionResponseCounts} from 'puffinturn-decisions';

import type {AnswerCounts} from './AnswerTotals';
import {addCounts, NO_ANSWERS, subtractCounts} from './AnswerTotals';
import {
  BASELINE_MARGIN,
  BASELINE_STEPS,
  FAILURE_RATE_INCREASE,
  MAX_REPORTED_ROUTES,
  MAX_TESTABLE_RATE,
  MIN_BASELINE_FAILURE_RATE,
  MIN_BASELINE_SLOW_RATE,
  MIN_SLOW_RATIO,
  PRIOR_ANSWERS,
  SLOW_RATE_INCREASE,
} from './RolloutConstants';
import type {VersionTally} from './Rollouts';
import {TIME_RATIO_BOUNDS} from './Rollouts';
import {SequentialTest} from './SequentialTest';

/** Route name under which the responses of all routes are compared. */
export const ALL_ROUTES = '*';

/** Why a version is bad. */
export const BAD_VERSION_CAUSE = {failures: 'failures', slow: 'slow'} as const;

/** One of BAD_VERSION_CAUSE. */
export type BadVersionCause =
  (typeof BAD_VERSION_CAUSE)[keyof typeof BAD_VERSION_CAUSE];

/** Compares two versions on one route. */
class RouteComparison {
  private readonly failureTest = new SequentialTest();
  private readonly slowTest = new SequentialTest();
  /** Newest steps in which the stable version had responses. */
  private readonly recentStableSteps: AnswerCounts[] = [];
  private stable: AnswerCounts = NO_ANSWERS;
  private target: AnswerCounts = NO_ANSWERS;

  /** Updates the cumulative counts of both versions. */
  updateCounts(stable: AnswerCounts, target: AnswerCounts): void {
    this.recordStable(subtractCounts(stable, this.stable));
    this.testTarget(subtractCounts(target, this.target));
    this.stable = stable;
    this.target = target;
  }

  /** Why the new version is bad on this route; undefined if it is not. */
  get badCause(): BadVersionCause | undefined {
    if (this.failureTest.isRateRaised) {
      return BAD_VERSION_CAUSE.failures;
    }
    return this.slowTest.isRateRaised ? BAD_VERSION_CAUSE.slow : undefined;
  }

  /** Whether the new version may be bad on this route. */
  get isSuspect(): boolean {
    return this.failureTest.isRateSuspect || this.slowTest.isRateSuspect;
  }

  /** Responses of the new version. */
  get targetAnswers(): number {
    return this.target.answers;
  }

  /** Responses of the stable version. */
  get stableAnswers(): number {
    return this.stable.answers;
  }

  /** Responses of both versions. */
  get answers(): number {
    return this.stable.answers + this.target.answers;
  }

  /** Returns the cumulative counts of one version. */
  summarize(
    route: string,
    version: string,
    role: 'stable' | 'target',
  ): VersionResponseCounts {
    const {answers, failures, times} = this[role];
    const bucket = this.firstSlowBucket() ?? times.length;
    return {answers, failures, route, slow: sumFrom(times, bucket), version};
  }

  private recordStable(step: AnswerCounts): void {
    if (step.answers > 0) {
      this.recentStableSteps.push(step);
    }
    if (this.recentStableSteps.length > BASELINE_STEPS) {
      this.recentStableSteps.shift();
    }
  }

  private testTarget(step: AnswerCounts): void {
    if (step.answers === 0) {
      return;
    }
    const {answers, failures, times} = step;
    const baselineFailureRate = this.baselineRate(
      MIN_BASELINE_FAILURE_RATE,
      (counts) => counts.failures,
    );
    addSample(
      this.failureTest,
      failures,
      answers,
      baselineFailureRate,
      FAILURE_RATE_INCREASE,
    );
    const bucket = this.firstSlowBucket();
    if (bucket !== undefined) {
      const baselineSlowRate = this.baselineRate(
        MIN_BASELINE_SLOW_RATE,
        (counts) => sumFrom(counts.times, bucket),
      );
      const slow = sumFrom(times, bucket);
      const timedAnswers = sumFrom(times, 0);
      addSample(
        this.slowTest,
        slow,
        timedAnswers,
        baselineSlowRate,
        SLOW_RATE_INCREASE,
      );
    }
  }

  /** Estimates a rate of the stable version from recent steps; at least `minRate`. */
  private baselineRate(
    minRate: number,
    countPositives: (counts: AnswerCounts) => number,
  ): number {
    const positives = this.sumRecentStable(countPositives);
    const answers = this.sumRecentStable((counts) => counts.answers);
    const observedRate =
      (positives + minRate * PRIOR_ANSWERS) / (answers + PRIOR_ANSWERS);
    return Math.max(
      minRate,
      observedRate > minRate ? observedRate * BASELINE_MARGIN : minRate,
    );
  }

  /**
   * Returns the first histogram bucket above which the stable version has few
   * responses.
   */
  private firstSlowBucket(): number | undefined {
    const firstCandidate = TIME_RATIO_BOUNDS.findIndex(
      (bound) => bound >= MIN_SLOW_RATIO,
    );
    const answers = this.sumRecentStable(({times}) => sumFrom(times, 0));
    const maxSlow = MIN_BASELINE_SLOW_RATE * (answers + PRIOR_ANSWERS);
    for (
      let bucket = firstCandidate + 1;
      bucket <= TIME_RATIO_BOUNDS.length;
      bucket += 1
    ) {
      const slow = this.sumRecentStable(({times}) => sumFrom(times, bucket));
      if (slow <= maxSlow) {
        return bucket;
      }
    }
    return undefined;
  }

  private sumRecentStable(getCount: (counts: AnswerCounts) => number): number {
    return this.recentStableSteps.reduce(
      (sum, step) => sum + getCount(step),
      0,
    );
  }
}

/**
 * Compares the new version of a service with the stable one over the same period, for
 * each route and for all routes together. It compares failure rates and rates of slow
 * responses.
 */
export class VersionComparison {
  private readonly routes = new Map<string, RouteComparison>();

  constructor(
    private readonly stableVersion: string,
    private readonly targetVersion: string,
  ) {}

  /** Updates the cumulative counts, summed over all edges. */
  update(tallies: readonly VersionTally[]): void {
    const names = new Set(tallies.map(({route}) => route));
    for (const name of names) {
      this.updateRoute(
        name,
        tallies.filter(({route}) => route === name),
      );
    }
    this.updateRoute(ALL_ROUTES, tallies);
  }

  /** Why the new version is bad on any route or overall; undefined if it is not. */
  get badCause(): BadVersionCause | undefined {
    const causes = [...this.routes.values()].map(({badCause}) => badCause);
    return causes.find((cause) => cause !== undefined);
  }

  /** Whether the new version may be bad on any route or overall. */
  get isSuspect(): boolean {
    return [...this.routes.values()].some(({isSuspect}) => isSuspect);
  }

  /** Responses of the new version on all routes. */
  get targetAnswers(): number {
    return this.routes.get(ALL_ROUTES)?.targetAnswers ?? 0;
  }

  /** Responses of the stable version on all routes. */
  get stableAnswers(): number {
    return this.routes.get(ALL_ROUTES)?.stableAnswers ?? 0;
  }

  /**
   * Returns the responses of the new version on the main route with the fewest of them.
   */
  minMainRouteAnswers(mainRouteFraction: number): number {
    const all = this.routes.get(ALL_ROUTES)?.answers ?? 0;
    const mainRoutes = [...this.routes.values()].filter(
      ({answers}) => answers >= mainRouteFraction * all,
    );
    return Math.min(...mainRoutes.map(({targetAnswers}) => targetAnswers));
  }

  /**
   * Returns the counts per route and version: routes with a bad version first, then by
   * number of responses.
   */
  summarize(): VersionResponseCounts[] {
    const routes = [...this.routes].sort(
      ([, a], [, b]) =>
        Number(b.badCause !== undefined) - Number(a.badCause !== undefined) ||
        b.answers - a.answers,
    );
    return routes
      .slice(0, MAX_REPORTED_ROUTES)
      .flatMap(([route, comparison]) => [
        comparison.summarize(route, this.stableVersion, 'stable'),
        comparison.summarize(route, this.targetVersion, 'target'),
      ]);
  }

  private updateRoute(route: string, tallies: readonly VersionTally[]): void {
    const comparison = this.routes.get(route) ?? new RouteComparison();
    this.routes.set(route, comparison);
    const countsFor = (selectedVersion: string): AnswerCounts =>
      tallies
        .filter(({version}) => version === selectedVersion)
        .reduce(addCounts, NO_ANSWERS);
    comparison.updateCounts(
      countsFor(this.stableVersion),
      countsFor(this.targetVersion),
    );
  }
}

function addSample(
  sequentialTest: SequentialTest,
  positives: number,
  answers: number,
  baselineRate: number,
  increase: number,
): void {
  const raisedRate = baselineRate + increase;
  if (raisedRate <= MAX_TESTABLE_RATE) {
    sequentialTest.addSample(positives, answers, baselineRate, raisedRate);
  }
}

function sumFrom(times: readonly number[], first: number): number {
  return times.slice(first).reduce((total, count) => total + count, 0);
}
