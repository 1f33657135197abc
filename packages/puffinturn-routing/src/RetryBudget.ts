/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Bounds retries and hedges, so that trouble is not amplified. */
import type {Random} from 'shared';

import {
  BACKOFF_MS,
  MAX_BACKOFF_MS,
  RETRY_RESERVE,
  RETRY_SHARE,
} from './RoutingConstants';

/** Whether one more retry may be made. */
export abstract class RetryBudget {
  /** Notes a first attempt. */
  abstract earn(): void;

  /** Takes one retry; false when there is none left. */
  abstract spend(): boolean;
}

/** Retries as a share of the requests, with a small reserve. */
export class ShareRetryBudget extends RetryBudget {
  private tokens: number;

  constructor(
    private readonly share = RETRY_SHARE,
    private readonly reserve = RETRY_RESERVE,
  ) {
    super();
    this.tokens = reserve;
  }

  override earn(): void {
    this.tokens = Math.min(this.reserve, this.tokens + this.share);
  }

  override spend(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}

/** Baseline: always one more. */
export class UnlimitedRetryBudget extends RetryBudget {
  override earn(): void {}

  override spend(): boolean {
    return true;
  }
}

/** Pause before a retry: exponential with full jitter, ms. */
export function backoffMs(attempt: number, random: Random): number {
  const longest = Math.min(MAX_BACKOFF_MS, BACKOFF_MS * 2 ** attempt);
  return random.fraction() * longest;
}
