/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The requests of a region, by team and key. */
import {EXPIRY_BUCKET_MS} from './LedgerConstants';
import type {RequestState, StoredResponse} from './LedgerRecords';
import {REQUEST_STATE} from './LedgerRecords';

/** Stored state of a request. */
export interface RequestEntry {
  team: string;
  key: string;
  generatedKey: boolean;
  digest: string;
  attempt: number;
  box: string;
  incarnation: string;
  serial: number;
  state: RequestState;
  budget: string;
  reserve: number;
  charge: number;
  /** True for an at-most-once request. */
  marked: boolean;
  keepMs: number;
  /** Time at which a closed request expires; 0 while open. */
  expiresAt: number;
  answer?: StoredResponse | undefined;
  /** The other region that bills this request, if any. */
  claimedBy?: string | undefined;
  /** True if the request was billed here and not yet reported to the home region. */
  unreported?: boolean | undefined;
}

/** Whether the request is not closed yet. */
export function isOpen(entry: RequestEntry): boolean {
  return (
    entry.state === REQUEST_STATE.admitted ||
    entry.state === REQUEST_STATE.dispatched
  );
}

function entryId(team: string, key: string): string {
  return `${team}\n${key}`;
}

function ownerId(box: string, incarnation: string): string {
  return `${box}\n${incarnation}`;
}

/** Requests, indexed by team and key, by owner while open, and by expiry time. */
export class RequestTable {
  private readonly entries = new Map<string, RequestEntry>();
  private readonly openByOwner = new Map<string, Map<number, RequestEntry>>();
  private readonly unreportedEntries = new Set<RequestEntry>();
  private readonly expiryBuckets = new Map<number, Set<RequestEntry>>();

  /** Number of open and closed requests. */
  get size(): number {
    return this.entries.size;
  }

  /** Returns the request of a team with an idempotency key. */
  get(team: string, key: string): RequestEntry | undefined {
    return this.entries.get(entryId(team, key));
  }

  /** Adds or replaces a request. */
  put(entry: RequestEntry): void {
    const previous = this.get(entry.team, entry.key);
    if (previous !== undefined) {
      this.unindex(previous);
    }
    this.entries.set(entryId(entry.team, entry.key), entry);
    this.index(entry);
  }

  /** Closes a request; deletes it if its key was generated, since it has no retries. */
  close(
    entry: RequestEntry,
    state: RequestState,
    charge: number,
    at: number,
  ): void {
    this.unindex(entry);
    entry.state = state;
    entry.charge = charge;
    if (entry.generatedKey) {
      this.entries.delete(entryId(entry.team, entry.key));
      return;
    }
    entry.expiresAt = at + entry.keepMs;
    this.index(entry);
  }

  /** Returns the open requests of an incarnation in the order of admission. */
  openRequestsOf(box: string, incarnation: string): RequestEntry[] {
    const owned = this.openByOwner.get(ownerId(box, incarnation));
    return owned === undefined ? [] : [...owned.values()];
  }

  /** Billed requests that were not yet reported to the home region. */
  get unreported(): ReadonlySet<RequestEntry> {
    return this.unreportedEntries;
  }

  /** Sets whether a request must be reported to the home region. */
  setUnreported(entry: RequestEntry, unreported: boolean): void {
    entry.unreported = unreported;
    if (unreported) {
      this.unreportedEntries.add(entry);
    } else {
      this.unreportedEntries.delete(entry);
    }
  }

  /** Deletes closed requests that have expired. */
  deleteExpired(at: number): void {
    for (const [bucket, entries] of this.expiryBuckets) {
      if ((bucket + 1) * EXPIRY_BUCKET_MS > at) {
        continue;
      }
      this.expiryBuckets.delete(bucket);
      for (const entry of entries) {
        this.entries.delete(entryId(entry.team, entry.key));
        this.unreportedEntries.delete(entry);
      }
    }
  }

  /** Deletes all requests. */
  clear(): void {
    this.entries.clear();
    this.openByOwner.clear();
    this.unreportedEntries.clear();
    this.expiryBuckets.clear();
  }

  /** Returns all requests. */
  all(): RequestEntry[] {
    return [...this.entries.values()];
  }

  private index(entry: RequestEntry): void {
    if (isOpen(entry)) {
      const owner = ownerId(entry.box, entry.incarnation);
      const owned = this.openByOwner.get(owner) ?? new Map();
      this.openByOwner.set(owner, owned.set(entry.serial, entry));
      return;
    }
    if (entry.unreported === true) {
      this.unreportedEntries.add(entry);
    }
    const bucket = Math.floor(entry.expiresAt / EXPIRY_BUCKET_MS);
    const bucketEntries = this.expiryBuckets.get(bucket) ?? new Set();
    this.expiryBuckets.set(bucket, bucketEntries.add(entry));
  }

  private unindex(entry: RequestEntry): void {
    this.unreportedEntries.delete(entry);
    const owner = ownerId(entry.box, entry.incarnation);
    const owned = this.openByOwner.get(owner);
    owned?.delete(entry.serial);
    if (owned?.size === 0) {
      this.openByOwner.delete(owner);
    }
    const bucket = Math.floor(entry.expiresAt / EXPIRY_BUCKET_MS);
    this.expiryBuckets.get(bucket)?.delete(entry);
  }
}
