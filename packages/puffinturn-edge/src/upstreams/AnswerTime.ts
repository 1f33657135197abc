/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * How long an upstream of a plain service takes to answer, as this edge's own
 * requests show it. The time holds the requests of all other edges that wait
 * there, so it tells of their load too.
 */
import type {Clock} from 'shared';

import {FadingAverage} from './FadingAverage';

/** Weight of one answer. */
const WEIGHT = 0.35;

/** Time in which old answers lose most of their weight, ms. */
const FORGET_MS = 2_000;

/** What an upstream without room is taken to have needed, ms: a full queue. */
const FULL_MS = 400;

/** See the module comment. */
export class AnswerTime {
  private readonly average: FadingAverage;

  constructor(clock: Clock) {
    this.average = new FadingAverage(clock, {forgetMs: FORGET_MS, usual: 0});
  }

  /** The time to expect, ms; 0 where nothing is known. */
  get ms(): number {
    return this.average.value;
  }

  /** Notes that an answer took so long. */
  measured(tookMs: number): void {
    this.average.add(tookMs, this.ms === 0 ? 1 : WEIGHT);
  }

  /** Notes that the upstream had no room. */
  full(): void {
    this.measured(Math.max(FULL_MS, this.ms));
  }
}
