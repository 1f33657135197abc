/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {SpendingLimit} from 'puffinturn-fleet';
import {maxTaken} from 'puffinturn-fleet';

/** A limit since the exchange that announced it. */
interface ActiveLimit {
  /** Undefined if all tokens may be taken. */
  readonly limit: SpendingLimit | undefined;
  /** Monotonic time, ms, not before the exchange was stamped with its time. */
  readonly startedAt: number;
  /** Tokens taken from the account by then, in total. */
  readonly takenBefore: number;
}

/** The limit of an account for which none was announced. */
const UNLIMITED: ActiveLimit = {
  limit: undefined,
  startedAt: 0,
  takenBefore: 0,
};

/**
 * The spending limits of one account that the control plane may rely on if this process
 * ends now: that of the last answered exchange, and that of a later one, which may have
 * arrived although its reply has not.
 */
export class AccountLimits {
  private answered = UNLIMITED;
  private pending: ActiveLimit | undefined;

  /** Whether the last announced limit bounds the account. */
  get isLimited(): boolean {
    return this.latest.limit !== undefined;
  }

  /** Starts the limit that an exchange announces. */
  announce(
    limit: SpendingLimit | undefined,
    takenBefore: number,
    now: number,
  ): void {
    this.pending = {limit, startedAt: now, takenBefore};
  }

  /** Replaces the previous limit once the exchange was answered. */
  confirm(): void {
    this.answered = this.latest;
    this.pending = undefined;
  }

  /** Tokens that may still be taken if `taken` were taken in total. */
  headroom(taken: number, now: number): number {
    const answered = remaining(this.answered, taken, now);
    return this.pending === undefined
      ? answered
      : Math.min(answered, remaining(this.pending, taken, now));
  }

  /** Time since the last announcement, ms. */
  age(now: number): number {
    return now - this.latest.startedAt;
  }

  /** Whether less than half of the last announced burst is left. */
  isLow(taken: number, now: number): boolean {
    const {limit} = this.latest;
    return (
      limit !== undefined &&
      remaining(this.latest, taken, now) < limit.burst / 2
    );
  }

  private get latest(): ActiveLimit {
    return this.pending ?? this.answered;
  }
}

function remaining(
  {limit, startedAt, takenBefore}: ActiveLimit,
  taken: number,
  now: number,
): number {
  if (limit === undefined) {
    return Infinity;
  }
  return Math.floor(maxTaken(limit, now - startedAt) - (taken - takenBefore));
}
