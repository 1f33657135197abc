/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {ManualClock, Random} from 'shared';

import type {ObservedResponse} from '../../rollouts/ExposureTracker';
import {
  EXPOSURE_STOP_CAUSE,
  ExposureTracker,
} from '../../rollouts/ExposureTracker';

const ROLLOUT = {
  durationMs: 12_000,
  number: 3,
  state: 'exposing',
  targetVersion: 'v2',
} as const;

const UPSTREAM_STATE = {openAtFormer: 0, shifted: false};

function createTracker(seed = 1) {
  const clock = new ManualClock();
  const tracker = new ExposureTracker('s', ROLLOUT, clock, new Random(seed));
  const recordResponse = (fields: Partial<ObservedResponse> = {}) =>
    tracker.recordResponse({
      failed: false,
      latencyRatio: 1,
      route: 'r',
      version: 'v2',
      ...fields,
    });
  /** Simulates arrivals at the given rates per route; returns the exposed ones by route. */
  const serve = async (seconds: number, routes: Record<string, number>) => {
    const exposed = new Map<string, number>();
    const arrivals = Object.entries(routes).flatMap(
      ([route, requestsPerSecond]) =>
        Array.from({length: requestsPerSecond * seconds}, (_, at) => ({
          at: ((at + 0.5) * 1_000) / requestsPerSecond,
          route,
        })),
    );
    arrivals.sort((a, b) => a.at - b.at);
    const startedAt = clock.now();
    for (const {at, route} of arrivals) {
      await clock.advance(Math.max(0, startedAt + at - clock.now()));
      if (tracker.tryExpose(route)) {
        tracker.recordTargetRequest();
        exposed.set(route, (exposed.get(route) ?? 0) + 1);
      } else {
        tracker.recordOtherRequest();
      }
    }
    return exposed;
  };
  return {tracker, recordAnswer: recordResponse, clock, serve};
}

// Guards against exposing more requests than granted, and against sending further
// requests to a version that fails.
describe('ExposureTracker', () => {
  test('exposes no request without a grant', async () => {
    const {tracker, serve} = createTracker();
    await serve(3, {r: 50});
    expect(tracker.exposedCount).toBe(0);
    expect(tracker.report(UPSTREAM_STATE)).toMatchObject({
      exposed: 0,
      requests: 150,
    });
  });

  test('exposes exactly the granted number of requests', async () => {
    const {tracker, serve} = createTracker();
    tracker.applyGrant(7);
    await serve(10, {r: 50});
    expect(tracker.exposedCount).toBe(7);
    await serve(10, {r: 50});
    expect(tracker.exposedCount).toBe(7);
  });

  test('ignores smaller and repeated grants', () => {
    const {tracker} = createTracker();
    tracker.applyGrant(5);
    tracker.applyGrant(3);
    tracker.applyGrant(5);
    expect(tracker.remaining).toBe(5);
    expect(tracker.report(UPSTREAM_STATE).granted).toBe(5);
  });

  test('spreads a grant over the expected requests', async () => {
    const {tracker, serve} = createTracker();
    await serve(1, {r: 100});
    tracker.applyGrant(10);
    await serve(0.1, {r: 100});
    expect(tracker.exposedCount).toBeLessThanOrEqual(4);
    await serve(2, {r: 100});
    expect(tracker.exposedCount).toBeGreaterThanOrEqual(8);
  });

  test.each([1, 2, 3])(
    'exposes every route, rare routes at a higher rate (seed %i)',
    async (seed) => {
      const {tracker, serve} = createTracker(seed);
      const rates = {frequent: 190, rare: 4, usual: 60};
      const totals: Record<string, number> = {};
      for (let second = 0; second < 10; second += 1) {
        tracker.applyGrant((second + 1) * 25);
        for (const [route, count] of await serve(1, rates)) {
          totals[route] = (totals[route] ?? 0) + count;
        }
      }
      const exposureRatio = (route: keyof typeof rates) =>
        (totals[route] ?? 0) / (10 * rates[route]);
      expect(exposureRatio('rare')).toBeGreaterThan(
        2 * exposureRatio('frequent'),
      );
      expect(exposureRatio('usual')).toBeGreaterThan(exposureRatio('frequent'));
      expect(tracker.exposedCount).toBeGreaterThan(200);
      expect(tracker.exposedCount).toBeLessThanOrEqual(250);
    },
  );

  test('counts responses by route, version and latency bucket', () => {
    const {tracker, recordAnswer} = createTracker();
    recordAnswer({latencyRatio: 0.4});
    recordAnswer({latencyRatio: 0.7});
    recordAnswer({latencyRatio: 9});
    recordAnswer({failed: true, latencyRatio: undefined});
    recordAnswer({latencyRatio: undefined, route: 'q', version: 'v1'});
    const {tallies} = tracker.report(UPSTREAM_STATE);
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
    ['failures', {failed: true, latencyRatio: undefined}],
    ['slow responses', {latencyRatio: 6}],
  ])('stops after consecutive %s', (_, bad) => {
    const {tracker, recordAnswer} = createTracker();
    tracker.applyGrant(100);
    const stops = [1, 2, 3, 4, 5, 6].map(() => recordAnswer(bad));
    expect(stops).toEqual([false, false, false, false, false, true]);
    expect(tracker.remaining).toBe(0);
    expect(tracker.lastStopCause).toBe(
      EXPOSURE_STOP_CAUSE.consecutiveBadResponses,
    );
  });

  test('stops if the ratio of bad responses is far above that of the stable version', () => {
    const {tracker, recordAnswer} = createTracker();
    tracker.applyGrant(100);
    for (let count = 0; count < 30 && tracker.remaining > 0; count += 1) {
      recordAnswer({failed: count % 2 === 0});
    }
    expect(tracker.lastStopCause).toBe(EXPOSURE_STOP_CAUSE.badResponseRatio);
  });

  test('continues if the stable version fails at the same rate', () => {
    const {tracker, recordAnswer} = createTracker();
    tracker.applyGrant(100);
    for (let count = 0; count < 60; count += 1) {
      recordAnswer({failed: count % 2 === 0, version: 'v1'});
      recordAnswer({failed: count % 2 === 0});
    }
    expect(tracker.lastStopCause).toBeUndefined();
  });

  test('continues if only a few responses fail', () => {
    const {tracker, recordAnswer} = createTracker();
    tracker.applyGrant(1_000);
    const random = new Random(4);
    for (let count = 0; count < 1_000; count += 1) {
      recordAnswer({
        failed: random.fraction() < 0.05,
        latencyRatio: 1 + random.fraction(),
      });
    }
    expect(tracker.lastStopCause).toBeUndefined();
  });

  test('resumes after a stop and doubles the duration of each further stop', async () => {
    const {tracker, recordAnswer, clock} = createTracker();
    tracker.applyGrant(100);
    const recordSixFailures = () => {
      for (let count = 0; count < 6; count += 1) {
        recordAnswer({failed: true});
      }
    };
    recordSixFailures();
    await clock.advance(2_001);
    expect(tracker.remaining).toBe(100);
    recordSixFailures();
    await clock.advance(2_001);
    expect(tracker.remaining).toBe(0);
    await clock.advance(2_001);
    expect(tracker.remaining).toBe(100);
  });
});
