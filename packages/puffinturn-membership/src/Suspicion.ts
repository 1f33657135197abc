/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** When silence means that a box is gone, learned from its own heartbeats. */
import {
  MAX_SUSPICION_MS,
  MIN_SUSPICION_MS,
  SUSPICION_DEVIATIONS,
} from './MembershipConstants';

const SMOOTHING = 0.1;

/** Mean and deviation of the intervals between a box's heartbeats. */
export class Suspicion {
  private lastAt: number;
  private mean: number | undefined;
  private deviation = 0;

  constructor(now: number) {
    this.lastAt = now;
  }

  /** Notes a heartbeat. */
  heard(now: number): void {
    const interval = now - this.lastAt;
    this.lastAt = now;
    if (this.mean === undefined) {
      this.mean = interval;
      return;
    }
    const error = Math.abs(interval - this.mean);
    this.mean += SMOOTHING * (interval - this.mean);
    this.deviation += SMOOTHING * (error - this.deviation);
  }

  /** Silence that is still usual, ms. */
  get patienceMs(): number {
    const usual = 4 * (this.mean ?? 0) + SUSPICION_DEVIATIONS * this.deviation;
    return Math.min(MAX_SUSPICION_MS, Math.max(MIN_SUSPICION_MS, usual));
  }

  /** Time since the last heartbeat, ms. */
  silenceMs(now: number): number {
    return now - this.lastAt;
  }
}
