/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against lost bytes and against resuming a stream after an incomplete event. */
import fc from 'fast-check';

import {EventCutter} from '../../index';

function eventText(id: number, size: number): string {
  return `id: ${id}\ndata: ${'x'.repeat(size)}\n\n`;
}

describe('EventCutter', () => {
  test('preserves all bytes and splits only after complete events', () => {
    fc.assert(
      fc.property(
        fc.array(fc.nat(40), {maxLength: 20}),
        fc.array(fc.integer({max: 30, min: 1}), {maxLength: 60}),
        fc.nat(10),
        (sizes, cuts, tail) => {
          const text =
            sizes.map((size, at) => eventText(at + 1, size)).join('') +
            'id: 99'.slice(0, tail);
          const bytes = Buffer.from(text);
          const cutter = new EventCutter();
          const batches: Buffer[] = [];
          let events = 0;
          let at = 0;
          const lengths = [...cuts, bytes.length];
          for (const length of lengths) {
            const batch = cutter.push(bytes.subarray(at, at + length));
            at += length;
            batches.push(Buffer.from(batch.bytes));
            events += batch.events;
            const outputSoFar = Buffer.concat(batches).toString();
            expect(outputSoFar === '' || outputSoFar.endsWith('\n\n')).toBe(
              true,
            );
          }
          const output = Buffer.concat([...batches, cutter.takeRest()]);
          expect(output.toString()).toBe(text);
          expect(events).toBe(sizes.length);
          const last = sizes.length === 0 ? undefined : String(sizes.length);
          expect(cutter.lastId).toBe(last);
        },
      ),
      {seed: 5},
    );
  });

  test('does not report the ID of an incomplete event', () => {
    const cutter = new EventCutter();
    cutter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata'));
    expect(cutter.lastId).toBe('1');
  });

  test('accepts CRLF line endings', () => {
    const cutter = new EventCutter();
    expect(cutter.push(Buffer.from('id: 1\r\ndata: a\r\n\r\n')).events).toBe(1);
    expect(cutter.lastId).toBe('1');
  });
});
