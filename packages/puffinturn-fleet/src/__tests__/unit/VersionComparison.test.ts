/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {Random} from 'shared';

import type {VersionTally} from '../../index';
import {TIME_RATIO_BOUNDS} from '../../index';
import {VersionComparison} from '../../VersionComparison';

// Guards against completing the rollout of a bad version and rolling back a good one.

/** Rates of bad responses of a version. */
interface Rates {
  readonly failures: number;
  /** Rate of responses that take about three times as long as expected. */
  readonly slow: number;
}

/** Simulated traffic of one service, in steps of the leader. */
interface Scenario {
  readonly stable: Rates;
  readonly target: Rates;
  readonly stableAnswersPerStep: number;
  readonly targetAnswersPerStep: number;
  readonly steps: number;
  /** Step from which the new version differs from the stable one; 0 by default. */
  readonly firstBadStep?: number;
  /** Further steps in which the new version receives all requests. */
  readonly shiftSteps?: number;
  /** Fraction of requests on the only route where the new version differs. */
  readonly routeFraction?: number;
}

const NORMAL_RATES: Rates = {failures: 0.005, slow: 0.01};
const CANARY = {stableAnswersPerStep: 18, steps: 70, targetAnswersPerStep: 2};
const SEED_COUNT = 200;

class AnswerCounter {
  private answers = 0;
  private failures = 0;
  private readonly times = Array<number>(TIME_RATIO_BOUNDS.length + 1).fill(0);

  constructor(
    private readonly route: string,
    private readonly version: string,
    private readonly random: Random,
  ) {}

  /** Draws and counts a response. Returns whether it is bad. */
  recordAnswer({failures, slow}: Rates): boolean {
    const isFailed = this.random.fraction() < failures;
    const isSlow = this.random.fraction() < slow;
    const bucket = isSlow ? 6 : 2;
    this.answers += 1;
    this.failures += Number(isFailed);
    this.times[bucket] = (this.times[bucket] ?? 0) + 1;
    return isFailed || isSlow;
  }

  get tally(): VersionTally {
    const {answers, failures, route, times, version} = this;
    return {answers, failures, route, times: [...times], version};
  }
}

interface Outcome {
  readonly isBad: boolean;
  /** Bad responses of the new version until it was detected as bad. */
  readonly badAnswers: number;
}

function simulate(scenario: Scenario, seed: number): Outcome {
  const {firstBadStep = 0, routeFraction = 1, stable, target} = scenario;
  const {
    shiftSteps = 0,
    stableAnswersPerStep,
    steps,
    targetAnswersPerStep,
  } = scenario;
  const random = new Random(seed);
  const comparison = new VersionComparison('v1', 'v2');
  const routes = ['affected', 'other'];
  const [stableCounters, targetCounters] = ['v1', 'v2'].map((version) =>
    routes.map((route) => new AnswerCounter(route, version, random)),
  );
  let badAnswers = 0;
  for (let step = 0; step < steps + shiftSteps; step += 1) {
    const isShifted = step >= steps;
    const stableAnswers = isShifted ? 0 : stableAnswersPerStep;
    const targetAnswers = isShifted
      ? stableAnswersPerStep
      : targetAnswersPerStep;
    for (let index = 0; index < stableAnswers; index += 1) {
      const route = random.fraction() < routeFraction ? 0 : 1;
      stableCounters?.[route]?.recordAnswer(stable);
    }
    for (let index = 0; index < targetAnswers; index += 1) {
      const route = random.fraction() < routeFraction ? 0 : 1;
      const rates = step < firstBadStep || route === 1 ? stable : target;
      badAnswers += Number(
        targetCounters?.[route]?.recordAnswer(rates) ?? false,
      );
    }
    const counters = [...(stableCounters ?? []), ...(targetCounters ?? [])];
    comparison.update(counters.map(({tally}) => tally));
    if (comparison.badCause !== undefined) {
      return {badAnswers, isBad: true};
    }
  }
  return {badAnswers, isBad: false};
}

/** Returns the number of seeds with which the version is detected as bad. */
function countDetections(scenario: Scenario): number {
  let count = 0;
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    count += Number(simulate(scenario, seed).isBad);
  }
  return count;
}

function badAnswersBySeed(scenario: Scenario): number[] {
  return Array.from(
    {length: SEED_COUNT},
    (_, index) => simulate(scenario, index + 1).badAnswers,
  );
}

// Guards against good versions that are detected as bad, and bad ones that are detected
// late.
describe('The comparison of versions', () => {
  test.each<[string, Partial<Scenario>]>([
    ['with the rates of the stable one', {target: NORMAL_RATES}],
    ['with 2 % failures', {target: {failures: 0.02, slow: 0.02}}],
    [
      'with 15 % failures like the stable one',
      {
        stable: {failures: 0.15, slow: 0.1},
        target: {failures: 0.15, slow: 0.1},
      },
    ],
    [
      'with 40 % failures like the stable one',
      {
        stable: {failures: 0.4, slow: 0.3},
        target: {failures: 0.4, slow: 0.3},
      },
    ],
  ])('detects a version %s as bad in at most 2 of 200 runs', (_, fields) => {
    const scenario = {
      ...CANARY,
      shiftSteps: 15,
      stable: NORMAL_RATES,
      target: NORMAL_RATES,
      ...fields,
    };
    expect(countDetections(scenario)).toBeLessThanOrEqual(2);
  });

  test.each<[string, Partial<Scenario>]>([
    ['20 % failures', {target: {failures: 0.2, slow: 0.01}}],
    ['40 % failures', {target: {failures: 0.4, slow: 0.01}}],
    ['100 % failures', {target: {failures: 1, slow: 0}}],
    ['50 % slow answers', {target: {failures: 0.005, slow: 0.5}}],
    ['100 % slow answers', {target: {failures: 0.005, slow: 1}}],
    [
      '40 % failures from the middle of the canary phase',
      {firstBadStep: 35, target: {failures: 0.4, slow: 0.01}},
    ],
    [
      '60 % failures on a route with a fifth of the requests',
      {routeFraction: 0.2, target: {failures: 0.6, slow: 0.01}},
    ],
  ])('detects a version with %s in at least 196 of 200 runs', (_, fields) => {
    const scenario = {
      ...CANARY,
      stable: NORMAL_RATES,
      target: NORMAL_RATES,
      ...fields,
    };
    expect(countDetections(scenario)).toBeGreaterThanOrEqual(196);
  });

  test.each([0.2, 0.4, 0.7, 1])(
    'detects a failure rate of %d before the 50th bad answer',
    (failures) => {
      const target = {failures, slow: 0.01};
      const scenario = {...CANARY, stable: NORMAL_RATES, steps: 200, target};
      expect(Math.max(...badAnswersBySeed(scenario))).toBeLessThan(50);
    },
  );

  test('does not detect a version as bad after one burst of failures', () => {
    const comparison = new VersionComparison('v1', 'v2');
    const random = new Random(9);
    const stable = new AnswerCounter('r', 'v1', random);
    const target = new AnswerCounter('r', 'v2', random);
    for (let step = 0; step < 40; step += 1) {
      for (let index = 0; index < 20; index += 1) {
        stable.recordAnswer(NORMAL_RATES);
        target.recordAnswer(
          step === 20 ? {failures: 0.8, slow: 0} : NORMAL_RATES,
        );
      }
      comparison.update([stable.tally, target.tally]);
      expect(comparison.badCause).toBeUndefined();
    }
  });
});
