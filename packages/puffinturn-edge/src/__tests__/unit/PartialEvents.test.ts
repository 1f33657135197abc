/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against streams that together hold more memory than an edge has. */
import {PartialEvents} from '../../callers/PartialEvents';

const KIB = 1_024;

describe('PartialEvents', () => {
  test('limits one event', () => {
    const events = new PartialEvents();
    expect(events.isTooLong(256 * KIB, 1)).toBe(false);
    expect(events.isTooLong(256 * KIB + 1, 1)).toBe(true);
  });

  // Guards against callers that wait for seconds while an edge reads an event without end in
  // chunks of a byte, of which it bounded the bytes alone.
  test('limits the pieces of one event', () => {
    const events = new PartialEvents();
    expect(events.isTooLong(16 * KIB, 16 * KIB)).toBe(false);
    expect(events.isTooLong(16 * KIB + 1, 16 * KIB + 1)).toBe(true);
  });

  test('limits long events while all streams together hold too much', () => {
    const events = new PartialEvents();
    for (let count = 0; count < 160; count += 1) {
      events.recordSize(0, 100 * KIB);
    }
    expect(events.isTooLong(100 * KIB, 1)).toBe(false);
    for (let count = 0; count < 10; count += 1) {
      events.recordSize(0, 100 * KIB);
    }
    expect(events.isTooLong(100 * KIB, 1)).toBe(true);
    expect(events.isTooLong(16 * KIB, 1)).toBe(false);
    events.recordSize(100 * KIB * 10, 0);
    expect(events.isTooLong(100 * KIB, 1)).toBe(false);
    expect(events.totalBytes).toBe(160 * 100 * KIB);
  });
});
