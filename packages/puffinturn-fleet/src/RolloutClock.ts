/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Time since the orders of roll-outs, by the steady clock of one box, which looks at
 * each order as it applies it and so keeps the time as leaders change. What a box finds
 * in its log after a start goes on from the newest record, or from the time of day
 * where that shows more.
 */
import type {Clock} from 'shared';

import type {FleetMachine} from './FleetMachine';
import type {RolloutProgress} from './RolloutRegister';

interface Beginning {
  readonly number: number;
  /** When the order was taken, by the steady clock. */
  readonly at: number;
}

/** See the module comment. */
export class RolloutClock {
  private readonly beginnings = new Map<string, Beginning>();
  private lookedAt: number | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly machine: FleetMachine,
  ) {}

  /** Takes note of orders and times that were applied since the last look. */
  look(): void {
    const lookedAt = this.lookedAt ?? -Infinity;
    this.lookedAt = this.clock.now();
    for (const {service} of this.machine.rollouts.services) {
      const progress = this.machine.rolloutProgressOf(service);
      if (progress !== undefined) {
        this.note(service, progress, lookedAt);
      }
    }
  }

  /** Time since the newest order for a service, ms; undefined without one. */
  elapsedOf(service: string): number | undefined {
    this.look();
    const beginning = this.beginnings.get(service);
    return beginning && this.clock.now() - beginning.at;
  }

  /**
   * An order that came since the last look is no older than that look, whatever the
   * time of day says: boxes' times of day differ, and may step by seconds.
   */
  private note(
    service: string,
    progress: RolloutProgress,
    lookedAt: number,
  ): void {
    const {elapsedMs, number, orderedAt} = progress;
    const now = this.clock.now();
    const known = this.beginnings.get(service);
    const at =
      known?.number === number
        ? Math.min(known.at, now - elapsedMs)
        : now -
          Math.max(
            elapsedMs,
            Math.min(this.clock.wallTime() - orderedAt, now - lookedAt),
          );
    this.beginnings.set(service, {at, number});
  }
}
