/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against an age of the received state that looks lower than it is. */
import {ManualClock} from 'shared';

import type {WatchReply} from '../../index';
import {StateFreshness, VERSION_LEASE_MS} from '../../index';

const HELD = {configurationVersion: 1, versionsRevision: 3};

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
    freshness.recordReply(reply, sentAt, HELD);
    // 300 ms on the way, in an unknown direction.
    expect(freshness.ageMs).toBe(450);
    await clock.advance(100);
    expect(freshness.ageMs).toBe(550);
  });

  test('does not count a version that is held elsewhere and not here', async () => {
    const clock = new ManualClock();
    const freshness = new StateFreshness(clock);
    const reply = replyWith({heldMs: 0, heldVersion: 2, stateAgeMs: 0});
    freshness.recordReply(reply, clock.now(), HELD);
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
      HELD,
    );
    freshness.recordReply(replyWith({heldMs: 0, stateAgeMs: 0}), sentAt, HELD);
    expect(freshness.ageMs).toBe(0);
  });

  test('does not count the registered versions of a reply that withholds newer ones', async () => {
    const clock = new ManualClock();
    const freshness = new StateFreshness(clock);
    const reply = replyWith({heldMs: 0, stateAgeMs: 0});
    freshness.recordReply(reply, clock.now(), HELD);
    expect(freshness.versionsAgeMs).toBe(Infinity);
    freshness.recordReply({...reply, versionsRevision: 3}, clock.now(), HELD);
    await clock.advance(100);
    freshness.recordReply({...reply, versionsRevision: 4}, clock.now(), HELD);
    expect(freshness.upstreamsAgeMs).toBe(0);
    expect(freshness.versionsAgeMs).toBe(100);
  });

  test('does not count replies to requests from before a suspension', async () => {
    const clock = new ManualClock();
    const freshness = new StateFreshness(clock);
    const sentAt = clock.now();
    await clock.advance(10);
    freshness.invalidate();
    const reply = replyWith({heldMs: 0, stateAgeMs: 0, versionsRevision: 3});
    freshness.recordReply(reply, sentAt, HELD);
    expect(freshness.ageMs).toBe(Infinity);
    expect(freshness.versionsAgeMs).toBe(Infinity);
    freshness.recordReply(reply, clock.now(), HELD);
    expect(freshness.versionsAgeMs).toBe(0);
  });

  test('takes a reply without an age for recent only if its sender knows a leader', () => {
    const clock = new ManualClock();
    const freshness = new StateFreshness(clock);
    freshness.recordReply(replyWith({leader: undefined}), clock.now(), HELD);
    expect(freshness.ageMs).toBe(Infinity);
    freshness.recordReply(replyWith({}), clock.now(), HELD);
    expect(freshness.ageMs).toBe(0);
  });

  test('counts the lease on the list of versions from the end of the last gap', async () => {
    const clock = new ManualClock();
    const freshness = new StateFreshness(clock);
    const confirm = () => {
      const reply = replyWith({heldMs: 0, stateAgeMs: 0, versionsRevision: 3});
      freshness.recordReply(reply, clock.now(), HELD);
    };
    expect(freshness.versionLeaseMs).toBe(0);
    confirm();
    await clock.advance(VERSION_LEASE_MS - 1);
    confirm();
    await clock.advance(1_000);
    expect(freshness.versionLeaseMs).toBe(VERSION_LEASE_MS + 999);
    await clock.advance(VERSION_LEASE_MS);
    expect(freshness.versionLeaseMs).toBe(0);
    confirm();
    expect(freshness.versionLeaseMs).toBe(0);
    await clock.advance(100);
    expect(freshness.versionLeaseMs).toBe(100);
    freshness.invalidate();
    confirm();
    expect(freshness.versionLeaseMs).toBe(0);
  });
});
