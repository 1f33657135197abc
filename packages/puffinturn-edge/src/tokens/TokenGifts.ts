/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {LRUCache} from 'lru-cache';
import type {Gift, GiveReply, GiveRequest} from 'puffinturn-fleet';
import {FLEET_SERVICE} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';

import {BORROW_TIMEOUT_MS} from '../EdgeConstants';
import type {TokenAccount} from './TokenAccount';
import type {TokenAccounts} from './TokenAccounts';
import type {TokenHolders} from './TokenHolders';

/** Smallest surplus that is given to a holder, tokens. */
const MIN_GIFT_TOKENS = 64;

/** Surplus is given above this multiple of the target balance. */
const SURPLUS_THRESHOLD_RATIO = 1.5;

/** Maximum number of edges that are offered a gift, one after the other. */
const MAX_RECEIVERS_TRIED = 4;

/** Delay before an unanswered gift is sent again, ms. */
const GIFT_RETRY_INTERVAL_MS = 200;

/** Attempts to send a gift before the receiver is considered dead. */
const MAX_GIFT_ATTEMPTS = 15;

/**
 * Maximum number of givers whose last gift number is stored. It must exceed the number
 * of givers within the time for which a gift is retried.
 */
const MAX_TRACKED_GIVERS = 10_000;

/** Outcomes of a gift offered to one incarnation of an edge. */
const OFFER_OUTCOME = {
  taken: 'taken',
  refused: 'refused',
  /** The receiver was restarted before any copy of the gift could arrive. */
  restarted: 'restarted',
  /** No reply arrived; the gift may have been accepted. */
  unknown: 'unknown',
} as const;

interface OfferResult {
  readonly outcome: (typeof OFFER_OUTCOME)[keyof typeof OFFER_OUTCOME];
  /** The incarnation ID of the process that replied. */
  readonly receiver?: string | undefined;
}

/** Dependencies of {@link TokenGifts}. */
export interface TokenGiftsParts {
  /** Identifies this incarnation of the edge; a restart changes it. */
  readonly incarnationId: string;
  readonly clock: Clock;
  readonly link: Link;
  readonly accounts: TokenAccounts;
  readonly holders: TokenHolders;
  /** Whether this edge is stopping and refuses gifts. */
  readonly isClosing: () => boolean;
}

/**
 * Gives tokens to other edges: surplus to the holders of the hall, and all free
 * tokens when this edge stops.
 *
 * Each gift has a number, increasing per giver, and is retried until it gets a reply.
 * Gifts to one edge are sent one at a time, so the receiver detects a retry by its
 * number. A gift is addressed to one incarnation of the receiver, because a restarted
 * process can't know what the previous one accepted and spent.
 */
export class TokenGifts implements Disposable {
  private readonly lastNumberByGiver = new LRUCache<string, number>({
    max: MAX_TRACKED_GIVERS,
  });
  /** Edges with an unanswered gift. */
  private readonly pendingReceivers = new Set<string>();
  private readonly registration: Disposable;
  private lastNumber = 0;

  constructor(private readonly parts: TokenGiftsParts) {
    this.registration = parts.link.register(
      FLEET_SERVICE.give,
      async (body): Promise<GiveReply> => ({
        receiver: parts.incarnationId,
        taken: this.handleGive(body as GiveRequest),
      }),
    );
  }

  /** Gives the surplus of each account to the holder of the hall. */
  async giveSurplus(): Promise<void> {
    const {accounts, holders} = this.parts;
    const gifts = new Map<string, Gift[]>();
    for (const account of accounts.all()) {
      const [holder] = holders.preferredHolders(account.team);
      if (holder === undefined || this.pendingReceivers.has(holder)) {
        continue;
      }
      const amount = Math.min(
        takeSurplus(account, accounts.targetBalance(account)),
        accounts.spendable(account),
      );
      if (amount > 0) {
        const some = gifts.get(holder) ?? [];
        gifts.set(holder, [...some, this.withdraw(account, amount)]);
      }
    }
    await Promise.all(
      [...gifts].map(([holder, some]) => this.offerInOrder([holder], some)),
    );
  }

  /** Gives all tokens that may be taken from selected accounts to the first edge that accepts. */
  async giveFree(
    isSelected: (account: TokenAccount) => boolean,
  ): Promise<void> {
    const {accounts, holders} = this.parts;
    const selected = accounts
      .all()
      .filter(
        (account) => accounts.spendable(account) > 0 && isSelected(account),
      );
    for (const account of selected) {
      const boxes = holders
        .successors(account.team)
        .filter((box) => !this.pendingReceivers.has(box))
        .slice(0, MAX_RECEIVERS_TRIED);
      await this.offerInOrder(boxes, [
        this.withdraw(account, accounts.spendable(account)),
      ]);
    }
  }

  [Symbol.dispose](): void {
    this.registration[Symbol.dispose]();
  }

  /** Offers gifts to one edge after the other; takes them back if none accepts. */
  private async offerInOrder(
    boxes: readonly string[],
    gifts: readonly Gift[],
  ): Promise<void> {
    for (const box of boxes) {
      const outcome = await this.offer(box, gifts);
      if (outcome === OFFER_OUTCOME.unknown) {
        this.logLost(box, gifts);
      }
      if (
        outcome === OFFER_OUTCOME.taken ||
        outcome === OFFER_OUTCOME.unknown
      ) {
        return;
      }
      this.parts.holders.markSuspect(box);
    }
    for (const {amount, team} of gifts) {
      const account = this.parts.accounts.getOrCreate(team);
      account.credit(amount);
      this.parts.accounts.logMovement(account, 'kept', amount);
    }
  }

  /** Offers gifts to an edge; once more if it was restarted in the meantime. */
  private async offer(
    box: string,
    gifts: readonly Gift[],
  ): Promise<OfferResult['outcome']> {
    this.pendingReceivers.add(box);
    using _done = {
      [Symbol.dispose]: () => void this.pendingReceivers.delete(box),
    };
    const knownIncarnationId = this.parts.holders.incarnationIdOf(box);
    const {outcome, receiver} = await this.sendOffer(
      box,
      knownIncarnationId ?? '',
      gifts,
    );
    if (outcome !== OFFER_OUTCOME.restarted || receiver === undefined) {
      return outcome;
    }
    return (await this.sendOffer(box, receiver, gifts)).outcome;
  }

  private async sendOffer(
    box: string,
    receiver: string,
    gifts: readonly Gift[],
  ): Promise<OfferResult> {
    const {clock, incarnationId, link} = this.parts;
    this.lastNumber += 1;
    const request: GiveRequest = {
      gifts,
      giver: incarnationId,
      number: this.lastNumber,
      receiver,
    };
    let mayHaveArrived = false;
    for (let attempt = 0; attempt < MAX_GIFT_ATTEMPTS; attempt += 1) {
      const answer = await link.call(
        box,
        FLEET_SERVICE.give,
        request,
        BORROW_TIMEOUT_MS,
      );
      if (answer.isOk()) {
        return offerResult(request, answer.value as GiveReply, mayHaveArrived);
      }
      mayHaveArrived ||= answer.error.kind !== 'not-sent';
      if (!mayHaveArrived) {
        return {outcome: OFFER_OUTCOME.refused};
      }
      await clock.sleep(GIFT_RETRY_INTERVAL_MS);
    }
    return {outcome: OFFER_OUTCOME.unknown};
  }

  private logLost(box: string, gifts: readonly Gift[]): void {
    const {accounts} = this.parts;
    for (const {amount, team} of gifts) {
      accounts.logMovement(
        accounts.getOrCreate(team),
        'gift-unknown',
        amount,
        box,
      );
    }
  }

  private handleGive({gifts, giver, number, receiver}: GiveRequest): boolean {
    const {accounts, clock, incarnationId, isClosing} = this.parts;
    if (receiver !== undefined && receiver !== incarnationId) {
      return false;
    }
    if (number <= (this.lastNumberByGiver.get(giver) ?? 0)) {
      return true;
    }
    if (isClosing()) {
      return false;
    }
    this.lastNumberByGiver.set(giver, number);
    for (const {amount, team} of gifts) {
      const account = accounts.getOrCreate(team);
      account.receiveTransfer(amount, clock.now());
      accounts.logMovement(account, 'gift', amount, giver);
    }
    accounts.tokensAdded.notify();
    return true;
  }

  private withdraw(account: TokenAccount, amount: number): Gift {
    account.giveAway(amount);
    this.parts.accounts.logMovement(account, 'given', -amount);
    return {amount, team: account.team};
  }
}

function offerResult(
  {receiver: expectedReceiver}: GiveRequest,
  {receiver, taken}: GiveReply,
  mayHaveArrived: boolean,
): OfferResult {
  if (taken) {
    return {outcome: OFFER_OUTCOME.taken};
  }
  if (receiver === expectedReceiver) {
    return {outcome: OFFER_OUTCOME.refused};
  }
  // The previous process may have accepted and spent an earlier copy. Keeping the gift
  // here would then count its tokens twice.
  return mayHaveArrived
    ? {outcome: OFFER_OUTCOME.unknown}
    : {outcome: OFFER_OUTCOME.restarted, receiver};
}

function takeSurplus(account: TokenAccount, target: number): number {
  if (account.shortfall > 0) {
    return 0;
  }
  if (account.isRecalled) {
    account.isRecalled = false;
    return Math.max(0, account.free);
  }
  const surplus = Math.floor(account.free - target);
  const isAboveThreshold = account.free > target * SURPLUS_THRESHOLD_RATIO;
  return isAboveThreshold && surplus >= MIN_GIFT_TOKENS ? surplus : 0;
}
