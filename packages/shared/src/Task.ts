/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Small helpers for tasks: a mutex, a condition and a background task group. */

import {setMaxListeners} from 'node:events';

import type {Clock} from './Clock';

/** Lets one task at a time into a section, in order of arrival. */
export class Mutex {
  private tail: Promise<unknown> = Promise.resolve();

  /** Runs `section` once every earlier section has ended. */
  run<Value>(section: () => Promise<Value>): Promise<Value> {
    const result = this.tail.then(section);
    this.tail = result.catch(() => undefined);
    return result;
  }
}

/** Wakes every task that waits for something to change. */
export class Condition {
  private waiters = new Set<() => void>();

  /** How many tasks wait. */
  get waiting(): number {
    return this.waiters.size;
  }

  /** Resolves at the next `notify`. */
  wait(): Promise<void> {
    return new Promise((resolve) => void this.onNext(resolve));
  }

  /** Calls `wake` at the next `notify`, unless disposed before. */
  onNext(wake: () => void): Disposable {
    this.waiters.add(wake);
    return {[Symbol.dispose]: () => void this.waiters.delete(wake)};
  }

  /** Wakes all waiting tasks. */
  notify(): void {
    const {waiters} = this;
    this.waiters = new Set();
    for (const wake of waiters) {
      wake();
    }
  }
}

/** Sleeps, but returns early when the condition is notified. */
export async function sleepUnlessNotified(
  clock: Clock,
  condition: Condition,
  ms: number,
  signal: AbortSignal,
): Promise<void> {
  const stop = new AbortController();
  const cancel = (): void => stop.abort();
  signal.addEventListener('abort', cancel, {once: true});
  let waiter: Disposable | undefined;
  const notified = new Promise<void>((resolve) => {
    waiter = condition.onNext(resolve);
  });
  await Promise.race([notified, clock.sleep(ms, stop.signal)]);
  // A condition that is never notified must not gather those that slept.
  waiter?.[Symbol.dispose]();
  stop.abort();
  signal.removeEventListener('abort', cancel);
}

/** Background tasks that end together: disposing aborts and awaits them. */
export class TaskGroup implements AsyncDisposable {
  private readonly controller = new AbortController();
  private readonly running = new Set<Promise<void>>();

  constructor() {
    // Every sleeping task listens for the end; many tasks are no leak.
    setMaxListeners(0, this.controller.signal);
  }

  /** Aborted when the group is disposed. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** True once the group is being disposed. */
  get ended(): boolean {
    return this.controller.signal.aborted;
  }

  /** Starts `task`; it must return soon after the signal aborts. */
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

/** Registrations that end together, the newest first. */
export class DisposableList implements Disposable {
  private readonly items: Disposable[] = [];

  /** Adds one registration. */
  add(item: Disposable): void {
    this.items.push(item);
  }

  [Symbol.dispose](): void {
    for (const item of this.items.splice(0).reverse()) {
      item[Symbol.dispose]();
    }
  }
}
