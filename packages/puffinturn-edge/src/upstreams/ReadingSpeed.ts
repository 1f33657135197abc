/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * How fast an upstream reads prompts, as the time to first tokens shows it. The
 * time holds what other callers put before the request, so the figure is the
 * speed that the next request may expect. Without news it goes back to the
 * usual, so that an upstream that was slow is tried again.
 */
import type {Clock} from 'shared';

import {FadingAverage} from './FadingAverage';

/** Assumed before anything was measured, tokens a ms. */
const USUAL_SPEED = 45;

/** Bounds of the figure, tokens a ms. */
const LEAST_SPEED = 2;
const MOST_SPEED = 90;

/** Prompts shorter than this say more of steps than of reading. */
const LEAST_TOKENS = 1_500;

/** Weight of one measurement. */
const WEIGHT = 0.3;

/** Time in which old measurements lose most of their weight, ms. */
const FORGET_MS = 2_500;

/** See the module comment. */
export class ReadingSpeed {
  private readonly average: FadingAverage;

  constructor(clock: Clock) {
    const usual = USUAL_SPEED;
    this.average = new FadingAverage(clock, {forgetMs: FORGET_MS, usual});
  }

  /** Tokens a millisecond. */
  get tokensPerMs(): number {
    return this.average.value;
  }

  /** Notes that `tokens` were read within `ms`. */
  measured(tokens: number, ms: number): void {
    if (tokens < LEAST_TOKENS) {
      return;
    }
    const speed = Math.max(
      LEAST_SPEED,
      Math.min(MOST_SPEED, tokens / Math.max(1, ms)),
    );
    this.average.add(speed, WEIGHT);
  }
}
