/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against frames that are split wrongly and against malformed input. */
import fc from 'fast-check';

import {encodeFrame, FrameReader} from '../../index';

function splitBytes(bytes: Buffer, chunkSizes: readonly number[]): Buffer[] {
  const chunks: Buffer[] = [];
  let offset = 0;
  for (const size of chunkSizes) {
    chunks.push(bytes.subarray(offset, offset + size));
    offset += size;
  }
  return [...chunks, bytes.subarray(offset)];
}

describe('frames', () => {
  test('decode to the encoded values for any chunk boundaries', () => {
    fc.assert(
      fc.property(
        fc.array(fc.jsonValue(), {maxLength: 8}),
        fc.array(fc.nat(20)),
        (values, sizes) => {
          const frames = values.map((value) =>
            encodeFrame(value)._unsafeUnwrap(),
          );
          const reader = new FrameReader();
          const read = splitBytes(Buffer.concat(frames), sizes).flatMap(
            (part) => reader.push(part)._unsafeUnwrap(),
          );
          expect(JSON.stringify(read)).toBe(JSON.stringify(values));
        },
      ),
      {seed: 1},
    );
  });

  test('decode arbitrary bytes to values or a typed failure without throwing', () => {
    fc.assert(
      fc.property(fc.uint8Array({maxLength: 200}), (bytes) => {
        const result = new FrameReader().push(Buffer.from(bytes));
        expect(result.isOk() || result.error.kind === 'bad-frame').toBe(true);
      }),
      {seed: 2},
    );
  });

  test('rejects an oversized frame when only its length was received', () => {
    const head = Buffer.from([0x7f, 0xff, 0xff, 0xff]);
    expect(new FrameReader().push(head).isErr()).toBe(true);
  });
});
