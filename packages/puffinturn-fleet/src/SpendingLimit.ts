/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {MachineTime} from 'shared';
import {elapsedBetween} from 'shared';

/**
 * Limits the tokens that an edge takes from its balance of one team after an exchange
 * with the control plane: those reserved or lent, minus those released or received.
 */
export interface SpendingLimit {
  /** Tokens that may be taken at once. */
  readonly burst: number;
  /** Further tokens per second since the exchange was sent. */
  readonly perSecond: number;
  /**
   * Time after which twice as many may be taken, s; far more later on, so that a long
   * outage can use all tokens.
   */
  readonly doublingS: number;
}

/** A limit and when its exchange was sent, by the edge's machine. */
export interface SentLimit extends SpendingLimit {
  readonly sentAt: MachineTime;
}

/** Maximum number of tokens taken within a time after the exchange was sent. */
export function maxTaken(
  {burst, doublingS, perSecond}: SpendingLimit,
  elapsedMs: number,
): number {
  const seconds = Math.max(0, elapsedMs) / 1_000;
  const growth = 1 + (seconds / doublingS) ** 3;
  return burst + perSecond * seconds * growth;
}

/**
 * Tokens of a balance that an ended process can't have taken, as its successor on the
 * machine had started by then; 0 if the time between the two is not known.
 */
export function provablyUntaken(
  balance: number,
  limit: SentLimit,
  successorStartedAt: MachineTime,
): number {
  const elapsedMs = elapsedBetween(limit.sentAt, successorStartedAt);
  if (elapsedMs === undefined) {
    return 0;
  }
  return Math.max(0, Math.floor(balance - maxTaken(limit, elapsedMs)));
}
