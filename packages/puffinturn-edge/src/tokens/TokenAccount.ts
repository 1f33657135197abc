/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The prepaid tokens of one team at one edge: what is held and how fast it goes. */
import {DEMAND_WINDOW_MS, EXHAUSTED_MS} from '../EdgeConstants';

/** Least part of the window that a demand must have been measured for. */
const LEAST_MEASURED = 0.3;

/** See the module comment. Times are those of the edge's steady clock, ms. */
export class TokenAccount {
  /** Tokens here, reserved ones included. */
  held = 0;
  reserved = 0;
  prepaid = 0;
  /** The most that one request has asked for, tokens. */
  largest = 0;
  /** Tokens spent since the edge started. */
  charged = 0;
  /**
   * Tokens set aside since the last exchange with the core, less those that
   * came back unspent.
   */
  spent = 0;
  /** Tokens lent, less those borrowed, since the last exchange with the core. */
  lent = 0;
  /** What the core had left at the last exchange. */
  left: number | undefined;
  /** When that exchange was answered. */
  leftAt: number | undefined;
  /** The most that the core wants held here, besides reserved tokens. */
  mostHeld = Infinity;
  /** Whether all that is free must go back to the core. */
  recalled = false;
  private readonly waiting = new Set<{readonly tokens: number}>();
  /** Decaying sum of the tokens taken, as tokens a second. */
  private demand = 0;
  private demandSince = Infinity;
  private exhaustedUntil = -Infinity;
  private exhaustedNeed = Infinity;

  constructor(readonly team: string) {}

  /** Tokens that a request may reserve. */
  get free(): number {
    return this.held - this.reserved;
  }

  /** Tokens that waiting requests lack. */
  get need(): number {
    let sum = 0;
    for (const {tokens} of this.waiting) {
      sum += tokens;
    }
    return sum === 0 ? 0 : Math.max(0, sum - this.free);
  }

  /** Tokens that another edge may have: nothing while own requests wait. */
  get spare(): number {
    return this.waiting.size > 0 ? 0 : Math.max(0, this.free);
  }

  /** Tokens that left this account unknown to the core. */
  get unreported(): number {
    return this.spent + this.lent;
  }

  /** Counts a request among those that wait, until the result is disposed. */
  waitFor(tokens: number): Disposable {
    const request = {tokens};
    this.waiting.add(request);
    return {[Symbol.dispose]: () => void this.waiting.delete(request)};
  }

  /** Takes over the budget that a configuration names. */
  budget(prepaid: number): void {
    if (prepaid === this.prepaid) {
      return;
    }
    // What is free goes back first where the budget was lowered.
    this.recalled ||= prepaid < this.prepaid;
    this.exhaustedUntil = -Infinity;
    this.left = undefined;
    this.mostHeld = Infinity;
    this.prepaid = prepaid;
  }

  /** Sets tokens aside for a request. */
  reserve(tokens: number, now: number): void {
    this.reserved += tokens;
    this.spent += tokens;
    this.drawn(tokens, now);
  }

  /** Ends a reservation of which a part was spent. */
  settle(reserved: number, spent: number, now: number): void {
    const unspent = reserved - spent;
    this.reserved -= reserved;
    this.held -= spent;
    this.spent -= unspent;
    this.charged += spent;
    this.drawn(-unspent, now);
  }

  /** Tokens go to another edge that serves the same hall: a demand on this one. */
  lend(amount: number, now: number): void {
    this.held -= amount;
    this.lent += amount;
    this.drawn(amount, now);
  }

  /** Tokens lent come back, or another edge hands its own on. */
  receive(amount: number, now: number): void {
    this.held += amount;
    this.lent -= amount;
    this.drawn(
      -Math.min(amount, this.demand * (DEMAND_WINDOW_MS / 1_000)),
      now,
    );
  }

  /** Tokens that another edge has given up. */
  borrow(amount: number): void {
    this.held += amount;
    this.lent -= amount;
  }

  /** Lets the measured demand fade over a span of time, ms. */
  fade(elapsedMs: number): void {
    this.demand *= Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
  }

  /** Tokens taken from here a second. */
  rate(now: number): number {
    const sinceMs = now - this.demandSince;
    const measured = 1 - Math.exp(-sinceMs / DEMAND_WINDOW_MS);
    return this.demand / Math.max(LEAST_MEASURED, measured);
  }

  /** Notes that core and edges together have too few for such a request. */
  exhausted(tokens: number, now: number): void {
    this.exhaustedUntil = now + EXHAUSTED_MS;
    this.exhaustedNeed = tokens;
  }

  /** Whether a request this large was found not to fit a moment ago. */
  knownExhausted(tokens: number, now: number): boolean {
    return now < this.exhaustedUntil && tokens >= this.exhaustedNeed;
  }

  private drawn(amount: number, now: number): void {
    this.demandSince = Math.min(this.demandSince, now);
    const change = (amount * 1_000) / DEMAND_WINDOW_MS;
    this.demand = Math.max(0, this.demand + change);
  }
}
