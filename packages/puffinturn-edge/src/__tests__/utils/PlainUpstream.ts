/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Simulates an upstream of a plain service in virtual time. */
import type {ManualClock} from 'shared';

/** Maximum requests processed concurrently. */
export const SLOTS = 6;

/** Maximum requests in the queue. */
const MAX_QUEUED = 24;

/** Simulated upstream with a fixed number of slots and a bounded queue. */
export class PlainUpstream {
  isUnresponsive = false;
  /** Factor by which processing times are multiplied. */
  slowdownFactor = 1;
  private busy = 0;
  private readonly waiting: (() => void)[] = [];

  constructor(private readonly clock: ManualClock) {}

  /** Serves one request; returns false if the queue is full. */
  async serve(workMs: number): Promise<boolean> {
    if (this.busy === SLOTS && this.waiting.length >= MAX_QUEUED) {
      return false;
    }
    if (this.busy === SLOTS) {
      await new Promise<void>((resolve) => this.waiting.push(resolve));
    } else {
      this.busy += 1;
    }
    await this.clock.sleep(workMs * this.slowdownFactor);
    const next = this.waiting.shift();
    if (next === undefined) {
      this.busy -= 1;
    } else {
      next();
    }
    return true;
  }
}
