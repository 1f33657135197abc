/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Decides when a slow request is hedged, that is, also sent to a second upstream. */
import type {Histogram} from 'hdr-histogram-js';
import {build} from 'hdr-histogram-js';

import {RatioRetryBudget} from './RetryBudget';
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
export class HedgePolicy {
  private current = newHistogram();
  private previous: Histogram | undefined;
  private readonly budget: RatioRetryBudget;

  constructor(ratio = HEDGE_RATIO) {
    this.budget = new RatioRetryBudget(ratio, 1);
  }

  /** Records a time to first token and adds the request to the hedge budget. */
  recordFirstToken(firstTokenMs: number): void {
    this.budget.recordRequest();
    const value = Math.min(MAX_TRACKED_MS, Math.max(1, firstTokenMs));
    this.current.recordValue(Math.round(value));
    if (this.current.totalCount >= WINDOW_OBSERVATIONS) {
      this.previous = this.current;
      this.current = newHistogram();
    }
  }

  /** Delay before a request is hedged, ms; `Infinity` until enough responses are recorded. */
  get delayMs(): number {
    const histogram = this.previous ?? this.current;
    return histogram.totalCount < MIN_OBSERVATIONS
      ? Infinity
      : histogram.getValueAtPercentile(HEDGE_PERCENTILE);
  }

  /** Takes one hedge from the budget; false if it is exhausted. */
  tryConsume(): boolean {
    return this.budget.tryConsume();
  }
}
