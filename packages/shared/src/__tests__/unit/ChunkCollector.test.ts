/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against bodies that cost far more memory than their length. */
import fc from 'fast-check';

import {ChunkCollector} from '../../ChunkCollector';

describe('ChunkCollector', () => {
  test('returns all bytes in order, however they are cut', () => {
    const sizes = fc.array(fc.integer({max: 5_000, min: 0}), {maxLength: 60});
    fc.assert(
      fc.property(sizes, (lengths) => {
        const collector = new ChunkCollector();
        const chunks = lengths.map((length, index) =>
          Buffer.alloc(length, index),
        );
        chunks.forEach((chunk) => collector.append(chunk));
        expect(collector.take()).toEqual(Buffer.concat(chunks));
        expect(collector.memoryBytes).toBe(0);
      }),
      {seed: 1},
    );
  });

  test.each([1, 2, 100, 1_000, 1_024, 65_536])(
    'takes less than three times the bytes of chunks of %d bytes',
    (length) => {
      const collector = new ChunkCollector();
      const count = Math.ceil(200_000 / length);
      for (let index = 0; index < count; index += 1) {
        collector.append(Buffer.alloc(length));
      }
      expect(collector.memoryBytes).toBeLessThan(3 * count * length);
      expect(collector.take()).toHaveLength(count * length);
    },
  );
});
