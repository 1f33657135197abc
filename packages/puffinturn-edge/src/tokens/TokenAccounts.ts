/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {DecisionLog} from 'puffinturn-decisions';
import type {SpendingLimit} from 'puffinturn-fleet';
import type {Clock} from 'shared';
import {Condition} from 'shared';

import {
  HOLDER_TARGET_S,
  MIN_TARGET_BUDGET_FRACTION,
  NON_HOLDER_TARGET_S,
  REFILL_TARGET_RATIO,
} from '../EdgeConstants';
import {TokenAccount} from './TokenAccount';
import type {TokenHolders} from './TokenHolders';

/**
 * Fraction of the free tokens that is lent beyond the need of a request, so that the
 * next request of the borrower finds some; several edges draw on one holder.
 */
const MAX_EXTRA_LENT_FRACTION = 0.25;

/** Seconds of demand that a spending limit allows to take at once. */
const MIN_BURST_S = 0.4;

/** Requests of typical size that a spending limit allows to take at once. */
const MIN_BURST_REQUESTS = 2;

/** Rate of a spending limit at first, as a multiple of the demand. */
const LIMIT_DEMAND_RATIO = 1.25;

/** Seconds without an exchange after which a spending limit allows twice the demand. */
const LIMIT_DOUBLING_S = 2.5;

/** Age at which a limit that was used is replaced, ms. */
const LIMIT_REPLACEMENT_AGE_MS = 250;

/** All token accounts of one edge, and the target balance of each. */
export class TokenAccounts {
  /** Notified when an account may need a refill. */
  readonly refillNeeded = new Condition();
  /** Notified when tokens were received or released. */
  readonly tokensAdded = new Condition();
  /** Notified when an account may exceed its target balance. */
  readonly surplusPossible = new Condition();
  private readonly byTeam = new Map<string, TokenAccount>();

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    private readonly holders: TokenHolders,
  ) {}

  all(): TokenAccount[] {
    return [...this.byTeam.values()];
  }

  /** The account of a team; created on first use. */
  getOrCreate(team: string): TokenAccount {
    const existing = this.byTeam.get(team);
    if (existing !== undefined) {
      return existing;
    }
    const account = new TokenAccount(team);
    this.byTeam.set(team, account);
    return account;
  }

  /** Tokens that may be taken beyond the withheld fraction of the target balance. */
  spendableAboveWithheld(
    account: TokenAccount,
    withheldFraction: number,
  ): number {
    const withheld =
      withheldFraction === 0
        ? 0
        : this.targetBalance(account) * withheldFraction;
    return Math.min(account.free - withheld, this.spendable(account));
  }

  /** Free tokens that the spending limits allow to take. */
  spendable(account: TokenAccount): number {
    return account.spendable(this.clock.now());
  }

  /**
   * The spending limit to announce for an account; undefined where nothing is expected to
   * be reclaimed: before any demand, and on an edge that isn't the holder.
   */
  limitFor(account: TokenAccount): SpendingLimit | undefined {
    const demandRate = account.demandRate(this.clock.now());
    if (!this.holders.isHolder(account.team) || demandRate === 0) {
      return undefined;
    }
    const perSecond = Math.max(
      demandRate,
      this.targetBalance(account) / HOLDER_TARGET_S,
    );
    const burst = Math.max(
      perSecond * MIN_BURST_S,
      account.typicalRequest * MIN_BURST_REQUESTS,
      account.waitingTokens,
    );
    return {
      burst: Math.ceil(burst),
      perSecond: Math.ceil(perSecond * LIMIT_DEMAND_RATIO),
      doublingS: LIMIT_DOUBLING_S,
    };
  }

  /** Reserves tokens; returns false if too few are free. */
  tryReserve(
    account: TokenAccount,
    tokens: number,
    withheldFraction = 0,
  ): boolean {
    if (this.spendableAboveWithheld(account, withheldFraction) < tokens) {
      return false;
    }
    account.reserve(tokens, this.clock.now());
    this.notifyIfLow(account);
    return true;
  }

  /** Lends tokens and returns the amount; 0 if too few are free. */
  lend(
    account: TokenAccount,
    need: number,
    want: number,
    withheldFraction = 0,
  ): number {
    if (
      this.spendableAboveWithheld(account, withheldFraction) < need ||
      need < 0
    ) {
      return 0;
    }
    const maxExtra = Math.floor(
      this.spendable(account) * MAX_EXTRA_LENT_FRACTION,
    );
    const given = Math.max(need, Math.min(want, maxExtra));
    account.lend(given, this.clock.now());
    if (given > 0) {
      this.logMovement(account, 'lent', -given);
    }
    this.notifyIfLow(account);
    return given;
  }

  /**
   * Tokens that this edge should hold: some seconds of the hall's demand on its
   * holder, and a small reserve for its own requests on any other edge.
   */
  targetBalance(account: TokenAccount): number {
    const demandRate = account.demandRate(this.clock.now());
    if (!this.holders.isHolder(account.team)) {
      return Math.ceil(demandRate * NON_HOLDER_TARGET_S);
    }
    const {hallCount, ownHallShare} = this.holders;
    const minimum = account.prepaid * MIN_TARGET_BUDGET_FRACTION * ownHallShare;
    // Halls can borrow from each other, so they share the largest request.
    const largest = account.largestRequest / Math.max(1, hallCount);
    const demand = demandRate * HOLDER_TARGET_S;
    const target = Math.max(minimum, largest, demand);
    return Math.ceil(Math.min(target, account.maxHeld));
  }

  /** Whether a limit should be replaced: it is nearly used up, or old and was used. */
  isLimitDue(account: TokenAccount): boolean {
    const now = this.clock.now();
    const {limits, unreportedTotal} = account;
    const isOld = limits.age(now) >= LIMIT_REPLACEMENT_AGE_MS;
    return (
      limits.isLimited &&
      (account.isLimitLow(now) || (isOld && unreportedTotal !== 0))
    );
  }

  /** Logs a transfer of tokens to or from this edge. */
  logMovement(
    {held, coreRemaining, reserved, team}: TokenAccount,
    source: string,
    amount: number,
    peer?: string,
  ): void {
    this.log.note({
      amount,
      event: 'allowance-moved',
      held,
      left: coreRemaining,
      peer,
      reserved,
      source,
      team,
    });
  }

  private notifyIfLow(account: TokenAccount): void {
    const isBalanceLow =
      account.free < this.targetBalance(account) * REFILL_TARGET_RATIO;
    if (isBalanceLow || this.isLimitDue(account)) {
      this.refillNeeded.notify();
    }
  }
}
