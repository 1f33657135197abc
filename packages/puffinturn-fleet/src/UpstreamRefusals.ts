/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Heartbeats and leave calls that were refused as unusable, for the log: one line a
 * second at most, however many come.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

/** Time over which refusals are gathered for one line, ms. */
const TOTALS_EVERY_MS = 1_000;

/** Causes that a line tells apart; any other one is `other`. */
const MAX_CAUSES = 12;

/** The cause of refusals beyond those. */
const OTHER = 'other';

/** Characters of an id that a line shows; a caller may send any. */
const SHOWN_CHARACTERS = 64;

/** See the module comment. */
export class UpstreamRefusals implements AsyncDisposable {
  private readonly tasks = new TaskGroup();
  private causes = new Map<string, number>();
  private newest = '';
  private sinceStart = 0;

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
  ) {}

  /** How many words were refused since the start of the process. */
  get total(): number {
    return this.sinceStart;
  }

  /** Counts one; the first one after a pause starts the next second. */
  count(upstream: string, cause: string): void {
    if (this.causes.size === 0) {
      this.tasks.start((signal) => this.writeLater(signal));
    }
    const isNamed = this.causes.has(cause) || this.causes.size < MAX_CAUSES;
    const named = isNamed ? cause : OTHER;
    this.causes.set(named, (this.causes.get(named) ?? 0) + 1);
    this.newest = upstream.slice(0, SHOWN_CHARACTERS);
    this.sinceStart += 1;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async writeLater(signal: AbortSignal): Promise<void> {
    await this.clock.sleep(TOTALS_EVERY_MS, signal);
    const {newest, total} = this;
    const causes = [...this.causes].map(([cause, count]) => ({cause, count}));
    this.causes = new Map();
    const event = 'upstreams-refused';
    this.log.note({causes, event, total, upstream: newest});
  }
}
