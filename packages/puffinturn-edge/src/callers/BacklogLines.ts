/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Lines of the log that say when an edge is behind with reading. */
import type {DecisionLog} from 'puffinturn-decisions';

/** Age from which an edge is said to be behind, ms; a caller would notice. */
const BEHIND_AGE_MS = 500;

/** See the module comment. It has caught up once nothing waits any more. */
export class BacklogLines {
  private behind = false;

  constructor(private readonly log: DecisionLog) {}

  /** Notes how old a connection accepted now may be, and what is being served. */
  update(ageMs: number, open: number): void {
    const behind = this.behind ? ageMs > 0 : ageMs >= BEHIND_AGE_MS;
    if (behind === this.behind) {
      return;
    }
    this.behind = behind;
    const phase = behind ? 'behind' : 'caught-up';
    const event = 'backlog-changed';
    this.log.note({ageMs: Math.round(ageMs), event, open, phase});
  }
}
