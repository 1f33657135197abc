/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Loans of tokens between edges. Each has a number in its borrower's life. One
 * whose answer does not come in time may have been granted, so the borrower
 * asks for its outcome until the lender tells it: nothing is lost on the way,
 * and since only the borrower credits it, nothing can count twice.
 */
import {LRUCache} from 'lru-cache';
import type {BorrowReply, BorrowRequest} from 'puffinturn-fleet';
import {FLEET_SERVICE, LOAN} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import {BORROW_MS, GATHER_MS} from '../EdgeConstants';
import type {TokenAccount} from './TokenAccount';
import type {TokenBook} from './TokenBook';
import type {TokenHolders} from './TokenHolders';

/** Edges asked for tokens at the same time. */
const BORROW_AT_ONCE = 3;

/** Outcomes of loans that a lender remembers; some seconds' worth of them. */
const MAX_OUTCOMES = 2_000;

/** Pause before the outcome of a loan is asked for again, ms. */
const OUTCOME_EVERY_MS = 400;

/** How often it is asked for; a lender that is silent for longer is dead. */
const OUTCOME_TRIES = 12;

/** How an edge is asked for tokens; see BorrowRequest. */
export interface LoanTerms extends Pick<BorrowRequest, 'gather'> {
  readonly keepPart: number;
}

/** What came of asking the holders elsewhere. */
export interface BorrowedElsewhere {
  readonly allAnswered: boolean;
  /** Tokens that they gave. */
  readonly borrowed: number;
}

/** Decides on a loan at the lender. */
export type Lend = (request: BorrowRequest) => Promise<BorrowReply>;

/** What TokenLoans are made of. */
export interface TokenLoansParts {
  /** One life of this edge. */
  readonly life: string;
  readonly clock: Clock;
  readonly link: Link;
  readonly book: TokenBook;
  readonly holders: TokenHolders;
  readonly lend: Lend;
}

/** See the module comment. */
export class TokenLoans implements AsyncDisposable {
  private readonly outcomes = new LRUCache<string, Promise<BorrowReply>>({
    max: MAX_OUTCOMES,
  });
  private readonly tasks = new TaskGroup();
  private readonly registration: Disposable;
  private number = 0;

  constructor(private readonly parts: TokenLoansParts) {
    this.registration = parts.link.register(FLEET_SERVICE.borrow, (body) =>
      this.answer(body as BorrowRequest),
    );
  }

  /**
   * Asks one edge for tokens that a request lacks; undefined when it does not
   * answer. With `gather`, that edge may ask the core and the other halls.
   */
  async borrowFrom(
    lender: string,
    account: TokenAccount,
    tokens: number,
    {gather, keepPart}: LoanTerms,
  ): Promise<BorrowReply | undefined> {
    const {book, holders, life, link} = this.parts;
    const need = Math.max(0, tokens - account.free);
    this.number += 1;
    const request: BorrowRequest = {
      borrower: life,
      gather,
      keepPart,
      need,
      number: this.number,
      outcomeOnly: false,
      team: account.team,
      want: need + book.wantOf(account),
    };
    const timeoutMs = gather ? GATHER_MS : BORROW_MS;
    const answer = await link.call(
      lender,
      FLEET_SERVICE.borrow,
      request,
      timeoutMs,
    );
    if (answer.isErr()) {
      holders.suspect(lender);
      if (answer.error.kind !== 'not-sent') {
        this.tasks.start((signal) =>
          this.askForOutcome(lender, account, request, signal),
        );
      }
      return undefined;
    }
    const reply = answer.value as BorrowReply;
    this.credit(lender, account, reply);
    if (reply.outcome === LOAN.closing) {
      holders.suspect(lender);
      return undefined;
    }
    return reply;
  }

  /**
   * Asks the holders elsewhere, a few at a time, until enough is free here; those of
   * other regions only once the own region has none, and while they are wanted.
   */
  async borrowElsewhere(
    account: TokenAccount,
    tokens: number,
    keepPart: number,
    isWanted: () => boolean = () => true,
  ): Promise<BorrowedElsewhere> {
    let allAnswered = true;
    let borrowed = 0;
    const terms: LoanTerms = {gather: false, keepPart};
    const lenders = [...this.parts.holders.elsewhere(account.team)];
    while (lenders.length > 0 && account.free < tokens) {
      const round = this.nextRound(lenders);
      const [first = ''] = round;
      if (this.parts.holders.isAway(first) && !isWanted()) {
        break;
      }
      const replies = await Promise.all(
        round.map((lender) => this.borrowFrom(lender, account, tokens, terms)),
      );
      allAnswered &&= replies.every((reply) => reply !== undefined);
      borrowed += replies.reduce((sum, reply) => sum + (reply?.given ?? 0), 0);
    }
    return {allAnswered, borrowed};
  }

  /** Takes the next lenders out of a list: a few, all of them near or all away. */
  private nextRound(lenders: string[]): readonly string[] {
    const {holders} = this.parts;
    const [first = ''] = lenders;
    const isAway = holders.isAway(first);
    const change = lenders.findIndex((box) => holders.isAway(box) !== isAway);
    const alike = change < 0 ? lenders.length : change;
    return lenders.splice(0, Math.min(alike, BORROW_AT_ONCE));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.registration[Symbol.dispose]();
    await this.tasks[Symbol.asyncDispose]();
  }

  /** A loan that is asked for again has the outcome that it had. */
  private answer(request: BorrowRequest): Promise<BorrowReply> {
    const key = `${request.borrower} ${request.number}`;
    const known = this.outcomes.get(key);
    if (known !== undefined) {
      return known;
    }
    const outcome = request.outcomeOnly
      ? Promise.resolve<BorrowReply>({given: 0, outcome: LOAN.unavailable})
      : this.parts.lend(request);
    this.outcomes.set(key, outcome);
    return outcome;
  }

  private async askForOutcome(
    lender: string,
    account: TokenAccount,
    request: BorrowRequest,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, link} = this.parts;
    for (let tries = 0; tries < OUTCOME_TRIES; tries += 1) {
      await clock.sleep(OUTCOME_EVERY_MS, signal);
      if (signal.aborted) {
        return;
      }
      const answer = await link.call(
        lender,
        FLEET_SERVICE.borrow,
        {...request, outcomeOnly: true} satisfies BorrowRequest,
        GATHER_MS,
      );
      if (answer.isOk()) {
        this.credit(lender, account, answer.value as BorrowReply);
        return;
      }
    }
    this.parts.book.noteMove(account, 'loan-unknown', 0);
  }

  private credit(
    lender: string,
    account: TokenAccount,
    {given}: BorrowReply,
  ): void {
    if (given > 0) {
      account.borrow(given);
      this.parts.book.noteMove(account, lender, given);
      this.parts.book.moved.notify();
    }
  }
}
