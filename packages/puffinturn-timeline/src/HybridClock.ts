/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * A hybrid logical clock: close to wall time, yet an event that another one
 * caused always has the later stamp.
 */
import type {Clock} from 'shared';

/** A stamp: wall time in ms, then a counter for equal times. */
export interface Stamp {
  readonly wall: number;
  readonly count: number;
}

/** Orders two stamps. */
export function compareStamps(a: Stamp, b: Stamp): number {
  return a.wall - b.wall || a.count - b.count;
}

/** See the module comment. */
export class HybridClock {
  private last: Stamp = {count: 0, wall: 0};

  constructor(private readonly clock: Clock) {}

  /** A stamp for an event of this process. */
  tick(): Stamp {
    const wall = this.clock.wallTime();
    this.last =
      wall > this.last.wall
        ? {count: 0, wall}
        : {count: this.last.count + 1, wall: this.last.wall};
    return this.last;
  }

  /** Takes a stamp from another process into account. */
  observe(stamp: Stamp): void {
    if (compareStamps(stamp, this.last) > 0) {
      this.last = stamp;
    }
  }
}
