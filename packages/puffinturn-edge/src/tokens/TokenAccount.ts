/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {DEMAND_TIME_CONSTANT_MS, EXHAUSTED_CACHE_MS} from '../EdgeConstants';

/** Lower bound of the measured fraction of the demand window. */
const MIN_MEASURED_FRACTION = 0.3;

/**
 * The prepaid tokens of one team on one edge, and the rate at which they are used.
 * Times are in ms of the monotonic clock.
 */
export class TokenAccount {
  /** Tokens on this edge, including the reserved ones. */
  held = 0;
  reserved = 0;
  prepaid = 0;
  /** Size of the largest request so far, tokens. */
  largestRequest = 0;
  /** Tokens charged since the edge started. */
  charged = 0;
  /**
   * Tokens reserved since the last exchange with the control plane, minus those
   * released unspent.
   */
  unreportedSpent = 0;
  /**
   * Tokens lent minus tokens borrowed since the last exchange with the control plane.
   */
  unreportedLent = 0;
  /** Tokens that the control plane could still grant at the last exchange. */
  coreRemaining: number | undefined;
  /** Time of the reply to that exchange. */
  coreRemainingAt: number | undefined;
  /** Limit of the control plane for the tokens held here, without the reserved ones. */
  maxHeld = Infinity;
  /** Whether all free tokens must be returned to the control plane. */
  isRecalled = false;
  private readonly waitingRequests = new Set<{readonly tokens: number}>();
  /** Exponentially decaying rate of the tokens taken, per second. */
  private demandPerSecond = 0;
  private firstDemandAt = Infinity;
  private exhaustedUntil = -Infinity;
  private minExhaustedTokens = Infinity;

  constructor(readonly team: string) {}

  /** Tokens that are held and not reserved. */
  get free(): number {
    return this.held - this.reserved;
  }

  /** Tokens that waiting requests need beyond the free ones. */
  get shortfall(): number {
    let sum = 0;
    for (const {tokens} of this.waitingRequests) {
      sum += tokens;
    }
    return sum === 0 ? 0 : Math.max(0, sum - this.free);
  }

  /** Tokens that may be lent; 0 while requests of this edge wait. */
  get lendable(): number {
    return this.waitingRequests.size > 0 ? 0 : Math.max(0, this.free);
  }

  /** Change of the balance not yet reported to the control plane. */
  get unreportedTotal(): number {
    return this.unreportedSpent + this.unreportedLent;
  }

  /** Registers a waiting request until the result is disposed. */
  addWaitingRequest(tokens: number): Disposable {
    const request = {tokens};
    this.waitingRequests.add(request);
    return {[Symbol.dispose]: () => void this.waitingRequests.delete(request)};
  }

  /** Applies the budget of a configuration. */
  setBudget(prepaid: number): void {
    if (prepaid === this.prepaid) {
      return;
    }
    // A lowered budget may be below what was granted, so free tokens go back first.
    this.isRecalled ||= prepaid < this.prepaid;
    this.exhaustedUntil = -Infinity;
    this.coreRemaining = undefined;
    this.maxHeld = Infinity;
    this.prepaid = prepaid;
  }

  /** Reserves tokens for a request. */
  reserve(tokens: number, now: number): void {
    this.reserved += tokens;
    this.unreportedSpent += tokens;
    this.recordDemand(tokens, now);
  }

  /** Ends a reservation: charges `spent` and releases the others. */
  settle(reserved: number, spent: number, now: number): void {
    const unspent = reserved - spent;
    this.reserved -= reserved;
    this.held -= spent;
    this.unreportedSpent -= unspent;
    this.charged += spent;
    this.recordDemand(-unspent, now);
  }

  /** Removes tokens lent to another edge; they count as demand on this one. */
  lend(amount: number, now: number): void {
    this.held -= amount;
    this.unreportedLent += amount;
    this.recordDemand(amount, now);
  }

  /** Adds tokens given by another edge and subtracts them from the demand. */
  receiveTransfer(amount: number, now: number): void {
    this.held += amount;
    this.unreportedLent -= amount;
    this.recordDemand(
      -Math.min(
        amount,
        this.demandPerSecond * (DEMAND_TIME_CONSTANT_MS / 1_000),
      ),
      now,
    );
  }

  /** Adds tokens borrowed from another edge, or a gift that was not accepted. */
  credit(amount: number): void {
    this.held += amount;
    this.unreportedLent -= amount;
  }

  /** Applies the exponential decay of the demand. */
  decayDemand(elapsedMs: number): void {
    this.demandPerSecond *= Math.exp(-elapsedMs / DEMAND_TIME_CONSTANT_MS);
  }

  /** Demand in tokens per second, corrected for a short measuring time. */
  demandRate(now: number): number {
    const measuredMs = now - this.firstDemandAt;
    const fraction = 1 - Math.exp(-measuredMs / DEMAND_TIME_CONSTANT_MS);
    return this.demandPerSecond / Math.max(MIN_MEASURED_FRACTION, fraction);
  }

  /** Records that the control plane and all edges have too few tokens for a request. */
  markExhausted(tokens: number, now: number): void {
    this.exhaustedUntil = now + EXHAUSTED_CACHE_MS;
    this.minExhaustedTokens = tokens;
  }

  /** Whether a request of this size or smaller recently exceeded the budget. */
  isKnownExhausted(tokens: number, now: number): boolean {
    return now < this.exhaustedUntil && tokens >= this.minExhaustedTokens;
  }

  private recordDemand(amount: number, now: number): void {
    this.firstDemandAt = Math.min(this.firstDemandAt, now);
    const change = (amount * 1_000) / DEMAND_TIME_CONSTANT_MS;
    this.demandPerSecond = Math.max(0, this.demandPerSecond + change);
  }
}
