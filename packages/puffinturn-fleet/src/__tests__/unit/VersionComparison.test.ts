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

/** Rates at which a version answers. */
interface Rates {
  readonly failures: number;
  /** Answers that take about three times as long as expected. */
  readonly slow: number;
}

/** One service in a simulation; steps are those of the leader. */
interface Scenario {
  readonly stable: Rates;
  readonly target: Rates;
  readonly stablePerStep: number;
  readonly targetPerStep: number;
  readonly steps: number;
  /** Steps before which the new version answers as the stable one. */
  readonly badFrom?: number;
  /** Steps after these in which the new version gets all requests. */
  readonly shiftSteps?: number;
  /** The part of requests on a route of its own, where alone the target differs. */
  readonly routePart?: number;
}

const USUAL: Rates = {failures: 0.005, slow: 0.01};
const TRIAL = {stablePerStep: 18, steps: 70, targetPerStep: 2};
const SEEDS = 200;

class Counter {
  private answers = 0;
  private failures = 0;
  private readonly times = Array<number>(TIME_RATIO_BOUNDS.length + 1).fill(0);

  constructor(
    private readonly route: string,
    private readonly version: string,
    private readonly random: Random,
  ) {}

  /** True for a bad answer. */
  answer({failures, slow}: Rates): boolean {
    const fails = this.random.fraction() < failures;
    const isSlow = this.random.fraction() < slow;
    const bucket = isSlow ? 6 : 2;
    this.answers += 1;
    this.failures += Number(fails);
    this.times[bucket] = (this.times[bucket] ?? 0) + 1;
    return fails || isSlow;
  }

  get tally(): VersionTally {
    const {answers, failures, route, times, version} = this;
    return {answers, failures, route, times: [...times], version};
  }
}

interface Outcome {
  readonly isBad: boolean;
  /** Bad answers of the new version until then. */
  readonly badAnswers: number;
}

function simulate(scenario: Scenario, seed: number): Outcome {
  const {badFrom = 0, routePart = 1, stable, target} = scenario;
  const {shiftSteps = 0, stablePerStep, steps, targetPerStep} = scenario;
  const random = new Random(seed);
  const comparison = new VersionComparison('v1', 'v2');
  const routes = ['own', 'other'];
  const [stables, targets] = ['v1', 'v2'].map((version) =>
    routes.map((route) => new Counter(route, version, random)),
  );
  let badAnswers = 0;
  for (let step = 0; step < steps + shiftSteps; step += 1) {
    const isShifted = step >= steps;
    const stableAnswers = isShifted ? 0 : stablePerStep;
    const targetAnswers = isShifted ? stablePerStep : targetPerStep;
    for (let at = 0; at < stableAnswers; at += 1) {
      const route = random.fraction() < routePart ? 0 : 1;
      stables?.[route]?.answer(stable);
    }
    for (let at = 0; at < targetAnswers; at += 1) {
      const route = random.fraction() < routePart ? 0 : 1;
      const rates = step < badFrom || route === 1 ? stable : target;
      badAnswers += Number(targets?.[route]?.answer(rates) ?? false);
    }
    const counters = [...(stables ?? []), ...(targets ?? [])];
    comparison.take(counters.map(({tally}) => tally));
    if (comparison.cause !== undefined) {
      return {badAnswers, isBad: true};
    }
  }
  return {badAnswers, isBad: false};
}

/** In how many of the seeds the version is taken for bad. */
function badIn(scenario: Scenario): number {
  let found = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    found += Number(simulate(scenario, seed).isBad);
  }
  return found;
}

function badAnswersIn(scenario: Scenario): number[] {
  return Array.from(
    {length: SEEDS},
    (_, at) => simulate(scenario, at + 1).badAnswers,
  );
}

describe('The comparison of two versions', () => {
  test.each<[string, Partial<Scenario>]>([
    ['as good as the stable one', {target: USUAL}],
    ['with 2 in 100 failures', {target: {failures: 0.02, slow: 0.02}}],
    [
      'as bad as a stable one with 15 in 100 failures',
      {
        stable: {failures: 0.15, slow: 0.1},
        target: {failures: 0.15, slow: 0.1},
      },
    ],
    [
      'as bad as a stable one with 40 in 100 failures',
      {
        stable: {failures: 0.4, slow: 0.3},
        target: {failures: 0.4, slow: 0.3},
      },
    ],
  ])('takes a version %s for bad in 2 of 200 at most', (_, fields) => {
    const scenario = {
      ...TRIAL,
      shiftSteps: 15,
      stable: USUAL,
      target: USUAL,
      ...fields,
    };
    expect(badIn(scenario)).toBeLessThanOrEqual(2);
  });

  test.each<[string, Partial<Scenario>]>([
    ['20 in 100 failures', {target: {failures: 0.2, slow: 0.01}}],
    ['40 in 100 failures', {target: {failures: 0.4, slow: 0.01}}],
    ['all failing', {target: {failures: 1, slow: 0}}],
    ['half of it slow', {target: {failures: 0.005, slow: 0.5}}],
    ['all of it slow', {target: {failures: 0.005, slow: 1}}],
    [
      '40 in 100 failures from the middle of the trial on',
      {badFrom: 35, target: {failures: 0.4, slow: 0.01}},
    ],
    [
      '60 in 100 failures on a route with a fifth of the requests',
      {routePart: 0.2, target: {failures: 0.6, slow: 0.01}},
    ],
  ])('finds a version with %s in 196 of 200 at least', (_, fields) => {
    const scenario = {...TRIAL, stable: USUAL, target: USUAL, ...fields};
    expect(badIn(scenario)).toBeGreaterThanOrEqual(196);
  });

  test.each([0.2, 0.4, 0.7, 1])(
    'finds a failure rate of %d before the 50th bad answer',
    (failures) => {
      const target = {failures, slow: 0.01};
      const scenario = {...TRIAL, stable: USUAL, steps: 200, target};
      expect(Math.max(...badAnswersIn(scenario))).toBeLessThan(50);
    },
  );

  test('does not take one burst of failures for a bad version', () => {
    const comparison = new VersionComparison('v1', 'v2');
    const random = new Random(9);
    const stable = new Counter('r', 'v1', random);
    const target = new Counter('r', 'v2', random);
    for (let step = 0; step < 40; step += 1) {
      for (let at = 0; at < 20; at += 1) {
        stable.answer(USUAL);
        target.answer(step === 20 ? {failures: 0.8, slow: 0} : USUAL);
      }
      comparison.take([stable.tally, target.tally]);
      expect(comparison.cause).toBeUndefined();
    }
  });
});
