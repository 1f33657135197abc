/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** All token accounts of one edge, and how much each of them should hold. */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Clock} from 'shared';
import {Condition} from 'shared';

import {
  ALLOWANCE_FLOOR_SHARE,
  ALLOWANCE_SECONDS,
  FLOAT_SECONDS,
  REFILL_BELOW,
} from '../EdgeConstants';
import {TokenAccount} from './TokenAccount';
import type {TokenHolders} from './TokenHolders';

/**
 * Part of what is free that is lent beyond what was needed, so that the next
 * request of the borrower finds some; several edges draw on one holder.
 */
const MOST_LENT_UNASKED = 0.25;

/** See the module comment. */
export class TokenBook {
  /** Notified when an account may have to be filled up. */
  readonly wanted = new Condition();
  /** Notified when tokens have come in or have become free. */
  readonly moved = new Condition();
  /** Notified when an account may hold more than is wanted. */
  readonly freed = new Condition();
  private readonly accounts = new Map<string, TokenAccount>();

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    private readonly holders: TokenHolders,
  ) {}

  /** Every account. */
  all(): TokenAccount[] {
    return [...this.accounts.values()];
  }

  /** The account of a team, a new one if there is none. */
  accountOf(team: string): TokenAccount {
    const known = this.accounts.get(team);
    if (known !== undefined) {
      return known;
    }
    const account = new TokenAccount(team);
    this.accounts.set(team, account);
    return account;
  }

  /** Tokens free for a request that must leave a part of what is wanted. */
  freeBeyond(account: TokenAccount, keepPart: number): number {
    const kept = keepPart === 0 ? 0 : this.wantOf(account) * keepPart;
    return account.free - kept;
  }

  /** Sets tokens aside where enough are free. */
  take(account: TokenAccount, tokens: number, keepPart = 0): boolean {
    if (this.freeBeyond(account, keepPart) < tokens) {
      return false;
    }
    account.reserve(tokens, this.clock.now());
    this.lookAfter(account);
    return true;
  }

  /** Lends tokens where enough are free; 0 where they are not. */
  lend(
    account: TokenAccount,
    need: number,
    want: number,
    keepPart = 0,
  ): number {
    if (this.freeBeyond(account, keepPart) < need || need < 0) {
      return 0;
    }
    const spare = Math.floor(account.free * MOST_LENT_UNASKED);
    const given = Math.max(need, Math.min(want, spare));
    account.lend(given, this.clock.now());
    if (given > 0) {
      this.noteMove(account, 'lent', -given);
    }
    this.lookAfter(account);
    return given;
  }

  /**
   * Tokens to hold: at the holder of a hall some seconds of the hall's demand,
   * elsewhere only a float for this edge's own next requests.
   */
  wantOf(account: TokenAccount): number {
    const rate = account.rate(this.clock.now());
    if (!this.holders.isHolder(account.team)) {
      return Math.ceil(rate * FLOAT_SECONDS);
    }
    const {hallCount, share} = this.holders;
    const floor = account.prepaid * ALLOWANCE_FLOOR_SHARE * share;
    // Halls lend to each other, so together they hold the largest request.
    const largest = account.largest / Math.max(1, hallCount);
    const demand = rate * ALLOWANCE_SECONDS;
    const want = Math.max(floor, largest, demand);
    return Math.ceil(Math.min(want, account.mostHeld));
  }

  /** Writes a movement of tokens down. */
  noteMove(
    {held, left, reserved, team}: TokenAccount,
    source: string,
    amount: number,
    peer?: string,
  ): void {
    this.log.note({
      amount,
      event: 'allowance-moved',
      held,
      left,
      peer,
      reserved,
      source,
      team,
    });
  }

  private lookAfter(account: TokenAccount): void {
    if (account.free < this.wantOf(account) * REFILL_BELOW) {
      this.wanted.notify();
    }
  }
}
