/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against oversized append requests and slow repair of a diverged log. */
import {EntryList} from '../../EntryList';
import type {Entry} from '../../LogMessages';

function entriesOfTerms(terms: readonly number[], size = 1): Entry[] {
  return terms.map((term, position) => ({
    body: {kind: 'record', record: 'x'.repeat(size)},
    index: position + 1,
    term,
  }));
}

describe('EntryList', () => {
  test('limits a batch by bytes but returns at least one entry', () => {
    const list = new EntryList(0, 0, entriesOfTerms([1, 1, 1, 1], 1_000));
    expect(list.batchFrom(1, 10, 2_500)).toHaveLength(2);
    expect(list.batchFrom(1, 10, 10)).toHaveLength(1);
    expect(list.batchFrom(1, 3, 1_000_000)).toHaveLength(3);
    expect(list.batchFrom(5, 3, 1_000_000)).toHaveLength(0);
  });

  test('returns the index before a conflict or the end of a shorter log', () => {
    const list = new EntryList(0, 0, entriesOfTerms([1, 1, 2, 2, 2]));
    expect(list.indexBeforeConflict(9)).toBe(5);
    expect(list.indexBeforeConflict(5)).toBe(2);
    expect(list.indexBeforeConflict(2)).toBe(0);
  });
});
