/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Shares lookups that don't depend on a stream among all resumptions that wait for one, so
 * their number depends on time and not on the number of resumptions. A resumption gets the
 * result of a lookup that starts after it arrived: what others reply to an earlier one does
 * not cover the streams that have begun since.
 */
import type {Clock} from 'shared';

import type {Lookup} from './Lookup';
import {SHARED_LOOKUP_INTERVAL_MS} from './StreamConstants';

/** Starts at most one lookup of a subject in each interval. */
export class SharedLookups {
  /** When the last lookup of a subject started, monotonic ms. */
  private readonly startedAt = new Map<string, number>();
  /** Lookups that have not started yet, by subject. */
  private readonly waiting = new Map<string, Promise<Lookup>>();

  constructor(private readonly clock: Clock) {}

  /** The result of the next lookup of a subject; `ask` starts it. */
  find(subject: string, ask: () => Promise<Lookup>): Promise<Lookup> {
    const waiting = this.waiting.get(subject);
    if (waiting !== undefined) {
      return waiting;
    }
    const lastAt = this.startedAt.get(subject) ?? -Infinity;
    const delayMs = lastAt + SHARED_LOOKUP_INTERVAL_MS - this.clock.now();
    if (delayMs <= 0) {
      return this.start(subject, ask);
    }
    const next = this.clock.sleep(delayMs).then(() => this.start(subject, ask));
    this.waiting.set(subject, next);
    return next;
  }

  private start(subject: string, ask: () => Promise<Lookup>): Promise<Lookup> {
    this.waiting.delete(subject);
    this.startedAt.set(subject, this.clock.now());
    return ask();
  }
}
