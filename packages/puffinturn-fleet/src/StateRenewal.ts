/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Watches the age of the state that an edge acts on. From a stated age on it asks for a
 * renewal: every control box is polled again, over new connections.
 */
import type {Clock} from 'shared';

import type {StateFreshness} from './StateFreshness';
import type {WatchTiming} from './WatchTiming';

/** Minimum interval between two checks of the age, ms. */
const MIN_AGE_CHECK_INTERVAL_MS = 50;

/** Constructor arguments of StateRenewal. */
export interface StateRenewalParts {
  readonly clock: Clock;
  readonly freshness: StateFreshness;
  readonly timing: WatchTiming;
  /** Polls every control box again. */
  readonly onRenewal: () => void;
  /** Called when the state has become outdated, and when it has been confirmed again. */
  readonly onChange: (isOutdated: boolean) => void;
}

/** Renews the state when it has become old. */
export class StateRenewal {
  /** Time of the last renewal, ms; undefined if the state was confirmed since. */
  private lastStartedAt: number | undefined;
  /** Until when requests wait for the state to be confirmed, ms. */
  private catchUpUntil = -Infinity;

  constructor(private readonly parts: StateRenewalParts) {}

  /** Whether the state is so old that every control box is asked. */
  get isOutdated(): boolean {
    const {freshness, timing} = this.parts;
    return freshness.ageMs >= timing.renewalAgeMs;
  }

  /** Whether a renewal has begun after the given time and is under way. */
  hasStartedSince(at: number): boolean {
    return (
      this.isOutdated &&
      this.lastStartedAt !== undefined &&
      at <= this.lastStartedAt
    );
  }

  /**
   * Whether requests should wait, as the state is old because this process ran late, and a
   * confirmation is about to arrive. Begins the renewal if its timer is late too.
   */
  get isCatchingUp(): boolean {
    this.renewIfDue();
    return this.isOutdated && this.parts.clock.now() < this.catchUpUntil;
  }

  /** Renews the state whenever it is old, until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, freshness, timing} = this.parts;
    // Until then, the first replies are awaited.
    await clock.sleep(timing.renewalAgeMs, signal);
    while (!signal.aborted) {
      this.renewIfDue();
      const nextCheckMs = this.isOutdated
        ? this.msUntilDue
        : timing.renewalAgeMs - freshness.ageMs;
      await clock.sleep(
        Math.max(MIN_AGE_CHECK_INTERVAL_MS, nextCheckMs),
        signal,
      );
    }
  }

  /** Time until the next renewal if the state stays old, ms. */
  private get msUntilDue(): number {
    const {clock, timing} = this.parts;
    const lastAt = this.lastStartedAt ?? -Infinity;
    return lastAt + timing.renewalIntervalMs - clock.now();
  }

  private renewIfDue(): void {
    if (!this.isOutdated) {
      this.finish();
      return;
    }
    if (this.msUntilDue <= 0) {
      this.renew();
    }
  }

  private renew(): void {
    const {clock, onChange, onRenewal} = this.parts;
    if (this.lastStartedAt === undefined) {
      onChange(true);
      this.allowCatchUp();
    }
    this.lastStartedAt = clock.now();
    onRenewal();
  }

  private finish(): void {
    if (this.lastStartedAt !== undefined) {
      this.lastStartedAt = undefined;
      this.parts.onChange(false);
    }
  }

  /**
   * Lets requests wait for a moment if this process ran late, and so asks only now. In a
   * loss of contact the first renewal begins in time, and requests are served at once.
   */
  private allowCatchUp(): void {
    const {clock, freshness, timing} = this.parts;
    const {ageMs} = freshness;
    if (ageMs >= timing.lateRenewalAgeMs && ageMs < Infinity) {
      this.catchUpUntil = clock.now() + timing.maxCatchUpMs;
    }
  }
}
