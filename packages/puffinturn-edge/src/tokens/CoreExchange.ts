/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Exchanges of one edge with the core, which counts tokens as spent from the
 * moment it grants them. An exchange has a number in this edge's life and is
 * done once however often it is sent.
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

import {askForGrants} from '../ControlQuestions';
import {
  ALLOWANCE_TICK_MS,
  EXCHANGE_AGAIN_MS,
  EXCHANGE_MS,
  HOLD_AFTER_MS,
  REFILL_BELOW,
  RETURN_ABOVE,
} from '../EdgeConstants';
import type {TokenAccount} from './TokenAccount';
import type {TokenBook} from './TokenBook';
import type {TokenHolders} from './TokenHolders';

/** Spending is told to the core above this part of what is to be held. */
const REPORT_ABOVE = 0.25;

/** The same for an edge that is no holder, as a part of the whole budget. */
const REPORT_ABOVE_BUDGET = 0.01;

/** Less than this part of the whole budget is not worth handing back. */
const LEAST_RETURNED = 0.002;

/** What a CoreExchange is made of. */
export interface CoreExchangeParts {
  readonly box: string;
  /** One life of this edge. */
  readonly life: string;
  readonly clock: Clock;
  readonly link: Link;
  /** Control boxes, the one to ask first at the front. */
  readonly controls: () => readonly string[];
  readonly book: TokenBook;
  readonly holders: TokenHolders;
}

/** See the module comment. */
export class CoreExchange {
  private readonly startedAt: number;
  private sequence = 0;
  private answeredSequence = 0;
  private answering = true;
  private closing = false;
  private running: Promise<void> = Promise.resolve();
  private measuredAt: number;
  private lastAnswerAt: number;

  constructor(private readonly parts: CoreExchangeParts) {
    this.startedAt = parts.clock.now();
    this.measuredAt = this.startedAt;
    this.lastAnswerAt = this.startedAt;
  }

  /** Whether the last exchange was answered. */
  get answers(): boolean {
    return this.answering;
  }

  /** How long the core has not answered, ms; 0 while it does. */
  get silentMs(): number {
    return this.answering ? 0 : this.parts.clock.now() - this.lastAnswerAt;
  }

  /** A mark for `answeredSince`: an exchange under way began before it. */
  get mark(): number {
    return this.sequence;
  }

  /** Whether an exchange that began after a mark was answered. */
  answeredSince(mark: number): boolean {
    return this.answeredSequence > mark;
  }

  /** Fills accounts up and reports what they spent, until the signal. */
  run(signal: AbortSignal): Promise<void> {
    this.running = this.runExchanges(signal);
    return this.running;
  }

  /** Hands all that is free back; an exchange under way may still bring some. */
  async close(): Promise<void> {
    const {book} = this.parts;
    this.closing = true;
    book.wanted.notify();
    await this.running;
    const asks = book
      .all()
      .filter(({free}) => free > 0)
      .map((account) => this.askFor(account, 0, 0, account.free));
    if (asks.length > 0) {
      this.sequence += 1;
      await this.exchange(asks);
    }
  }

  private async runExchanges(signal: AbortSignal): Promise<void> {
    const {book, clock} = this.parts;
    while (!signal.aborted && !this.closing) {
      if (!this.someoneWaits()) {
        await sleepUnlessNotified(
          clock,
          book.wanted,
          ALLOWANCE_TICK_MS,
          signal,
        );
      }
      if (this.closing) {
        return;
      }
      this.fade();
      const asks = this.compose();
      if (asks.length > 0 && !signal.aborted) {
        this.sequence += 1;
        await this.exchangeUntilAnswered(asks, signal);
      }
    }
  }

  /** Whether a request came to wait while an exchange was under way. */
  private someoneWaits(): boolean {
    return this.parts.book.all().some(({need}) => need > 0);
  }

  private fade(): void {
    const now = this.parts.clock.now();
    for (const account of this.parts.book.all()) {
      account.fade(now - this.measuredAt);
    }
    this.measuredAt = now;
  }

  private compose(): AllowanceAsk[] {
    const asks: AllowanceAsk[] = [];
    for (const account of this.parts.book.all()) {
      const ask = this.composeFor(account);
      if (ask !== undefined) {
        asks.push(ask);
      }
    }
    return asks;
  }

  private composeFor(account: TokenAccount): AllowanceAsk | undefined {
    const {book, clock, holders} = this.parts;
    const {free, need, prepaid} = account;
    const want = book.wantOf(account);
    const isHolder = holders.isHolder(account.team);
    if (account.recalled && isHolder) {
      account.recalled = false;
      return this.askFor(account, need, want, Math.max(0, free));
    }
    const dry = account.left !== undefined && account.left <= 0;
    // The first list of boxes names only some; the holders settle after it.
    const settled = clock.now() - this.startedAt > HOLD_AFTER_MS;
    const fills = isHolder && settled && free < want * REFILL_BELOW && !dry;
    if (need > 0 || fills) {
      const missing = isHolder ? Math.ceil(want - free) : 0;
      return this.askFor(account, need, Math.max(need, missing), 0);
    }
    const surplus = Math.floor(free - want);
    const much = free > want * RETURN_ABOVE;
    if (isHolder && much && surplus > prepaid * LEAST_RETURNED) {
      return this.askFor(account, 0, 0, surplus);
    }
    const budgetPart = prepaid * REPORT_ABOVE_BUDGET;
    const quiet = isHolder ? want * REPORT_ABOVE : budgetPart;
    return Math.abs(account.unreported) > quiet
      ? this.askFor(account, 0, 0, 0)
      : undefined;
  }

  private askFor(
    account: TokenAccount,
    need: number,
    want: number,
    back: number,
  ): AllowanceAsk {
    account.held -= back;
    if (back > 0) {
      this.parts.book.noteMove(account, 'returned', -back);
    }
    const {lent, spent, team} = account;
    const {share} = this.parts.holders;
    account.lent = 0;
    account.spent = 0;
    return {back, lent, need, share, spent, team, want};
  }

  /** An exchange whose answer was lost is sent again under its number. */
  private async exchangeUntilAnswered(
    asks: readonly AllowanceAsk[],
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      const grants = await this.exchange(asks);
      this.answering = grants !== undefined;
      if (grants !== undefined) {
        this.credit(grants);
        return;
      }
      await this.parts.clock.sleep(EXCHANGE_AGAIN_MS, signal);
    }
  }

  private async exchange(
    asks: readonly AllowanceAsk[],
  ): Promise<readonly AllowanceGrant[] | undefined> {
    const {box, controls, life, link} = this.parts;
    const {sequence} = this;
    const request: AllowanceRequest = {asks, box, holder: life, sequence};
    return askForGrants<readonly AllowanceGrant[]>(link, controls(), {
      answerMs: EXCHANGE_MS,
      onSilent: () => (this.answering = false),
      request,
      service: FLEET_SERVICE.allowance,
    });
  }

  private credit(grants: readonly AllowanceGrant[]): void {
    const {book, clock} = this.parts;
    this.answeredSequence = this.sequence;
    this.lastAnswerAt = clock.now();
    for (const {granted, left, mostHeld, team} of grants) {
      const account = book.accountOf(team);
      account.held += granted;
      account.left = left;
      account.leftAt = clock.now();
      account.mostHeld = mostHeld;
      if (granted > 0) {
        book.noteMove(account, 'core', granted);
      }
    }
    book.moved.notify();
  }
}
