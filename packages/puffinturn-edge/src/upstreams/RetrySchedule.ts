/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Retry times for callers that are rejected while upstreams are rate-limited. */
import type {Clock, Random} from 'shared';

const SECOND_MS = 1_000;

/** Maximum `Retry-After`, ms; the deadline of most callers is not much later. */
const MAX_RETRY_AFTER_MS = 3_000;

/**
 * Assigns `Retry-After` times at the rate at which requests are served, so that rejected
 * callers don't all retry at the same moment.
 */
export class RetrySchedule {
  /** Retry time assigned to the last rejected caller, by service. */
  private readonly lastRetryAt = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    /** Number of edges that share the same upstreams, including this one. */
    private readonly edgeCount: () => number,
  ) {}

  /**
   * Returns the `Retry-After` of the next caller, s: at least `waitMs` from now, and spaced
   * from the previous caller by this edge's share of `perSecond`.
   */
  nextRetryAfterS(service: string, waitMs: number, perSecond: number): number {
    const now = this.clock.now();
    const gapMs = (SECOND_MS * this.edgeCount()) / perSecond;
    const earliestAt = (this.lastRetryAt.get(service) ?? -Infinity) + gapMs;
    const retryAt = Math.max(now + waitMs, earliestAt);
    if (retryAt - now > MAX_RETRY_AFTER_MS) {
      // The schedule is full; choose a random time within it.
      const spreadMs = Math.max(0, MAX_RETRY_AFTER_MS - waitMs);
      return toRetryAfterSeconds(waitMs + this.random.fraction() * spreadMs);
    }
    this.lastRetryAt.set(service, retryAt);
    return toRetryAfterSeconds(retryAt - now);
  }
}

/** Converts a wait to `Retry-After` seconds, rounded up to a whole millisecond. */
export function toRetryAfterSeconds(ms: number): number {
  return Math.ceil(ms) / SECOND_MS;
}
