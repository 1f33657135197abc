/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Prepaid tokens in the hands of one edge. A request reserves the most that it
 * can cost and is settled at what it did cost. Tokens come from the core, which
 * counts them as spent from then on, or from another edge; they are held for
 * some seconds of demand, so that a cut from the core stops no request.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {
  AllowanceAsk,
  AllowanceGrant,
  AllowanceReply,
  AllowanceRequest,
  BorrowReply,
  BorrowRequest,
  Gift,
  GiveRequest,
  Team,
} from 'puffinturn-fleet';
import {FLEET_SERVICE} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {Condition, sleepUnlessNotified, TaskGroup} from 'shared';

import {
  ALLOWANCE_FLOOR_SHARE,
  ALLOWANCE_SECONDS,
  ALLOWANCE_TICK_MS,
  ALLOWANCE_WAIT_MS,
  BORROW_MS,
  DEMAND_WINDOW_MS,
  EXCHANGE_MS,
  EXHAUSTED_MS,
} from './EdgeConstants';

/** What came of asking for tokens. */
export const RESERVE = {
  /** The tokens are set aside. */
  held: 'held',
  /** The request does not fit into what is left of the budget. */
  exhausted: 'exhausted',
  /** Who could tell can't be reached. */
  unavailable: 'unavailable',
} as const;

/** One of RESERVE. */
export type ReserveOutcome = (typeof RESERVE)[keyof typeof RESERVE];

/** What Allowances is made of. */
export interface AllowancesParts {
  readonly box: string;
  /** One life of this edge. */
  readonly holder: string;
  readonly clock: Clock;
  readonly link: Link;
  readonly log: DecisionLog;
  /** Control boxes, the one to ask first at the front. */
  readonly controls: () => readonly string[];
  /** The other edges. */
  readonly peers: () => readonly string[];
}

/** Tokens of one team here. */
class Account {
  /** Tokens here, reserved ones included. */
  held = 0;
  reserved = 0;
  prepaid = 0;
  /** Tokens a second, as measured. */
  rate = 0;
  largest = 0;
  /** When the first request was counted, ms. */
  since = Infinity;
  /** Tokens spent since the last exchange. */
  spent = 0;
  /** Tokens lent, less those borrowed, since the last exchange. */
  lent = 0;
  /** What the core had left at the last exchange. */
  left: number | undefined;
  exhaustedUntil = -Infinity;
  exhaustedNeed = Infinity;
  /** Whether all that is free must go back to the core. */
  recalled = false;
  /** The most that a waiting request needs. */
  need = 0;

  constructor(readonly team: string) {}

  get free(): number {
    return this.held - this.reserved;
  }
}

/** Longest sleep of a waiting request between looks, ms. */
const LOOK_MS = 40;

/** More is asked for below this part of what is to be held. */
const REFILL_BELOW = 0.7;

/** Tokens go back above this multiple of what is to be held. */
const RETURN_ABOVE = 1.5;

/** Spending is told to the core above this part of what is to be held. */
const REPORT_ABOVE = 0.1;

/** Least part of the window that a demand must have been measured for. */
const LEAST_MEASURED = 0.15;

/** Edges asked for tokens at the same time. */
const BORROW_AT_ONCE = 3;

/** See the module comment. */
export class Allowances implements AsyncDisposable {
  private readonly accounts = new Map<string, Account>();
  private readonly tasks = new TaskGroup();
  private readonly wanted = new Condition();
  private readonly moved = new Condition();
  private readonly registration: Disposable;
  private readonly gifts: Disposable;
  private sequence = 0;
  private measuredAt: number;
  /** The newest exchange that was answered. */
  private answeredSequence = 0;
  private coreAnswers = true;
  private closing = false;
  private exchanging: Promise<void> = Promise.resolve();

  constructor(private readonly parts: AllowancesParts) {
    this.measuredAt = parts.clock.now();
    this.registration = parts.link.register(
      FLEET_SERVICE.borrow,
      async (body) => this.lend(body as BorrowRequest),
    );
    this.gifts = parts.link.register(FLEET_SERVICE.give, async (body) =>
      this.receive(body as GiveRequest),
    );
    this.tasks.start((signal) => {
      this.exchanging = this.runExchanges(signal);
      return this.exchanging;
    });
  }

  /** Takes over what a configuration says of budgets. */
  configure(teams: readonly Team[]): void {
    for (const {name, prepaidTokens = 0} of teams) {
      const account = this.accountOf(name);
      if (prepaidTokens !== account.prepaid) {
        // What is free goes back first where the budget was lowered.
        account.recalled ||= prepaidTokens < account.prepaid;
        account.exhaustedUntil = -Infinity;
        account.left = undefined;
        account.prepaid = prepaidTokens;
      }
    }
    this.wanted.notify();
  }

  /** Figures for metrics. */
  status(): readonly {team: string; held: number; reserved: number}[] {
    return [...this.accounts.values()].map(({held, reserved, team}) => ({
      held,
      reserved,
      team,
    }));
  }

  /** Sets tokens aside; waits a moment for more where there are too few. */
  async reserve(team: string, tokens: number): Promise<ReserveOutcome> {
    const account = this.accountOf(team);
    account.largest = Math.max(account.largest, tokens);
    if (this.take(account, tokens)) {
      return RESERVE.held;
    }
    const {clock} = this.parts;
    if (this.knownExhausted(account, tokens)) {
      return RESERVE.exhausted;
    }
    const until = clock.now() + ALLOWANCE_WAIT_MS;
    account.need = Math.max(account.need, tokens);
    // An exchange that is under way does not ask for this request yet.
    const before = this.sequence;
    this.wanted.notify();
    let borrowing = this.coreAnswers ? undefined : this.borrow(account, tokens);
    while (clock.now() < until && !this.tasks.ended) {
      await sleepUnlessNotified(clock, this.moved, LOOK_MS, this.tasks.signal);
      if (this.take(account, tokens)) {
        return RESERVE.held;
      }
      const answered = this.answeredSequence > before;
      if (answered && (account.left ?? 0) < tokens) {
        break;
      }
      borrowing ??= answered ? undefined : this.borrow(account, tokens);
    }
    const coreAnswered = this.answeredSequence > before;
    return this.decide(account, tokens, coreAnswered, borrowing);
  }

  /** Ends a reservation; the rest is free again. */
  settle(team: string, reserved: number, spent: number): void {
    const account = this.accountOf(team);
    account.reserved -= reserved;
    account.held -= spent;
    account.spent += spent;
    account.since = Math.min(account.since, this.parts.clock.now());
    account.rate += (spent * 1_000) / DEMAND_WINDOW_MS;
    this.moved.notify();
  }

  /**
   * Hands all free tokens on, as this edge stops: to the core, or to another
   * edge while the core does not answer. What neither takes is lost.
   */
  async close(): Promise<void> {
    this.closing = true;
    this.wanted.notify();
    if (!this.coreAnswers) {
      await this.giveAway();
      return;
    }
    // An exchange under way may still bring tokens.
    await this.exchanging;
    const asks = [...this.accounts.values()]
      .filter(({free}) => free > 0)
      .map((account) => this.askFor(account, 0, 0, account.free));
    if (asks.length > 0) {
      this.sequence += 1;
      await this.exchange(asks);
    }
  }

  /** Each gift is sent once: one that may have arrived is not sent again. */
  private async giveAway(): Promise<void> {
    const gifts = [...this.accounts.values()]
      .filter(({free}) => free > 0)
      .map((account): Gift => {
        const amount = account.free;
        account.held -= amount;
        account.lent += amount;
        this.noteMove(account, 'given', -amount);
        return {amount, team: account.team};
      });
    const {link, peers} = this.parts;
    for (const peer of peers()) {
      if (gifts.length === 0) {
        return;
      }
      const answer = await link.call(
        peer,
        FLEET_SERVICE.give,
        {gifts} satisfies GiveRequest,
        BORROW_MS,
      );
      if (answer.isOk() || answer.error.kind !== 'not-sent') {
        return;
      }
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.registration[Symbol.dispose]();
    this.gifts[Symbol.dispose]();
    this.tasks.abort();
    this.wanted.notify();
    this.moved.notify();
    await this.tasks[Symbol.asyncDispose]();
  }

  private accountOf(team: string): Account {
    const known = this.accounts.get(team);
    if (known !== undefined) {
      return known;
    }
    const account = new Account(team);
    this.accounts.set(team, account);
    return account;
  }

  private take(account: Account, tokens: number): boolean {
    if (account.free < tokens) {
      return false;
    }
    account.reserved += tokens;
    if (account.free < this.wantOf(account) * REFILL_BELOW) {
      this.wanted.notify();
    }
    return true;
  }

  private knownExhausted(account: Account, tokens: number): boolean {
    return (
      this.parts.clock.now() < account.exhaustedUntil &&
      tokens >= account.exhaustedNeed
    );
  }

  private async decide(
    account: Account,
    tokens: number,
    coreAnswered: boolean,
    borrowing: Promise<boolean> | undefined,
  ): Promise<ReserveOutcome> {
    const peersAnswered = await (borrowing ?? this.borrow(account, tokens));
    if (this.take(account, tokens)) {
      return RESERVE.held;
    }
    if (!coreAnswered || !peersAnswered) {
      return RESERVE.unavailable;
    }
    account.exhaustedUntil = this.parts.clock.now() + EXHAUSTED_MS;
    account.exhaustedNeed = tokens;
    return RESERVE.exhausted;
  }

  // Other edges

  /** Asks the other edges, a few at a time; true when all of them answered. */
  private async borrow(account: Account, tokens: number): Promise<boolean> {
    let allAnswered = true;
    const peers = [...this.parts.peers()];
    while (peers.length > 0 && account.free < tokens) {
      const round = peers.splice(0, BORROW_AT_ONCE);
      const need = tokens - account.free;
      const answers = await Promise.all(
        round.map((peer) => this.borrowFrom(peer, account, need)),
      );
      allAnswered &&= answers.every((answered) => answered);
    }
    this.moved.notify();
    return allAnswered;
  }

  private async borrowFrom(
    peer: string,
    account: Account,
    need: number,
  ): Promise<boolean> {
    const {team} = account;
    const request: BorrowRequest = {need, team};
    const answer = await this.parts.link.call(
      peer,
      FLEET_SERVICE.borrow,
      request,
      BORROW_MS,
    );
    if (answer.isErr()) {
      return false;
    }
    const {given} = answer.value as BorrowReply;
    if (given > 0) {
      account.held += given;
      account.lent -= given;
      this.noteMove(account, peer, given);
    }
    return true;
  }

  private lend({need, team}: BorrowRequest): BorrowReply {
    const account = this.accounts.get(team);
    const given = Math.max(0, Math.min(need, account?.free ?? 0));
    if (account !== undefined && given > 0) {
      account.held -= given;
      account.lent += given;
      this.noteMove(account, 'lent', -given);
    }
    return {given};
  }

  private receive({gifts}: GiveRequest): null {
    for (const {amount, team} of gifts) {
      const account = this.accountOf(team);
      account.held += amount;
      account.lent -= amount;
      this.noteMove(account, 'gift', amount);
    }
    this.moved.notify();
    return null;
  }

  // The core

  private async runExchanges(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted && !this.closing) {
      if (!this.someoneWaits()) {
        await sleepUnlessNotified(
          clock,
          this.wanted,
          ALLOWANCE_TICK_MS,
          signal,
        );
      }
      if (this.closing) {
        return;
      }
      this.measure();
      const asks = this.compose();
      if (asks.length > 0 && !signal.aborted) {
        this.sequence += 1;
        await this.exchangeUntilAnswered(asks, signal);
      }
    }
  }

  /** Whether a request came to wait while an exchange was under way. */
  private someoneWaits(): boolean {
    return [...this.accounts.values()].some(({need}) => need > 0);
  }

  private measure(): void {
    const now = this.parts.clock.now();
    const decay = Math.exp((this.measuredAt - now) / DEMAND_WINDOW_MS);
    this.measuredAt = now;
    for (const account of this.accounts.values()) {
      account.rate *= decay;
    }
  }

  /** Tokens to hold: some seconds of demand, or a little for the first. */
  private wantOf(account: Account): number {
    const edges = this.parts.peers().length + 1;
    const floor = (account.prepaid * ALLOWANCE_FLOOR_SHARE) / edges;
    const rate = this.rateOf(account);
    const demand = rate * ALLOWANCE_SECONDS + account.largest;
    return Math.ceil(Math.max(floor, demand));
  }

  /** Tokens that requests spend here, a second. */
  private rateOf(account: Account): number {
    const now = this.parts.clock.now();
    const measured = 1 - Math.exp((account.since - now) / DEMAND_WINDOW_MS);
    return account.rate / Math.max(LEAST_MEASURED, measured);
  }

  private compose(): AllowanceAsk[] {
    const asks: AllowanceAsk[] = [];
    for (const account of this.accounts.values()) {
      const want = this.wantOf(account);
      const need = Math.max(0, account.need - account.free);
      account.need = 0;
      if (account.recalled) {
        account.recalled = false;
        const back = Math.max(0, account.free);
        asks.push(this.askFor(account, need, want, back));
        continue;
      }
      const dry = account.left !== undefined && account.left <= 0;
      if (need > 0 || (account.free < want * REFILL_BELOW && !dry)) {
        const more = Math.max(need, Math.ceil(want - account.free));
        asks.push(this.askFor(account, need, more, 0));
      } else if (account.free > want * RETURN_ABOVE) {
        const back = Math.floor(account.free - want);
        asks.push(this.askFor(account, 0, 0, back));
      } else if (account.spent > want * REPORT_ABOVE) {
        asks.push(this.askFor(account, 0, 0, 0));
      }
    }
    return asks;
  }

  private askFor(
    account: Account,
    need: number,
    want: number,
    back: number,
  ): AllowanceAsk {
    account.held -= back;
    if (back > 0) {
      this.noteMove(account, 'returned', -back);
    }
    const {lent, spent, team} = account;
    account.lent = 0;
    account.spent = 0;
    return {back, lent, need, spent, team, want};
  }

  /** An exchange whose answer was lost is sent again under its number. */
  private async exchangeUntilAnswered(
    asks: readonly AllowanceAsk[],
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      const grants = await this.exchange(asks);
      this.coreAnswers = grants !== undefined;
      if (grants !== undefined) {
        this.credit(grants);
        return;
      }
      await this.parts.clock.sleep(ALLOWANCE_TICK_MS / 2, signal);
    }
  }

  private async exchange(
    asks: readonly AllowanceAsk[],
  ): Promise<readonly AllowanceGrant[] | undefined> {
    const {box, controls, holder, link} = this.parts;
    const {sequence} = this;
    const request: AllowanceRequest = {asks, box, holder, sequence};
    for (const control of controls().slice(0, 3)) {
      const answer = await link.call(
        control,
        FLEET_SERVICE.allowance,
        request,
        EXCHANGE_MS,
      );
      if (answer.isOk()) {
        const {grants} = answer.value as AllowanceReply;
        if (grants !== undefined && grants !== null) {
          return grants;
        }
      } else {
        this.coreAnswers = false;
      }
    }
    return undefined;
  }

  private credit(grants: readonly AllowanceGrant[]): void {
    this.answeredSequence = this.sequence;
    for (const {granted, left, team} of grants) {
      const account = this.accountOf(team);
      account.held += granted;
      account.left = left;
      if (granted > 0) {
        this.noteMove(account, 'core', granted);
      }
    }
    this.moved.notify();
  }

  private noteMove(account: Account, source: string, amount: number): void {
    const {held, left, reserved, team} = account;
    this.parts.log.note({
      amount,
      event: 'allowance-moved',
      held,
      left,
      reserved,
      source,
      team,
    });
  }
}
