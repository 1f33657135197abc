/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {DecisionLog} from 'puffinturn-decisions';
import type {Clock} from 'shared';

/**
 * Time after which a version announced by a control box counts as overdue, ms. An
 * overdue version is requested from every control box.
 */
export const OVERDUE_AFTER_MS = 250;

/**
 * Tracks how long this box has been missing a configuration version that a control box
 * announced. Configurations normally come from a single control box; the others are
 * asked when a version is overdue.
 */
export class ConfigurationLag {
  private latestAnnounced = -Infinity;
  /** Time since when an announced version has been missing; undefined if none is. */
  private behindSince: number | undefined;
  private lastLoggedVersion = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    /** Returns the version that this box has, or -Infinity. */
    private readonly heldVersion: () => number,
  ) {}

  /** Highest version that this box has or that a control box announced. */
  get announcedVersion(): number {
    return Math.max(this.latestAnnounced, this.heldVersion());
  }

  /** Time until a missing version is overdue, ms; Infinity if none is missing. */
  get overdueInMs(): number {
    return this.behindSince === undefined
      ? Infinity
      : this.behindSince + OVERDUE_AFTER_MS - this.clock.now();
  }

  /** Records the version of a control box, after its configuration was applied. */
  recordVersion(version: number, source: string): void {
    this.latestAnnounced = Math.max(this.latestAnnounced, version);
    if (this.heldVersion() >= this.latestAnnounced) {
      this.behindSince = undefined;
      return;
    }
    // A later version must not restart the timer of an earlier missing one.
    this.behindSince ??= this.clock.now();
    this.logIfOverdue(this.behindSince, source);
  }

  /** Logs an overdue version, once per version. */
  private logIfOverdue(since: number, source: string): void {
    if (
      this.overdueInMs > 0 ||
      this.latestAnnounced <= this.lastLoggedVersion
    ) {
      return;
    }
    const currentVersion = this.heldVersion();
    this.lastLoggedVersion = this.latestAnnounced;
    this.log.note({
      behindMs: Math.round(this.clock.now() - since),
      event: 'configuration-overdue',
      held: currentVersion === -Infinity ? undefined : currentVersion,
      source,
      version: this.latestAnnounced,
    });
  }
}
