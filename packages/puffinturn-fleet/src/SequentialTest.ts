/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {
  BAD_THRESHOLD,
  MAX_INCREASE_PER_STEP,
  SUSPECT_THRESHOLD,
} from './RolloutConstants';

/**
 * Detects a raised rate with a cumulative sum (CUSUM) of log-likelihood ratios. The sum
 * never falls below 0, so a rate that rises late is detected as quickly as one that is
 * raised from the start.
 */
export class SequentialTest {
  private cumulativeSum = 0;
  private isRaised = false;

  /** Adds the responses of one step, of which `positives` count towards the rate. */
  addSample(
    positives: number,
    answers: number,
    baselineRate: number,
    raisedRate: number,
  ): void {
    const negatives = Math.max(0, answers - positives);
    const logLikelihoodRatio =
      positives * Math.log(raisedRate / baselineRate) +
      negatives * Math.log((1 - raisedRate) / (1 - baselineRate));
    this.cumulativeSum = Math.max(
      0,
      this.cumulativeSum + Math.min(MAX_INCREASE_PER_STEP, logLikelihoodRatio),
    );
    this.isRaised ||= this.cumulativeSum >= BAD_THRESHOLD;
  }

  /** Whether a raised rate has been detected; stays true from then on. */
  get isRateRaised(): boolean {
    return this.isRaised;
  }

  /** Whether the rate may be raised. */
  get isRateSuspect(): boolean {
    return this.isRaised || this.cumulativeSum >= SUSPECT_THRESHOLD;
  }
}
