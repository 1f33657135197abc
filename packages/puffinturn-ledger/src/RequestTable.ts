/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The requests that a region knows, by team and key. */
import {EXPIRY_BUCKET_MS} from './LedgerConstants';
import type {KeptAnswer, RequestState} from './LedgerRecords';
import {REQUEST_STATE} from './LedgerRecords';

/** What is stored of a request. */
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
  marked: boolean;
  keepMs: number;
  /** When a closed request is forgotten; 0 while open. */
  expiresAt: number;
  answer?: KeptAnswer | undefined;
  /** Another region that bills this request. */
  claimedBy?: string | undefined;
  /** Billed here, and the home region has not been told. */
  unreported?: boolean | undefined;
}

/** Whether the request may still run or be running. */
export function isOpen(entry: RequestEntry): boolean {
  return (
    entry.state === REQUEST_STATE.admitted ||
    entry.state === REQUEST_STATE.dispatched
  );
}

function idOf(team: string, key: string): string {
  return `${team}\n${key}`;
}

function ownerOf(box: string, incarnation: string): string {
  return `${box}\n${incarnation}`;
}

/** Requests with an index of the open ones by owner and of expiry times. */
export class RequestTable {
  private readonly entries = new Map<string, RequestEntry>();
  private readonly open = new Map<string, Map<number, RequestEntry>>();
  private readonly untold = new Set<RequestEntry>();
  private readonly expiring = new Map<number, Set<RequestEntry>>();

  /** Requests known, open and closed. */
  get size(): number {
    return this.entries.size;
  }

  /** The request of a team and key. */
  get(team: string, key: string): RequestEntry | undefined {
    return this.entries.get(idOf(team, key));
  }

  /** Adds or replaces a request. */
  put(entry: RequestEntry): void {
    const former = this.get(entry.team, entry.key);
    if (former !== undefined) {
      this.unindex(former);
    }
    this.entries.set(idOf(entry.team, entry.key), entry);
    this.index(entry);
  }

  /** Closes a request; one whose key cannot come again is forgotten. */
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
      this.entries.delete(idOf(entry.team, entry.key));
      return;
    }
    entry.expiresAt = at + entry.keepMs;
    this.index(entry);
  }

  /** Open requests of one process, in the order in which they were admitted. */
  openOf(box: string, incarnation: string): RequestEntry[] {
    const owned = this.open.get(ownerOf(box, incarnation));
    return owned === undefined ? [] : [...owned.values()];
  }

  /** Billed requests of which the home region has not been told. */
  get unreported(): ReadonlySet<RequestEntry> {
    return this.untold;
  }

  /** Notes whether the home region must be told of a request. */
  setUnreported(entry: RequestEntry, unreported: boolean): void {
    entry.unreported = unreported;
    if (unreported) {
      this.untold.add(entry);
    } else {
      this.untold.delete(entry);
    }
  }

  /** Forgets closed requests whose time is up. */
  expire(at: number): void {
    for (const [bucket, entries] of this.expiring) {
      if ((bucket + 1) * EXPIRY_BUCKET_MS > at) {
        continue;
      }
      this.expiring.delete(bucket);
      for (const entry of entries) {
        this.entries.delete(idOf(entry.team, entry.key));
        this.untold.delete(entry);
      }
    }
  }

  /** Forgets everything. */
  clear(): void {
    this.entries.clear();
    this.open.clear();
    this.untold.clear();
    this.expiring.clear();
  }

  /** All requests, for snapshots and reports. */
  all(): RequestEntry[] {
    return [...this.entries.values()];
  }

  private index(entry: RequestEntry): void {
    if (isOpen(entry)) {
      const owner = ownerOf(entry.box, entry.incarnation);
      const owned = this.open.get(owner) ?? new Map();
      this.open.set(owner, owned.set(entry.serial, entry));
      return;
    }
    if (entry.unreported === true) {
      this.untold.add(entry);
    }
    const bucket = Math.floor(entry.expiresAt / EXPIRY_BUCKET_MS);
    const expiring = this.expiring.get(bucket) ?? new Set();
    this.expiring.set(bucket, expiring.add(entry));
  }

  private unindex(entry: RequestEntry): void {
    this.untold.delete(entry);
    const owner = ownerOf(entry.box, entry.incarnation);
    const owned = this.open.get(owner);
    owned?.delete(entry.serial);
    if (owned?.size === 0) {
      this.open.delete(owner);
    }
    const bucket = Math.floor(entry.expiresAt / EXPIRY_BUCKET_MS);
    this.expiring.get(bucket)?.delete(entry);
  }
}
