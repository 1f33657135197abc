/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Timestamps that preserve causal order between processes. */
import type {Clock} from 'shared';

/** A hybrid timestamp: wall time in ms, and a counter that orders equal times. */
export interface HybridTimestamp {
  readonly wall: number;
  readonly count: number;
}

/** Compares two timestamps; negative if `a` is earlier. */
export function compareTimestamps(
  a: HybridTimestamp,
  b: HybridTimestamp,
): number {
  return a.wall - b.wall || a.count - b.count;
}

/**
 * A hybrid logical clock. Its timestamps are close to the wall time, and an event always
 * has a later timestamp than the events that caused it.
 */
export class HybridLogicalClock {
  private last: HybridTimestamp = {count: 0, wall: 0};

  constructor(private readonly clock: Clock) {}

  /** Returns the timestamp of a new event of this process. */
  tick(): HybridTimestamp {
    const wall = this.clock.wallTime();
    this.last =
      wall > this.last.wall
        ? {count: 0, wall}
        : {count: this.last.count + 1, wall: this.last.wall};
    return this.last;
  }

  /** Advances the clock to a timestamp received from another process, if it is later. */
  observe(stamp: HybridTimestamp): void {
    if (compareTimestamps(stamp, this.last) > 0) {
      this.last = stamp;
    }
  }
}
