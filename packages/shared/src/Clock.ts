/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Clocks of a box. All code reads time and sleeps through a Clock, so that tests
 * can control time.
 */
import {Heap} from 'heap-js';

/** Provides monotonic time, wall time and sleep. */
export abstract class Clock {
  /** Monotonic milliseconds from an arbitrary origin. */
  abstract now(): number;

  /** Milliseconds since the Unix epoch; may jump. */
  abstract wallTime(): number;

  /** Waits `ms` milliseconds; resolves early on abort and never rejects. */
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
    // The timers/promises version creates an error on each abort.
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

/** A clock for tests that advances only on request. */
export class ManualClock extends Clock {
  private currentMs = 0;
  private suspendedMs = 0;
  private lastTimerOrder = 0;
  private readonly timers = new Heap<Timer>(
    (a, b) => a.at - b.at || a.order - b.order,
  );

  constructor(private readonly epoch = 1_700_000_000_000) {
    super();
  }

  override now(): number {
    return this.currentMs;
  }

  override wallTime(): number {
    return this.epoch + Math.floor(this.currentMs + this.suspendedMs);
  }

  /** Simulates a suspension: advances the wall time, but not `now` or timers. */
  suspend(ms: number): void {
    this.suspendedMs += ms;
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
      this.lastTimerOrder += 1;
      this.timers.push({
        at: this.currentMs + ms,
        order: this.lastTimerOrder,
        wake,
      });
      signal?.addEventListener('abort', wake, {once: true});
    });
  }

  /** Advances by `ms`; runs each due timer and then all ready promise callbacks. */
  async advance(ms: number): Promise<void> {
    const endMs = this.currentMs + ms;
    await settleTasks();
    for (
      let next = this.timers.peek();
      next !== undefined && next.at <= endMs;
      next = this.timers.peek()
    ) {
      this.timers.pop();
      this.currentMs = Math.max(this.currentMs, next.at);
      next.wake();
      await settleTasks();
    }
    this.currentMs = endMs;
  }
}

/** A clock whose monotonic time runs `rate` times as fast as another one's. */
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

/** Resolves after all ready promise callbacks have run. */
export function settleTasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
