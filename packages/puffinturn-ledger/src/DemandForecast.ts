/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Estimates the spending rate of each budget. */
import type {Clock} from 'shared';

import {DEMAND_HALF_LIFE_MS} from './LedgerConstants';

interface DecayedTotal {
  total: number;
  updatedAt: number;
}

/** Estimates spending rates from exponentially decaying totals. */
export class DemandForecast {
  private readonly totals = new Map<string, DecayedTotal>();

  constructor(private readonly clock: Clock) {}

  /** Adds spent units to the total of a budget. */
  recordSpending(budget: string, amount: number): void {
    const now = this.clock.now();
    this.totals.set(budget, {
      total: this.decayedTotal(budget, now) + amount,
      updatedAt: now,
    });
  }

  /** Returns the current spending rate of a budget, units per ms. */
  ratePerMs(budget: string): number {
    const total = this.decayedTotal(budget, this.clock.now());
    return (total * Math.LN2) / DEMAND_HALF_LIFE_MS;
  }

  private decayedTotal(budget: string, now: number): number {
    const entry = this.totals.get(budget);
    if (entry === undefined) {
      return 0;
    }
    const total =
      entry.total * 2 ** ((entry.updatedAt - now) / DEMAND_HALF_LIFE_MS);
    // Drops totals below one unit, so that idle budgets use no memory.
    if (total < 1) {
      this.totals.delete(budget);
      return 0;
    }
    return total;
  }
}
