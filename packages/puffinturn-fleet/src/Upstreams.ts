/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The upstreams of all services as soft state. Every control box takes
 * heartbeats and passes on what changed; records of one incarnation are
 * ordered by their sequence, and one that is gone never comes back.
 */

/** What an upstream said of itself last. */
export const UPSTREAM_STATE = {
  draining: 'draining',
  gone: 'gone',
  ready: 'ready',
} as const;

/** One of UPSTREAM_STATE. */
export type UpstreamState =
  (typeof UPSTREAM_STATE)[keyof typeof UPSTREAM_STATE];

/** One incarnation of an upstream. */
export interface UpstreamRecord {
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly hall: string;
  /** The version of its software; undefined where it names none. */
  readonly version?: string | undefined;
  /** When this life began by its own time of day, Unix ms; undefined where untold. */
  readonly bornAt?: number | undefined;
  readonly slots: number;
  readonly state: UpstreamState;
  /** How much longer the upstream bears only few requests, ms; 0 when warm. */
  readonly coldMs: number;
  /** Grows with every call of the upstream. */
  readonly sequence: number;
}

interface Slot {
  record: UpstreamRecord;
  revision: number;
  heardAt: number;
  /** The latest end of its cold time that any record named. */
  coldUntil: number;
}

/** Upstreams not heard from for this long are forgotten, ms. */
const FORGET_AFTER_MS = 60_000;

/** Others are told of a cold time that ends later than known by this much, ms. */
const COLD_NEWS_MS = 250;

/** All upstreams known to one process, with a revision for each change. */
export class UpstreamTable {
  private readonly slots = new Map<string, Slot>();
  private current = 0;

  /** The revision of the newest change. */
  get revision(): number {
    return this.current;
  }

  /** Every record. */
  records(): UpstreamRecord[] {
    return [...this.slots.values()].map(({record}) => record);
  }

  /** The record of one incarnation. */
  get(id: string): UpstreamRecord | undefined {
    return this.slots.get(id)?.record;
  }

  /** When an incarnation has warmed up, by the clock that records came with. */
  coldUntil(id: string): number {
    return this.slots.get(id)?.coldUntil ?? -Infinity;
  }

  /** Records that changed after a revision. */
  changedSince(revision: number): UpstreamRecord[] {
    const changed: UpstreamRecord[] = [];
    for (const slot of this.slots.values()) {
      if (slot.revision > revision) {
        changed.push(slot.record);
      }
    }
    return changed;
  }

  /** Takes a record in; true when it changed what others must know. */
  merge(record: UpstreamRecord, now: number): boolean {
    const known = this.slots.get(record.id);
    if (known === undefined) {
      this.current += 1;
      this.slots.set(record.id, {
        coldUntil: coldUntilOf(record, now),
        heardAt: now,
        record,
        revision: this.current,
      });
      return true;
    }
    const {record: held} = known;
    const gone = held.state === UPSTREAM_STATE.gone;
    const goes = record.state === UPSTREAM_STATE.gone;
    if (gone || (record.sequence <= held.sequence && !goes)) {
      return false;
    }
    known.heardAt = now;
    known.record = record;
    const coldUntil = coldUntilOf(record, now);
    const changed =
      held.state !== record.state ||
      held.address !== record.address ||
      held.service !== record.service ||
      coldUntil > known.coldUntil + COLD_NEWS_MS;
    known.coldUntil = Math.max(known.coldUntil, coldUntil);
    if (changed) {
      this.current += 1;
      known.revision = this.current;
    }
    return changed;
  }

  /** Marks an incarnation as gone; an unknown one is remembered as such. */
  remove(id: string, now: number): boolean {
    const held = this.slots.get(id)?.record;
    const record: UpstreamRecord = {
      address: held?.address ?? '',
      coldMs: 0,
      id,
      sequence: held?.sequence ?? 0,
      service: held?.service ?? '',
      slots: held?.slots ?? 0,
      state: UPSTREAM_STATE.gone,
      hall: held?.hall ?? '',
    };
    return this.merge(record, now);
  }

  /** Forgets incarnations not heard from for long. */
  expire(now: number): void {
    for (const [id, slot] of this.slots) {
      if (now - slot.heardAt > FORGET_AFTER_MS) {
        this.slots.delete(id);
      }
    }
  }
}

function coldUntilOf({coldMs}: UpstreamRecord, now: number): number {
  return coldMs > 0 ? now + coldMs : -Infinity;
}
