/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Exchange between the leaders of two regions: global changes from the primary
 * region, transfers of budget units, and requests billed outside the home region.
 * Transfers are numbered and logged in both regions, so that each is applied once.
 * Granted units come back only when the other region returns them.
 */
import type {Clock} from 'shared';

import type {BudgetState} from './BudgetAccount';
import {availableUnits} from './BudgetAccount';
import type {
  BilledRequest,
  BilledRequestReply,
  BudgetReturn,
  ExchangeReply,
  ExchangeRequest,
  GrantReply,
  GrantRequest,
} from './ControlMessages';
import type {DemandForecast} from './DemandForecast';
import type {RegionSupply} from './GrantSplit';
import {computeGrantTarget} from './GrantSplit';
import type {Ledger} from './Ledger';
import {
  EXCHANGE_MAX_AGE_MS,
  MAX_BILLED_REQUESTS_PER_EXCHANGE,
  MAX_BUDGETS_PER_EXCHANGE,
  MIN_REFILL_SHARE,
} from './LedgerConstants';
import type {LedgerOutcome, TransferOutcome} from './LedgerOutcomes';
import type {LedgerRecord} from './LedgerRecords';

/** Dependencies and settings of a RegionExchange. */
export interface RegionExchangeParts {
  readonly clock: Clock;
  readonly ledger: Ledger;
  readonly forecast: DemandForecast;
  readonly primaryRegion: string;
  /** Units requested by waiting admissions of a budget. */
  readonly queuedUnits: (budget: string) => number;
  /** Commits a record; undefined if the commit failed. */
  readonly commit: (record: LedgerRecord) => Promise<LedgerOutcome | undefined>;
  /** Replaces `computeGrantTarget` as the way to split a budget. */
  readonly computeTarget?: (home: RegionSupply, other: RegionSupply) => number;
}

interface ReceivedGrantRequest {
  readonly request: GrantRequest;
  readonly receivedAt: number;
}

/** Both sides of the exchange with other regions. */
export class RegionExchange {
  /** Position of the last global change that each other region has applied. */
  readonly confirmedSequences = new Map<string, number>();
  private readonly grantRequests = new Map<
    string,
    Map<string, ReceivedGrantRequest>
  >();
  private readonly obtainableFromHome = new Map<
    string,
    {units: number; receivedAt: number}
  >();
  private readonly lastRequestAt = new Map<string, number>();
  private readonly lastReplyAt = new Map<string, number>();
  private readonly queriedBudgets = new Set<string>();
  private readonly acceptedReturns = new Map<string, number>();
  private readonly lastSentRates = new Map<string, number>();

  constructor(private readonly parts: RegionExchangeParts) {}

  /**
   * Returns the units of a budget that may be obtained from other regions. Outside
   * the home region an unknown amount is Infinity while the home region replies,
   * and 0 while it does not.
   */
  obtainableElsewhere(budget: BudgetState): number {
    if (budget.home) {
      return this.unitsHeldElsewhere(budget);
    }
    if (!this.isFresh(this.lastReplyAt.get(budget.homeRegion))) {
      return 0;
    }
    const obtainable = this.obtainableFromHome.get(budget.name);
    return obtainable !== undefined && this.isFresh(obtainable.receivedAt)
      ? obtainable.units
      : Infinity;
  }

  // Sending side

  /** Builds the request to the leader of another region. */
  buildRequest(region: string): ExchangeRequest {
    const {ledger} = this.parts;
    const needs: GrantRequest[] = [];
    const returns: BudgetReturn[] = [];
    for (const budget of ledger.budgets.values()) {
      if (budget.home || budget.homeRegion !== region) {
        continue;
      }
      const grantRequest = this.buildGrantRequest(budget);
      if (grantRequest !== undefined) {
        needs.push(grantRequest);
      }
      const pending = this.pendingReturn(budget);
      if (pending !== undefined) {
        returns.push(pending);
      }
    }
    this.queriedBudgets.clear();
    needs.sort((a, b) => b.lacking - a.lacking);
    needs.length = Math.min(needs.length, MAX_BUDGETS_PER_EXCHANGE);
    const sequence = ledger.declarations.globalSequence;
    return {
      billed: this.unreportedRequests(region),
      kind: 'exchange',
      needs,
      region: ledger.region,
      returns,
      sequence,
    };
  }

  /** Commits the contents of another region's reply. */
  async applyReply(region: string, reply: ExchangeReply): Promise<void> {
    const now = this.parts.clock.now();
    this.lastReplyAt.set(region, now);
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
      this.obtainableFromHome.set(grant.budget, {
        receivedAt: now,
        units: grant.outlook,
      });
      await this.applyGrant(grant);
    }
    await Promise.all(
      reply.verdicts.map((verdict) =>
        this.parts.commit({...verdict, kind: 'reported'}),
      ),
    );
    for (const budget of reply.queries) {
      this.queriedBudgets.add(budget);
    }
  }

  // Receiving side

  /** Handles the request of another region's leader. */
  async handleRequest(request: ExchangeRequest): Promise<ExchangeReply> {
    const {ledger, primaryRegion} = this.parts;
    this.confirmedSequences.set(request.region, request.sequence);
    this.lastRequestAt.set(request.region, this.parts.clock.now());
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
    const replies = await Promise.all(
      request.needs.map((need) =>
        this.handleGrantRequest(request.region, need),
      ),
    );
    const grants = replies.filter((grant) => grant !== undefined);
    const changes =
      ledger.region === primaryRegion
        ? ledger.declarations.globalChangesSince(request.sequence)
        : [];
    const queries = this.budgetsToQuery(request.region);
    const verdicts = await this.claimBilledRequests(request);
    return {
      acceptedReturns,
      changes,
      grants,
      kind: 'exchange',
      queries,
      verdicts,
    };
  }

  private unreportedRequests(region: string): BilledRequest[] {
    const {ledger} = this.parts;
    const billed: BilledRequest[] = [];
    for (const entry of ledger.requests.unreported) {
      if (billed.length >= MAX_BILLED_REQUESTS_PER_EXCHANGE) {
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

  /** Claims each reported request; replies whether another region bills it. */
  private async claimBilledRequests(
    request: ExchangeRequest,
  ): Promise<BilledRequestReply[]> {
    const at = this.parts.clock.wallTime();
    const replies = request.billed.map(async (billed) => {
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
    const committedReplies = await Promise.all(replies);
    return committedReplies.filter((verdict) => verdict !== undefined);
  }

  private buildGrantRequest(budget: BudgetState): GrantRequest | undefined {
    const {forecast, queuedUnits} = this.parts;
    const available = availableUnits(budget);
    const rate = forecast.ratePerMs(budget.name);
    const lacking = Math.max(0, queuedUnits(budget.name) - available);
    const rateChanged = rate !== (this.lastSentRates.get(budget.name) ?? 0);
    const isFirstRequest = budget.receipts === 0;
    if (
      !rateChanged &&
      !isFirstRequest &&
      lacking === 0 &&
      !this.queriedBudgets.has(budget.name)
    ) {
      return undefined;
    }
    this.lastSentRates.set(budget.name, rate);
    return {
      available,
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

  private async applyGrant(grant: GrantReply): Promise<void> {
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

  private async handleGrantRequest(
    region: string,
    request: GrantRequest,
  ): Promise<GrantReply | undefined> {
    const budget = this.parts.ledger.budgets.get(request.budget);
    if (budget === undefined || !budget.home) {
      return undefined;
    }
    this.recordGrantRequest(region, request);
    const tally = budget.regions[region];
    const isRepeated = tally !== undefined && request.number <= tally.grants;
    const amount = isRepeated
      ? tally.lastGrant
      : this.computeGrantAmount(budget, request);
    const outcome =
      amount > 0 || isRepeated
        ? await this.parts.commit({
            amount,
            budget: budget.name,
            kind: 'grant',
            number: request.number,
            region,
          })
        : undefined;
    const transfer = outcome as TransferOutcome | undefined;
    const isTransferred = transfer?.kind === 'transferred';
    return {
      amount: isTransferred ? transfer.amount : 0,
      budget: budget.name,
      number: isTransferred ? request.number : 0,
      outlook: availableUnits(budget) + budget.reserved,
      recall: this.computeRecallAmount(budget, request),
    };
  }

  private computeTarget(budget: BudgetState, request: GrantRequest): number {
    const computeTarget = this.parts.computeTarget ?? computeGrantTarget;
    const rate = this.parts.forecast.ratePerMs(budget.name);
    return computeTarget({available: availableUnits(budget), rate}, request);
  }

  private computeGrantAmount(
    budget: BudgetState,
    request: GrantRequest,
  ): number {
    const target = this.computeTarget(budget, request);
    const refill = target - request.available;
    const isWorthwhile = refill >= Math.max(1, target * MIN_REFILL_SHARE);
    const amount = Math.max(isWorthwhile ? refill : 0, request.lacking);
    return Math.min(amount, availableUnits(budget));
  }

  private computeRecallAmount(
    budget: BudgetState,
    request: GrantRequest,
  ): number {
    const available = availableUnits(budget);
    const lacking = this.parts.queuedUnits(budget.name) - available;
    if (lacking <= 0) {
      return 0;
    }
    const target = this.computeTarget(budget, request);
    const surplus = request.available - Math.max(target, request.lacking);
    const returnable =
      request.rate === 0 ? request.available - request.lacking : surplus;
    return Math.max(0, Math.min(returnable, Math.max(surplus, lacking)));
  }

  private budgetsToQuery(region: string): string[] {
    const {ledger, queuedUnits} = this.parts;
    const queries: string[] = [];
    for (const budget of ledger.budgets.values()) {
      const tally = budget.regions[region];
      const holdsUnits = tally !== undefined && tally.granted > tally.returned;
      if (
        budget.home &&
        holdsUnits &&
        queuedUnits(budget.name) > availableUnits(budget)
      ) {
        queries.push(budget.name);
      }
    }
    return queries;
  }

  private recordGrantRequest(region: string, request: GrantRequest): void {
    const requests =
      this.grantRequests.get(region) ?? new Map<string, ReceivedGrantRequest>();
    this.grantRequests.set(region, requests);
    requests.set(request.budget, {receivedAt: this.parts.clock.now(), request});
  }

  /** Returns the units that recently connected regions hold and may return. */
  private unitsHeldElsewhere(budget: BudgetState): number {
    let held = 0;
    for (const [region, tally] of Object.entries(budget.regions)) {
      if (!this.isFresh(this.lastRequestAt.get(region))) {
        continue;
      }
      const received = this.grantRequests.get(region)?.get(budget.name);
      held +=
        received !== undefined && this.isFresh(received.receivedAt)
          ? received.request.available + received.request.reserved
          : tally.granted - tally.returned;
    }
    return held;
  }

  private isFresh(at: number | undefined): boolean {
    const now = this.parts.clock.now();
    return at !== undefined && now - at <= EXCHANGE_MAX_AGE_MS;
  }
}
