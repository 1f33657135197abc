/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against polls and renewals whose times add up to more than a change may take. */
import {WatchTiming} from '../../index';

/** Interval between confirmations of a control box, their round trips and the poll pause, ms. */
const CONFIRMATION_MS = 300;

describe('WatchTiming', () => {
  test.each([2_000, 2_500, 3_000])(
    'keeps the sum of all steps below a bound of %d ms',
    (boundMs) => {
      const timing = new WatchTiming(boundMs);
      const replyMs = boundMs / 4;
      expect(
        timing.renewalAgeMs + timing.renewalIntervalMs + replyMs,
      ).toBeLessThanOrEqual(boundMs);
      expect(timing.lateRenewalAgeMs + timing.maxCatchUpMs).toBeLessThanOrEqual(
        boundMs,
      );
      expect(timing.longPollMs + CONFIRMATION_MS).toBeLessThan(
        timing.renewalAgeMs,
      );
    },
  );

  test('waits longer for replies after polls that failed, four times as long at most', () => {
    const timing = new WatchTiming();
    const timeouts = [0, 1, 2, 9].map((failed) =>
      timing.pollTimeoutMs(500, failed),
    );
    expect(timeouts).toEqual([1_000, 2_000, 4_000, 4_000]);
    expect(timing.pollTimeoutMs(0, 0)).toBe(900);
  });
});
