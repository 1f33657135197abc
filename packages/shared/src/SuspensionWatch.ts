/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Notices that the machine was suspended. The steady clock and all timers stand still
 * meanwhile, so what is known seems as fresh as before; the time of day goes on. A
 * time of day that was set forward looks the same, and is taken for a suspension: to
 * ask anew costs little.
 */
import type {Clock} from './Clock';
import {TaskGroup} from './Task';

/** How often both clocks are compared where nobody asks, ms. */
const LOOK_MS = 1_000;

/** By how much the time of day has to outrun the steady clock, ms; slewing does less. */
const MISSED_MS = 1_000;

/** See the module comment. */
export class SuspensionWatch implements AsyncDisposable {
  private offset: number;
  private readonly tasks = new TaskGroup();

  constructor(
    private readonly clock: Clock,
    /** Told how long the machine was suspended, ms. */
    private readonly woke: (missedMs: number) => void,
  ) {
    this.offset = this.currentOffset();
    this.tasks.start((signal) => this.run(signal));
  }

  /** Compares both clocks now: whoever is about to rely on an age asks first. */
  look(): void {
    const offset = this.currentOffset();
    const missedMs = offset - this.offset;
    this.offset = offset;
    if (missedMs >= MISSED_MS) {
      this.woke(missedMs);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(LOOK_MS, signal);
      this.look();
    }
  }

  private currentOffset(): number {
    return this.clock.wallTime() - this.clock.now();
  }
}
