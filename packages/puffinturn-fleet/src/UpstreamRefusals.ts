/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {DecisionLog} from 'puffinturn-decisions';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

/** Time over which refusals are aggregated into one log line, ms. */
const LOG_INTERVAL_MS = 1_000;

/** Maximum number of distinct causes per log line; the rest count as `other`. */
const MAX_CAUSES = 12;

const OTHER_CAUSE = 'other';

/** Maximum length of a logged upstream ID; callers can send IDs of any length. */
const MAX_LOGGED_ID_LENGTH = 64;

/** Logs refused heartbeats and leave calls, at most one line per second. */
export class UpstreamRefusals implements AsyncDisposable {
  private readonly tasks = new TaskGroup();
  private countsByCause = new Map<string, number>();
  private latestUpstream = '';
  private totalCount = 0;

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
  ) {}

  /** Number of calls refused since the process started. */
  get total(): number {
    return this.totalCount;
  }

  /** Counts a refused call and schedules a log line unless one is scheduled. */
  recordRefusal(upstream: string, cause: string): void {
    if (this.countsByCause.size === 0) {
      this.tasks.start((signal) => this.logAfterInterval(signal));
    }
    const isListed =
      this.countsByCause.has(cause) || this.countsByCause.size < MAX_CAUSES;
    const listedCause = isListed ? cause : OTHER_CAUSE;
    this.countsByCause.set(
      listedCause,
      (this.countsByCause.get(listedCause) ?? 0) + 1,
    );
    this.latestUpstream = upstream.slice(0, MAX_LOGGED_ID_LENGTH);
    this.totalCount += 1;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async logAfterInterval(signal: AbortSignal): Promise<void> {
    await this.clock.sleep(LOG_INTERVAL_MS, signal);
    const {latestUpstream, total} = this;
    const causes = [...this.countsByCause].map(([cause, count]) => ({
      cause,
      count,
    }));
    this.countsByCause = new Map();
    const event = 'upstreams-refused';
    this.log.note({causes, event, total, upstream: latestUpstream});
  }
}
