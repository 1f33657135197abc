/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {ManualClock, Random} from 'shared';

import type {AnswerOutcome} from '../../rollouts/ExposureAccount';
import {
  EXPOSURE_STOP_CAUSE,
  ExposureTracker,
} from '../../rollouts/ExposureAccount';

const ORDER = {
  durationMs: 12_000,
  number: 3,
  state: 'exposing',
  targetVersion: 'v2',
} as const;

const SHOWN = {openAtFormer: 0, shifted: false};

function start(seed = 1) {
  const clock = new ManualClock();
  const account = new ExposureTracker('s', ORDER, clock, new Random(seed));
  const answer = (fields: Partial<AnswerOutcome> = {}) =>
    account.recordAnswer({
      failed: false,
      latencyRatio: 1,
      route: 'r',
      version: 'v2',
      ...fields,
    });
  /** Requests that come, of which those that are drawn are sent. */
  const serve = async (seconds: number, routes: Record<string, number>) => {
    const drawn = new Map<string, number>();
    const all = Object.entries(routes).flatMap(([route, aSecond]) =>
      Array.from({length: aSecond * seconds}, (_, at) => ({
        at: ((at + 0.5) * 1_000) / aSecond,
        route,
      })),
    );
    all.sort((a, b) => a.at - b.at);
    const began = clock.now();
    for (const {at, route} of all) {
      await clock.advance(Math.max(0, began + at - clock.now()));
      if (account.tryExpose(route)) {
        account.recordTargetRequest();
        drawn.set(route, (drawn.get(route) ?? 0) + 1);
      } else {
        account.recordOtherRequest();
      }
    }
    return drawn;
  };
  return {account, answer, clock, serve};
}

describe('ExposureAccount', () => {
  test('exposes nothing without a grant', async () => {
    const {account, serve} = start();
    await serve(3, {r: 50});
    expect(account.exposedCount).toBe(0);
    expect(account.report(SHOWN)).toMatchObject({exposed: 0, requests: 150});
  });

  test('uses what it was granted and no more, though no further grant comes', async () => {
    const {account, serve} = start();
    account.applyGrant(7);
    await serve(10, {r: 50});
    expect(account.exposedCount).toBe(7);
    await serve(10, {r: 50});
    expect(account.exposedCount).toBe(7);
  });

  test('grants never shrink, and doubled ones count once', () => {
    const {account} = start();
    account.applyGrant(5);
    account.applyGrant(3);
    account.applyGrant(5);
    expect(account.remaining).toBe(5);
    expect(account.report(SHOWN).granted).toBe(5);
  });

  test('spreads what it was granted over the requests to come', async () => {
    const {account, serve} = start();
    await serve(1, {r: 100});
    account.applyGrant(10);
    await serve(0.1, {r: 100});
    expect(account.exposedCount).toBeLessThanOrEqual(4);
    await serve(2, {r: 100});
    expect(account.exposedCount).toBeGreaterThanOrEqual(8);
  });

  test.each([1, 2, 3])(
    'exposes every route, rare ones relatively more often (%i)',
    async (seed) => {
      const {account, serve} = start(seed);
      const rates = {frequent: 190, rare: 4, usual: 60};
      const totals: Record<string, number> = {};
      for (let second = 0; second < 10; second += 1) {
        account.applyGrant((second + 1) * 25);
        for (const [route, count] of await serve(1, rates)) {
          totals[route] = (totals[route] ?? 0) + count;
        }
      }
      const partOf = (route: keyof typeof rates) =>
        (totals[route] ?? 0) / (10 * rates[route]);
      expect(partOf('rare')).toBeGreaterThan(2 * partOf('frequent'));
      expect(partOf('usual')).toBeGreaterThan(partOf('frequent'));
      expect(account.exposedCount).toBeGreaterThan(200);
      expect(account.exposedCount).toBeLessThanOrEqual(250);
    },
  );

  test('counts answers by route and version, in buckets of time', () => {
    const {account, answer} = start();
    answer({latencyRatio: 0.4});
    answer({latencyRatio: 0.7});
    answer({latencyRatio: 9});
    answer({failed: true, latencyRatio: undefined});
    answer({latencyRatio: undefined, route: 'q', version: 'v1'});
    const {tallies} = account.report(SHOWN);
    expect(tallies).toEqual([
      {
        answers: 4,
        failures: 1,
        route: 'r',
        times: [1, 1, 0, 0, 0, 0, 0, 0, 1],
        version: 'v2',
      },
      {
        answers: 1,
        failures: 0,
        route: 'q',
        times: [0, 0, 0, 0, 0, 0, 0, 0, 0],
        version: 'v1',
      },
    ]);
  });

  test.each([
    ['failures', {failed: true, ratio: undefined}],
    ['answers that take far too long', {latencyRatio: 6}],
  ])('stops by itself after a run of %s', (_, bad) => {
    const {account, answer} = start();
    account.applyGrant(100);
    const stops = [1, 2, 3, 4, 5, 6].map(() => answer(bad));
    expect(stops).toEqual([false, false, false, false, false, true]);
    expect(account.remaining).toBe(0);
    expect(account.lastStopCause).toBe(
      EXPOSURE_STOP_CAUSE.consecutiveBadAnswers,
    );
  });

  test('stops where far more answers are bad than the stable version has', () => {
    const {account, answer} = start();
    account.applyGrant(100);
    for (let count = 0; count < 30 && account.remaining > 0; count += 1) {
      answer({failed: count % 2 === 0});
    }
    expect(account.lastStopCause).toBe(EXPOSURE_STOP_CAUSE.badAnswerRatio);
  });

  test('goes on where the stable version answers alike', () => {
    const {account, answer} = start();
    account.applyGrant(100);
    for (let count = 0; count < 60; count += 1) {
      answer({failed: count % 2 === 0, version: 'v1'});
      answer({failed: count % 2 === 0});
    }
    expect(account.lastStopCause).toBeUndefined();
  });

  test('goes on while a few answers of a good version fail', () => {
    const {account, answer} = start();
    account.applyGrant(1_000);
    const random = new Random(4);
    for (let count = 0; count < 1_000; count += 1) {
      answer({
        failed: random.fraction() < 0.05,
        latencyRatio: 1 + random.fraction(),
      });
    }
    expect(account.lastStopCause).toBeUndefined();
  });

  test('tries again after a while, and for longer and longer stops', async () => {
    const {account, answer, clock} = start();
    account.applyGrant(100);
    const failSix = () => {
      for (let count = 0; count < 6; count += 1) {
        answer({failed: true});
      }
    };
    failSix();
    await clock.advance(2_001);
    expect(account.remaining).toBe(100);
    failSix();
    await clock.advance(2_001);
    expect(account.remaining).toBe(0);
    await clock.advance(2_001);
    expect(account.remaining).toBe(100);
  });
});
