/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Retry budgets by service. The configured limit holds for all edges together, so each
 * edge uses its share, given the number of known edges.
 */
import {RatioRetryBudget} from 'puffinturn-routing';

/** Limit on retries of a service, over all edges. */
export interface RetryLimit {
  /** Retries per request. */
  readonly ratio: number;
  /** Additional retries per window. */
  readonly extra: number;
}

/** Share of the limit in use; the rest allows for edges that are not known yet. */
const USABLE_SHARE = 0.6;

/** Limits retries, so that failures of a service don't multiply its load. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RatioRetryBudget>();

  constructor(
    private readonly limit: RetryLimit,
    private readonly edgeCount: () => number,
  ) {}

  /** Adds the first attempt of a request to the budget of its service. */
  recordRequest(service: string): void {
    this.getBudget(service).recordRequest();
  }

  /** Takes one retry from the budget; false if it is exhausted. */
  tryConsume(service: string): boolean {
    return this.getBudget(service).tryConsume();
  }

  /** The budget of a service, with the share for the edges that are known now. */
  private getBudget(service: string): RatioRetryBudget {
    const {extra, ratio} = this.limit;
    const ownExtra = (extra * USABLE_SHARE) / Math.max(1, this.edgeCount());
    const burst = Math.max(1, ownExtra);
    const existing = this.budgets.get(service);
    if (existing !== undefined) {
      existing.setBurst(burst);
      return existing;
    }
    const budget = new RatioRetryBudget(ratio * USABLE_SHARE, burst);
    this.budgets.set(service, budget);
    return budget;
  }
}
