/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Logs totals of an edge once a second while there are requests: responses by status
 * and cause, including those that are not logged one by one, and tokens of teams.
 */
import type {
  DecisionLog,
  ResponseCount,
  TeamTokenCounts,
} from 'puffinturn-decisions';
import {selectLargestTeams} from 'puffinturn-decisions';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

/** Interval over which responses are counted, ms. */
const TOTALS_INTERVAL_MS = 1_000;

/** Maximum number of status and cause pairs in a line; the rest count as OTHER_CAUSE. */
const MAX_DISTINCT_RESPONSES = 24;

/** Cause logged for responses beyond MAX_DISTINCT_RESPONSES. */
const OTHER_CAUSE = 'other';

/** Counts responses and writes the totals to the log. */
export class ResponseTotals implements AsyncDisposable {
  private readonly tasks = new TaskGroup();
  private counts = new Map<string, ResponseCount>();

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    private readonly tokensByTeam: () => readonly TeamTokenCounts[],
  ) {}

  /** Counts a response; the first one after an idle period starts an interval. */
  recordResponse(status: number, cause: string): void {
    if (this.counts.size === 0) {
      this.tasks.start((signal) => this.logAfterInterval(signal));
    }
    const isKnown = this.counts.has(keyOf(status, cause));
    const countedCause =
      isKnown || this.counts.size < MAX_DISTINCT_RESPONSES
        ? cause
        : OTHER_CAUSE;
    const key = keyOf(status, countedCause);
    const count = (this.counts.get(key)?.count ?? 0) + 1;
    this.counts.set(key, {cause: countedCause, count, status});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async logAfterInterval(signal: AbortSignal): Promise<void> {
    await this.clock.sleep(TOTALS_INTERVAL_MS, signal);
    const answers = [...this.counts.values()];
    this.counts = new Map();
    this.log.note({answers, event: 'answers-counted'});
    const teamTokens = this.tokensByTeam();
    if (teamTokens.length > 0) {
      this.log.note({
        charged: sumBy(teamTokens, ({charged}) => charged),
        event: 'tokens-counted',
        held: sumBy(teamTokens, ({held}) => held),
        reserved: sumBy(teamTokens, ({reserved}) => reserved),
        teams: selectLargestTeams(
          teamTokens,
          ({charged, held}) => held + charged,
        ),
      });
    }
  }
}

function keyOf(status: number, cause: string): string {
  return `${status} ${cause}`;
}

function sumBy(
  teamTokens: readonly TeamTokenCounts[],
  amountOf: (tokens: TeamTokenCounts) => number,
): number {
  return teamTokens.reduce((sum, tokens) => sum + amountOf(tokens), 0);
}
