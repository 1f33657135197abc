/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Decides when an edge that is behind with reading closes new connections unread. Their
 * callers go to another edge at once, while a request that is read too late has to be
 * refused. Closing costs little, so the queue empties and what is read then is served.
 */

/** Queue age from which connections are closed, ms; half of the usual objectives. */
const SHEDDING_AGE_MS = 400;

/** Running time for which an edge has to be behind before it closes any, ms. */
const MIN_BEHIND_MS = 1_000;

/**
 * Running time that counts between two updates, ms. A longer gap is a pause of the process,
 * in which it could not read; afterwards it may well catch up.
 */
const MAX_COUNTED_GAP_MS = 250;

/** How long after it has closed connections an edge closes more at once, ms. */
const OVERLOAD_MEMORY_MS = 5_000;

/** Follows the queue age of one listener. */
export class ConnectionShedding {
  /** Running time since the queue was empty, ms. */
  private behindMs = 0;
  private lastUpdateAt = -Infinity;
  private lastClosedAt = -Infinity;
  private isClosing = false;

  constructor(
    /** Called for each connection that is closed unread. */
    private readonly onClosed: () => void = () => undefined,
  ) {}

  /** Whether a connection that is accepted now is closed unread. */
  get isActive(): boolean {
    return this.isClosing;
  }

  /** Records that a connection was closed unread, at a monotonic time, ms. */
  recordClosed(now: number): void {
    this.lastClosedAt = now;
    this.onClosed();
  }

  /** Updates the state; the queue age is 0 where nothing waits. */
  update(queueAgeMs: number, now: number): void {
    const gapMs = Math.min(now - this.lastUpdateAt, MAX_COUNTED_GAP_MS);
    this.lastUpdateAt = now;
    if (queueAgeMs === 0) {
      this.behindMs = 0;
      this.isClosing = false;
      return;
    }
    this.behindMs += gapMs;
    const isOverloaded =
      this.behindMs >= MIN_BEHIND_MS ||
      now - this.lastClosedAt < OVERLOAD_MEMORY_MS;
    if (queueAgeMs >= SHEDDING_AGE_MS && isOverloaded) {
      this.isClosing = true;
    }
  }
}
