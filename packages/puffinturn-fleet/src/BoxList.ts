/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Lists of live boxes: soft state, refreshed by the calls of the boxes. */
import type {BoxRecord} from './FleetMessages';

/**
 * A box is removed after this time without a call, ms. Longer than a short network
 * partition, so that the list still contains the edges afterwards.
 */
const BOX_TIMEOUT_MS = 15_000;

/** Maximum number of removals kept for box changes; the oldest are dropped first. */
const MAX_TOMBSTONES = 1_000;

/** Difference between two revisions of a box list. */
export interface BoxChanges {
  /** Boxes that are new or were restarted. */
  readonly changed: readonly BoxRecord[];
  /** Addresses of removed boxes, IP:PORT. */
  readonly gone: readonly string[];
}

/** A list of boxes; each change increments its revision. */
export class BoxList {
  private readonly entries = new Map<
    string,
    {readonly record: BoxRecord; readonly revision: number}
  >();
  /** Revision of the removal by box, oldest first. */
  private readonly tombstones = new Map<string, number>();
  private latestRevision = 0;

  /** The revision of the latest change. */
  get revision(): number {
    return this.latestRevision;
  }

  /** All boxes of the list. */
  records(): BoxRecord[] {
    return [...this.entries.values()].map(({record}) => record);
  }

  /** Adds a box; true if it is new or was restarted. */
  put(record: BoxRecord): boolean {
    const {box, incarnation} = record;
    if (this.entries.get(box)?.record.incarnation === incarnation) {
      return false;
    }
    this.latestRevision += 1;
    this.entries.set(box, {record, revision: this.latestRevision});
    this.tombstones.delete(box);
    return true;
  }

  /** Removes a box; true if it was in the list. */
  remove(box: string): boolean {
    if (!this.entries.delete(box)) {
      return false;
    }
    this.latestRevision += 1;
    this.tombstones.set(box, this.latestRevision);
    const [oldest] = this.tombstones.keys();
    if (this.tombstones.size > MAX_TOMBSTONES && oldest !== undefined) {
      this.tombstones.delete(oldest);
    }
    return true;
  }

  /** Replaces the whole list. */
  replace(records: readonly BoxRecord[]): void {
    const keptBoxes = new Set(records.map(({box}) => box));
    for (const box of [...this.entries.keys()]) {
      if (!keptBoxes.has(box)) {
        this.remove(box);
      }
    }
    for (const record of records) {
      this.put(record);
    }
  }

  /** Changes since a revision. */
  changedSince(revision: number): BoxChanges {
    const changed = [...this.entries.values()]
      .filter((slot) => slot.revision > revision)
      .map(({record}) => record);
    const gone = [...this.tombstones]
      .filter(([, removedAt]) => removedAt > revision)
      .map(([box]) => box);
    return {changed, gone};
  }
}

/** The boxes that call this one; silent ones expire. */
export class BoxTable {
  /** Live boxes. */
  readonly list = new BoxList();
  private readonly lastHeardAt = new Map<string, number>();

  /** Records a call of a box; true if the box is new or was restarted. */
  recordCall(record: BoxRecord, now: number): boolean {
    this.lastHeardAt.set(record.box, now);
    return this.list.put(record);
  }

  /** Removes silent boxes; true if there were any. */
  expire(now: number): boolean {
    let hasExpired = false;
    for (const [box, heardAt] of this.lastHeardAt) {
      if (now - heardAt > BOX_TIMEOUT_MS) {
        this.lastHeardAt.delete(box);
        hasExpired = this.list.remove(box) || hasExpired;
      }
    }
    return hasExpired;
  }
}
