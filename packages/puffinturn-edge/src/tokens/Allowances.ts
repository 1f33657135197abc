/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Prepaid tokens in the hands of the edges. A request reserves the most that it
 * can cost and is settled at what it did cost. In each hall one edge holds a
 * team's tokens for all edges of the hall: some seconds of their demand, so that
 * a cut from the core stops no request. What an edge holds is lost as it dies, so
 * it holds little before there is demand, and less the less of a budget is left.
 * The others ask it for what a request lacks and hand back what is over.
 */
import type {DecisionLog, TeamTokens, TokenFacts} from 'puffinturn-decisions';
import type {
  BorrowReply,
  BorrowRequest,
  BoxRecord,
  Regions,
  Team,
} from 'puffinturn-fleet';
import {LOAN} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {sleepUnlessNotified, TaskGroup} from 'shared';

import {
  ALLOWANCE_SECONDS,
  ALLOWANCE_WAIT_MS,
  HAND_ON_AFTER_MS,
} from '../EdgeConstants';
import {CoreExchange} from './CoreExchange';
import type {TokenAccount} from './TokenAccount';
import {TokenBook} from './TokenBook';
import {TokenGifts} from './TokenGifts';
import {TokenHolders} from './TokenHolders';
import type {BorrowedElsewhere} from './TokenLoans';
import {TokenLoans} from './TokenLoans';

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
  readonly hall: string;
  /** One life of this edge. */
  readonly life: string;
  readonly clock: Clock;
  readonly link: Link;
  readonly log: DecisionLog;
  /** Control boxes, the one to ask first at the front. */
  readonly controls: () => readonly string[];
  /** The other edges; a new array where the list has changed. */
  readonly peers: () => readonly BoxRecord[];
  /** The region of each hall; without them all halls are together. */
  readonly regions?: Regions | undefined;
}

/** How often surplus is looked for where no request has ended, ms. */
const SURPLUS_TICK_MS = 4_000;

/**
 * Edges of the hall that are asked before this one acts as the holder. In a hall
 * of forty a request must not wait for each one that has lost power.
 */
const HOLDERS_ASKED = 2;

/** Longest sleep of a waiting request between looks, ms. */
const LOOK_MS = 40;

/**
 * The part of a team's demand that is more urgent than its least urgent requests.
 * Where these are a third of the requests, all others are served in a cut under
 * twice the usual load, and 85 to 94 in 100 if all are treated alike (TokenUrgency
 * test, virtual time, three seeds).
 */
const URGENT_PART = 0.75;

/** Tokens that a request, or another edge, wants from an account. */
interface Demand {
  readonly account: TokenAccount;
  readonly tokens: number;
  /** The part of what should be held that is left to more urgent requests. */
  readonly keepPart: number;
  /** Tries to take them, leaving such a part here; true when it has them. */
  readonly claim: (kept: number) => boolean;
}

/** See the module comment. */
export class Allowances implements AsyncDisposable {
  private readonly book: TokenBook;
  private readonly holders: TokenHolders;
  private readonly core: CoreExchange;
  private readonly loans: TokenLoans;
  private readonly gifts: TokenGifts;
  private readonly tasks = new TaskGroup();
  private closing = false;

  constructor(private readonly parts: AllowancesParts) {
    const {clock, link, log, peers} = parts;
    this.holders = new TokenHolders(parts, clock, peers, parts.regions);
    this.book = new TokenBook(clock, log, this.holders);
    const shared = {
      book: this.book,
      clock,
      holders: this.holders,
      life: parts.life,
      link,
    };
    this.core = new CoreExchange({...parts, ...shared});
    this.loans = new TokenLoans({
      ...shared,
      lend: (request) => this.lend(request),
    });
    this.gifts = new TokenGifts({...shared, refuses: () => this.closing});
    this.tasks.start((signal) => this.core.run(signal));
    this.tasks.start((signal) => this.handSurplusOn(signal));
  }

  /** Takes over what a configuration says of budgets. */
  configure(teams: readonly Team[]): void {
    for (const {name, prepaidTokens = 0} of teams) {
      this.book.accountOf(name).budget(prepaidTokens);
    }
    this.book.wanted.notify();
    this.book.freed.notify();
  }

  /** Figures for metrics and totals. */
  status(): readonly TeamTokens[] {
    return this.book.all().map(({charged, held, reserved, team}) => ({
      charged,
      held,
      reserved,
      team,
    }));
  }

  /** What is known here of a team's tokens, for the line of a refusal. */
  factsOf(team: string): TokenFacts {
    const {held, left, leftAt, reserved} = this.book.accountOf(team);
    const age =
      leftAt === undefined ? undefined : this.parts.clock.now() - leftAt;
    return {
      coreAnswers: this.core.answers,
      held,
      holder: this.holders.ahead(team)[0] ?? this.parts.box,
      left,
      leftAgeMs: age === undefined ? undefined : Math.round(age),
      reserved,
    };
  }

  /**
   * Sets tokens aside; waits a moment for more where there are too few. A request
   * that gives way leaves tokens for others while no more are to be had.
   */
  async reserve(
    team: string,
    tokens: number,
    isLeastUrgent = false,
  ): Promise<ReserveOutcome> {
    const account = this.book.accountOf(team);
    account.largest = Math.max(account.largest, tokens);
    const demand: Demand = {
      account,
      claim: (kept) => this.book.take(account, tokens, kept),
      keepPart: isLeastUrgent ? URGENT_PART : 0,
      tokens,
    };
    return this.secure(demand, () => this.obtain(demand));
  }

  /** Ends a reservation; the rest is free again. */
  settle(team: string, reserved: number, spent: number): void {
    const account = this.book.accountOf(team);
    account.settle(reserved, spent, this.parts.clock.now());
    this.book.moved.notify();
    this.book.freed.notify();
  }

  /**
   * Hands all free tokens on, as this edge stops: the float to the holders of
   * the hall, and what is held for the hall to the core, or to the next holder
   * while the core does not answer. What is taken by none is lost.
   */
  async close(): Promise<void> {
    this.closing = true;
    await this.gifts.handOn(({team}) => !this.holders.isHolder(team));
    if (this.core.answers) {
      await this.core.close();
    }
    await this.gifts.handOn(() => true);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.gifts[Symbol.dispose]();
    await this.loans[Symbol.asyncDispose]();
    this.tasks.abort();
    this.book.wanted.notify();
    this.book.moved.notify();
    await this.tasks[Symbol.asyncDispose]();
  }

  /** Claims tokens, or finds some first where that is not known to be vain. */
  private async secure(
    demand: Demand,
    find: () => Promise<ReserveOutcome>,
  ): Promise<ReserveOutcome> {
    const {account, tokens} = demand;
    const {clock} = this.parts;
    if (this.claims(demand)) {
      return RESERVE.held;
    }
    if (account.knownExhausted(tokens, clock.now())) {
      return RESERVE.exhausted;
    }
    const outcome = await find();
    if (outcome === RESERVE.exhausted) {
      account.exhausted(tokens, clock.now());
    }
    return outcome;
  }

  /** Asks the holder of the hall; without one that answers, acts as one. */
  private async obtain(demand: Demand): Promise<ReserveOutcome> {
    const {account, keepPart, tokens} = demand;
    const ahead = this.holders.ahead(account.team).slice(0, HOLDERS_ASKED);
    for (const box of ahead) {
      const reply = await this.loans.borrowFrom(box, account, tokens, {
        gather: true,
        keepPart,
      });
      if (this.claims(demand)) {
        return RESERVE.held;
      }
      if (reply !== undefined && reply.outcome !== LOAN.lent) {
        return reply.outcome === LOAN.exhausted
          ? RESERVE.exhausted
          : RESERVE.unavailable;
      }
    }
    return this.gather(demand);
  }

  /** Takes what is wanted, leaving what must stay here. */
  private claims(demand: Demand): boolean {
    return demand.claim(this.keptHere(demand.account, demand.keepPart));
  }

  /**
   * The part of what should be held here that a request must leave: what urgent
   * ones will need for the rest of the time that it should last. None while the
   * core can grant as much again, and none at an edge that is no holder.
   */
  private keptHere(account: TokenAccount, keepPart: number): number {
    if (keepPart === 0 || !this.holders.isHolder(account.team)) {
      return 0;
    }
    const left = account.left ?? Infinity;
    if (this.core.answers && left > this.book.wantOf(account)) {
      return 0;
    }
    const passed = this.core.silentMs / (ALLOWANCE_SECONDS * 1_000);
    return keepPart * Math.max(0, 1 - passed);
  }

  /**
   * What is here is kept for more urgent requests, and the core can't grant more;
   * but other halls may have more than they keep.
   */
  private async claimFromPlenty({
    account,
    claim,
    keepPart,
    tokens,
  }: Demand): Promise<ReserveOutcome> {
    const {borrowed} = await this.loans.borrowElsewhere(
      account,
      account.free + tokens,
      keepPart,
    );
    const claimed = borrowed >= tokens && claim(0);
    return claimed ? RESERVE.held : RESERVE.unavailable;
  }

  /** Waits for the core, and asks the holders of the other halls. */
  private async gather(demand: Demand): Promise<ReserveOutcome> {
    const {account, keepPart, tokens} = demand;
    const {clock} = this.parts;
    if (!this.core.answers && account.free >= tokens) {
      return this.claimFromPlenty(demand);
    }
    using _waiting = account.waitFor(tokens);
    // Another region is asked for nothing once the request has its tokens.
    let waits = true;
    using _ended = {[Symbol.dispose]: () => void (waits = false)};
    const borrow = (): Promise<BorrowedElsewhere> =>
      this.loans.borrowElsewhere(account, tokens, keepPart, () => waits);
    const mark = this.core.mark;
    const until = clock.now() + ALLOWANCE_WAIT_MS;
    this.book.wanted.notify();
    let borrowing = this.core.answers ? undefined : borrow();
    while (clock.now() < until && !this.tasks.ended) {
      await sleepUnlessNotified(
        clock,
        this.book.moved,
        LOOK_MS,
        this.tasks.signal,
      );
      if (this.claims(demand)) {
        return RESERVE.held;
      }
      const answered = this.core.answeredSince(mark);
      if (answered && this.lacksMore(account, tokens)) {
        break;
      }
      borrowing ??= answered ? undefined : borrow();
    }
    const coreAnswered = this.core.answeredSince(mark);
    const {allAnswered} = await (borrowing ?? borrow());
    if (this.claims(demand)) {
      return RESERVE.held;
    }
    const certain =
      coreAnswered && allAnswered && this.lacksMore(account, tokens);
    return certain ? RESERVE.exhausted : RESERVE.unavailable;
  }

  /** Whether what is missing is more than the core had left. */
  private lacksMore(account: TokenAccount, tokens: number): boolean {
    return (account.left ?? 0) < tokens - account.free;
  }

  private async lend(request: BorrowRequest): Promise<BorrowReply> {
    const {gather, keepPart = 0, need, team, want} = request;
    if (this.closing) {
      return {given: 0, outcome: LOAN.closing};
    }
    const account = this.book.accountOf(team);
    account.largest = Math.max(account.largest, need);
    if (!gather) {
      const kept = this.keptHere(account, keepPart);
      const beyond = Math.floor(this.book.freeBeyond(account, kept));
      const spare = Math.max(0, Math.min(account.spare, beyond));
      const amount = Math.max(0, Math.min(need, spare));
      const given = this.book.lend(account, amount, Math.min(want, spare));
      return {given, outcome: LOAN.lent};
    }
    let given = 0;
    const demand: Demand = {
      account,
      claim: (kept) => {
        given = this.book.lend(account, need, want, kept);
        return given > 0 || need === 0;
      },
      keepPart,
      tokens: need,
    };
    const outcome = await this.secure(demand, () => this.gather(demand));
    return {
      given,
      outcome: outcome === RESERVE.held ? LOAN.lent : LOAN[outcome],
    };
  }

  private async handSurplusOn(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted && !this.closing) {
      const {freed} = this.book;
      await sleepUnlessNotified(clock, freed, SURPLUS_TICK_MS, signal);
      await clock.sleep(HAND_ON_AFTER_MS, signal);
      if (!signal.aborted && !this.closing) {
        await this.gifts.handSurplusOn();
      }
    }
  }
}
