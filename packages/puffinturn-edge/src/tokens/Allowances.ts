/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {
  DecisionLog,
  TeamTokenCounts,
  TokenState,
} from 'puffinturn-decisions';
import type {
  BorrowReply,
  BorrowRequest,
  BoxRecord,
  Regions,
  Team,
} from 'puffinturn-fleet';
import {LOAN_OUTCOME} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import type {Clock, MachineClock} from 'shared';
import {sleepUnlessNotified, TaskGroup} from 'shared';

import {
  HOLDER_TARGET_S,
  MAX_TOKEN_WAIT_MS,
  SURPLUS_BATCH_DELAY_MS,
} from '../EdgeConstants';
import {CoreExchange} from './CoreExchange';
import type {TokenAccount} from './TokenAccount';
import {TokenAccounts} from './TokenAccounts';
import {TokenGifts} from './TokenGifts';
import {TokenHolders} from './TokenHolders';
import type {BorrowResult} from './TokenLoans';
import {TokenLoans} from './TokenLoans';

/** Outcomes of a reservation. */
export const RESERVE_OUTCOME = {
  /** The tokens are reserved. */
  reserved: 'held',
  /** The remaining budget is too small for the request. */
  exhausted: 'exhausted',
  /** Too few tokens were found, and not all boxes that may hold some replied. */
  unavailable: 'unavailable',
} as const;

/** A value of {@link RESERVE_OUTCOME}. */
export type ReserveOutcome =
  (typeof RESERVE_OUTCOME)[keyof typeof RESERVE_OUTCOME];

/** Dependencies of {@link Allowances}. */
export interface AllowancesParts {
  readonly box: string;
  readonly hall: string;
  /** Identifies this incarnation of the edge; a restart changes it. */
  readonly incarnationId: string;
  readonly clock: Clock;
  /** The clock of this box's machine; it tells a successor how long this process ran. */
  readonly machineClock: MachineClock;
  readonly link: Link;
  readonly log: DecisionLog;
  /** Control boxes in the order in which they are asked. */
  readonly controlBoxes: () => readonly string[];
  /** The other edges; returns a new array after each change. */
  readonly peers: () => readonly BoxRecord[];
  /** The region of each hall; by default all halls are in one region. */
  readonly regions?: Regions | undefined;
}

/** Interval of checks for surplus when no request ends, ms. */
const SURPLUS_CHECK_INTERVAL_MS = 4_000;

/**
 * Maximum number of edges of the hall that are asked before this one acts as the holder.
 * Keeps requests from waiting for every crashed edge of a large hall.
 */
const MAX_HOLDERS_ASKED = 2;

/** Longest interval between two attempts of a waiting request, ms. */
const RESERVE_POLL_INTERVAL_MS = 40;

/**
 * Fraction of the target balance that the least urgent requests may not use while the
 * control plane can't refill it. If these are a third of the requests, all others are
 * then served in a partition under twice the usual load; 85 to 94 % are if all are
 * treated alike.
 */
const URGENT_WITHHELD_FRACTION = 0.75;

/** A claim of a request or of another edge on the tokens of an account. */
interface PendingClaim {
  readonly account: TokenAccount;
  readonly tokens: number;
  /** Fraction of the target balance withheld for more urgent requests. */
  readonly withheldFraction: number;
  /** Takes the tokens if they are free beyond the withheld fraction. */
  readonly tryClaim: (withheldFraction: number) => boolean;
}

/**
 * The prepaid tokens that one edge holds for its teams. A request reserves its
 * maximum cost and settles the actual cost at its end.
 *
 * The control plane grants tokens from the budgets of the teams. In each hall one edge,
 * the holder, keeps tokens for some seconds of a team's demand on all edges of the
 * hall, so that requests are still served while the control plane is unreachable. The
 * other edges borrow from the holder and give surplus back. Tokens held by an edge are
 * lost if it crashes, so the amount is kept small.
 */
export class Allowances implements AsyncDisposable {
  private readonly accounts: TokenAccounts;
  private readonly holders: TokenHolders;
  private readonly core: CoreExchange;
  private readonly loans: TokenLoans;
  private readonly gifts: TokenGifts;
  private readonly tasks = new TaskGroup();
  private isClosing = false;

  constructor(private readonly parts: AllowancesParts) {
    const {clock, link, log, peers} = parts;
    this.holders = new TokenHolders(parts, clock, peers, parts.regions);
    this.accounts = new TokenAccounts(clock, log, this.holders);
    const shared = {
      accounts: this.accounts,
      clock,
      holders: this.holders,
      incarnationId: parts.incarnationId,
      link,
    };
    this.core = new CoreExchange({...parts, ...shared});
    this.loans = new TokenLoans({
      ...shared,
      lend: (request) => this.lend(request),
    });
    this.gifts = new TokenGifts({...shared, isClosing: () => this.isClosing});
    this.tasks.start((signal) => this.core.run(signal));
    this.tasks.start((signal) => this.giveSurplusOnRelease(signal));
  }

  /** Applies the budgets of a configuration. */
  configure(teams: readonly Team[]): void {
    for (const {name, prepaidTokens = 0} of teams) {
      this.accounts.getOrCreate(name).setBudget(prepaidTokens);
    }
    this.accounts.refillNeeded.notify();
    this.accounts.surplusPossible.notify();
  }

  /** Token counts per team, for metrics and periodic totals. */
  status(): readonly TeamTokenCounts[] {
    return this.accounts.all().map(({charged, held, reserved, team}) => ({
      charged,
      held,
      reserved,
      team,
    }));
  }

  /** State of a team's tokens, for the log line of a rejected request. */
  tokenStateOf(team: string): TokenState {
    const {held, coreRemaining, coreRemainingAt, reserved} =
      this.accounts.getOrCreate(team);
    const age =
      coreRemainingAt === undefined
        ? undefined
        : this.parts.clock.now() - coreRemainingAt;
    return {
      coreAnswers: this.core.isCoreReachable,
      held,
      holder: this.holders.preferredHolders(team)[0] ?? this.parts.box,
      left: coreRemaining,
      leftAgeMs: age === undefined ? undefined : Math.round(age),
      reserved,
    };
  }

  /**
   * Reserves tokens; waits briefly for more if too few are free. The least urgent
   * requests leave a fraction for others while the control plane can't refill the
   * account.
   */
  async reserve(
    team: string,
    tokens: number,
    isLeastUrgent = false,
  ): Promise<ReserveOutcome> {
    const account = this.accounts.getOrCreate(team);
    account.largestRequest = Math.max(account.largestRequest, tokens);
    const claim: PendingClaim = {
      account,
      tryClaim: (withheld) =>
        this.accounts.tryReserve(account, tokens, withheld),
      withheldFraction: isLeastUrgent ? URGENT_WITHHELD_FRACTION : 0,
      tokens,
    };
    return this.claimOrAcquire(claim, () => this.acquireFromHolders(claim));
  }

  /** Ends a reservation: charges the spent tokens and releases the others. */
  settle(team: string, reserved: number, spent: number): void {
    const account = this.accounts.getOrCreate(team);
    account.settle(reserved, spent, this.parts.clock.now());
    this.accounts.tokensAdded.notify();
    this.accounts.surplusPossible.notify();
  }

  /**
   * Gives all free tokens away when this edge stops: its own to the holder of the hall,
   * those held for the hall to the control plane, or to the next holder if the control
   * plane is unreachable. Tokens that no one accepts are lost.
   */
  async close(): Promise<void> {
    this.isClosing = true;
    await this.gifts.giveFree(({team}) => !this.holders.isHolder(team));
    if (this.core.isCoreReachable) {
      await this.core.close();
    }
    await this.gifts.giveFree(() => true);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.gifts[Symbol.dispose]();
    await this.loans[Symbol.asyncDispose]();
    this.tasks.abort();
    this.accounts.refillNeeded.notify();
    this.accounts.tokensAdded.notify();
    await this.tasks[Symbol.asyncDispose]();
  }

  /** Claims tokens; acquires more if needed, unless known to be exhausted. */
  private async claimOrAcquire(
    claim: PendingClaim,
    acquire: () => Promise<ReserveOutcome>,
  ): Promise<ReserveOutcome> {
    const {account, tokens} = claim;
    const {clock} = this.parts;
    if (this.tryClaim(claim)) {
      return RESERVE_OUTCOME.reserved;
    }
    if (account.isKnownExhausted(tokens, clock.now())) {
      return RESERVE_OUTCOME.exhausted;
    }
    const outcome = await acquire();
    if (outcome === RESERVE_OUTCOME.exhausted) {
      account.markExhausted(tokens, clock.now());
    }
    return outcome;
  }

  /** Asks the holder of the hall; acts as the holder if none replies. */
  private async acquireFromHolders(
    claim: PendingClaim,
  ): Promise<ReserveOutcome> {
    const {account, withheldFraction, tokens} = claim;
    const holders = this.holders
      .preferredHolders(account.team)
      .slice(0, MAX_HOLDERS_ASKED);
    for (const box of holders) {
      const reply = await this.loans.borrowFrom(box, account, tokens, {
        gather: true,
        withheldFraction,
      });
      if (this.tryClaim(claim)) {
        return RESERVE_OUTCOME.reserved;
      }
      if (reply !== undefined && reply.outcome !== LOAN_OUTCOME.lent) {
        return reply.outcome === LOAN_OUTCOME.exhausted
          ? RESERVE_OUTCOME.exhausted
          : RESERVE_OUTCOME.unavailable;
      }
    }
    return this.acquireFromCoreOrLenders(claim);
  }

  /** Takes the tokens unless too few are free beyond the withheld ones. */
  private tryClaim(claim: PendingClaim): boolean {
    return claim.tryClaim(
      this.withheldFractionFor(claim.account, claim.withheldFraction),
    );
  }

  /**
   * Fraction of the target balance that a claim must leave. It falls to 0 over the time
   * that the balance should last. It is 0 while the control plane can grant another
   * target balance, and on an edge that isn't the holder.
   */
  private withheldFractionFor(
    account: TokenAccount,
    withheldFraction: number,
  ): number {
    if (withheldFraction === 0 || !this.holders.isHolder(account.team)) {
      return 0;
    }
    const coreRemaining = account.coreRemaining ?? Infinity;
    if (
      this.core.isCoreReachable &&
      coreRemaining > this.accounts.targetBalance(account)
    ) {
      return 0;
    }
    const elapsedFraction = this.core.unreachableMs / (HOLDER_TARGET_S * 1_000);
    return withheldFraction * Math.max(0, 1 - elapsedFraction);
  }

  /**
   * Borrows the tokens from other edges while the local ones are withheld and the
   * control plane is unreachable.
   */
  private async claimFromLenders({
    account,
    tryClaim,
    withheldFraction,
    tokens,
  }: PendingClaim): Promise<ReserveOutcome> {
    const {borrowed} = await this.loans.borrowFromLenders(
      account,
      this.accounts.spendable(account) + tokens,
      withheldFraction,
    );
    const isClaimed = borrowed >= tokens && tryClaim(0);
    return isClaimed ? RESERVE_OUTCOME.reserved : RESERVE_OUTCOME.unavailable;
  }

  /** Waits for a grant of the control plane and borrows from other edges. */
  private async acquireFromCoreOrLenders(
    claim: PendingClaim,
  ): Promise<ReserveOutcome> {
    const {account, withheldFraction, tokens} = claim;
    const {clock} = this.parts;
    const spendable = this.accounts.spendable(account);
    if (!this.core.isCoreReachable && spendable >= tokens) {
      return this.claimFromLenders(claim);
    }
    using _waiting = account.addWaitingRequest(tokens);
    // Stops borrowing from other regions when this request ends.
    let isWaiting = true;
    using _ended = {[Symbol.dispose]: () => void (isWaiting = false)};
    const borrow = (): Promise<BorrowResult> =>
      this.loans.borrowFromLenders(
        account,
        tokens,
        withheldFraction,
        () => isWaiting,
      );
    const startSequence = this.core.lastSequence;
    const deadline = clock.now() + MAX_TOKEN_WAIT_MS;
    this.accounts.refillNeeded.notify();
    let borrowing = this.core.isCoreReachable ? undefined : borrow();
    while (clock.now() < deadline && !this.tasks.isAborted) {
      await sleepUnlessNotified(
        clock,
        this.accounts.tokensAdded,
        RESERVE_POLL_INTERVAL_MS,
        this.tasks.signal,
      );
      if (this.tryClaim(claim)) {
        return RESERVE_OUTCOME.reserved;
      }
      const hasAnswered = this.core.hasAnsweredSince(startSequence);
      if (hasAnswered && this.exceedsCoreRemaining(account, tokens)) {
        break;
      }
      borrowing ??= hasAnswered ? undefined : borrow();
    }
    const hasCoreAnswered = this.core.hasAnsweredSince(startSequence);
    const {allAnswered} = await (borrowing ?? borrow());
    if (this.tryClaim(claim)) {
      return RESERVE_OUTCOME.reserved;
    }
    const isExhausted =
      hasCoreAnswered &&
      allAnswered &&
      this.exceedsCoreRemaining(account, tokens);
    return isExhausted
      ? RESERVE_OUTCOME.exhausted
      : RESERVE_OUTCOME.unavailable;
  }

  /** Whether the missing tokens exceed what the control plane can still grant. */
  private exceedsCoreRemaining(account: TokenAccount, tokens: number): boolean {
    return (account.coreRemaining ?? 0) < tokens - account.free;
  }

  private async lend(request: BorrowRequest): Promise<BorrowReply> {
    const {gather, keepPart: withheldFraction = 0, need, team, want} = request;
    if (this.isClosing) {
      return {given: 0, outcome: LOAN_OUTCOME.closing};
    }
    const account = this.accounts.getOrCreate(team);
    account.largestRequest = Math.max(account.largestRequest, need);
    if (!gather) {
      const withheld = this.withheldFractionFor(account, withheldFraction);
      const aboveWithheld = Math.floor(
        this.accounts.spendableAboveWithheld(account, withheld),
      );
      const lendable = account.hasWaitingRequests
        ? 0
        : Math.max(0, aboveWithheld);
      const amount = Math.max(0, Math.min(need, lendable));
      const given = this.accounts.lend(
        account,
        amount,
        Math.min(want, lendable),
      );
      return {given, outcome: LOAN_OUTCOME.lent};
    }
    let given = 0;
    const claim: PendingClaim = {
      account,
      tryClaim: (withheld) => {
        given = this.accounts.lend(account, need, want, withheld);
        return given > 0 || need === 0;
      },
      withheldFraction,
      tokens: need,
    };
    const outcome = await this.claimOrAcquire(claim, () =>
      this.acquireFromCoreOrLenders(claim),
    );
    return {
      given,
      outcome:
        outcome === RESERVE_OUTCOME.reserved
          ? LOAN_OUTCOME.lent
          : LOAN_OUTCOME[outcome],
    };
  }

  private async giveSurplusOnRelease(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted && !this.isClosing) {
      const {surplusPossible} = this.accounts;
      await sleepUnlessNotified(
        clock,
        surplusPossible,
        SURPLUS_CHECK_INTERVAL_MS,
        signal,
      );
      await clock.sleep(SURPLUS_BATCH_DELAY_MS, signal);
      if (!signal.aborted && !this.isClosing) {
        await this.gifts.giveSurplus();
      }
    }
  }
}
