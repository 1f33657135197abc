/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {UpstreamRateLimit} from 'puffinturn-permits';
import {isNewerLimit, NO_LIMIT} from 'puffinturn-permits';

/** States that an upstream can report. */
export const UPSTREAM_STATE = {
  draining: 'draining',
  gone: 'gone',
  ready: 'ready',
} as const;

/** A value of UPSTREAM_STATE. */
export type UpstreamState =
  (typeof UPSTREAM_STATE)[keyof typeof UPSTREAM_STATE];

/** States in the order in which an incarnation passes through them. */
const STATE_ORDER: readonly UpstreamState[] = [
  UPSTREAM_STATE.ready,
  UPSTREAM_STATE.draining,
  UPSTREAM_STATE.gone,
];

/** Registration of one incarnation of an upstream. */
export interface UpstreamRecord {
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly hall: string;
  /** Software version; undefined if the upstream reports none. */
  readonly version?: string | undefined;
  /** Start time by the upstream's clock, Unix ms; undefined if not reported. */
  readonly bornAt?: number | undefined;
  readonly slots: number;
  readonly state: UpstreamState;
  /** Remaining warm-up time, ms; 0 once warm. */
  readonly coldMs: number;
  /** Increases with every call of this incarnation. */
  readonly sequence: number;
  /** Request limit reported in responses; undefined if none was reported. */
  readonly limit?: UpstreamRateLimit | undefined;
}

/** The part of a record that distinguishes incarnations of one upstream. */
export type UpstreamIncarnation = Pick<UpstreamRecord, 'bornAt'>;

/** An incarnation of an upstream that leaves. */
export type Departure = Pick<UpstreamRecord, 'bornAt' | 'id'>;

/**
 * Compares incarnations of one upstream; positive if `a` started later. An incarnation
 * without a start time is older than any with one.
 */
export function compareIncarnations(
  a: UpstreamIncarnation,
  b: UpstreamIncarnation,
): number {
  const first = a.bornAt ?? -Infinity;
  const second = b.bornAt ?? -Infinity;
  return first === second ? 0 : first - second;
}

interface Entry {
  record: UpstreamRecord;
  revision: number;
  lastSeenAt: number;
  /** Time of the last publication to other boxes. */
  publishedAt: number;
  /** Latest end of the warm-up in any record of this incarnation. */
  coldUntil: number;
}

/** Time without a new record after which an upstream is removed, ms. */
const EXPIRY_MS = 60_000;

/**
 * Interval at which an unchanged record is published again, ms. An upstream may send
 * heartbeats to a single control box, and the others would otherwise expire it. Short
 * enough for three publications before EXPIRY_MS, so that two may be lost.
 */
const REPUBLISH_INTERVAL_MS = 18_000;

/** Minimum delay of a warm-up end for it to be published again, ms. */
const COLD_END_TOLERANCE_MS = 250;

/** Record fields of an incarnation that left before its first heartbeat. */
const UNKNOWN_UPSTREAM = {
  address: '',
  hall: '',
  sequence: 0,
  service: '',
  slots: 0,
} as const;

/**
 * The upstreams of all services as soft state, with a revision for each change. A later
 * incarnation replaces an earlier one. Records of one incarnation are ordered by
 * `sequence`, and `gone` is final. Limits are ordered by their own revision.
 */
export class UpstreamTable {
  private readonly entries = new Map<string, Entry>();
  private latestRevision = 0;

  /** Revision of the latest change. */
  get revision(): number {
    return this.latestRevision;
  }

  /** Returns all records. */
  records(): UpstreamRecord[] {
    return [...this.entries.values()].map(({record}) => record);
  }

  /** Returns the latest record of the latest incarnation of an upstream. */
  get(id: string): UpstreamRecord | undefined {
    return this.entries.get(id)?.record;
  }

  /** Returns the record of an upstream unless only its deregistration has arrived. */
  getRegistered(id: string): UpstreamRecord | undefined {
    const record = this.get(id);
    return record?.service === UNKNOWN_UPSTREAM.service ? undefined : record;
  }

  /** Returns the time since the latest record of an upstream arrived, ms. */
  recordAgeMs(id: string, now: number): number | undefined {
    const entry = this.entries.get(id);
    return entry === undefined ? undefined : Math.round(now - entry.lastSeenAt);
  }

  /** Returns when an upstream's warm-up ends, on the clock passed to `merge`. */
  coldUntil(id: string): number {
    return this.entries.get(id)?.coldUntil ?? -Infinity;
  }

  /** Returns the records published after a revision. */
  changedSince(revision: number): UpstreamRecord[] {
    const changed: UpstreamRecord[] = [];
    for (const entry of this.entries.values()) {
      if (entry.revision > revision) {
        changed.push(entry.record);
      }
    }
    return changed;
  }

  /** Merges a received record; returns true if other boxes must be notified. */
  merge(record: UpstreamRecord, now: number): boolean {
    const entry = this.entries.get(record.id);
    if (entry === undefined) {
      this.storeEntry(record, now);
      return true;
    }
    const {record: current} = entry;
    const order = compareIncarnations(record, current);
    if (order > 0) {
      // A new incarnation replaces the whole entry, including its warm-up end.
      this.storeEntry(record, now);
      return true;
    }
    if (order < 0) {
      return false;
    }
    this.applyLimit(entry, record.limit ?? NO_LIMIT, now);
    return this.mergeSameIncarnation(entry, record, now);
  }

  /** Records an incarnation's request limit; returns true if the limit changed. */
  updateLimit(
    {bornAt, id}: UpstreamIncarnation & Pick<UpstreamRecord, 'id'>,
    limit: UpstreamRateLimit,
    now: number,
  ): boolean {
    const entry = this.entries.get(id);
    return (
      entry !== undefined &&
      compareIncarnations({bornAt}, entry.record) === 0 &&
      this.applyLimit(entry, limit, now)
    );
  }

  /**
   * Marks an incarnation as gone: the one that started at `bornAt`, or the known one
   * if it is undefined. An unknown upstream gets an entry too, so that late heartbeats
   * are ignored.
   */
  markGone(id: string, now: number, bornAt?: number): boolean {
    const startedAt = bornAt ?? this.get(id)?.bornAt;
    const incarnation = {bornAt: startedAt, id};
    return this.merge(
      this.leavingRecord(incarnation, UPSTREAM_STATE.gone),
      now,
    );
  }

  /**
   * Takes an incarnation out of service: it drains, or is gone if this table does not know
   * it. Returns true if other boxes must be notified.
   */
  markDeparted(departure: Departure, now: number): boolean {
    const current = this.get(departure.id);
    const isReady = current?.state === UPSTREAM_STATE.ready;
    const isEarlier =
      current === undefined || compareIncarnations(current, departure) < 0;
    return (
      (isReady || isEarlier) &&
      this.merge(this.leavingRecord(departure, UPSTREAM_STATE.draining), now)
    );
  }

  /** The record of an incarnation in a later state; gone if the table does not know it. */
  private leavingRecord(
    {bornAt, id}: Departure,
    state: UpstreamState,
  ): UpstreamRecord {
    const current = this.get(id);
    const isKnown =
      current !== undefined && compareIncarnations({bornAt}, current) === 0;
    return isKnown
      ? {...current, coldMs: 0, state}
      : {
          ...UNKNOWN_UPSTREAM,
          bornAt,
          coldMs: 0,
          id,
          state: UPSTREAM_STATE.gone,
        };
  }

  /** Removes upstreams without a new record for EXPIRY_MS. */
  expire(now: number): void {
    for (const [id, entry] of this.entries) {
      if (now - entry.lastSeenAt > EXPIRY_MS) {
        this.entries.delete(id);
      }
    }
  }

  private mergeSameIncarnation(
    entry: Entry,
    received: UpstreamRecord,
    now: number,
  ): boolean {
    const {record: current} = entry;
    const state = laterState(current.state, received.state);
    const isStale = received.sequence <= current.sequence;
    const isGone = current.state === UPSTREAM_STATE.gone;
    if (isGone || (isStale && state === current.state)) {
      if (isOutdated(received, current)) {
        this.publish(entry, now);
      }
      return false;
    }
    entry.lastSeenAt = now;
    const {limit} = current;
    const newest = isStale ? current : received;
    entry.record = {...newest, ...(limit === undefined ? {} : {limit}), state};
    const coldUntil = coldUntilOf(received, now);
    const isChanged =
      hasPublishedChange(entry.record, current) ||
      coldUntil > entry.coldUntil + COLD_END_TOLERANCE_MS;
    entry.coldUntil = Math.max(entry.coldUntil, coldUntil);
    const isOverdue = now - entry.publishedAt > REPUBLISH_INTERVAL_MS;
    if (isChanged || isOverdue || isOutdated(received, entry.record)) {
      this.publish(entry, now);
    }
    return isChanged;
  }

  private applyLimit(
    entry: Entry,
    received: UpstreamRateLimit,
    now: number,
  ): boolean {
    const {limit: current = NO_LIMIT} = entry.record;
    if (!isNewerLimit(received, current)) {
      return false;
    }
    entry.record = {...entry.record, limit: received};
    this.publish(entry, now);
    return true;
  }

  private publish(entry: Entry, now: number): void {
    this.latestRevision += 1;
    entry.revision = this.latestRevision;
    entry.publishedAt = now;
  }

  private storeEntry(record: UpstreamRecord, now: number): void {
    this.latestRevision += 1;
    this.entries.set(record.id, {
      coldUntil: coldUntilOf(record, now),
      lastSeenAt: now,
      publishedAt: now,
      record,
      revision: this.latestRevision,
    });
  }
}

/** The state further along in the life of an incarnation. */
function laterState(a: UpstreamState, b: UpstreamState): UpstreamState {
  return STATE_ORDER.indexOf(a) > STATE_ORDER.indexOf(b) ? a : b;
}

/** Whether two records of one incarnation differ in a field that must be published. */
function hasPublishedChange(a: UpstreamRecord, b: UpstreamRecord): boolean {
  return (
    a.state !== b.state ||
    a.address !== b.address ||
    a.service !== b.service ||
    (a.version ?? undefined) !== (b.version ?? undefined)
  );
}

/**
 * Whether a record of the same incarnation shows that its sender lacks the current one,
 * which must then be published again, as unchanged heartbeats aren't published.
 */
function isOutdated(
  received: UpstreamRecord,
  current: UpstreamRecord,
): boolean {
  return (
    received.state !== current.state ||
    (received.sequence < current.sequence &&
      hasPublishedChange(received, current))
  );
}

function coldUntilOf({coldMs}: UpstreamRecord, now: number): number {
  return coldMs > 0 ? now + coldMs : -Infinity;
}
