/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Queue of admissions that wait on the leader until units become available, by
 * priority and then by time of arrival. An admission is refused as soon as its
 * units cannot become available.
 */
import type {ResultAsync} from 'neverthrow';
import {ok} from 'neverthrow';
import type {ProposalFailure} from 'puffinturn-log';
import type {Clock} from 'shared';

import type {AdmitOutcome} from './LedgerOutcomes';
import type {AdmitRecord} from './LedgerRecords';

/** Pending outcome of an admission, or the failure to commit it. */
export type Admission = ResultAsync<AdmitOutcome, ProposalFailure>;

/** Dependencies of an AdmissionQueue. */
export interface AdmissionQueueParts {
  readonly clock: Clock;
  readonly propose: (record: AdmitRecord) => Admission;
  /** Whether a request with the record's key exists. */
  readonly isKnown: (record: AdmitRecord) => boolean;
  /** Called when an admission starts to wait. */
  readonly onWait: () => void;
  /** Units reserved by requests in flight. */
  readonly reservedUnits: (budget: string) => number;
  /** Units available now. */
  readonly availableUnits: (budget: string) => number;
  /** Units that are or may become available. */
  readonly obtainableUnits: (budget: string) => number;
}

type AdmissionResult = Awaited<Admission>;

/** Wait and priority of an admission. */
export interface WaitOptions {
  /** Maximum wait from now, ms. */
  readonly waitMs: number;
  /** Time waited in earlier calls, ms; counts for the position in the queue. */
  readonly waitedMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
}

interface Waiter {
  readonly record: AdmitRecord;
  readonly priority: number;
  readonly waitingSince: number;
  readonly deadline: number;
  readonly lastResult: AdmissionResult;
  readonly resolve: (result: AdmissionResult) => void;
}

/** Queue of admissions that wait for units, by budget. */
export class AdmissionQueue {
  private readonly waitersByBudget = new Map<string, Waiter[]>();
  private readonly processing = new Set<string>();

  constructor(private readonly parts: AdmissionQueueParts) {}

  /** Number of waiting admissions. */
  get size(): number {
    let size = 0;
    for (const waiters of this.waitersByBudget.values()) {
      size += waiters.length;
    }
    return size;
  }

  /** Names of the budgets with waiting admissions. */
  get budgets(): string[] {
    return [...this.waitersByBudget.keys()];
  }

  /** Returns the units requested by the waiting admissions of a budget. */
  queuedUnits(budget: string): number {
    const waiters = this.waitersByBudget.get(budget) ?? [];
    return waiters.reduce((sum, {record}) => sum + record.reserve, 0);
  }

  /** Admits a request, waiting up to `waitMs` until units become available. */
  async admit(
    record: AdmitRecord,
    options: WaitOptions,
  ): Promise<AdmissionResult> {
    const {priority, waitMs} = options;
    const hasWaiterAhead = this.hasWaiterAhead(record.budget, priority);
    const skipProposal = hasWaiterAhead && !this.parts.isKnown(record);
    const result = skipProposal
      ? this.insufficientResult(record)
      : await this.parts.propose(record);
    const isInsufficient =
      result.isOk() && result.value.kind === 'insufficient';
    if (!isInsufficient || !this.isObtainable(record)) {
      return result;
    }
    return waitMs > 0
      ? this.enqueue(record, options, result)
      : result.map((outcome) => ({...outcome, mayWait: true}));
  }

  /** Admits waiting requests of a budget while units are available. */
  async processQueue(budget: string): Promise<void> {
    if (this.processing.has(budget)) {
      return;
    }
    this.processing.add(budget);
    this.refuseExpiredOrUnobtainable(budget);
    for (
      let next = this.firstAffordable(budget);
      next !== undefined;
      next = this.firstAffordable(budget)
    ) {
      const result = await this.parts.propose(next.record);
      if (result.isOk() && result.value.kind === 'insufficient') {
        break;
      }
      this.resolveWaiter(next, result);
    }
    this.processing.delete(budget);
  }

  /** Resolves every waiting admission with a failure. */
  failAll(result: AdmissionResult): void {
    for (const waiters of [...this.waitersByBudget.values()]) {
      for (const waiter of [...waiters]) {
        this.resolveWaiter(waiter, result);
      }
    }
  }

  private enqueue(
    record: AdmitRecord,
    options: WaitOptions,
    lastResult: AdmissionResult,
  ): Promise<AdmissionResult> {
    return new Promise((resolve) => {
      const now = this.parts.clock.now();
      const waiter: Waiter = {
        deadline: now + options.waitMs,
        lastResult,
        priority: options.priority,
        record,
        resolve,
        waitingSince: now - options.waitedMs,
      };
      const waiters = this.waitersByBudget.get(record.budget) ?? [];
      waiters.push(waiter);
      waiters.sort(
        (a, b) => a.priority - b.priority || a.waitingSince - b.waitingSince,
      );
      this.waitersByBudget.set(record.budget, waiters);
      this.parts.onWait();
    });
  }

  private insufficientResult({budget}: AdmitRecord): AdmissionResult {
    return ok({
      available: this.parts.availableUnits(budget),
      kind: 'insufficient',
      mayWait: false,
      reserved: this.parts.reservedUnits(budget),
    });
  }

  /** Whether a waiting admission precedes a new one of this priority. */
  private hasWaiterAhead(budget: string, priority: number): boolean {
    const first = this.waitersByBudget.get(budget)?.[0];
    return first !== undefined && first.priority <= priority;
  }

  private isObtainable(record: AdmitRecord): boolean {
    return record.reserve <= this.parts.obtainableUnits(record.budget);
  }

  private refuseExpiredOrUnobtainable(budget: string): void {
    const now = this.parts.clock.now();
    for (const waiter of [...(this.waitersByBudget.get(budget) ?? [])]) {
      const mayWait = this.isObtainable(waiter.record);
      if (waiter.deadline <= now || !mayWait) {
        const {lastResult} = waiter;
        this.resolveWaiter(
          waiter,
          lastResult.map((outcome) => ({...outcome, mayWait})),
        );
      }
    }
  }

  private firstAffordable(budget: string): Waiter | undefined {
    const first = this.waitersByBudget.get(budget)?.[0];
    const availableUnits = this.parts.availableUnits(budget);
    return first !== undefined && first.record.reserve <= availableUnits
      ? first
      : undefined;
  }

  private resolveWaiter(waiter: Waiter, result: AdmissionResult): void {
    const {budget} = waiter.record;
    const remaining = (this.waitersByBudget.get(budget) ?? []).filter(
      (other) => other !== waiter,
    );
    if (remaining.length === 0) {
      this.waitersByBudget.delete(budget);
    } else {
      this.waitersByBudget.set(budget, remaining);
    }
    waiter.resolve(result);
  }
}
