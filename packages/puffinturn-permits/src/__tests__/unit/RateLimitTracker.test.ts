/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {ManualClock} from 'shared';

import {RateLimitTracker} from '../../RateLimitTracker';

/**
 * Guards against delayed responses and other boxes restoring an outdated rate limit, and
 * against a limit that is never lifted.
 */
describe('RateLimitTracker', () => {
  let clock: ManualClock;
  let tracker: RateLimitTracker;

  beforeEach(async () => {
    clock = new ManualClock();
    tracker = new RateLimitTracker(clock);
    await clock.advance(1_000);
  });

  test('keeps a limit until a response to a later request removes it', async () => {
    expect(tracker.recordLimit(2, 900)).toBe(true);
    expect(tracker.limit.perSecond).toBe(2);
    await clock.advance(100);
    expect(tracker.recordLimit(undefined, 999)).toBe(false);
    expect(tracker.limit.perSecond).toBe(2);
    expect(tracker.recordLimit(undefined, 1_001)).toBe(true);
    expect(tracker.limit.perSecond).toBeUndefined();
  });

  test('lowers a limit immediately but raises it only for later requests', () => {
    tracker.recordLimit(2, 900);
    expect(tracker.recordLimit(3, 950)).toBe(false);
    expect(tracker.recordLimit(1, 950)).toBe(true);
    expect(tracker.recordLimit(3, 1_001)).toBe(true);
    expect(tracker.limit.perSecond).toBe(3);
  });

  test('ignores delayed responses after the same limit is received again', async () => {
    tracker.recordLimit(2, 900);
    await clock.advance(100);
    expect(tracker.recordLimit(2, 1_050)).toBe(false);
    expect(tracker.recordLimit(undefined, 1_090)).toBe(false);
    expect(tracker.recordLimit(undefined, 1_101)).toBe(true);
  });

  test('merges limits from other boxes to the same result in any order', () => {
    const received = [
      {perSecond: 5, revision: 1},
      {perSecond: 2, revision: 2},
      {perSecond: undefined, revision: 2},
    ];
    for (const order of [received, [...received].reverse()]) {
      const merged = new RateLimitTracker(clock);
      order.forEach((limit) => merged.merge(limit));
      expect(merged.limit).toEqual({perSecond: 2, revision: 2});
    }
  });

  test('replaces the limit of the previous incarnation by any newer one', () => {
    const predecessor = new RateLimitTracker(clock);
    predecessor.merge({perSecond: 2, revision: 9});
    tracker.copyFrom(predecessor);
    expect(tracker.limit.perSecond).toBe(2);
    tracker.merge({perSecond: undefined, revision: 1});
    expect(tracker.limit.perSecond).toBeUndefined();
  });
});
