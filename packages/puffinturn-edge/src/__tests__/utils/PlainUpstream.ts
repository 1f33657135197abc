/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** An upstream of a plain service in virtual time: some slots and a queue behind them. */
import type {ManualClock} from 'shared';

/** Requests that it works on at a time. */
export const SLOTS = 6;

/** Requests that wait there at the most. */
const QUEUE = 24;

/** See the module comment. */
export class PlainUpstream {
  isDark = false;
  /** By how much its work takes longer than it should. */
  slowTimes = 1;
  private busy = 0;
  private readonly waiting: (() => void)[] = [];

  constructor(private readonly clock: ManualClock) {}

  /** Serves one request; false where there is no room. */
  async serve(workMs: number): Promise<boolean> {
    if (this.busy === SLOTS && this.waiting.length >= QUEUE) {
      return false;
    }
    if (this.busy === SLOTS) {
      await new Promise<void>((resolve) => this.waiting.push(resolve));
    } else {
      this.busy += 1;
    }
    await this.clock.sleep(workMs * this.slowTimes);
    const next = this.waiting.shift();
    if (next === undefined) {
      this.busy -= 1;
    } else {
      next();
    }
    return true;
  }
}
