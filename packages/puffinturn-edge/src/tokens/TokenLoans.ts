/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {LRUCache} from 'lru-cache';
import type {BorrowReply, BorrowRequest} from 'puffinturn-fleet';
import {FLEET_SERVICE, LOAN_OUTCOME} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import {BORROW_TIMEOUT_MS, HOLDER_BORROW_TIMEOUT_MS} from '../EdgeConstants';
import type {TokenAccount} from './TokenAccount';
import type {TokenAccounts} from './TokenAccounts';
import type {TokenHolders} from './TokenHolders';

/** Maximum number of edges that are asked for tokens at the same time. */
const MAX_CONCURRENT_LOANS = 3;

/** Maximum number of outcomes that a lender caches: several seconds of loans. */
const MAX_CACHED_OUTCOMES = 2_000;

/** Delay before each request for the outcome of a loan, ms. */
const OUTCOME_RETRY_INTERVAL_MS = 400;

/** Number of requests for an outcome before the lender is considered dead. */
const MAX_OUTCOME_ATTEMPTS = 12;

/** Options of a loan; see {@link BorrowRequest}. */
export interface LoanOptions extends Pick<BorrowRequest, 'gather'> {
  /** Fraction of its target balance that the lender withholds. */
  readonly withheldFraction: number;
}

/** Result of borrowing from several edges. */
export interface BorrowResult {
  readonly allAnswered: boolean;
  /** Tokens that were lent. */
  readonly borrowed: number;
}

/** Handles a loan request on the lender. */
export type LendHandler = (request: BorrowRequest) => Promise<BorrowReply>;

/** Dependencies of {@link TokenLoans}. */
export interface TokenLoansParts {
  /** Identifies this incarnation of the edge; a restart changes it. */
  readonly incarnationId: string;
  readonly clock: Clock;
  readonly link: Link;
  readonly accounts: TokenAccounts;
  readonly holders: TokenHolders;
  readonly lend: LendHandler;
}

/**
 * Loans of tokens between edges. Each loan has a number that is unique per borrower. A
 * loan whose reply is late may have been granted, so the borrower polls its outcome.
 * Only the borrower credits a loan, and only once: no token is lost or counted twice.
 */
export class TokenLoans implements AsyncDisposable {
  private readonly outcomes = new LRUCache<string, Promise<BorrowReply>>({
    max: MAX_CACHED_OUTCOMES,
  });
  private readonly tasks = new TaskGroup();
  private readonly registration: Disposable;
  private lastNumber = 0;

  constructor(private readonly parts: TokenLoansParts) {
    this.registration = parts.link.register(
      FLEET_SERVICE.borrowTokens,
      (body) => this.handleBorrow(body as BorrowRequest),
    );
  }

  /**
   * Borrows missing tokens from one edge; returns undefined if it does not reply. With
   * `gather`, that edge may ask the control plane and other edges first.
   */
  async borrowFrom(
    lender: string,
    account: TokenAccount,
    tokens: number,
    {gather, withheldFraction}: LoanOptions,
  ): Promise<BorrowReply | undefined> {
    const {accounts, holders, incarnationId, link} = this.parts;
    const need = Math.max(0, tokens - accounts.spendable(account));
    this.lastNumber += 1;
    const request: BorrowRequest = {
      borrower: incarnationId,
      gather,
      keepPart: withheldFraction,
      need,
      number: this.lastNumber,
      outcomeOnly: false,
      team: account.team,
      want: need + accounts.targetBalance(account),
    };
    const timeoutMs = gather ? HOLDER_BORROW_TIMEOUT_MS : BORROW_TIMEOUT_MS;
    const answer = await link.call(
      lender,
      FLEET_SERVICE.borrowTokens,
      request,
      timeoutMs,
    );
    if (answer.isErr()) {
      holders.markSuspect(lender);
      if (answer.error.kind !== 'not-sent') {
        this.tasks.start((signal) =>
          this.pollOutcome(lender, account, request, signal),
        );
      }
      return undefined;
    }
    const reply = answer.value as BorrowReply;
    this.creditLoan(lender, account, reply);
    if (reply.outcome === LOAN_OUTCOME.closing) {
      holders.markSuspect(lender);
      return undefined;
    }
    return reply;
  }

  /**
   * Borrows from other edges, a batch at a time, until enough tokens may be taken. Other
   * regions are asked last, and only while `isStillNeeded` returns true.
   */
  async borrowFromLenders(
    account: TokenAccount,
    tokens: number,
    withheldFraction: number,
    isStillNeeded: () => boolean = () => true,
  ): Promise<BorrowResult> {
    let allAnswered = true;
    let borrowed = 0;
    const options: LoanOptions = {gather: false, withheldFraction};
    const lenders = [...this.parts.holders.lendersFor(account.team)];
    const {accounts} = this.parts;
    while (lenders.length > 0 && accounts.spendable(account) < tokens) {
      const batch = this.takeNextBatch(lenders);
      const [first = ''] = batch;
      if (this.parts.holders.isInOtherRegion(first) && !isStillNeeded()) {
        break;
      }
      const replies = await Promise.all(
        batch.map((lender) =>
          this.borrowFrom(lender, account, tokens, options),
        ),
      );
      allAnswered &&= replies.every((reply) => reply !== undefined);
      borrowed += replies.reduce((sum, reply) => sum + (reply?.given ?? 0), 0);
    }
    return {allAnswered, borrowed};
  }

  /** Removes the next batch from a list: in this region only, or in others only. */
  private takeNextBatch(lenders: string[]): readonly string[] {
    const {holders} = this.parts;
    const [first = ''] = lenders;
    const isFirstRemote = holders.isInOtherRegion(first);
    const firstOtherIndex = lenders.findIndex(
      (box) => holders.isInOtherRegion(box) !== isFirstRemote,
    );
    const sameCount = firstOtherIndex < 0 ? lenders.length : firstOtherIndex;
    return lenders.splice(0, Math.min(sameCount, MAX_CONCURRENT_LOANS));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.registration[Symbol.dispose]();
    await this.tasks[Symbol.asyncDispose]();
  }

  /** Replies to a repeated request with the outcome of the first one. */
  private handleBorrow(request: BorrowRequest): Promise<BorrowReply> {
    const key = `${request.borrower} ${request.number}`;
    const cached = this.outcomes.get(key);
    if (cached !== undefined) {
      return cached;
    }
    const outcome = request.outcomeOnly
      ? Promise.resolve<BorrowReply>({
          given: 0,
          outcome: LOAN_OUTCOME.unavailable,
        })
      : this.parts.lend(request);
    this.outcomes.set(key, outcome);
    return outcome;
  }

  private async pollOutcome(
    lender: string,
    account: TokenAccount,
    request: BorrowRequest,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, link} = this.parts;
    for (let attempt = 0; attempt < MAX_OUTCOME_ATTEMPTS; attempt += 1) {
      await clock.sleep(OUTCOME_RETRY_INTERVAL_MS, signal);
      if (signal.aborted) {
        return;
      }
      const answer = await link.call(
        lender,
        FLEET_SERVICE.borrowTokens,
        {...request, outcomeOnly: true} satisfies BorrowRequest,
        HOLDER_BORROW_TIMEOUT_MS,
      );
      if (answer.isOk()) {
        this.creditLoan(lender, account, answer.value as BorrowReply);
        return;
      }
    }
    this.parts.accounts.logMovement(account, 'loan-unknown', 0);
  }

  private creditLoan(
    lender: string,
    account: TokenAccount,
    {given}: BorrowReply,
  ): void {
    if (given > 0) {
      account.credit(given);
      this.parts.accounts.logMovement(account, lender, given);
      this.parts.accounts.tokensAdded.notify();
    }
  }
}
