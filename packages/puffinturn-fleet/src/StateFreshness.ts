/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Clock} from 'shared';

import type {WatchReply} from './FleetMessages';
import {VERSION_LEASE_MS} from './VersionLease';

/** The state that a box holds. */
export interface HeldState {
  readonly configurationVersion: number;
  /** Revision of the registered versions. */
  readonly versionsRevision: number;
}

/** An age or delay for the log, ms; undefined if there is none. */
export function roundAge(ageMs: number): number | undefined {
  return ageMs < Infinity ? Math.round(ageMs) : undefined;
}

/**
 * Since when the state that an edge acts on may lack what a quorum has stored. It is computed
 * from the replies of control boxes, never later than the truth, also for replies that were
 * on their way for long.
 */
export class StateFreshness {
  private configurationConfirmedAt = -Infinity;
  private upstreamsConfirmedAt = -Infinity;
  private versionsConfirmedAt = -Infinity;
  /** When the list of versions was confirmed after its lease had run out, monotonic ms. */
  private versionLeaseSince = -Infinity;
  /** Replies to earlier requests do not count, monotonic ms. */
  private validSince = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Age of the last confirmation of the configuration, ms; Infinity if there is none. */
  get configurationAgeMs(): number {
    return this.clock.now() - this.configurationConfirmedAt;
  }

  /** Age of the last confirmation of the upstreams, ms; Infinity if there is none. */
  get upstreamsAgeMs(): number {
    return this.clock.now() - this.upstreamsConfirmedAt;
  }

  /**
   * Age of the last confirmation of the list of registered versions, ms; Infinity if there is
   * none. A version that is not on the list was not stored before.
   */
  get versionsAgeMs(): number {
    return this.clock.now() - this.versionsConfirmedAt;
  }

  /** Time for which the lease on the list has not run out, ms; 0 if it has. */
  get versionLeaseMs(): number {
    return this.versionsAgeMs < VERSION_LEASE_MS
      ? this.clock.now() - this.versionLeaseSince
      : 0;
  }

  /** Age of the older one of configuration and upstreams, ms. */
  get ageMs(): number {
    return Math.max(this.configurationAgeMs, this.upstreamsAgeMs);
  }

  /** Forgets all confirmations, and those to come by replies that are on their way. */
  invalidate(): void {
    this.configurationConfirmedAt = -Infinity;
    this.upstreamsConfirmedAt = -Infinity;
    this.versionsConfirmedAt = -Infinity;
    this.validSince = this.clock.now();
  }

  /**
   * Records a reply that has been applied, to a request sent at `sentAt`. `held` is the state
   * here, with the reply applied.
   */
  recordReply(reply: WatchReply, sentAt: number, held: HeldState): void {
    if (sentAt < this.validSince) {
      return;
    }
    const confirmedAt = this.confirmationTime(reply, sentAt);
    if (held.versionsRevision >= (reply.versionsRevision ?? Infinity)) {
      this.confirmVersions(confirmedAt);
    }
    this.upstreamsConfirmedAt = Math.max(
      this.upstreamsConfirmedAt,
      confirmedAt,
    );
    if (held.configurationVersion >= reply.heldVersion) {
      this.configurationConfirmedAt = Math.max(
        this.configurationConfirmedAt,
        confirmedAt,
      );
    }
  }

  private confirmVersions(confirmedAt: number): void {
    if (this.versionsAgeMs >= VERSION_LEASE_MS) {
      this.versionLeaseSince = this.clock.now();
    }
    this.versionsConfirmedAt = Math.max(this.versionsConfirmedAt, confirmedAt);
  }

  /**
   * When a quorum confirmed what a reply says, on the clock of this box. Replies of older
   * software versions do not tell; they count if their sender knows a leader.
   */
  private confirmationTime(
    {heldMs = 0, leader, stateAgeMs}: WatchReply,
    sentAt: number,
  ): number {
    if (stateAgeMs !== undefined) {
      return sentAt + heldMs - stateAgeMs;
    }
    return leader ? this.clock.now() : -Infinity;
  }
}
