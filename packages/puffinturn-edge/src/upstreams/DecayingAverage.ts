/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** An exponentially weighted moving average (EWMA) that decays to a baseline. */
import type {Clock} from 'shared';

/** Options of a DecayingAverage. */
export interface DecayOptions {
  /** Value that the average returns to without samples. */
  readonly baseline: number;
  /** Time constant of the decay, ms. */
  readonly decayMs: number;
}

/**
 * EWMA that returns to a baseline while there are no samples, so that an upstream that
 * was slow gets requests again.
 */
export class DecayingAverage {
  private lastValue: number;
  private updatedAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly options: DecayOptions,
  ) {
    this.lastValue = options.baseline;
  }

  /** The current average. */
  get value(): number {
    const {decayMs, baseline} = this.options;
    const weight = Math.exp((this.updatedAt - this.clock.now()) / decayMs);
    return this.lastValue * weight + baseline * (1 - weight);
  }

  /** Adds a sample with a weight from 0 to 1. */
  addSample(sample: number, weight: number): void {
    this.lastValue = this.value * (1 - weight) + sample * weight;
    this.updatedAt = this.clock.now();
  }
}
