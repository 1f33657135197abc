/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Prefill speed of an upstream, derived from the time to the first token. */
import type {Clock} from 'shared';

import {DecayingAverage} from './DecayingAverage';

/** Speed assumed without samples, tokens/ms. */
const DEFAULT_TOKENS_PER_MS = 45;

/** Bounds of one sample, tokens/ms. */
const MIN_TOKENS_PER_MS = 2;
const MAX_TOKENS_PER_MS = 90;

/** Minimum tokens of a sample; for shorter prompts, fixed costs dominate the time. */
const MIN_SAMPLE_TOKENS = 1_500;

/** Weight of one sample in the average, from 0 to 1. */
const SAMPLE_WEIGHT = 0.3;

/** Time constant with which the average decays, ms. */
const DECAY_MS = 2_500;

/**
 * Decaying average of the prefill speed. Samples include the time spent queueing behind
 * other callers, so the value is the effective speed for the next request.
 */
export class PrefillSpeed {
  private readonly average: DecayingAverage;

  constructor(clock: Clock) {
    const baseline = DEFAULT_TOKENS_PER_MS;
    this.average = new DecayingAverage(clock, {decayMs: DECAY_MS, baseline});
  }

  /** Expected prefill speed, tokens/ms. */
  get tokensPerMs(): number {
    return this.average.value;
  }

  /** Records a prefill; short prompts are ignored. */
  recordPrefill(tokens: number, durationMs: number): void {
    if (tokens < MIN_SAMPLE_TOKENS) {
      return;
    }
    const tokensPerMs = Math.max(
      MIN_TOKENS_PER_MS,
      Math.min(MAX_TOKENS_PER_MS, tokens / Math.max(1, durationMs)),
    );
    this.average.addSample(tokensPerMs, SAMPLE_WEIGHT);
  }
}
