/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {SpendingLimit} from 'puffinturn-fleet';

import {DEMAND_TIME_CONSTANT_MS, EXHAUSTED_CACHE_MS} from '../EdgeConstants';
import {AccountLimits} from './AccountLimits';

/** Weight of the latest request in the mean size. */
const SIZE_WEIGHT = 0.1;

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
  /** Mean size of recent requests and loans, tokens. */
  typicalRequest = 0;
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
  /** Limits on what is taken from this account. */
  readonly limits = new AccountLimits();
  /** Changes of the balance that were reported to the control plane, in total. */
  private reportedTotal = 0;
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

  /** Free tokens that the spending limits allow to take. */
  spendable(now: number): number {
    return Math.min(this.free, this.limits.headroom(this.taken, now));
  }

  /** Tokens that waiting requests need. */
  get waitingTokens(): number {
    let sum = 0;
    for (const {tokens} of this.waitingRequests) {
      sum += tokens;
    }
    return sum;
  }

  /** Tokens that waiting requests need beyond the free ones. */
  get shortfall(): number {
    const sum = this.waitingTokens;
    return sum === 0 ? 0 : Math.max(0, sum - this.free);
  }

  /** Whether requests wait for tokens that are not held or that may not be taken. */
  isShort(now: number): boolean {
    const sum = this.waitingTokens;
    return sum > 0 && sum > this.spendable(now);
  }

  /** Tokens reserved or lent, minus those released or received, since the start. */
  private get taken(): number {
    return this.reportedTotal + this.unreportedTotal;
  }

  /** Whether a limit is nearly used up. */
  isLimitLow(now: number): boolean {
    return this.limits.isLow(this.taken, now);
  }

  get hasWaitingRequests(): boolean {
    return this.waitingRequests.size > 0;
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
    this.recordSize(tokens);
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
    this.giveAway(amount);
    this.recordSize(amount);
    this.recordDemand(amount, now);
  }

  /** Removes tokens given to another edge, without effect on the demand. */
  giveAway(amount: number): void {
    this.held -= amount;
    this.unreportedLent += amount;
  }

  /** Adds tokens given by another edge and subtracts them from the demand. */
  receiveTransfer(amount: number, now: number): void {
    this.credit(amount);
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

  /**
   * Announces a limit with an exchange that reports all changes of the balance, and
   * returns these changes.
   */
  report(
    limit: SpendingLimit | undefined,
    now: number,
  ): {readonly lent: number; readonly spent: number} {
    const changes = {lent: this.unreportedLent, spent: this.unreportedSpent};
    this.reportedTotal += this.unreportedTotal;
    this.unreportedLent = 0;
    this.unreportedSpent = 0;
    this.limits.announce(limit, this.taken, now);
    return changes;
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

  private recordSize(tokens: number): void {
    const weight = this.typicalRequest === 0 ? 1 : SIZE_WEIGHT;
    this.typicalRequest += (tokens - this.typicalRequest) * weight;
  }

  private recordDemand(amount: number, now: number): void {
    this.firstDemandAt = Math.min(this.firstDemandAt, now);
    const change = (amount * 1_000) / DEMAND_TIME_CONSTANT_MS;
    this.demandPerSecond = Math.max(0, this.demandPerSecond + change);
  }
}
