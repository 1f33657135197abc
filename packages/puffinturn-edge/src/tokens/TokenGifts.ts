/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Tokens that an edge hands on: what it does not need to the holders of its
 * hall, and all of it as it stops. Gifts of one edge to another are numbered
 * and sent one after the other, each until it is answered; the receiver takes
 * each number once, so that a gift sent again does not count twice. A gift is for
 * one life of its receiver: the next one can't know what that took, and spent.
 */
import {LRUCache} from 'lru-cache';
import type {Gift, GiveReply, GiveRequest} from 'puffinturn-fleet';
import {FLEET_SERVICE} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';

import {BORROW_MS} from '../EdgeConstants';
import type {TokenAccount} from './TokenAccount';
import type {TokenBook} from './TokenBook';
import type {TokenHolders} from './TokenHolders';

/** Less than this is not worth handing on, tokens. */
const LEAST_HANDED_ON = 64;

/** Tokens stay while no more than this multiple of what is wanted is free. */
const HAND_ON_ABOVE = 1.5;

/** Edges that tokens are offered to one after the other. */
const MOST_OFFERED = 4;

/** Pause before an unanswered gift is sent again, ms. */
const AGAIN_EVERY_MS = 200;

/** How often a gift is sent; a receiver that is silent for longer is dead. */
const MOST_SENT = 15;

/**
 * Givers whose last number is remembered: far more than ever give within the
 * seconds in which a gift is sent again.
 */
const MAX_GIVERS = 10_000;

/** What became of a gift offered to one life of an edge. */
const OFFER = {
  taken: 'taken',
  refused: 'refused',
  /** That life is over, and the gift has not reached it. */
  restarted: 'restarted',
  /** It may have been taken; nobody will say. */
  unknown: 'unknown',
} as const;

interface Offer {
  readonly outcome: (typeof OFFER)[keyof typeof OFFER];
  /** The life that has answered. */
  readonly receiver?: string | undefined;
}

/** What TokenGifts are made of. */
export interface TokenGiftsParts {
  /** One life of this edge. */
  readonly life: string;
  readonly clock: Clock;
  readonly link: Link;
  readonly book: TokenBook;
  readonly holders: TokenHolders;
  /** Whether this edge takes no gifts any more. */
  readonly refuses: () => boolean;
}

/** See the module comment. */
export class TokenGifts implements Disposable {
  private readonly lastNumbers = new LRUCache<string, number>({
    max: MAX_GIVERS,
  });
  /** Edges that a gift is under way to. */
  private readonly receivers = new Set<string>();
  private readonly registration: Disposable;
  private number = 0;

  constructor(private readonly parts: TokenGiftsParts) {
    this.registration = parts.link.register(
      FLEET_SERVICE.give,
      async (body): Promise<GiveReply> => ({
        receiver: parts.life,
        taken: this.receive(body as GiveRequest),
      }),
    );
  }

  /** Hands what this edge does not need to the holders of its hall. */
  async handSurplusOn(): Promise<void> {
    const {book, holders} = this.parts;
    const gifts = new Map<string, Gift[]>();
    for (const account of book.all()) {
      const [holder] = holders.ahead(account.team);
      if (holder === undefined || this.receivers.has(holder)) {
        continue;
      }
      const amount = surplusOf(account, book.wantOf(account));
      if (amount > 0) {
        const some = gifts.get(holder) ?? [];
        gifts.set(holder, [...some, this.takeOut(account, amount)]);
      }
    }
    await Promise.all(
      [...gifts].map(([holder, some]) => this.give([holder], some)),
    );
  }

  /** Hands all that is free in some accounts to the next edge that takes it. */
  async handOn(isHandedOn: (account: TokenAccount) => boolean): Promise<void> {
    const {book, holders} = this.parts;
    const accounts = book
      .all()
      .filter((account) => account.free > 0 && isHandedOn(account));
    for (const account of accounts) {
      const boxes = holders
        .successors(account.team)
        .filter((box) => !this.receivers.has(box))
        .slice(0, MOST_OFFERED);
      await this.give(boxes, [this.takeOut(account, account.free)]);
    }
  }

  [Symbol.dispose](): void {
    this.registration[Symbol.dispose]();
  }

  /** Offers a gift to one edge after the other; keeps what none has taken. */
  private async give(
    boxes: readonly string[],
    gifts: readonly Gift[],
  ): Promise<void> {
    for (const box of boxes) {
      const outcome = await this.offer(box, gifts);
      if (outcome === OFFER.unknown) {
        this.noteLost(box, gifts);
      }
      if (outcome === OFFER.taken || outcome === OFFER.unknown) {
        return;
      }
      this.parts.holders.suspect(box);
    }
    for (const {amount, team} of gifts) {
      const account = this.parts.book.accountOf(team);
      account.borrow(amount);
      this.parts.book.noteMove(account, 'kept', amount);
    }
  }

  /** Offers a gift to an edge; to its next life if it was restarted unnoticed. */
  private async offer(
    box: string,
    gifts: readonly Gift[],
  ): Promise<Offer['outcome']> {
    this.receivers.add(box);
    using _done = {[Symbol.dispose]: () => void this.receivers.delete(box)};
    const known = this.parts.holders.lifeOf(box);
    const {outcome, receiver} = await this.offerTo(box, known ?? '', gifts);
    if (outcome !== OFFER.restarted || receiver === undefined) {
      return outcome;
    }
    return (await this.offerTo(box, receiver, gifts)).outcome;
  }

  private async offerTo(
    box: string,
    receiver: string,
    gifts: readonly Gift[],
  ): Promise<Offer> {
    const {clock, life, link} = this.parts;
    this.number += 1;
    const request: GiveRequest = {
      gifts,
      giver: life,
      number: this.number,
      receiver,
    };
    let mayHaveArrived = false;
    for (let sent = 0; sent < MOST_SENT; sent += 1) {
      const answer = await link.call(
        box,
        FLEET_SERVICE.give,
        request,
        BORROW_MS,
      );
      if (answer.isOk()) {
        return offerAnswered(
          request,
          answer.value as GiveReply,
          mayHaveArrived,
        );
      }
      mayHaveArrived ||= answer.error.kind !== 'not-sent';
      if (!mayHaveArrived) {
        return {outcome: OFFER.refused};
      }
      await clock.sleep(AGAIN_EVERY_MS);
    }
    return {outcome: OFFER.unknown};
  }

  private noteLost(box: string, gifts: readonly Gift[]): void {
    const {book} = this.parts;
    for (const {amount, team} of gifts) {
      book.noteMove(book.accountOf(team), 'gift-unknown', amount, box);
    }
  }

  private receive({gifts, giver, number, receiver}: GiveRequest): boolean {
    const {book, clock, life, refuses} = this.parts;
    if (receiver !== undefined && receiver !== life) {
      return false;
    }
    if (number <= (this.lastNumbers.get(giver) ?? 0)) {
      return true;
    }
    if (refuses()) {
      return false;
    }
    this.lastNumbers.set(giver, number);
    for (const {amount, team} of gifts) {
      const account = book.accountOf(team);
      account.receive(amount, clock.now());
      book.noteMove(account, 'gift', amount, giver);
    }
    book.moved.notify();
    return true;
  }

  private takeOut(account: TokenAccount, amount: number): Gift {
    account.held -= amount;
    account.lent += amount;
    this.parts.book.noteMove(account, 'given', -amount);
    return {amount, team: account.team};
  }
}

function offerAnswered(
  {receiver: addressed}: GiveRequest,
  {receiver, taken}: GiveReply,
  mayHaveArrived: boolean,
): Offer {
  if (taken) {
    return {outcome: OFFER.taken};
  }
  if (receiver === addressed) {
    return {outcome: OFFER.refused};
  }
  // The life that it was for may have taken an earlier copy, and spent it: kept
  // here as well, tokens would count twice.
  return mayHaveArrived
    ? {outcome: OFFER.unknown}
    : {outcome: OFFER.restarted, receiver};
}

function surplusOf(account: TokenAccount, want: number): number {
  if (account.need > 0) {
    return 0;
  }
  if (account.recalled) {
    account.recalled = false;
    return Math.max(0, account.free);
  }
  const surplus = Math.floor(account.free - want);
  const much = account.free > want * HAND_ON_ABOVE;
  return much && surplus >= LEAST_HANDED_ON ? surplus : 0;
}
