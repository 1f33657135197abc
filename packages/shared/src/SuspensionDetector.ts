/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Detects that the machine was suspended. The monotonic clock and timers stop
 * during a suspension, so outdated state would look fresh; the wall clock keeps
 * running. A wall clock that is set forward is also reported as a suspension.
 */
import type {Clock} from './Clock';
import {TaskGroup} from './Task';

/** Interval between automatic checks, ms. */
const CHECK_INTERVAL_MS = 1_000;

/** Minimum lead of the wall clock over one check, ms; slewing stays below it. */
const MIN_SUSPENSION_MS = 1_000;

/** Detects suspensions by comparing the wall clock with the monotonic clock. */
export class SuspensionDetector implements AsyncDisposable {
  private lastOffsetMs: number;
  private readonly tasks = new TaskGroup();

  constructor(
    private readonly clock: Clock,
    /** Called with the duration of each suspension, ms. */
    private readonly onSuspension: (missedMs: number) => void,
  ) {
    this.lastOffsetMs = this.clockOffsetMs();
    this.tasks.start((signal) => this.checkPeriodically(signal));
  }

  /** Checks for a suspension now; call it before relying on the age of state. */
  check(): void {
    const offset = this.clockOffsetMs();
    const missedMs = offset - this.lastOffsetMs;
    this.lastOffsetMs = offset;
    if (missedMs >= MIN_SUSPENSION_MS) {
      this.onSuspension(missedMs);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async checkPeriodically(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(CHECK_INTERVAL_MS, signal);
      this.check();
    }
  }

  private clockOffsetMs(): number {
    return this.clock.wallTime() - this.clock.now();
  }
}
