/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Logs when the listen queue of an edge becomes overloaded and when it has recovered. */
import type {DecisionLog} from 'puffinturn-decisions';

/** Queue age from which an edge is logged as overloaded, ms. */
const OVERLOADED_AGE_MS = 500;

/** Logs each change between overloaded and recovered; recovered means an empty queue. */
export class BacklogLogger {
  private isOverloaded = false;

  constructor(private readonly log: DecisionLog) {}

  /** Takes the current queue age, ms, and the number of open requests. */
  update(ageMs: number, openRequests: number): void {
    const isOverloaded = this.isOverloaded
      ? ageMs > 0
      : ageMs >= OVERLOADED_AGE_MS;
    if (isOverloaded === this.isOverloaded) {
      return;
    }
    this.isOverloaded = isOverloaded;
    const phase = isOverloaded ? 'behind' : 'caught-up';
    const event = 'backlog-changed';
    this.log.note({ageMs: Math.round(ageMs), event, open: openRequests, phase});
  }
}
