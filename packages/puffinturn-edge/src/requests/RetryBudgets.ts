/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The retry budget of each service. It is one figure over all edges; each edge
 * takes its part, as the number of edges that it last knew of gives it.
 */
import {ShareRetryBudget} from 'puffinturn-routing';

/** The bound over all edges. */
export interface RetryBound {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries beyond that in a window. */
  readonly extra: number;
}

/** Part of the bound that is used, since edges can come and go. */
const USED_PART = 0.6;

/** See the module comment. */
export class RetryBudgets {
  private readonly budgets = new Map<string, ShareRetryBudget>();

  constructor(
    private readonly bound: RetryBound,
    private readonly edges: () => number,
  ) {}

  /** Notes the first arrival of a request at a service. */
  earn(service: string): void {
    this.budgetOf(service).earn();
  }

  /** Takes one further arrival; false when there is none left. */
  spend(service: string): boolean {
    return this.budgetOf(service).spend();
  }

  private budgetOf(service: string): ShareRetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) {
      return known;
    }
    const {extra, ratio} = this.bound;
    const part = (extra * USED_PART) / Math.max(1, this.edges());
    const budget = new ShareRetryBudget(ratio * USED_PART, Math.max(1, part));
    this.budgets.set(service, budget);
    return budget;
  }
}
