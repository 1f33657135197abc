/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against waiters that leak and sleeps that do not return early. */
import {Condition, ManualClock, sleepUnlessNotified} from '../../index';

describe('sleepUnlessNotified', () => {
  const neverAborted = new AbortController().signal;

  test('removes its waiter when the time has elapsed', async () => {
    const clock = new ManualClock();
    const condition = new Condition();
    for (let turn = 0; turn < 5; turn += 1) {
      const slept = sleepUnlessNotified(clock, condition, 10, neverAborted);
      await clock.advance(10);
      await slept;
    }
    expect(condition.waiterCount).toBe(0);
  });

  test('returns on notification and on abort', async () => {
    const clock = new ManualClock();
    const condition = new Condition();
    const abort = new AbortController();
    const first = sleepUnlessNotified(clock, condition, 1_000, neverAborted);
    condition.notify();
    await first;
    const second = sleepUnlessNotified(clock, condition, 1_000, abort.signal);
    abort.abort();
    await second;
    expect(clock.now()).toBe(0);
    expect(condition.waiterCount).toBe(0);
  });
});
