/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Helpers for asynchronous tasks: mutex, condition, task group. */

import {setMaxListeners} from 'node:events';

import type {Clock} from './Clock';

/** Runs critical sections one at a time, in the order of the calls. */
export class Mutex {
  private tail: Promise<unknown> = Promise.resolve();

  /** Runs `section` after all earlier sections have completed. */
  run<Value>(section: () => Promise<Value>): Promise<Value> {
    const result = this.tail.then(section);
    this.tail = result.catch(() => undefined);
    return result;
  }
}

/** The next notification of a condition, until it is disposed. */
export interface PendingNotification extends Disposable {
  readonly received: Promise<void>;
}

/** A condition variable that wakes all waiting tasks. */
export class Condition {
  private waiters = new Set<() => void>();

  /** Number of waiting tasks. */
  get waiterCount(): number {
    return this.waiters.size;
  }

  /** Resolves on the next `notify`. */
  wait(): Promise<void> {
    return new Promise((resolve) => void this.onNext(resolve));
  }

  /** Calls `wake` on the next `notify`, unless the result is disposed first. */
  onNext(wake: () => void): Disposable {
    this.waiters.add(wake);
    return {[Symbol.dispose]: () => void this.waiters.delete(wake)};
  }

  /** The next notification; disposal prevents a leak if it never comes. */
  next(): PendingNotification {
    let waiter: Disposable | undefined;
    const received = new Promise<void>((resolve) => {
      waiter = this.onNext(resolve);
    });
    return {received, [Symbol.dispose]: () => waiter?.[Symbol.dispose]()};
  }

  notify(): void {
    const {waiters} = this;
    this.waiters = new Set();
    for (const wake of waiters) {
      wake();
    }
  }
}

/** Sleeps for `ms`; returns early on notification or abort. */
export function sleepUnlessNotified(
  clock: Clock,
  condition: Condition,
  ms: number,
  signal: AbortSignal,
): Promise<void> {
  if (signal.aborted) {
    return Promise.resolve();
  }
  // An abort controller for each sleep would create an error each time.
  return new Promise((resolve) => {
    const wake = (): void => {
      timer[Symbol.dispose]();
      notification[Symbol.dispose]();
      signal.removeEventListener('abort', wake);
      resolve();
    };
    const timer = clock.startTimer(ms, wake);
    const notification = condition.onNext(wake);
    signal.addEventListener('abort', wake, {once: true});
  });
}

/** Waits while a condition holds, checked at an interval, and until the deadline at most. */
export async function waitWhile(
  clock: Clock,
  condition: () => boolean,
  intervalMs: number,
  deadline = Infinity,
): Promise<void> {
  while (condition() && clock.now() < deadline) {
    await clock.sleep(intervalMs);
  }
}

/** Resolves with the result of `task`, or with undefined if that takes longer than `ms`. */
export function resolveWithin<Value>(
  clock: Clock,
  task: Promise<Value>,
  ms: number,
): Promise<Value | undefined> {
  return new Promise((resolve, reject) => {
    const timer = clock.startTimer(ms, () => resolve(undefined));
    task.then(
      (value) => {
        timer[Symbol.dispose]();
        resolve(value);
      },
      (error: unknown) => {
        timer[Symbol.dispose]();
        reject(error);
      },
    );
  });
}

/** A group of background tasks; disposal aborts and awaits them. */
export class TaskGroup implements AsyncDisposable {
  private readonly controller = new AbortController();
  private readonly running = new Set<Promise<void>>();

  constructor() {
    // Each sleeping task adds a listener; disables Node's leak warning.
    setMaxListeners(0, this.controller.signal);
  }

  /** Aborted by `abort` and on disposal. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Whether the signal has been aborted. */
  get isAborted(): boolean {
    return this.controller.signal.aborted;
  }

  /** Starts `task`, which must return promptly after the signal is aborted. */
  start(task: (signal: AbortSignal) => Promise<void>): void {
    const running = task(this.signal).finally(() =>
      this.running.delete(running),
    );
    this.running.add(running);
  }

  /** Aborts the signal without waiting for the tasks. */
  abort(): void {
    this.controller.abort();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.controller.abort();
    await Promise.allSettled(this.running);
  }
}

/** Disposes its items together, in reverse order of addition. */
export class DisposableList implements Disposable {
  private readonly items: Disposable[] = [];

  /** Adds an item to dispose with the list. */
  add(item: Disposable): void {
    this.items.push(item);
  }

  [Symbol.dispose](): void {
    for (const item of this.items.splice(0).reverse()) {
      item[Symbol.dispose]();
    }
  }
}
