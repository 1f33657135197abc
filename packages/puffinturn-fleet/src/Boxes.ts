/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The boxes that are alive, as soft state learned from their own calls. */
import type {BoxRecord} from './FleetMessages';

/** A box that has not called for this long is dropped, ms. */
const DROP_AFTER_MS = 8_000;

interface Slot {
  record: BoxRecord;
  heardAt: number;
}

/** Live boxes with a revision for each change. */
export class BoxTable {
  private readonly slots = new Map<string, Slot>();
  private current = 0;

  /** The revision of the newest change. */
  get revision(): number {
    return this.current;
  }

  /** Every live box. */
  records(): BoxRecord[] {
    return [...this.slots.values()].map(({record}) => record);
  }

  /** Notes a call of a box; true when it is new or started again. */
  hear(record: BoxRecord, now: number): boolean {
    const known = this.slots.get(record.box);
    const changed = known?.record.incarnation !== record.incarnation;
    this.slots.set(record.box, {heardAt: now, record});
    if (changed) {
      this.current += 1;
    }
    return changed;
  }

  /** Drops boxes that have not called for long. */
  expire(now: number): void {
    for (const [box, {heardAt}] of this.slots) {
      if (now - heardAt > DROP_AFTER_MS) {
        this.slots.delete(box);
        this.current += 1;
      }
    }
  }
}
