/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * How far one box is behind the configurations that control boxes have named. One
 * control box brings them; where it does not, the others are asked for them too.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Clock} from 'shared';

/**
 * How long a version that one control box holds may be on its way from another
 * one before it is asked for everywhere, ms; a change takes some 20 ms.
 */
export const OVERDUE_MS = 250;

/** See the module comment. */
export class ConfigurationLag {
  private named = -Infinity;
  /** Since when a named version has been lacking; undefined while none is. */
  private behindSince: number | undefined;
  private notedVersion = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    /** The version held, or -Infinity. */
    private readonly held: () => number,
  ) {}

  /** The highest version that is held or that some control box has named. */
  get namedVersion(): number {
    return Math.max(this.named, this.held());
  }

  /** Time until a version that is lacking is overdue, ms; Infinity without one. */
  get dueInMs(): number {
    return this.behindSince === undefined
      ? Infinity
      : this.behindSince + OVERDUE_MS - this.clock.now();
  }

  /** Takes note of what a control box holds, after its news were put in force. */
  learn(version: number, source: string): void {
    this.named = Math.max(this.named, version);
    if (this.held() >= this.named) {
      this.behindSince = undefined;
      return;
    }
    // A version named later must not start the time of the earlier one anew.
    this.behindSince ??= this.clock.now();
    this.noteOverdue(this.behindSince, source);
  }

  /** Writes down, once for each version, that it has not come. */
  private noteOverdue(since: number, source: string): void {
    if (this.dueInMs > 0 || this.named <= this.notedVersion) {
      return;
    }
    const held = this.held();
    this.notedVersion = this.named;
    this.log.note({
      behindMs: Math.round(this.clock.now() - since),
      event: 'configuration-overdue',
      held: held === -Infinity ? undefined : held,
      source,
      version: this.named,
    });
  }
}
