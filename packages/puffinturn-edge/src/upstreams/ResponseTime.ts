/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Response times of an upstream of a plain service. */
import type {Clock} from 'shared';

import {DecayingAverage} from './DecayingAverage';

/** Weight of one response in the average, from 0 to 1. */
const SAMPLE_WEIGHT = 0.35;

/** Time constant with which the average decays, ms. */
const DECAY_MS = 2_000;

/**
 * Response time recorded for an upstream that rejected a request because its queue is
 * full, ms.
 */
const FULL_QUEUE_MS = 400;

/**
 * Decaying average of the response times that this edge observes. They include the
 * queueing caused by other edges, so the average reflects the total load.
 */
export class ResponseTime {
  private readonly average: DecayingAverage;

  constructor(clock: Clock) {
    this.average = new DecayingAverage(clock, {decayMs: DECAY_MS, baseline: 0});
  }

  /** The expected response time, ms; 0 if no response was recorded recently. */
  get expectedMs(): number {
    return this.average.value;
  }

  /** Records the duration of one response. */
  recordDuration(durationMs: number): void {
    this.average.addSample(
      durationMs,
      this.expectedMs === 0 ? 1 : SAMPLE_WEIGHT,
    );
  }

  /** Records a request that was rejected because the queue is full. */
  recordFull(): void {
    this.recordDuration(Math.max(FULL_QUEUE_MS, this.expectedMs));
  }
}
