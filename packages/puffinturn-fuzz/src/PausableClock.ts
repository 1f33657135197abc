/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {Clock, Condition} from 'shared';

/** A clock whose timers can be paused, to simulate a frozen process. */
export class PausableClock extends Clock {
  private isPaused = false;
  private readonly resumed = new Condition();

  constructor(private readonly base: Clock) {
    super();
  }

  override now(): number {
    return this.base.now();
  }

  override wallTime(): number {
    return this.base.wallTime();
  }

  override startTimer(ms: number, onEnd: () => void): Disposable {
    let isDisposed = false;
    const timer = this.base.startTimer(ms, () => {
      void this.waitUntilResumed().then(() => {
        if (!isDisposed) {
          onEnd();
        }
      });
    });
    return {
      [Symbol.dispose]: () => {
        isDisposed = true;
        timer[Symbol.dispose]();
      },
    };
  }

  override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.base.sleep(ms, signal);
    await this.waitUntilResumed();
  }

  /** Resolves once the clock is not paused; at once if it is running. */
  async waitUntilResumed(): Promise<void> {
    while (this.isPaused) {
      await this.resumed.wait();
    }
  }

  /** Holds back all timers; time itself still passes. */
  pause(): void {
    this.isPaused = true;
  }

  /** Fires the timers that became due while the clock was paused. */
  resume(): void {
    this.isPaused = false;
    this.resumed.notify();
  }
}
