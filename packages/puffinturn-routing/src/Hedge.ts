/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** When a slow request is sent to a second upstream. */
import type {Histogram} from 'hdr-histogram-js';
import {build} from 'hdr-histogram-js';

import {ShareRetryBudget} from './RetryBudget';
import {HEDGE_SHARE} from './RoutingConstants';

const MIN_OBSERVATIONS = 50;
const WINDOW_OBSERVATIONS = 2_000;
const HEDGE_PERCENTILE = 95;
const MAX_TRACKED_MS = 600_000;

function newHistogram(): Histogram {
  return build({
    highestTrackableValue: MAX_TRACKED_MS,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
  });
}

/** Learns a pool's first-token times and allows a bounded share of hedges. */
export class Hedge {
  private current = newHistogram();
  private former: Histogram | undefined;
  private readonly budget: ShareRetryBudget;

  constructor(share = HEDGE_SHARE) {
    this.budget = new ShareRetryBudget(share, 1);
  }

  /** Notes a first-token time. */
  observe(firstTokenMs: number): void {
    this.budget.earn();
    const value = Math.min(MAX_TRACKED_MS, Math.max(1, firstTokenMs));
    this.current.recordValue(Math.round(value));
    if (this.current.totalCount >= WINDOW_OBSERVATIONS) {
      this.former = this.current;
      this.current = newHistogram();
    }
  }

  /** Time after which a second upstream may be tried, ms. */
  get afterMs(): number {
    const known = this.former ?? this.current;
    return known.totalCount < MIN_OBSERVATIONS
      ? Infinity
      : known.getValueAtPercentile(HEDGE_PERCENTILE);
  }

  /** Takes one hedge from the budget. */
  spend(): boolean {
    return this.budget.spend();
  }
}
