/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * What the leaders of two regions tell each other: global changes from the
 * primary region, and parts of budgets between their home and other regions.
 * Every transfer has a number and is logged on both sides, so that it counts
 * once however often it is sent. Nothing is taken back without the holder.
 */
import type {Clock} from 'shared';

import type {BudgetState} from './BudgetAccount';
import {available} from './BudgetAccount';
import type {
  BilledRequest,
  BilledVerdict,
  BudgetGrant,
  BudgetNeed,
  BudgetReturn,
  ExchangeReply,
  ExchangeRequest,
} from './ControlMessages';
import type {DemandForecast} from './DemandForecast';
import type {SplitSide} from './GrantSplit';
import {targetFor} from './GrantSplit';
import type {Ledger} from './Ledger';
import {
  EXCHANGE_FRESH_MS,
  MAX_NEEDS,
  MAX_REPORTS,
  REFILL_SHARE,
} from './LedgerConstants';
import type {LedgerOutcome, TransferOutcome} from './LedgerOutcomes';
import type {LedgerRecord} from './LedgerRecords';

/** What the exchange needs of its box. */
export interface RegionExchangeParts {
  readonly clock: Clock;
  readonly ledger: Ledger;
  readonly forecast: DemandForecast;
  readonly primaryRegion: string;
  /** Units that waiting admissions of a budget ask for. */
  readonly wanted: (budget: string) => number;
  /** Commits a record; undefined when this box no longer leads. */
  readonly commit: (record: LedgerRecord) => Promise<LedgerOutcome | undefined>;
  /** How a budget is split; the default is `targetFor`. */
  readonly split?: (home: SplitSide, other: SplitSide) => number;
}

interface Report {
  readonly need: BudgetNeed;
  readonly at: number;
}

/** See the module comment. */
export class RegionExchange {
  /** Sequence that each other region has in force. */
  readonly sequences = new Map<string, number>();
  private readonly reports = new Map<string, Map<string, Report>>();
  private readonly outlooks = new Map<string, {units: number; at: number}>();
  private readonly askedAt = new Map<string, number>();
  private readonly answeredAt = new Map<string, number>();
  private readonly queried = new Set<string>();
  private readonly acceptedReturns = new Map<string, number>();
  private readonly lastRates = new Map<string, number>();

  constructor(private readonly parts: RegionExchangeParts) {}

  /**
   * Units of a budget that may yet come from elsewhere. Unknown counts as
   * plenty while the other region answers, and as none while it does not.
   */
  elsewhere(budget: BudgetState): number {
    if (budget.home) {
      return this.heldByOthers(budget);
    }
    if (!this.isFresh(this.answeredAt.get(budget.homeRegion))) {
      return 0;
    }
    const outlook = this.outlooks.get(budget.name);
    return outlook !== undefined && this.isFresh(outlook.at)
      ? outlook.units
      : Infinity;
  }

  // The asking side

  /** What this region's leader sends to another region's. */
  request(region: string): ExchangeRequest {
    const {ledger} = this.parts;
    const needs: BudgetNeed[] = [];
    const returns: BudgetReturn[] = [];
    for (const budget of ledger.budgets.values()) {
      if (budget.home || budget.homeRegion !== region) {
        continue;
      }
      const need = this.needOf(budget);
      if (need !== undefined) {
        needs.push(need);
      }
      const pending = this.pendingReturn(budget);
      if (pending !== undefined) {
        returns.push(pending);
      }
    }
    this.queried.clear();
    needs.sort((a, b) => b.lacking - a.lacking);
    needs.length = Math.min(needs.length, MAX_NEEDS);
    const sequence = ledger.declarations.globalSequence;
    return {
      billed: this.billedFor(region),
      kind: 'exchange',
      needs,
      region: ledger.region,
      returns,
      sequence,
    };
  }

  /** Commits what the other region answered. */
  async accept(region: string, reply: ExchangeReply): Promise<void> {
    const now = this.parts.clock.now();
    this.answeredAt.set(region, now);
    for (const entry of reply.changes) {
      const {declaration, digest, operator, sequence} = entry;
      await this.parts.commit({
        declaration,
        digest,
        kind: 'import',
        operator,
        sequence,
      });
    }
    for (const {budget, number} of reply.acceptedReturns) {
      this.acceptedReturns.set(budget, number);
    }
    for (const grant of reply.grants) {
      this.outlooks.set(grant.budget, {at: now, units: grant.outlook});
      await this.acceptGrant(grant);
    }
    await Promise.all(
      reply.verdicts.map((verdict) =>
        this.parts.commit({...verdict, kind: 'reported'}),
      ),
    );
    for (const budget of reply.queries) {
      this.queried.add(budget);
    }
  }

  // The answering side

  /** Answers the leader of another region. */
  async answer(request: ExchangeRequest): Promise<ExchangeReply> {
    const {ledger, primaryRegion} = this.parts;
    this.sequences.set(request.region, request.sequence);
    this.askedAt.set(request.region, this.parts.clock.now());
    const acceptedReturns: BudgetReturn[] = [];
    for (const item of request.returns) {
      await this.parts.commit({
        ...item,
        kind: 'accept-return',
        region: request.region,
      });
      const tally = ledger.budgets.get(item.budget)?.regions[request.region];
      if (tally !== undefined && tally.returns >= item.number) {
        acceptedReturns.push(item);
      }
    }
    const answers = await Promise.all(
      request.needs.map((need) => this.answerNeed(request.region, need)),
    );
    const grants = answers.filter((grant) => grant !== undefined);
    const changes =
      ledger.region === primaryRegion
        ? ledger.declarations.sinceSequence(request.sequence)
        : [];
    const queries = this.queriesFor(request.region);
    const verdicts = await this.judge(request);
    return {
      acceptedReturns,
      changes,
      grants,
      kind: 'exchange',
      queries,
      verdicts,
    };
  }

  private billedFor(region: string): BilledRequest[] {
    const {ledger} = this.parts;
    const billed: BilledRequest[] = [];
    for (const entry of ledger.requests.unreported) {
      if (billed.length >= MAX_REPORTS) {
        break;
      }
      if (ledger.budgets.get(entry.budget)?.homeRegion === region) {
        const {attempt, box, budget, digest, incarnation} = entry;
        const {keepMs, key, team} = entry;
        billed.push({
          attempt,
          box,
          budget,
          digest,
          incarnation,
          keepMs,
          key,
          team,
        });
      }
    }
    return billed;
  }

  /** Decides for each reported request whether it was billed before. */
  private async judge(request: ExchangeRequest): Promise<BilledVerdict[]> {
    const at = this.parts.clock.wallTime();
    const verdicts = request.billed.map(async (billed) => {
      const {attempt, key, team} = billed;
      const outcome = await this.parts.commit({
        ...billed,
        at,
        kind: 'claim',
        region: request.region,
      });
      const duplicate = outcome?.kind === 'duplicate';
      return outcome && {attempt, duplicate, key, team};
    });
    const known = await Promise.all(verdicts);
    return known.filter((verdict) => verdict !== undefined);
  }

  private needOf(budget: BudgetState): BudgetNeed | undefined {
    const {forecast, wanted} = this.parts;
    const free = available(budget);
    const rate = forecast.rate(budget.name);
    const lacking = Math.max(0, wanted(budget.name) - free);
    const changed = rate !== (this.lastRates.get(budget.name) ?? 0);
    const first = budget.receipts === 0;
    if (!changed && !first && lacking === 0 && !this.queried.has(budget.name)) {
      return undefined;
    }
    this.lastRates.set(budget.name, rate);
    return {
      available: free,
      budget: budget.name,
      lacking,
      number: budget.receipts + 1,
      rate,
      reserved: budget.reserved,
    };
  }

  private pendingReturn(budget: BudgetState): BudgetReturn | undefined {
    const accepted = this.acceptedReturns.get(budget.name) ?? 0;
    return budget.returns > accepted
      ? {
          amount: budget.lastReturn,
          budget: budget.name,
          number: budget.returns,
        }
      : undefined;
  }

  private async acceptGrant(grant: BudgetGrant): Promise<void> {
    const {budget, number, amount, recall} = grant;
    if (number > 0) {
      await this.parts.commit({amount, budget, kind: 'receive', number});
    }
    const state = this.parts.ledger.budgets.get(budget);
    const accepted = this.acceptedReturns.get(budget) ?? 0;
    if (recall > 0 && state !== undefined && state.returns === accepted) {
      await this.parts.commit({
        amount: recall,
        budget,
        kind: 'return',
        number: state.returns + 1,
      });
    }
  }

  private async answerNeed(
    region: string,
    need: BudgetNeed,
  ): Promise<BudgetGrant | undefined> {
    const budget = this.parts.ledger.budgets.get(need.budget);
    if (budget === undefined || !budget.home) {
      return undefined;
    }
    this.note(region, need);
    const tally = budget.regions[region];
    const repeated = tally !== undefined && need.number <= tally.grants;
    const amount = repeated ? tally.lastGrant : this.amountFor(budget, need);
    const granted =
      amount > 0 || repeated
        ? await this.parts.commit({
            amount,
            budget: budget.name,
            kind: 'grant',
            number: need.number,
            region,
          })
        : undefined;
    const transfer = granted as TransferOutcome | undefined;
    const done = transfer?.kind === 'transferred';
    return {
      amount: done ? transfer.amount : 0,
      budget: budget.name,
      number: done ? need.number : 0,
      outlook: available(budget) + budget.reserved,
      recall: this.recallFrom(budget, need),
    };
  }

  private target(budget: BudgetState, need: BudgetNeed): number {
    const split = this.parts.split ?? targetFor;
    const rate = this.parts.forecast.rate(budget.name);
    return split({available: available(budget), rate}, need);
  }

  private amountFor(budget: BudgetState, need: BudgetNeed): number {
    const target = this.target(budget, need);
    const refill = target - need.available;
    const worthwhile = refill >= Math.max(1, target * REFILL_SHARE);
    const amount = Math.max(worthwhile ? refill : 0, need.lacking);
    return Math.min(amount, available(budget));
  }

  private recallFrom(budget: BudgetState, need: BudgetNeed): number {
    const free = available(budget);
    const lacking = this.parts.wanted(budget.name) - free;
    if (lacking <= 0) {
      return 0;
    }
    const target = this.target(budget, need);
    const surplus = need.available - Math.max(target, need.lacking);
    const idle = need.rate === 0 ? need.available - need.lacking : surplus;
    return Math.max(0, Math.min(idle, Math.max(surplus, lacking)));
  }

  private queriesFor(region: string): string[] {
    const {ledger, wanted} = this.parts;
    const queries: string[] = [];
    for (const budget of ledger.budgets.values()) {
      const held = budget.regions[region];
      const holds = held !== undefined && held.granted > held.returned;
      if (budget.home && holds && wanted(budget.name) > available(budget)) {
        queries.push(budget.name);
      }
    }
    return queries;
  }

  private note(region: string, need: BudgetNeed): void {
    const reports = this.reports.get(region) ?? new Map<string, Report>();
    this.reports.set(region, reports);
    reports.set(need.budget, {at: this.parts.clock.now(), need});
  }

  /** Units that other regions, as far as they answer, may still send back. */
  private heldByOthers(budget: BudgetState): number {
    let held = 0;
    for (const [region, tally] of Object.entries(budget.regions)) {
      if (!this.isFresh(this.askedAt.get(region))) {
        continue;
      }
      const report = this.reports.get(region)?.get(budget.name);
      held +=
        report !== undefined && this.isFresh(report.at)
          ? report.need.available + report.need.reserved
          : tally.granted - tally.returned;
    }
    return held;
  }

  private isFresh(at: number | undefined): boolean {
    const now = this.parts.clock.now();
    return at !== undefined && now - at <= EXCHANGE_FRESH_MS;
  }
}
