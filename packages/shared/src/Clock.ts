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

  /** Calls `onEnd` after `ms` milliseconds, unless the result is disposed first. */
  abstract startTimer(ms: number, onEnd: () => void): Disposable;

  /** Waits `ms` milliseconds; resolves early on abort and never rejects. */
  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const wake = (): void => {
        timer[Symbol.dispose]();
        signal?.removeEventListener('abort', wake);
        resolve();
      };
      const timer = this.startTimer(ms, wake);
      signal?.addEventListener('abort', wake, {once: true});
    });
  }
}

/** The clock of the operating system. */
export class SystemClock extends Clock {
  override now(): number {
    return performance.now();
  }

  override wallTime(): number {
    return Date.now();
  }

  override startTimer(ms: number, onEnd: () => void): Disposable {
    const timer = setTimeout(onEnd, ms);
    return {[Symbol.dispose]: () => clearTimeout(timer)};
  }
}

interface Timer {
  readonly at: number;
  readonly order: number;
  /** Undefined once the timer is disposed. */
  onEnd: (() => void) | undefined;
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

  override startTimer(ms: number, onEnd: () => void): Disposable {
    this.lastTimerOrder += 1;
    const timer: Timer = {
      at: this.currentMs + ms,
      onEnd,
      order: this.lastTimerOrder,
    };
    this.timers.push(timer);
    return {[Symbol.dispose]: () => void (timer.onEnd = undefined)};
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
      if (next.onEnd !== undefined) {
        next.onEnd();
        await settleTasks();
      }
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

  override startTimer(ms: number, onEnd: () => void): Disposable {
    return this.base.startTimer(ms / this.rate, onEnd);
  }
}

/** Resolves after all ready promise callbacks have run. */
export function settleTasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
