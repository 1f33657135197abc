/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Quantiles of times, by HDR histograms. */
import type {Histogram} from 'hdr-histogram-js';
import {build} from 'hdr-histogram-js';

const MICROSECONDS = 1_000;
const HIGHEST_US = 600_000_000;

/** Rounds to hundredths. */
export function roundHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Times in ms with a resolution of a microsecond. */
export class Quantiles {
  private readonly histogram: Histogram = build({
    highestTrackableValue: HIGHEST_US,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });

  /** Adds a time, ms. */
  add(ms: number): void {
    const value = Math.max(1, Math.round(ms * MICROSECONDS));
    this.histogram.recordValue(Math.min(HIGHEST_US, value));
  }

  /** Times added. */
  get count(): number {
    return this.histogram.totalCount;
  }

  /** The time that a share of all, in percent, does not exceed, ms. */
  at(percent: number): number {
    return this.histogram.getValueAtPercentile(percent) / MICROSECONDS;
  }

  /** The usual three, rounded to hundredths of a ms. */
  summary(): {p50: number; p95: number; p99: number; count: number} {
    return {
      count: this.count,
      p50: roundHundredths(this.at(50)),
      p95: roundHundredths(this.at(95)),
      p99: roundHundredths(this.at(99)),
    };
  }
}
