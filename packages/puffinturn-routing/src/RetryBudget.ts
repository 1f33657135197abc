/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Bounds retries and hedged requests, so that failures do not multiply the load. */
import type {Random} from 'shared';

import {
  INITIAL_BACKOFF_MS,
  MAX_BACKOFF_MS,
  RETRY_BURST,
  RETRY_RATIO,
} from './RoutingConstants';

/** Limits the number of retries. */
export abstract class RetryBudget {
  /** Adds the first attempt of a request to the budget. */
  abstract recordRequest(): void;

  /** Takes one retry from the budget; false if it is exhausted. */
  abstract tryConsume(): boolean;
}

/** A token bucket that each request fills by a fraction of a retry. */
export class RatioRetryBudget extends RetryBudget {
  private tokens: number;

  constructor(
    private readonly ratio = RETRY_RATIO,
    private burst = RETRY_BURST,
  ) {
    super();
    this.tokens = burst;
  }

  /** Changes the maximum number of retries at once; what exceeds it is lost. */
  setBurst(burst: number): void {
    this.burst = burst;
    this.tokens = Math.min(burst, this.tokens);
  }

  override recordRequest(): void {
    this.tokens = Math.min(this.burst, this.tokens + this.ratio);
  }

  override tryConsume(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}

/** Baseline: allows every retry. */
export class UnlimitedRetryBudget extends RetryBudget {
  override recordRequest(): void {}

  override tryConsume(): boolean {
    return true;
  }
}

/** Delay before a retry, ms: exponential back-off with full jitter. */
export function backoffDelayMs(attempt: number, random: Random): number {
  const maxDelayMs = Math.min(
    MAX_BACKOFF_MS,
    INITIAL_BACKOFF_MS * 2 ** attempt,
  );
  return random.fraction() * maxDelayMs;
}
