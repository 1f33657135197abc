/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Clock} from 'shared';

import type {FleetMachine} from './FleetMachine';
import type {RolloutProgress} from './RolloutRegistry';

interface OrderStart {
  readonly number: number;
  /** Time of the order on the monotonic clock of this box. */
  readonly startedAt: number;
}

/**
 * Measures the time since each rollout order on the monotonic clock of one box. Every
 * box tracks it, so that the elapsed time survives a change of leader. After a restart
 * it resumes from the newest log record, or from the wall clock if that shows more.
 */
export class RolloutClock {
  private readonly orderStarts = new Map<string, OrderStart>();
  private lastRefreshAt: number | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly machine: FleetMachine,
  ) {}

  /** Reads orders and elapsed times applied since the last call. */
  refresh(): void {
    const previousRefreshAt = this.lastRefreshAt ?? -Infinity;
    this.lastRefreshAt = this.clock.now();
    for (const {service} of this.machine.rollouts.services) {
      const progress = this.machine.getRolloutProgress(service);
      if (progress !== undefined) {
        this.recordStart(service, progress, previousRefreshAt);
      }
    }
  }

  /**
   * Returns the time since the newest order for a service in ms, or undefined if there
   * is none.
   */
  getElapsedMs(service: string): number | undefined {
    this.refresh();
    const start = this.orderStarts.get(service);
    return start && this.clock.now() - start.startedAt;
  }

  /**
   * Treats an order that appeared since the last refresh as no older than that refresh,
   * because wall clocks of boxes differ and may jump by seconds.
   */
  private recordStart(
    service: string,
    progress: RolloutProgress,
    previousRefreshAt: number,
  ): void {
    const {elapsedMs, number, orderedAt} = progress;
    const now = this.clock.now();
    const previous = this.orderStarts.get(service);
    const startedAt =
      previous?.number === number
        ? Math.min(previous.startedAt, now - elapsedMs)
        : now -
          Math.max(
            elapsedMs,
            Math.min(
              this.clock.wallTime() - orderedAt,
              now - previousRefreshAt,
            ),
          );
    this.orderStarts.set(service, {number, startedAt});
  }
}
