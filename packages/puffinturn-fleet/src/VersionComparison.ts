/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Compares the new version of a service with the stable one in the same seconds, route
 * by route and over all routes: failures, and answers that take much longer than
 * expected where the stable version has few of these. Knows counts only, no time.
 */
import type {VersionAnswers} from 'puffinturn-decisions';

import type {AnswerCounts} from './AnswerTotals';
import {differenceOf, NO_ANSWERS, sumOf} from './AnswerTotals';
import {
  BAD_FAILURES_LIFT,
  BAD_SLOW_LIFT,
  FIGURED_ROUTES,
  HOPELESS_RATE,
  LEAST_SLOW_RATIO,
  NORMAL_FAILURES,
  NORMAL_MARGIN,
  NORMAL_SLOW,
  PRIOR_ANSWERS,
  STABLE_STEPS,
} from './RolloutConstants';
import type {VersionTally} from './Rollouts';
import {TIME_RATIO_BOUNDS} from './Rollouts';
import {SequentialTest} from './SequentialTest';

/** The name under which the answers of all routes are compared. */
export const ALL_ROUTES = '*';

/** Why a version is bad. */
export const BAD_CAUSE = {failures: 'failures', slow: 'slow'} as const;

/** One of BAD_CAUSE. */
export type BadCause = (typeof BAD_CAUSE)[keyof typeof BAD_CAUSE];

/** The comparison on one route. */
class RouteComparison {
  private readonly failures = new SequentialTest();
  private readonly slow = new SequentialTest();
  /** Of the stable version, the newest steps that have any. */
  private readonly stableSteps: AnswerCounts[] = [];
  private stable: AnswerCounts = NO_ANSWERS;
  private target: AnswerCounts = NO_ANSWERS;

  /** Takes all counts so far. */
  take(stable: AnswerCounts, target: AnswerCounts): void {
    this.takeStable(differenceOf(stable, this.stable));
    this.takeTarget(differenceOf(target, this.target));
    this.stable = stable;
    this.target = target;
  }

  /** Why the version is bad here. */
  get cause(): BadCause | undefined {
    if (this.failures.hasRisen) {
      return BAD_CAUSE.failures;
    }
    return this.slow.hasRisen ? BAD_CAUSE.slow : undefined;
  }

  /** Whether the version may be bad here. */
  get isSuspect(): boolean {
    return this.failures.mayHaveRisen || this.slow.mayHaveRisen;
  }

  /** Answers of the new version. */
  get targetAnswers(): number {
    return this.target.answers;
  }

  /** Answers of the stable version. */
  get stableAnswers(): number {
    return this.stable.answers;
  }

  /** Answers of both versions. */
  get answers(): number {
    return this.stable.answers + this.target.answers;
  }

  /** All counts so far of one version, as a verdict tells them. */
  figures(
    route: string,
    version: string,
    which: 'stable' | 'target',
  ): VersionAnswers {
    const {answers, failures, times} = this[which];
    const bucket = this.slowBucket() ?? times.length;
    return {answers, failures, route, slow: sumFrom(times, bucket), version};
  }

  private takeStable(step: AnswerCounts): void {
    if (step.answers > 0) {
      this.stableSteps.push(step);
    }
    if (this.stableSteps.length > STABLE_STEPS) {
      this.stableSteps.shift();
    }
  }

  private takeTarget(step: AnswerCounts): void {
    if (step.answers === 0) {
      return;
    }
    const {answers, failures, times} = step;
    const normalFailures = this.normalRate(
      NORMAL_FAILURES,
      (counts) => counts.failures,
    );
    test(this.failures, failures, answers, normalFailures, BAD_FAILURES_LIFT);
    const bucket = this.slowBucket();
    if (bucket !== undefined) {
      const normalSlow = this.normalRate(NORMAL_SLOW, (counts) =>
        sumFrom(counts.times, bucket),
      );
      const slow = sumFrom(times, bucket);
      const timed = sumFrom(times, 0);
      test(this.slow, slow, timed, normalSlow, BAD_SLOW_LIFT);
    }
  }

  /** The rate of the stable version lately, and never below the usual one. */
  private normalRate(
    usual: number,
    hitsOf: (counts: AnswerCounts) => number,
  ): number {
    const hits = this.sumOfStable(hitsOf);
    const answers = this.sumOfStable((counts) => counts.answers);
    const seen = (hits + usual * PRIOR_ANSWERS) / (answers + PRIOR_ANSWERS);
    return Math.max(usual, seen > usual ? seen * NORMAL_MARGIN : usual);
  }

  /** The first bucket from which on the stable version has few answers. */
  private slowBucket(): number | undefined {
    const least = TIME_RATIO_BOUNDS.findIndex(
      (bound) => bound >= LEAST_SLOW_RATIO,
    );
    const timed = this.sumOfStable(({times}) => sumFrom(times, 0));
    const allowed = NORMAL_SLOW * (timed + PRIOR_ANSWERS);
    for (let at = least + 1; at <= TIME_RATIO_BOUNDS.length; at += 1) {
      const slow = this.sumOfStable(({times}) => sumFrom(times, at));
      if (slow <= allowed) {
        return at;
      }
    }
    return undefined;
  }

  private sumOfStable(countOf: (counts: AnswerCounts) => number): number {
    return this.stableSteps.reduce((sum, step) => sum + countOf(step), 0);
  }
}

/** See the module comment. */
export class VersionComparison {
  private readonly routes = new Map<string, RouteComparison>();

  constructor(
    private readonly stableVersion: string,
    private readonly targetVersion: string,
  ) {}

  /** Takes all answers so far, of all edges together. */
  take(tallies: readonly VersionTally[]): void {
    const names = new Set(tallies.map(({route}) => route));
    for (const name of names) {
      this.takeRoute(
        name,
        tallies.filter(({route}) => route === name),
      );
    }
    this.takeRoute(ALL_ROUTES, tallies);
  }

  /** Why the new version is bad on some route, or over all of them. */
  get cause(): BadCause | undefined {
    const causes = [...this.routes.values()].map(({cause}) => cause);
    return causes.find((cause) => cause !== undefined);
  }

  /** Whether the next answers may show that it is bad. */
  get isSuspect(): boolean {
    return [...this.routes.values()].some(({isSuspect}) => isSuspect);
  }

  /** Answers of the new version on all routes. */
  get targetAnswers(): number {
    return this.routes.get(ALL_ROUTES)?.targetAnswers ?? 0;
  }

  /** Answers of the stable version on all routes. */
  get stableAnswers(): number {
    return this.routes.get(ALL_ROUTES)?.stableAnswers ?? 0;
  }

  /** Answers of the new version on the main route that has fewest of them. */
  fewestOnMainRoute(mainPart: number): number {
    const all = this.routes.get(ALL_ROUTES)?.answers ?? 0;
    const main = [...this.routes.values()].filter(
      ({answers}) => answers >= mainPart * all,
    );
    return Math.min(...main.map(({targetAnswers}) => targetAnswers));
  }

  /** What a verdict rests on: the routes that are bad first, then the busiest ones. */
  figures(): VersionAnswers[] {
    const routes = [...this.routes].sort(
      ([, a], [, b]) =>
        Number(b.cause !== undefined) - Number(a.cause !== undefined) ||
        b.answers - a.answers,
    );
    return routes
      .slice(0, FIGURED_ROUTES)
      .flatMap(([route, comparison]) => [
        comparison.figures(route, this.stableVersion, 'stable'),
        comparison.figures(route, this.targetVersion, 'target'),
      ]);
  }

  private takeRoute(name: string, tallies: readonly VersionTally[]): void {
    const known = this.routes.get(name) ?? new RouteComparison();
    this.routes.set(name, known);
    const countsOf = (wanted: string): AnswerCounts =>
      tallies
        .filter(({version}) => version === wanted)
        .reduce(sumOf, NO_ANSWERS);
    known.take(countsOf(this.stableVersion), countsOf(this.targetVersion));
  }
}

function test(
  sequential: SequentialTest,
  hits: number,
  answers: number,
  normal: number,
  lift: number,
): void {
  const risen = normal + lift;
  if (risen <= HOPELESS_RATE) {
    sequential.take(hits, answers, normal, risen);
  }
}

function sumFrom(times: readonly number[], first: number): number {
  return times.slice(first).reduce((total, count) => total + count, 0);
}
