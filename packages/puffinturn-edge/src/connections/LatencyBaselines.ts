/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Latency baselines of the stable version of a service by route, to detect a slower
 * version. Time to first byte is normalized by prompt length, the rest by event count.
 */
import {LRUCache} from 'lru-cache';

/** Latency of one complete response. */
export interface LatencySample {
  /** Prompt tokens to process before the first byte; 0 without an engine. */
  readonly promptTokens: number;
  /** Time to the head of the response, ms. */
  readonly firstByteMs: number;
  /** Time to the end of the response, ms. */
  readonly totalMs: number;
  readonly eventCount: number;
}

/** Maximum number of routes with a baseline, per service. */
const MAX_ROUTES = 512;

/** Samples of a route before it has a baseline. */
const MIN_SAMPLES = 5;

/** Smallest weight of a new sample in the moving average. */
const MIN_SAMPLE_WEIGHT = 0.03;

/** Added to each time, ms, so that small differences have little effect. */
const NOISE_FLOOR_MS = 5;

/** Fixed cost of a request without its prompt, ms; typical of an engine. */
const BASE_COST_MS = 40;

/** Typical prompt processing speed of an engine, tokens per ms. */
const PREFILL_TOKENS_PER_MS = 45;

/** Minimum number of events to measure the time per event. */
const MIN_STREAM_EVENTS = 4;

/** Exponentially weighted geometric mean; robust against a few outliers. */
class GeometricMean {
  private logMean = 0;
  private count = 0;

  /** Undefined before MIN_SAMPLES samples. */
  get value(): number | undefined {
    return this.count < MIN_SAMPLES ? undefined : Math.exp(this.logMean);
  }

  add(measured: number): void {
    this.count += 1;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / this.count);
    this.logMean += (Math.log(measured) - this.logMean) * weight;
  }
}

/** Baselines of one route. */
interface RouteBaselines {
  /** Time to first byte, relative to the cost of the prompt. */
  readonly firstByte: GeometricMean;
  /** Total time of a response with few events, relative to the cost of the prompt. */
  readonly total: GeometricMean;
  /** Time per event after the first byte, ms. */
  readonly perEvent: GeometricMean;
}

/** Compares response times with the baseline of their route. */
export class LatencyBaselines {
  private readonly routes = new LRUCache<string, RouteBaselines>({
    max: MAX_ROUTES,
  });

  /** Adds a response of the stable version to the baseline. */
  addSample(route: string, sample: LatencySample): void {
    const baselines = this.getBaselines(route);
    if (sample.eventCount < MIN_STREAM_EVENTS) {
      baselines.total.add(normalizedTotal(sample));
    } else {
      baselines.firstByte.add(normalizedFirstByte(sample));
      baselines.perEvent.add(msPerEvent(sample));
    }
  }

  /** Latency relative to the baseline (1 = equal); undefined without a baseline. */
  ratioToBaseline(route: string, sample: LatencySample): number | undefined {
    const {perEvent, firstByte, total} = this.getBaselines(route);
    if (sample.eventCount < MIN_STREAM_EVENTS) {
      return ratioTo(normalizedTotal(sample), total.value);
    }
    const firstRatio = ratioTo(normalizedFirstByte(sample), firstByte.value);
    const eventRatio = ratioTo(msPerEvent(sample), perEvent.value);
    return firstRatio === undefined || eventRatio === undefined
      ? undefined
      : Math.max(firstRatio, eventRatio);
  }

  private getBaselines(route: string): RouteBaselines {
    const existing = this.routes.get(route);
    if (existing !== undefined) {
      return existing;
    }
    const created = {
      firstByte: new GeometricMean(),
      perEvent: new GeometricMean(),
      total: new GeometricMean(),
    };
    this.routes.set(route, created);
    return created;
  }
}

function normalizedFirstByte({
  firstByteMs,
  promptTokens,
}: LatencySample): number {
  return (firstByteMs + NOISE_FLOOR_MS) / promptCostMs(promptTokens);
}

function normalizedTotal({promptTokens, totalMs}: LatencySample): number {
  return (totalMs + NOISE_FLOOR_MS) / promptCostMs(promptTokens);
}

function msPerEvent({eventCount, firstByteMs, totalMs}: LatencySample): number {
  return (totalMs - firstByteMs + NOISE_FLOOR_MS) / eventCount;
}

function promptCostMs(tokens: number): number {
  return BASE_COST_MS + tokens / PREFILL_TOKENS_PER_MS;
}

function ratioTo(
  measured: number,
  expected: number | undefined,
): number | undefined {
  return expected === undefined ? undefined : measured / expected;
}
