/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The part of the log that a replica holds in memory. */
import {Encoder} from 'cbor-x';
import {invariant} from 'shared';

import type {Entry, Members} from './LogMessages';

const encoder = new Encoder({useRecords: false});
const sizes = new WeakMap<Entry, number>();

/** The encoded size of an entry; worked out once. */
function bytesOf(entry: Entry): number {
  const known = sizes.get(entry);
  if (known !== undefined) {
    return known;
  }
  const {length} = encoder.encode(entry);
  sizes.set(entry, length);
  return length;
}

/** Entries after a base position that a snapshot covers. */
export class EntryList {
  private entries: Entry[] = [];

  constructor(
    private baseIndex: number,
    private baseTerm: number,
    entries: readonly Entry[] = [],
  ) {
    this.entries = [...entries];
  }

  /** The index before the first entry held. */
  get firstBase(): number {
    return this.baseIndex;
  }

  /** The index of the last entry. */
  get lastIndex(): number {
    return this.baseIndex + this.entries.length;
  }

  /** The term of the last entry. */
  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.baseTerm;
  }

  /** The term at an index, or undefined when it is not held. */
  termAt(index: number): number | undefined {
    return index === this.baseIndex
      ? this.baseTerm
      : this.entries[index - this.baseIndex - 1]?.term;
  }

  /** The entry at an index, or undefined when it is not held. */
  at(index: number): Entry | undefined {
    return this.entries[index - this.baseIndex - 1];
  }

  /** Up to `limit` entries from `index` on. */
  from(index: number, limit = Infinity): Entry[] {
    const start = Math.max(0, index - this.baseIndex - 1);
    return this.entries.slice(start, start + limit);
  }

  /** Entries from `index` on, up to a number and about so many bytes. */
  batchFrom(index: number, limit: number, maxBytes: number): Entry[] {
    const batch: Entry[] = [];
    let bytes = 0;
    for (const entry of this.from(index, limit)) {
      bytes += bytesOf(entry);
      if (bytes > maxBytes && batch.length > 0) {
        break;
      }
      batch.push(entry);
    }
    return batch;
  }

  /**
   * Where a leader whose entry at `index` is not held here may go on: at the
   * end of a shorter log, else before the term that conflicts.
   */
  indexBeforeConflict(index: number): number {
    if (index > this.lastIndex) {
      return this.lastIndex;
    }
    const conflicting = this.termAt(index);
    let before = index - 1;
    while (before > this.baseIndex && this.termAt(before) === conflicting) {
      before -= 1;
    }
    return Math.max(this.baseIndex, before);
  }

  /** Adds one entry at the end. */
  push(entry: Entry): void {
    invariant(entry.index === this.lastIndex + 1, 'log index has a gap');
    this.entries.push(entry);
  }

  /** Removes every entry from `index` on. */
  truncateFrom(index: number): void {
    this.entries.length = Math.max(0, index - this.baseIndex - 1);
  }

  /** Forgets entries up to `index`. */
  dropThrough(index: number): void {
    const term = this.termAt(index);
    invariant(term !== undefined, 'cannot drop entries that are not held');
    this.entries = this.entries.slice(index - this.baseIndex);
    this.baseIndex = index;
    this.baseTerm = term;
  }

  /** Forgets every entry; the log goes on after `index`. */
  reset(index: number, term: number): void {
    this.entries = [];
    this.baseIndex = index;
    this.baseTerm = term;
  }

  /** The newest member list held, with its index. */
  newestMembers(): {index: number; members: Members} | undefined {
    const entry = this.entries.findLast((item) => item.body.kind === 'members');
    return entry?.body.kind === 'members'
      ? {index: entry.index, members: entry.body.members}
      : undefined;
  }
}
