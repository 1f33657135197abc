/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The upstreams of all services as soft state. Every control box takes
 * heartbeats and passes on what changed. An upstream may start again under its
 * id: records of a later life replace those of a former one, whatever these say.
 * Records of one life are ordered by their sequence, and a life that is gone
 * never comes back. What a life said of its limit in answers has an order of its own.
 */
import type {UpstreamLimit} from 'puffinturn-permits';
import {isLaterLimit, NO_LIMIT} from 'puffinturn-permits';

/** What an upstream said of itself last. */
export const UPSTREAM_STATE = {
  draining: 'draining',
  gone: 'gone',
  ready: 'ready',
} as const;

/** One of UPSTREAM_STATE. */
export type UpstreamState =
  (typeof UPSTREAM_STATE)[keyof typeof UPSTREAM_STATE];

/** What one life of an upstream said of itself. */
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
  /** Grows with every call of one life of the upstream. */
  readonly sequence: number;
  /** What it said in answers of how many requests it takes; missing where it didn't. */
  readonly limit?: UpstreamLimit | undefined;
}

/** The part of a record that tells lives of one id apart. */
export type UpstreamLife = Pick<UpstreamRecord, 'bornAt'>;

/**
 * Orders lives of one id: positive where the first one is the later. A life that
 * names no start is older than any that does.
 */
export function compareLives(a: UpstreamLife, b: UpstreamLife): number {
  const first = a.bornAt ?? -Infinity;
  const second = b.bornAt ?? -Infinity;
  return first === second ? 0 : first - second;
}

interface Slot {
  record: UpstreamRecord;
  revision: number;
  heardAt: number;
  /** When others were told last. */
  toldAt: number;
  /** The latest end of its cold time that any record named. */
  coldUntil: number;
}

/** Upstreams not heard from for this long are forgotten, ms. */
const FORGET_AFTER_MS = 60_000;

/**
 * A record is told again after this time though nothing in it has changed, ms. An
 * upstream may call only one control box for as long as that answers, and the others
 * would take it for silent; two messages lost in a row are made good by a third.
 */
const TELL_AGAIN_MS = 18_000;

/** Others are told of a cold time that ends later than known by this much, ms. */
const COLD_NEWS_MS = 250;

/** What is told of a life that left before anything else was heard of it. */
const NOTHING_KNOWN = {
  address: '',
  hall: '',
  sequence: 0,
  service: '',
  slots: 0,
} as const;

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

  /** What is known of an id: the newest word of its newest life. */
  get(id: string): UpstreamRecord | undefined {
    return this.slots.get(id)?.record;
  }

  /** When an upstream has warmed up, by the clock that records came with. */
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
      this.keep(record, now);
      return true;
    }
    const {record: held} = known;
    const life = compareLives(record, held);
    if (life > 0) {
      // A new life: nothing of the former one holds, its cold time included.
      this.keep(record, now);
      return true;
    }
    if (life === 0) {
      this.takeLimit(known, record.limit ?? NO_LIMIT, now);
    }
    const gone = held.state === UPSTREAM_STATE.gone;
    const goes = record.state === UPSTREAM_STATE.gone;
    const isLate = record.sequence <= held.sequence && !goes;
    if (life < 0 || gone || isLate) {
      this.tellAgain(known, record, now);
      return false;
    }
    known.heardAt = now;
    const {limit} = known.record;
    known.record = limit === undefined ? record : {...record, limit};
    const coldUntil = coldUntilOf(record, now);
    const changed =
      differs(record, held) || coldUntil > known.coldUntil + COLD_NEWS_MS;
    known.coldUntil = Math.max(known.coldUntil, coldUntil);
    if (changed || now - known.toldAt > TELL_AGAIN_MS) {
      this.tell(known, now);
    }
    return changed;
  }

  /** Takes in what a life said of its limit; true when it changed what others must know. */
  hearLimit(
    {bornAt, id}: UpstreamLife & Pick<UpstreamRecord, 'id'>,
    limit: UpstreamLimit,
    now: number,
  ): boolean {
    const known = this.slots.get(id);
    return (
      known !== undefined &&
      compareLives({bornAt}, known.record) === 0 &&
      this.takeLimit(known, limit, now)
    );
  }

  /**
   * Marks a life as gone, the one known here where none is named; an unknown id
   * is remembered as such.
   */
  remove(id: string, now: number, bornAt?: number): boolean {
    const held = this.slots.get(id)?.record;
    const life = bornAt ?? held?.bornAt;
    const isHeld =
      held !== undefined && compareLives({bornAt: life}, held) === 0;
    const known = isHeld ? held : NOTHING_KNOWN;
    const state = UPSTREAM_STATE.gone;
    return this.merge({...known, bornAt: life, coldMs: 0, id, state}, now);
  }

  /** Forgets upstreams not heard from for long. */
  expire(now: number): void {
    for (const [id, slot] of this.slots) {
      if (now - slot.heardAt > FORGET_AFTER_MS) {
        this.slots.delete(id);
      }
    }
  }

  /**
   * Passes the held record on once more where an earlier word of its life says
   * otherwise: plain heartbeats aren't passed on, so its sender may lack them.
   */
  private tellAgain(slot: Slot, late: UpstreamRecord, now: number): void {
    const {record: held} = slot;
    const isEarlier =
      compareLives(late, held) === 0 && late.sequence < held.sequence;
    if (
      isEarlier &&
      held.state !== UPSTREAM_STATE.gone &&
      differs(late, held)
    ) {
      this.tell(slot, now);
    }
  }

  private takeLimit(slot: Slot, found: UpstreamLimit, now: number): boolean {
    const {limit: held = NO_LIMIT} = slot.record;
    if (!isLaterLimit(found, held)) {
      return false;
    }
    slot.record = {...slot.record, limit: found};
    this.tell(slot, now);
    return true;
  }

  private tell(slot: Slot, now: number): void {
    this.current += 1;
    slot.revision = this.current;
    slot.toldAt = now;
  }

  private keep(record: UpstreamRecord, now: number): void {
    this.current += 1;
    this.slots.set(record.id, {
      coldUntil: coldUntilOf(record, now),
      heardAt: now,
      record,
      revision: this.current,
      toldAt: now,
    });
  }
}

/** Whether two records of one life say different things that others must know. */
function differs(a: UpstreamRecord, b: UpstreamRecord): boolean {
  return (
    a.state !== b.state ||
    a.address !== b.address ||
    a.service !== b.service ||
    (a.version ?? undefined) !== (b.version ?? undefined)
  );
}

function coldUntilOf({coldMs}: UpstreamRecord, now: number): number {
  return coldMs > 0 ? now + coldMs : -Infinity;
}
