/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Whether a rate has risen: a cumulative sum of log likelihood ratios of a risen rate
 * against the normal one. It never falls below 0, so that a version that turns bad
 * late is found as soon as one that is bad at once.
 */
import {BAD_FROM, MOST_PER_STEP, SUSPECT_FROM} from './RolloutConstants';

/** See the module comment. */
export class SequentialTest {
  private sum = 0;
  private risen = false;

  /** Takes the answers of one step: how many, and how many of them are hits. */
  take(hits: number, answers: number, normal: number, risen: number): void {
    const misses = Math.max(0, answers - hits);
    const ratio =
      hits * Math.log(risen / normal) +
      misses * Math.log((1 - risen) / (1 - normal));
    this.sum = Math.max(0, this.sum + Math.min(MOST_PER_STEP, ratio));
    this.risen ||= this.sum >= BAD_FROM;
  }

  /** Whether the rate has risen beyond doubt, now or before. */
  get hasRisen(): boolean {
    return this.risen;
  }

  /** Whether it may have risen. */
  get mayHaveRisen(): boolean {
    return this.risen || this.sum >= SUSPECT_FROM;
  }
}
