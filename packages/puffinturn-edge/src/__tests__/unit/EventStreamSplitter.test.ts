/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against lost bytes and against resuming a stream after an incomplete event. */
import {jest} from '@jest/globals';
import fc from 'fast-check';

import {EventStreamSplitter} from '../../index';

function eventText(id: number, size: number): string {
  return `id: ${id}\ndata: ${'x'.repeat(size)}\n\n`;
}

describe('EventStreamSplitter', () => {
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
          const splitter = new EventStreamSplitter();
          const batches: Buffer[] = [];
          let events = 0;
          let at = 0;
          const lengths = [...cuts, bytes.length];
          for (const length of lengths) {
            const batch = splitter.push(bytes.subarray(at, at + length));
            at += length;
            batches.push(Buffer.from(batch.bytes));
            events += batch.eventCount;
            const outputSoFar = Buffer.concat(batches).toString();
            expect(outputSoFar === '' || outputSoFar.endsWith('\n\n')).toBe(
              true,
            );
          }
          const output = Buffer.concat([...batches, splitter.takeRemainder()]);
          expect(output.toString()).toBe(text);
          expect(events).toBe(sizes.length);
          const last = sizes.length === 0 ? undefined : String(sizes.length);
          expect(splitter.lastEventId).toBe(last);
        },
      ),
      {seed: 5},
    );
  });

  test('does not report the ID of an incomplete event', () => {
    const splitter = new EventStreamSplitter();
    splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata'));
    expect(splitter.lastEventId).toBe('1');
  });

  // Guards against one upstream that keeps an edge for seconds: each chunk had all that was
  // held of an event copied and searched again.
  test.each([
    ['an event without end', 'data'],
    ['an event of very many lines', ':\n'],
    ['an event with a long ID', 'id: x'],
  ])('copies each byte a few times at most: %s', (_, piece) => {
    const splitter = new EventStreamSplitter();
    const concat = jest.spyOn(Buffer, 'concat');
    const copy = jest.spyOn(Buffer.prototype, 'copy');
    const search = jest.spyOn(Buffer.prototype, 'indexOf');
    const pieces = Buffer.from(piece.repeat(4_096));
    for (let at = 0; at < pieces.length; at += 1) {
      splitter.push(pieces.subarray(at, at + 1));
    }
    const joined = concat.mock.results.map(({value}) => value as Buffer);
    const copied = copy.mock.contexts as Buffer[];
    const searched = search.mock.contexts as unknown as Buffer[];
    const touched = [...joined, ...copied, ...searched];
    const bytes = touched.reduce((sum, {length}) => sum + length, 0);
    jest.restoreAllMocks();
    expect(bytes).toBeLessThan(8 * pieces.length);
    expect(splitter.heldBytes).toBe(pieces.length);
  });

  test('accepts CRLF line endings', () => {
    const splitter = new EventStreamSplitter();
    expect(
      splitter.push(Buffer.from('id: 1\r\ndata: a\r\n\r\n')).eventCount,
    ).toBe(1);
    expect(splitter.lastEventId).toBe('1');
  });
});
