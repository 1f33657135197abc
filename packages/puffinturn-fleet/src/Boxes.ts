/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The boxes that are alive, as soft state learned from their own calls. */
import type {BoxRecord} from './FleetMessages';

/**
 * A box that has not called for this long is dropped, ms. Longer than the cuts
 * of some 8 s that take all edges from the core at once: after one the list
 * still names them.
 */
const DROP_AFTER_MS = 15_000;

/** Boxes that are gone and still told of; the oldest are forgotten first. */
const MAX_GONE = 1_000;

/** What differs between two revisions of a list of boxes. */
export interface BoxChanges {
  /** Boxes that are new or were started again. */
  readonly changed: readonly BoxRecord[];
  /** Addresses between boxes of those that are gone. */
  readonly gone: readonly string[];
}

/** A list of boxes with a revision for each change. */
export class BoxList {
  private readonly slots = new Map<
    string,
    {readonly record: BoxRecord; readonly revision: number}
  >();
  private readonly gone = new Map<string, number>();
  private current = 0;

  /** The revision of the newest change. */
  get revision(): number {
    return this.current;
  }

  /** Every box. */
  records(): BoxRecord[] {
    return [...this.slots.values()].map(({record}) => record);
  }

  /** Takes a box in; true when it is new or was started again. */
  put(record: BoxRecord): boolean {
    const {box, incarnation} = record;
    if (this.slots.get(box)?.record.incarnation === incarnation) {
      return false;
    }
    this.current += 1;
    this.slots.set(box, {record, revision: this.current});
    this.gone.delete(box);
    return true;
  }

  /** Takes a box out; true when it was named. */
  remove(box: string): boolean {
    if (!this.slots.delete(box)) {
      return false;
    }
    this.current += 1;
    this.gone.set(box, this.current);
    const [oldest] = this.gone.keys();
    if (this.gone.size > MAX_GONE && oldest !== undefined) {
      this.gone.delete(oldest);
    }
    return true;
  }

  /** Makes the list name just these boxes. */
  replace(records: readonly BoxRecord[]): void {
    const named = new Set(records.map(({box}) => box));
    for (const box of [...this.slots.keys()]) {
      if (!named.has(box)) {
        this.remove(box);
      }
    }
    for (const record of records) {
      this.put(record);
    }
  }

  /** What has changed after a revision. */
  changedSince(revision: number): BoxChanges {
    const changed = [...this.slots.values()]
      .filter((slot) => slot.revision > revision)
      .map(({record}) => record);
    const gone = [...this.gone]
      .filter(([, removedAt]) => removedAt > revision)
      .map(([box]) => box);
    return {changed, gone};
  }
}

/** The boxes that call this one; they are dropped once they are silent. */
export class BoxTable {
  /** Live boxes. */
  readonly list = new BoxList();
  private readonly heardAt = new Map<string, number>();

  /** Notes a call of a box; true when it is new or was started again. */
  hear(record: BoxRecord, now: number): boolean {
    this.heardAt.set(record.box, now);
    return this.list.put(record);
  }

  /** Drops boxes that have not called for long; true when there were any. */
  expire(now: number): boolean {
    let dropped = false;
    for (const [box, heardAt] of this.heardAt) {
      if (now - heardAt > DROP_AFTER_MS) {
        this.heardAt.delete(box);
        dropped = this.list.remove(box) || dropped;
      }
    }
    return dropped;
  }
}
