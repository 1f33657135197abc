/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The stream origins that a box keeps in memory, bounded in count and time. */
import type {Clock} from 'shared';

import type {KeyedOrigin, StreamOrigin} from './StreamOrigin';

/** An origin and when it was stored, monotonic ms. */
export interface StoredOrigin {
  readonly origin: StreamOrigin;
  readonly storedAt: number;
}

/** Keeps origins for `lifetimeMs` after they were stored last. */
export class OriginTable {
  /** Least recently stored first. */
  private readonly entries = new Map<string, StoredOrigin>();

  /** No origin that was stored from then on was dropped before its time, monotonic ms. */
  private completeSince: number;
  /** Whether origins were dropped before their time since `markIncomplete`. */
  private hasDroppedAny = false;

  constructor(
    private readonly clock: Clock,
    private readonly lifetimeMs: () => number,
    private readonly maxOrigins: number,
  ) {
    this.completeSince = clock.now();
  }

  get size(): number {
    return this.entries.size;
  }

  /** Stores an origin unless that of a later attempt is known. */
  store({attempt, key, service, version}: KeyedOrigin): void {
    const known = this.find(key)?.origin;
    const origin =
      known !== undefined && known.attempt > attempt
        ? known
        : {attempt, service, version};
    this.entries.delete(key);
    this.entries.set(key, {origin, storedAt: this.clock.now()});
    this.dropOldest();
  }

  find(key: string): StoredOrigin | undefined {
    const entry = this.entries.get(key);
    return entry === undefined || this.isExpired(entry) ? undefined : entry;
  }

  /** Origins may have been missed until now. */
  markIncomplete(): void {
    this.hasDroppedAny = false;
    this.completeSince = this.clock.now();
  }

  /** Whether origins were dropped before their time since `markIncomplete`. */
  get hasDropped(): boolean {
    return this.hasDroppedAny;
  }

  /** Time for which this table has all that it was told, ms. */
  get completeMs(): number {
    return this.clock.now() - this.completeSince;
  }

  /** All origins of streams of a service. */
  ofService(service: string): KeyedOrigin[] {
    return [...this.entries]
      .filter(([, entry]) => entry.origin.service === service)
      .filter(([, entry]) => !this.isExpired(entry))
      .map(([key, {origin}]) => ({...origin, key}));
  }

  private dropOldest(): void {
    for (const [key, entry] of this.entries) {
      if (this.entries.size <= this.maxOrigins && !this.isExpired(entry)) {
        return;
      }
      if (!this.isExpired(entry)) {
        this.completeSince = Math.max(this.completeSince, entry.storedAt);
        this.hasDroppedAny = true;
      }
      this.entries.delete(key);
    }
  }

  private isExpired({storedAt}: StoredOrigin): boolean {
    return this.clock.now() - storedAt > this.lifetimeMs();
  }
}
