/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * An average of measurements in which newer ones weigh more and which goes back to
 * a usual value while there are none, so that an upstream that was slow is tried
 * again.
 */
import type {Clock} from 'shared';

/** How an average fades. */
export interface Fading {
  /** Where it goes back to. */
  readonly usual: number;
  /** Time in which old measurements lose most of their weight, ms. */
  readonly forgetMs: number;
}

/** See the module comment. */
export class FadingAverage {
  private last: number;
  private at = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly fading: Fading,
  ) {
    this.last = fading.usual;
  }

  /** The average as of now. */
  get value(): number {
    const {forgetMs, usual} = this.fading;
    const weight = Math.exp((this.at - this.clock.now()) / forgetMs);
    return this.last * weight + usual * (1 - weight);
  }

  /** Takes a measurement in with a weight from 0 to 1. */
  add(measured: number, weight: number): void {
    this.last = this.value * (1 - weight) + measured * weight;
    this.at = this.clock.now();
  }
}
