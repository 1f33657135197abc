/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Adaptive failure detection from the intervals between heartbeats. */
import {
  MAX_FENCING_TIMEOUT_MS,
  MIN_FENCING_TIMEOUT_MS,
  TIMEOUT_DEVIATION_FACTOR,
} from './MembershipConstants';

const SMOOTHING_FACTOR = 0.1;

/**
 * Computes the heartbeat timeout of one box from the moving mean and mean
 * deviation of its heartbeat intervals.
 */
export class FailureDetector {
  private lastHeartbeatAt: number;
  private meanIntervalMs: number | undefined;
  private meanDeviationMs = 0;

  constructor(now: number) {
    this.lastHeartbeatAt = now;
  }

  /** Records a heartbeat received at `now`, ms. */
  recordHeartbeat(now: number): void {
    const interval = now - this.lastHeartbeatAt;
    this.lastHeartbeatAt = now;
    if (this.meanIntervalMs === undefined) {
      this.meanIntervalMs = interval;
      return;
    }
    const deviation = Math.abs(interval - this.meanIntervalMs);
    this.meanIntervalMs += SMOOTHING_FACTOR * (interval - this.meanIntervalMs);
    this.meanDeviationMs +=
      SMOOTHING_FACTOR * (deviation - this.meanDeviationMs);
  }

  /** Time without a heartbeat after which the box is considered failed, ms. */
  get timeoutMs(): number {
    const adaptiveTimeoutMs =
      4 * (this.meanIntervalMs ?? 0) +
      TIMEOUT_DEVIATION_FACTOR * this.meanDeviationMs;
    return Math.min(
      MAX_FENCING_TIMEOUT_MS,
      Math.max(MIN_FENCING_TIMEOUT_MS, adaptiveTimeoutMs),
    );
  }

  /** Time since the last heartbeat, ms. */
  sinceLastHeartbeatMs(now: number): number {
    return now - this.lastHeartbeatAt;
  }
}
