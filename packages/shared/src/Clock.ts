/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Time as seen by one box. All waiting in the project goes through a Clock, so
 * that tests drive time themselves.
 */
import {Heap} from 'heap-js';

/** A source of time and the only way to wait. */
export abstract class Clock {
  /** Monotonic milliseconds from an arbitrary origin. */
  abstract now(): number;

  /** Milliseconds since the Unix epoch; may jump. */
  abstract wallTime(): number;

  /** Waits `ms` milliseconds; returns early, without failing, on abort. */
  abstract sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of the operating system. */
export class SystemClock extends Clock {
  override now(): number {
    return performance.now();
  }

  override wallTime(): number {
    return Date.now();
  }

  override sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) {
      return Promise.resolve();
    }
    // Not the sleep of node:timers, which makes an error at each abort.
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      signal?.addEventListener('abort', wake, {once: true});
    });
  }
}

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly wake: () => void;
}

/** A clock that stands still until a test moves it. */
export class ManualClock extends Clock {
  private time = 0;
  private suspended = 0;
  private order = 0;
  private readonly timers = new Heap<Timer>(
    (a, b) => a.at - b.at || a.order - b.order,
  );

  constructor(private readonly epoch = 1_700_000_000_000) {
    super();
  }

  override now(): number {
    return this.time;
  }

  override wallTime(): number {
    return this.epoch + Math.floor(this.time + this.suspended);
  }

  /** Moves the time of day on, and leaves the steady clock and all timers. */
  suspend(ms: number): void {
    this.suspended += ms;
  }

  override sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const wake = (): void => {
        signal?.removeEventListener('abort', wake);
        resolve();
      };
      this.order += 1;
      this.timers.push({at: this.time + ms, order: this.order, wake});
      signal?.addEventListener('abort', wake, {once: true});
    });
  }

  /** Runs every timer due within `ms`, letting tasks settle after each one. */
  async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    await settleTasks();
    for (
      let next = this.timers.peek();
      next !== undefined && next.at <= end;
      next = this.timers.peek()
    ) {
      this.timers.pop();
      this.time = Math.max(this.time, next.at);
      next.wake();
      await settleTasks();
    }
    this.time = end;
  }
}

/** A clock that runs `rate` times as fast as another one. */
export class ScaledClock extends Clock {
  constructor(
    private readonly base: Clock,
    private readonly rate: number,
  ) {
    super();
  }

  override now(): number {
    return this.base.now() * this.rate;
  }

  override wallTime(): number {
    return this.base.wallTime();
  }

  override sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return this.base.sleep(ms / this.rate, signal);
  }
}

/** Resolves once every promise that is ready to run has run. */
export function settleTasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
