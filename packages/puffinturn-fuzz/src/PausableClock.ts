/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A clock that a test can stop, as a frozen process's clock seems to. */
import {Clock, Condition} from 'shared';

/** See the module comment. */
export class PausableClock extends Clock {
  private paused = false;
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

  override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.base.sleep(ms, signal);
    await this.whileRunning();
  }

  /** Resolves once the clock runs. */
  async whileRunning(): Promise<void> {
    while (this.paused) {
      await this.resumed.wait();
    }
  }

  /** Stops all timers. */
  pause(): void {
    this.paused = true;
  }

  /** Lets timers that are due go on. */
  resume(): void {
    this.paused = false;
    this.resumed.notify();
  }
}
