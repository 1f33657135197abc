/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against an age of the received state that looks lower than it is. */
import {ManualClock} from 'shared';

import type {WatchReply} from '../../index';
import {StateFreshness} from '../../index';

function replyWith(fields: Partial<WatchReply>): WatchReply {
  return {
    boxes: undefined,
    boxesRevision: 0,
    configuration: undefined,
    configurationChange: undefined,
    current: false,
    evacuations: undefined,
    heldVersion: 1,
    incarnation: '1',
    leader: 'c1:1',
    upstreams: [],
    upstreamsRevision: 0,
    ...fields,
  };
}

describe('StateFreshness', () => {
  test('counts the age at the control box and the way of the reply', async () => {
    const clock = new ManualClock();
    const freshness = new StateFreshness(clock);
    expect(freshness.ageMs).toBe(Infinity);
    const sentAt = clock.now();
    await clock.advance(1_200);
    const reply = replyWith({heldMs: 900, stateAgeMs: 150});
    freshness.recordReply(reply, sentAt, 1);
    // 300 ms on the way, in an unknown direction.
    expect(freshness.ageMs).toBe(450);
    await clock.advance(100);
    expect(freshness.ageMs).toBe(550);
  });

  test('does not count a version that is held elsewhere and not here', async () => {
    const clock = new ManualClock();
    const freshness = new StateFreshness(clock);
    const reply = replyWith({heldMs: 0, heldVersion: 2, stateAgeMs: 0});
    freshness.recordReply(reply, clock.now(), 1);
    expect(freshness.upstreamsAgeMs).toBe(0);
    expect(freshness.configurationAgeMs).toBe(Infinity);
  });

  test('does not go back with a reply that took longer', async () => {
    const clock = new ManualClock();
    const freshness = new StateFreshness(clock);
    const sentAt = clock.now();
    await clock.advance(1_000);
    freshness.recordReply(
      replyWith({heldMs: 0, stateAgeMs: 0}),
      clock.now(),
      1,
    );
    freshness.recordReply(replyWith({heldMs: 0, stateAgeMs: 0}), sentAt, 1);
    expect(freshness.ageMs).toBe(0);
  });

  test('takes a reply without an age for recent only if its sender knows a leader', () => {
    const clock = new ManualClock();
    const freshness = new StateFreshness(clock);
    freshness.recordReply(replyWith({leader: undefined}), clock.now(), 1);
    expect(freshness.ageMs).toBe(Infinity);
    freshness.recordReply(replyWith({}), clock.now(), 1);
    expect(freshness.ageMs).toBe(0);
  });
});
