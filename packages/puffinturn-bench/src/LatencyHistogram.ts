/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Latency percentiles, backed by HDR histograms. */
import type {Histogram} from 'hdr-histogram-js';
import {build} from 'hdr-histogram-js';

const MICROSECONDS_PER_MS = 1_000;
const MAX_VALUE_US = 600_000_000;

/** Rounds to two decimal places. */
export function roundHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Records latencies up to 10 minutes, to three significant digits. */
export class LatencyHistogram {
  private readonly histogram: Histogram = build({
    highestTrackableValue: MAX_VALUE_US,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });

  /** Records a latency in ms. */
  record(ms: number): void {
    const value = Math.max(1, Math.round(ms * MICROSECONDS_PER_MS));
    this.histogram.recordValue(Math.min(MAX_VALUE_US, value));
  }

  /** Number of recorded latencies. */
  get count(): number {
    return this.histogram.totalCount;
  }

  /** Returns a percentile of the recorded latencies, ms. */
  percentile(percent: number): number {
    return this.histogram.getValueAtPercentile(percent) / MICROSECONDS_PER_MS;
  }

  /** Returns p50, p95 and p99 in ms, and the count. */
  summary(): {p50: number; p95: number; p99: number; count: number} {
    return {
      count: this.count,
      p50: roundHundredths(this.percentile(50)),
      p95: roundHundredths(this.percentile(95)),
      p99: roundHundredths(this.percentile(99)),
    };
  }
}
