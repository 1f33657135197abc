/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Totals of an edge for its log, once a second while requests come: every
 * answer, also those that had no line of their own, and the tokens at hand.
 */
import type {AnswerCount, DecisionLog, TeamTokens} from 'puffinturn-decisions';
import {largestTeams} from 'puffinturn-decisions';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

/** Time over which answers are counted, ms. */
const TOTALS_EVERY_MS = 1_000;

/** Kinds of answers that a line tells apart; any other cause is `other`. */
const MAX_KINDS = 24;

/** The cause of answers beyond those kinds. */
const OTHER = 'other';

/** See the module comment. */
export class Totals implements AsyncDisposable {
  private readonly tasks = new TaskGroup();
  private answers = new Map<string, AnswerCount>();

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    private readonly tokens: () => readonly TeamTokens[],
  ) {}

  /** Counts one answer; the first one after a pause starts the next second. */
  count(status: number, cause: string): void {
    if (this.answers.size === 0) {
      this.tasks.start((signal) => this.writeLater(signal));
    }
    const isKnown = this.answers.has(keyOf(status, cause));
    const named = isKnown || this.answers.size < MAX_KINDS ? cause : OTHER;
    const key = keyOf(status, named);
    const count = (this.answers.get(key)?.count ?? 0) + 1;
    this.answers.set(key, {cause: named, count, status});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async writeLater(signal: AbortSignal): Promise<void> {
    await this.clock.sleep(TOTALS_EVERY_MS, signal);
    const answers = [...this.answers.values()];
    this.answers = new Map();
    this.log.note({answers, event: 'answers-counted'});
    const all = this.tokens();
    if (all.length > 0) {
      this.log.note({
        charged: sumOf(all, ({charged}) => charged),
        event: 'tokens-counted',
        held: sumOf(all, ({held}) => held),
        reserved: sumOf(all, ({reserved}) => reserved),
        teams: largestTeams(all, ({charged, held}) => held + charged),
      });
    }
  }
}

function keyOf(status: number, cause: string): string {
  return `${status} ${cause}`;
}

function sumOf(
  all: readonly TeamTokens[],
  amountOf: (tokens: TeamTokens) => number,
): number {
  return all.reduce((sum, tokens) => sum + amountOf(tokens), 0);
}
