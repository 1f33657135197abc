/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Permits of one upstream that one granter has left: a token bucket. */
import type {Clock} from 'shared';

import {
  KEPT_FOR_URGENT,
  LEAST_WAIT_MS,
  LONGEST_WAIT_MS,
} from './PermitConstants';

const SECOND_MS = 1_000;

/** How fast permits come, and how many may be kept. */
export interface PermitRate {
  readonly perSecond: number;
  /** The most that are kept; at least one. */
  readonly burst: number;
}

/** See the module comment. */
export class PermitBucket {
  private settledAt: number;
  /** Until when refused boxes have been told to wait, one permit apart. */
  private toldUntil = -Infinity;

  constructor(
    private readonly clock: Clock,
    private rate: PermitRate,
    /** Permits left, as of `settledAt`. */
    private permits: number,
  ) {
    this.settledAt = clock.now();
  }

  /** Takes another rate over; what was gathered at the former one stays. */
  adopt(rate: PermitRate): void {
    this.settle();
    this.rate = rate;
  }

  /** Takes up to so many permits; those that aren't urgent leave some. */
  take(wanted: number, isLeastUrgent: boolean): number {
    this.settle();
    const free = Math.floor(this.permits - this.leftBy(isLeastUrgent));
    const taken = Math.min(wanted, Math.max(0, free));
    this.permits -= taken;
    return taken;
  }

  /**
   * How long one who was refused should wait, ms. Each is told another time, at the rate
   * at which permits come: so many come back as can be served.
   */
  nextWaitMs(isLeastUrgent: boolean): number {
    const now = this.clock.now();
    const {perSecond} = this.rate;
    const needed = 1 + this.leftBy(isLeastUrgent);
    const lacking = Math.max(0, needed - this.permits);
    const soonest = now + (lacking * SECOND_MS) / perSecond;
    const afterOthers = this.toldUntil + SECOND_MS / perSecond;
    const wanted = Math.max(now + LEAST_WAIT_MS, soonest, afterOthers);
    this.toldUntil = Math.min(now + LONGEST_WAIT_MS, wanted);
    return this.toldUntil - now;
  }

  /** Permits that a request leaves to others; where one is ever kept, none can be. */
  private leftBy(isLeastUrgent: boolean): number {
    return isLeastUrgent ? Math.min(KEPT_FOR_URGENT, this.rate.burst - 1) : 0;
  }

  private settle(): void {
    const now = this.clock.now();
    const came = ((now - this.settledAt) / SECOND_MS) * this.rate.perSecond;
    this.permits = Math.min(this.rate.burst, this.permits + came);
    this.settledAt = now;
  }
}
