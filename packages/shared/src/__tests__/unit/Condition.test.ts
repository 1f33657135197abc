/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {Condition, ManualClock, sleepUnlessNotified} from '../../index';

describe('A task that sleeps unless notified', () => {
  const never = new AbortController().signal;

  test('is forgotten by the condition once its time is over', async () => {
    const clock = new ManualClock();
    const condition = new Condition();
    for (let turn = 0; turn < 5; turn += 1) {
      const slept = sleepUnlessNotified(clock, condition, 10, never);
      await clock.advance(10);
      await slept;
    }
    expect(condition.waiting).toBe(0);
  });

  test('wakes at a notification, and at the end of its task', async () => {
    const clock = new ManualClock();
    const condition = new Condition();
    const ended = new AbortController();
    const first = sleepUnlessNotified(clock, condition, 1_000, never);
    condition.notify();
    await first;
    const second = sleepUnlessNotified(clock, condition, 1_000, ended.signal);
    ended.abort();
    await second;
    expect(clock.now()).toBe(0);
    expect(condition.waiting).toBe(0);
  });
});
