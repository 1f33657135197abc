/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The entries of the log that are held in memory. */
import {Encoder} from 'cbor-x';
import {invariant} from 'shared';

import type {Entry, Members} from './LogMessages';

const encoder = new Encoder({useRecords: false});
const sizeCache = new WeakMap<Entry, number>();

/** Returns the encoded size of an entry in bytes; cached. */
function encodedSize(entry: Entry): number {
  const cachedSize = sizeCache.get(entry);
  if (cachedSize !== undefined) {
    return cachedSize;
  }
  const {length} = encoder.encode(entry);
  sizeCache.set(entry, length);
  return length;
}

/** The log entries that follow the compacted part of the log. */
export class EntryList {
  private entries: Entry[] = [];

  constructor(
    private baseIndex: number,
    private baseTerm: number,
    entries: readonly Entry[] = [],
  ) {
    this.entries = [...entries];
  }

  /** The last index removed by compaction, or 0. */
  get compactedIndex(): number {
    return this.baseIndex;
  }

  /** The index of the last entry, also if that entry was compacted. */
  get lastIndex(): number {
    return this.baseIndex + this.entries.length;
  }

  /** The term of the last entry, also if that entry was compacted. */
  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.baseTerm;
  }

  /** The term at an index, or undefined if it is not known. */
  termAt(index: number): number | undefined {
    return index === this.baseIndex
      ? this.baseTerm
      : this.entries[index - this.baseIndex - 1]?.term;
  }

  /** The entry at an index, or undefined if it is not in the list. */
  entryAt(index: number): Entry | undefined {
    return this.entries[index - this.baseIndex - 1];
  }

  /** Returns up to `limit` entries, starting at `index`. */
  entriesFrom(index: number, limit = Infinity): Entry[] {
    const start = Math.max(0, index - this.baseIndex - 1);
    return this.entries.slice(start, start + limit);
  }

  /**
   * Returns entries starting at `index`, at most `limit` and at most `maxBytes`
   * in total. A first entry larger than `maxBytes` is returned alone.
   */
  batchFrom(index: number, limit: number, maxBytes: number): Entry[] {
    const batch: Entry[] = [];
    let bytes = 0;
    for (const entry of this.entriesFrom(index, limit)) {
      bytes += encodedSize(entry);
      if (bytes > maxBytes && batch.length > 0) {
        break;
      }
      batch.push(entry);
    }
    return batch;
  }

  /**
   * The index after which a leader should continue if its entry at `index` does
   * not match: the last index of a shorter log, otherwise the index before the
   * first entry of the conflicting term.
   */
  indexBeforeConflict(index: number): number {
    if (index > this.lastIndex) {
      return this.lastIndex;
    }
    const conflictingTerm = this.termAt(index);
    let candidateIndex = index - 1;
    while (
      candidateIndex > this.baseIndex &&
      this.termAt(candidateIndex) === conflictingTerm
    ) {
      candidateIndex -= 1;
    }
    return Math.max(this.baseIndex, candidateIndex);
  }

  /** Appends an entry. */
  push(entry: Entry): void {
    invariant(
      entry.index === this.lastIndex + 1,
      'entry index does not follow the last index of the log',
    );
    this.entries.push(entry);
  }

  /** Removes all entries from `index` on. */
  truncateFrom(index: number): void {
    this.entries.length = Math.max(0, index - this.baseIndex - 1);
  }

  /** Removes all entries up to and including `index`. */
  compactThrough(index: number): void {
    const term = this.termAt(index);
    invariant(term !== undefined, 'compaction index is not in the log');
    this.entries = this.entries.slice(index - this.baseIndex);
    this.baseIndex = index;
    this.baseTerm = term;
  }

  /** Removes all entries; the next entry follows `index`. */
  reset(index: number, term: number): void {
    this.entries = [];
    this.baseIndex = index;
    this.baseTerm = term;
  }

  /** The latest member list among the entries, with its index. */
  latestMembers(): {index: number; members: Members} | undefined {
    const entry = this.entries.findLast((item) => item.body.kind === 'members');
    return entry?.body.kind === 'members'
      ? {index: entry.index, members: entry.body.members}
      : undefined;
  }
}
