/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against events out of causal order, and against wrong merging or filtering. */
import fc from 'fast-check';
import {ManualClock} from 'shared';

import {
  compareTimestamps,
  EVENT_KIND,
  formatEvent,
  HybridLogicalClock,
  mergeTimelines,
  Timeline,
  toChromeTrace,
} from '../../index';

describe('HybridLogicalClock', () => {
  test('a message has a send timestamp before its receive timestamp despite clock skew', () => {
    const messageLists = fc.array(fc.tuple(fc.nat(2), fc.nat(2), fc.nat(5)));
    fc.assert(
      fc.property(messageLists, (messages) => {
        // The wall clocks of the three processes differ by up to 50 s.
        const clocks = [0, 50_000, 1_000].map(
          (epoch) => new HybridLogicalClock(new ManualClock(epoch)),
        );
        for (const [from, to] of messages) {
          const sentAt = clocks[from]?.tick() ?? {count: 0, wall: 0};
          clocks[to]?.observe(sentAt);
          const receivedAt = clocks[to]?.tick() ?? sentAt;
          expect(compareTimestamps(sentAt, receivedAt)).toBeLessThan(0);
        }
      }),
      {seed: 1},
    );
  });
});

describe('Timeline', () => {
  test('keeps the newest events in order when the ring buffer is full', () => {
    const timeline = new Timeline('a', new ManualClock(), 3);
    for (const detail of ['1', '2', '3', '4', '5']) {
      timeline.note(EVENT_KIND.admitted, {detail});
    }
    expect(timeline.events().map(({detail}) => detail)).toEqual([
      '3',
      '4',
      '5',
    ]);
  });

  test('merges, filters, formats and exports the events of several boxes', () => {
    const clock = new ManualClock(1_000);
    const [a, b] = ['a', 'b'].map((box) => new Timeline(box, clock));
    a?.note(EVENT_KIND.admitted, {budget: 'x', request: 'r'});
    b?.clock.observe(a?.clock.tick() ?? {count: 0, wall: 0});
    b?.note(EVENT_KIND.settled, {request: 'r'});
    b?.note(EVENT_KIND.settled, {request: 'other'});
    const timelines = [b?.events() ?? [], a?.events() ?? []];
    const merged = mergeTimelines(timelines, {request: 'r'});
    expect(merged.map(({box}) => box)).toEqual(['a', 'b']);
    expect(mergeTimelines(timelines, {box: 'b'})).toHaveLength(2);
    expect(mergeTimelines(timelines, {since: 1_001})).toHaveLength(0);
    expect(formatEvent(merged[0] as never)).toContain('budget=x');
    expect(toChromeTrace(merged).traceEvents).toHaveLength(4);
  });
});
