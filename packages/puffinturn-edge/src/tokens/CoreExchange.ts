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
import type {Clock, MachineClock, MachineTime} from 'shared';
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
  readonly machineClock: MachineClock;
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
  private readonly machineStartedAt: MachineTime | undefined;
  private sequence = 0;
  private lastAnsweredSequence = 0;
  private isReachable = true;
  private isClosing = false;
  private runCompleted: Promise<void> = Promise.resolve();
  private lastDecayAt: number;
  private lastAnswerAt: number;

  constructor(private readonly parts: CoreExchangeParts) {
    this.startedAt = parts.clock.now();
    this.machineStartedAt = parts.machineClock.read();
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
    const request = this.createRequest(() =>
      accounts
        .all()
        .filter(({free}) => free > 0)
        .map((account) => this.createAsk(account, 0, 0, account.free)),
    );
    if (request.asks.length > 0) {
      const grants = await this.exchange(request);
      this.confirmLimits(grants ?? []);
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
      const request = this.createRequest(() => this.buildAsks());
      // The first exchange ends the previous incarnation of this box.
      const isNeeded = request.asks.length > 0 || this.sequence === 0;
      if (isNeeded && !signal.aborted) {
        await this.exchangeUntilAnswered(request, signal);
      }
    }
  }

  /** Creates an exchange; its time is read before any limit in it starts. */
  private createRequest(
    createAsks: () => readonly AllowanceAsk[],
  ): AllowanceRequest {
    const {box, incarnationId, machineClock} = this.parts;
    return {
      box,
      holder: incarnationId,
      sentAt: machineClock.read(),
      startedAt: this.machineStartedAt,
      asks: createAsks(),
      sequence: this.sequence + 1,
    };
  }

  /** Whether requests started to wait for tokens during the last exchange. */
  private hasWaitingRequests(): boolean {
    const now = this.parts.clock.now();
    return this.parts.accounts.all().some((account) => account.isShort(now));
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
    return this.shouldReport(account)
      ? this.createAsk(account, 0, 0, 0)
      : undefined;
  }

  /** Whether an exchange is due that only reports changes and announces a limit. */
  private shouldReport(account: TokenAccount): boolean {
    const {accounts, clock, holders} = this.parts;
    const {limits, prepaid, unreportedTotal} = account;
    if (account.isShort(clock.now())) {
      return true;
    }
    if (!holders.isHolder(account.team)) {
      const isAboveThreshold =
        Math.abs(unreportedTotal) > prepaid * REPORT_BUDGET_FRACTION;
      return limits.isLimited || isAboveThreshold;
    }
    const isMissing = !limits.isLimited && unreportedTotal > 0;
    return isMissing || accounts.isLimitDue(account);
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
    const {accounts, clock, holders} = this.parts;
    const limit = accounts.limitFor(account);
    return {
      ...account.report(limit, clock.now()),
      back,
      limit,
      need,
      share: holders.ownHallShare,
      team: account.team,
      want,
    };
  }

  /** Retries an exchange with the same sequence number until it gets a reply. */
  private async exchangeUntilAnswered(
    request: AllowanceRequest,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      const grants = await this.exchange(request);
      this.isReachable = grants !== undefined;
      if (grants !== undefined) {
        this.applyGrants(grants);
        return;
      }
      await this.parts.clock.sleep(EXCHANGE_RETRY_DELAY_MS, signal);
    }
  }

  private async exchange(
    request: AllowanceRequest,
  ): Promise<readonly AllowanceGrant[] | undefined> {
    const {controlBoxes, link} = this.parts;
    this.sequence = request.sequence;
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
    this.confirmLimits(grants);
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

  /** The control plane has stored the limits of the teams in its reply. */
  private confirmLimits(grants: readonly AllowanceGrant[]): void {
    for (const {team} of grants) {
      this.parts.accounts.getOrCreate(team).limits.confirm();
    }
  }
}
