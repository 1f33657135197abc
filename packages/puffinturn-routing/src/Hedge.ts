/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Decides when a slow request is hedged, that is, also sent to a second upstream. */
import type {Histogram} from 'hdr-histogram-js';
import {build} from 'hdr-histogram-js';

import {ShareRetryBudget} from './RetryBudget';
import {HEDGE_RATIO} from './RoutingConstants';

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

/** Hedging policy of a pool: delays hedges to a high percentile and bounds their number. */
export class Hedge {
  private current = newHistogram();
  private previous: Histogram | undefined;
  private readonly budget: ShareRetryBudget;

  constructor(ratio = HEDGE_RATIO) {
    this.budget = new ShareRetryBudget(ratio, 1);
  }

  /** Records a time to first token and adds the request to the hedge budget. */
  observe(firstTokenMs: number): void {
    this.budget.earn();
    const value = Math.min(MAX_TRACKED_MS, Math.max(1, firstTokenMs));
    this.current.recordValue(Math.round(value));
    if (this.current.totalCount >= WINDOW_OBSERVATIONS) {
      this.previous = this.current;
      this.current = newHistogram();
    }
  }

  /** Delay before a request is hedged, ms; `Infinity` until enough responses are recorded. */
  get afterMs(): number {
    const histogram = this.previous ?? this.current;
    return histogram.totalCount < MIN_OBSERVATIONS
      ? Infinity
      : histogram.getValueAtPercentile(HEDGE_PERCENTILE);
  }

  /** Takes one hedge from the budget; false if it is exhausted. */
  spend(): boolean {
    return this.budget.spend();
  }
}
