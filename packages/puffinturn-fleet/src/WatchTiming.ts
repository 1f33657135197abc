/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Times of the polls of a box, derived from the time within which a change must be in force.
 *
 * With a bound of B: a change that the polled control boxes do not bring is asked for
 * everywhere at an age of B / 2 (`renewalAgeMs`), plus the check interval. If the connections
 * of that renewal fail as well, the next one replaces them at 3 B / 4. B / 4 remains for its
 * replies, which take a few round trips.
 */

/** Bound for boxes that are not told one, ms. */
export const DEFAULT_APPLY_BOUND_MS = 2_000;

/**
 * Longest time between the state that a reply confirms and the next request, ms: the interval
 * of confirmations, with their round trips and the pause between polls.
 */
const CONFIRMATION_DELAY_MS = 500;

/** Shortest delay of a reply, ms; a lower one would cost more polls than it gains. */
const MIN_LONG_POLL_MS = 200;

/** Longest time that requests wait for a renewal that began late, ms: some round trips. */
const MAX_CATCH_UP_MS = 200;

/** Time allowed for the reply beyond the delay of the control box, ms. */
const REPLY_TIMEOUT_MS = 500;

/** Minimum timeout of a poll, ms. */
const MIN_POLL_TIMEOUT_MS = 900;

/**
 * How often the timeout of polls is doubled, once for each that failed since the last reply.
 * Where replies take longer than the first timeout, over a full link, none would ever be
 * waited for.
 */
const MAX_TIMEOUT_DOUBLINGS = 2;

/** Times of the polls of a box. */
export class WatchTiming {
  /** Age of the state from which every control box is asked over new connections, ms. */
  readonly renewalAgeMs: number;
  /** Interval between two renewals while the state stays old, ms. */
  readonly renewalIntervalMs: number;
  /** Age of the state from which requests wait for a renewal that began late, ms. */
  readonly lateRenewalAgeMs: number;
  /** Longest time that requests wait for such a renewal, ms. */
  readonly maxCatchUpMs: number;
  /**
   * How long a polled control box may delay its reply, ms. Any of them alone then keeps the
   * age below `renewalAgeMs`.
   */
  readonly longPollMs: number;

  /** `applyBoundMs` is the time within which a change must be in force, ms. */
  constructor(readonly applyBoundMs = DEFAULT_APPLY_BOUND_MS) {
    this.renewalAgeMs = applyBoundMs / 2;
    this.renewalIntervalMs = applyBoundMs / 4;
    this.lateRenewalAgeMs = this.renewalAgeMs + this.renewalIntervalMs;
    this.maxCatchUpMs = Math.min(MAX_CATCH_UP_MS, this.renewalIntervalMs);
    this.longPollMs = Math.max(
      MIN_LONG_POLL_MS,
      this.renewalAgeMs - CONFIRMATION_DELAY_MS,
    );
  }

  /**
   * How long a poll waits for its reply, which the control box may delay by `waitMs`, after
   * `failedPolls` without a reply, ms.
   */
  pollTimeoutMs(waitMs: number, failedPolls: number): number {
    const usualMs = Math.max(waitMs + REPLY_TIMEOUT_MS, MIN_POLL_TIMEOUT_MS);
    return usualMs * 2 ** Math.min(failedPolls, MAX_TIMEOUT_DOUBLINGS);
  }
}
