/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {
  AllowanceAsk,
  AllowanceGrant,
  AllowanceRequest,
} from 'puffinturn-fleet';
import {FLEET_SERVICE} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {sleepUnlessNotified} from 'shared';

import {requestGrants} from '../ControlRequests';
import {
  ALLOWANCE_CHECK_INTERVAL_MS,
  EXCHANGE_RETRY_DELAY_MS,
  EXCHANGE_TIMEOUT_MS,
  HOLDER_START_DELAY_MS,
  REFILL_TARGET_RATIO,
  RETURN_TARGET_RATIO,
} from '../EdgeConstants';
import type {TokenAccount} from './TokenAccount';
import type {TokenAccounts} from './TokenAccounts';
import type {TokenHolders} from './TokenHolders';

/** A holder reports its spending above this fraction of its target balance. */
const REPORT_TARGET_FRACTION = 0.25;

/** Other edges report their spending above this fraction of the budget. */
const REPORT_BUDGET_FRACTION = 0.01;

/**
 * Smallest surplus that is returned to the control plane, as a fraction of the budget.
 */
const MIN_RETURN_BUDGET_FRACTION = 0.002;

/** Dependencies of {@link CoreExchange}. */
export interface CoreExchangeParts {
  readonly box: string;
  /** Identifies this incarnation of the edge; a restart changes it. */
  readonly incarnationId: string;
  readonly clock: Clock;
  readonly link: Link;
  /** Control boxes in the order in which they are asked. */
  readonly controlBoxes: () => readonly string[];
  readonly accounts: TokenAccounts;
  readonly holders: TokenHolders;
}

/**
 * Exchanges tokens between one edge and the control plane, whose boxes grant tokens
 * from the budgets and count them as spent from then on. Each exchange has a sequence
 * number, so that one that is sent more than once is applied once.
 */
export class CoreExchange {
  private readonly startedAt: number;
  private sequence = 0;
  private lastAnsweredSequence = 0;
  private isReachable = true;
  private isClosing = false;
  private runCompleted: Promise<void> = Promise.resolve();
  private lastDecayAt: number;
  private lastAnswerAt: number;

  constructor(private readonly parts: CoreExchangeParts) {
    this.startedAt = parts.clock.now();
    this.lastDecayAt = this.startedAt;
    this.lastAnswerAt = this.startedAt;
  }

  /** Whether the control plane replied to the last attempt. */
  get isCoreReachable(): boolean {
    return this.isReachable;
  }

  /**
   * Time since the last reply of an unreachable control plane, ms; 0 if it is
   * reachable.
   */
  get unreachableMs(): number {
    return this.isReachable ? 0 : this.parts.clock.now() - this.lastAnswerAt;
  }

  /** Number of the last exchange that was started. */
  get lastSequence(): number {
    return this.sequence;
  }

  /** Whether an exchange with a higher number got a reply. */
  hasAnsweredSince(afterSequence: number): boolean {
    return this.lastAnsweredSequence > afterSequence;
  }

  /** Refills accounts and reports their spending until aborted. */
  run(signal: AbortSignal): Promise<void> {
    this.runCompleted = this.runExchanges(signal);
    return this.runCompleted;
  }

  /** Returns all free tokens, after the pending exchange has ended. */
  async close(): Promise<void> {
    const {accounts} = this.parts;
    this.isClosing = true;
    accounts.refillNeeded.notify();
    await this.runCompleted;
    const asks = accounts
      .all()
      .filter(({free}) => free > 0)
      .map((account) => this.createAsk(account, 0, 0, account.free));
    if (asks.length > 0) {
      this.sequence += 1;
      await this.exchange(asks);
    }
  }

  private async runExchanges(signal: AbortSignal): Promise<void> {
    const {accounts, clock} = this.parts;
    while (!signal.aborted && !this.isClosing) {
      if (!this.hasWaitingRequests()) {
        await sleepUnlessNotified(
          clock,
          accounts.refillNeeded,
          ALLOWANCE_CHECK_INTERVAL_MS,
          signal,
        );
      }
      if (this.isClosing) {
        return;
      }
      this.decayDemand();
      const asks = this.buildAsks();
      if (asks.length > 0 && !signal.aborted) {
        this.sequence += 1;
        await this.exchangeUntilAnswered(asks, signal);
      }
    }
  }

  /** Whether requests started to wait for tokens during the last exchange. */
  private hasWaitingRequests(): boolean {
    return this.parts.accounts.all().some(({shortfall}) => shortfall > 0);
  }

  private decayDemand(): void {
    const now = this.parts.clock.now();
    for (const account of this.parts.accounts.all()) {
      account.decayDemand(now - this.lastDecayAt);
    }
    this.lastDecayAt = now;
  }

  private buildAsks(): AllowanceAsk[] {
    const asks: AllowanceAsk[] = [];
    for (const account of this.parts.accounts.all()) {
      const ask = this.buildAsk(account);
      if (ask !== undefined) {
        asks.push(ask);
      }
    }
    return asks;
  }

  private buildAsk(account: TokenAccount): AllowanceAsk | undefined {
    const {accounts, clock, holders} = this.parts;
    const {free, shortfall, prepaid} = account;
    const target = accounts.targetBalance(account);
    const isHolder = holders.isHolder(account.team);
    if (account.isRecalled && isHolder) {
      account.isRecalled = false;
      return this.createAsk(account, shortfall, target, Math.max(0, free));
    }
    const isCoreEmpty =
      account.coreRemaining !== undefined && account.coreRemaining <= 0;
    // After a start the list of edges is incomplete, so the holders still change.
    const isSettled = clock.now() - this.startedAt > HOLDER_START_DELAY_MS;
    const shouldRefill =
      isHolder &&
      isSettled &&
      free < target * REFILL_TARGET_RATIO &&
      !isCoreEmpty;
    if (shortfall > 0 || shouldRefill) {
      const missing = isHolder ? Math.ceil(target - free) : 0;
      return this.createAsk(
        account,
        shortfall,
        Math.max(shortfall, missing),
        0,
      );
    }
    const surplus = Math.floor(free - target);
    const isAboveThreshold = free > target * RETURN_TARGET_RATIO;
    if (
      isHolder &&
      isAboveThreshold &&
      surplus > prepaid * MIN_RETURN_BUDGET_FRACTION
    ) {
      return this.createAsk(account, 0, 0, surplus);
    }
    const budgetThreshold = prepaid * REPORT_BUDGET_FRACTION;
    const reportThreshold = isHolder
      ? target * REPORT_TARGET_FRACTION
      : budgetThreshold;
    return Math.abs(account.unreportedTotal) > reportThreshold
      ? this.createAsk(account, 0, 0, 0)
      : undefined;
  }

  private createAsk(
    account: TokenAccount,
    need: number,
    want: number,
    back: number,
  ): AllowanceAsk {
    account.held -= back;
    if (back > 0) {
      this.parts.accounts.logMovement(account, 'returned', -back);
    }
    const {team, unreportedLent, unreportedSpent} = account;
    const {ownHallShare} = this.parts.holders;
    account.unreportedLent = 0;
    account.unreportedSpent = 0;
    return {
      back,
      lent: unreportedLent,
      need,
      share: ownHallShare,
      spent: unreportedSpent,
      team,
      want,
    };
  }

  /** Retries an exchange with the same sequence number until it gets a reply. */
  private async exchangeUntilAnswered(
    asks: readonly AllowanceAsk[],
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      const grants = await this.exchange(asks);
      this.isReachable = grants !== undefined;
      if (grants !== undefined) {
        this.applyGrants(grants);
        return;
      }
      await this.parts.clock.sleep(EXCHANGE_RETRY_DELAY_MS, signal);
    }
  }

  private async exchange(
    asks: readonly AllowanceAsk[],
  ): Promise<readonly AllowanceGrant[] | undefined> {
    const {box, controlBoxes, incarnationId, link} = this.parts;
    const {sequence} = this;
    const request: AllowanceRequest = {
      asks,
      box,
      holder: incarnationId,
      sequence,
    };
    return requestGrants<readonly AllowanceGrant[]>(link, controlBoxes(), {
      timeoutMs: EXCHANGE_TIMEOUT_MS,
      onUnanswered: () => (this.isReachable = false),
      request,
      service: FLEET_SERVICE.allowance,
    });
  }

  private applyGrants(grants: readonly AllowanceGrant[]): void {
    const {accounts, clock} = this.parts;
    this.lastAnsweredSequence = this.sequence;
    this.lastAnswerAt = clock.now();
    for (const {granted, left, mostHeld, team} of grants) {
      const account = accounts.getOrCreate(team);
      account.held += granted;
      account.coreRemaining = left;
      account.coreRemainingAt = clock.now();
      account.maxHeld = mostHeld;
      if (granted > 0) {
        accounts.logMovement(account, 'core', granted);
      }
    }
    accounts.tokensAdded.notify();
  }
}
