/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** How fast each budget is spent: sums that halve in a fixed time. */
import type {Clock} from 'shared';

import {DEMAND_HALF_LIFE_MS} from './LedgerConstants';

interface Demand {
  sum: number;
  at: number;
}

/** See the module comment. */
export class DemandForecast {
  private readonly demands = new Map<string, Demand>();

  constructor(private readonly clock: Clock) {}

  /** Counts spending. */
  add(budget: string, amount: number): void {
    const now = this.clock.now();
    this.demands.set(budget, {at: now, sum: this.sum(budget, now) + amount});
  }

  /** Present spending, units a millisecond. */
  rate(budget: string): number {
    const sum = this.sum(budget, this.clock.now());
    return (sum * Math.LN2) / DEMAND_HALF_LIFE_MS;
  }

  private sum(budget: string, now: number): number {
    const demand = this.demands.get(budget);
    if (demand === undefined) {
      return 0;
    }
    const sum = demand.sum * 2 ** ((demand.at - now) / DEMAND_HALF_LIFE_MS);
    // Less than one unit counts as rest, so that idle budgets are forgotten.
    if (sum < 1) {
      this.demands.delete(budget);
      return 0;
    }
    return sum;
  }
}
