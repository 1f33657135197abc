/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Token bucket of the permits that a granter has available for one upstream. */
import type {Clock} from 'shared';

import {MAX_WAIT_MS, MIN_WAIT_MS, RESERVED_FOR_URGENT} from './PermitConstants';

const SECOND_MS = 1_000;

/** Refill rate and capacity of a bucket. */
export interface PermitRate {
  /** Permits added per second. */
  readonly perSecond: number;
  /** Capacity of the bucket; at least 1. */
  readonly maxPermits: number;
}

/** A token bucket that reserves permits for urgent requests. */
export class PermitBucket {
  private refilledAt: number;
  /** Latest retry time assigned to a refused request, monotonic ms. */
  private lastRetryAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private rate: PermitRate,
    /** Permits available at `refilledAt`. */
    private permits: number,
  ) {
    this.refilledAt = clock.now();
  }

  /** Changes the rate and keeps the permits added so far. */
  setRate(rate: PermitRate): void {
    this.refill();
    this.rate = rate;
  }

  /**
   * Removes up to the wanted number of permits and returns how many. The least urgent
   * requests leave the reserved permits.
   */
  acquire(wanted: number, isLeastUrgent: boolean): number {
    this.refill();
    const available = Math.floor(
      this.permits - this.reservedPermits(isLeastUrgent),
    );
    const acquired = Math.min(wanted, Math.max(0, available));
    this.permits -= acquired;
    return acquired;
  }

  /**
   * Returns how long a refused requester should wait, ms. Successive calls spread the
   * retries at the refill rate, so that refused requesters don't all retry together.
   */
  assignWaitMs(isLeastUrgent: boolean): number {
    const now = this.clock.now();
    const {perSecond} = this.rate;
    const required = 1 + this.reservedPermits(isLeastUrgent);
    const missing = Math.max(0, required - this.permits);
    const availableAt = now + (missing * SECOND_MS) / perSecond;
    const nextSlotAt = this.lastRetryAt + SECOND_MS / perSecond;
    const retryAt = Math.max(now + MIN_WAIT_MS, availableAt, nextSlotAt);
    this.lastRetryAt = Math.min(now + MAX_WAIT_MS, retryAt);
    return this.lastRetryAt - now;
  }

  /**
   * Permits that a request must leave in the bucket; none if the capacity is 1, because
   * the least urgent requests would never get a permit.
   */
  private reservedPermits(isLeastUrgent: boolean): number {
    return isLeastUrgent
      ? Math.min(RESERVED_FOR_URGENT, this.rate.maxPermits - 1)
      : 0;
  }

  /** Adds the permits accrued since the last refill. */
  private refill(): void {
    const now = this.clock.now();
    const added = ((now - this.refilledAt) / SECOND_MS) * this.rate.perSecond;
    this.permits = Math.min(this.rate.maxPermits, this.permits + added);
    this.refilledAt = now;
  }
}
