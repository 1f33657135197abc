/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Admissions that wait on the leader for units to come free: highest priority
 * first, then in order of arrival. One that can no longer be met is refused at
 * once.
 */
import type {ResultAsync} from 'neverthrow';
import {ok} from 'neverthrow';
import type {ProposalFailure} from 'puffinturn-log';
import type {Clock} from 'shared';

import type {AdmitOutcome} from './LedgerOutcomes';
import type {AdmitRecord} from './LedgerRecords';

/** The outcome, or why there is none. */
export type Admission = ResultAsync<AdmitOutcome, ProposalFailure>;

/** What the queue needs to know and do. */
export interface AdmissionQueueParts {
  readonly clock: Clock;
  readonly propose: (record: AdmitRecord) => Admission;
  /** Whether the key of a record was admitted before. */
  readonly isKnown: (record: AdmitRecord) => boolean;
  /** Told when an admission starts to wait. */
  readonly onWait: () => void;
  /** Units that requests in flight hold. */
  readonly reserved: (budget: string) => number;
  /** Units free at the moment. */
  readonly available: (budget: string) => number;
  /** Units that may still come free, those at the moment included. */
  readonly outlook: (budget: string) => number;
}

type Answer = Awaited<Admission>;

/** How an admission waits. */
export interface Patience {
  /** Longest wait from now, ms. */
  readonly waitMs: number;
  /** Time that it has waited before, ms; keeps its place in the order. */
  readonly waitedMs: number;
  /** 0 goes first. */
  readonly priority: number;
}

interface Waiter {
  readonly record: AdmitRecord;
  readonly priority: number;
  readonly since: number;
  readonly deadline: number;
  readonly refusal: Answer;
  readonly resolve: (answer: Answer) => void;
}

/** See the module comment. */
export class AdmissionQueue {
  private readonly waiting = new Map<string, Waiter[]>();
  private readonly pumping = new Set<string>();

  constructor(private readonly parts: AdmissionQueueParts) {}

  /** Admissions that wait, over all budgets. */
  get size(): number {
    let size = 0;
    for (const waiters of this.waiting.values()) {
      size += waiters.length;
    }
    return size;
  }

  /** Budgets that are waited for. */
  get budgets(): string[] {
    return [...this.waiting.keys()];
  }

  /** Units that the waiting admissions of a budget ask for. */
  wanted(budget: string): number {
    const waiters = this.waiting.get(budget) ?? [];
    return waiters.reduce((sum, {record}) => sum + record.reserve, 0);
  }

  /** Admits now, or waits up to `waitMs` for units. */
  async admit(record: AdmitRecord, patience: Patience): Promise<Answer> {
    const {priority, waitMs} = patience;
    const behind = this.isBehind(record.budget, priority);
    const queued = behind && !this.parts.isKnown(record);
    const answer = queued
      ? this.refusal(record)
      : await this.parts.propose(record);
    const lacking = answer.isOk() && answer.value.kind === 'insufficient';
    if (!lacking || !this.hasHope(record)) {
      return answer;
    }
    return waitMs > 0
      ? this.wait(record, patience, answer)
      : answer.map((outcome) => ({...outcome, mayWait: true}));
  }

  /** Admits waiters of a budget as far as its units go. */
  async pump(budget: string): Promise<void> {
    if (this.pumping.has(budget)) {
      return;
    }
    this.pumping.add(budget);
    this.refuseHopeless(budget);
    for (
      let next = this.firstThatFits(budget);
      next !== undefined;
      next = this.firstThatFits(budget)
    ) {
      const answer = await this.parts.propose(next.record);
      if (answer.isOk() && answer.value.kind === 'insufficient') {
        break;
      }
      this.finish(next, answer);
    }
    this.pumping.delete(budget);
  }

  /** Answers every waiter, as when this replica no longer leads. */
  failAll(answer: Answer): void {
    for (const waiters of [...this.waiting.values()]) {
      for (const waiter of [...waiters]) {
        this.finish(waiter, answer);
      }
    }
  }

  private wait(
    record: AdmitRecord,
    patience: Patience,
    refusal: Answer,
  ): Promise<Answer> {
    return new Promise((resolve) => {
      const now = this.parts.clock.now();
      const waiter: Waiter = {
        deadline: now + patience.waitMs,
        priority: patience.priority,
        record,
        refusal,
        resolve,
        since: now - patience.waitedMs,
      };
      const waiters = this.waiting.get(record.budget) ?? [];
      waiters.push(waiter);
      waiters.sort((a, b) => a.priority - b.priority || a.since - b.since);
      this.waiting.set(record.budget, waiters);
      this.parts.onWait();
    });
  }

  private refusal({budget}: AdmitRecord): Answer {
    return ok({
      available: this.parts.available(budget),
      kind: 'insufficient',
      mayWait: false,
      reserved: this.parts.reserved(budget),
    });
  }

  /** Whether somebody waits who goes before a newcomer of this priority. */
  private isBehind(budget: string, priority: number): boolean {
    const first = this.waiting.get(budget)?.[0];
    return first !== undefined && first.priority <= priority;
  }

  private hasHope(record: AdmitRecord): boolean {
    return record.reserve <= this.parts.outlook(record.budget);
  }

  private refuseHopeless(budget: string): void {
    const now = this.parts.clock.now();
    for (const waiter of [...(this.waiting.get(budget) ?? [])]) {
      const mayWait = this.hasHope(waiter.record);
      if (waiter.deadline <= now || !mayWait) {
        const {refusal} = waiter;
        this.finish(
          waiter,
          refusal.map((outcome) => ({...outcome, mayWait})),
        );
      }
    }
  }

  private firstThatFits(budget: string): Waiter | undefined {
    const first = this.waiting.get(budget)?.[0];
    const free = this.parts.available(budget);
    return first !== undefined && first.record.reserve <= free
      ? first
      : undefined;
  }

  private finish(waiter: Waiter, answer: Answer): void {
    const {budget} = waiter.record;
    const rest = (this.waiting.get(budget) ?? []).filter(
      (other) => other !== waiter,
    );
    if (rest.length === 0) {
      this.waiting.delete(budget);
    } else {
      this.waiting.set(budget, rest);
    }
    waiter.resolve(answer);
  }
}
