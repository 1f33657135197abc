/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * When callers that are refused may come back, where upstreams take only so many
 * requests a second: one after the other, as fast as these are served, and not all
 * together at the next moment.
 */
import type {Clock, Random} from 'shared';

const SECOND_MS = 1_000;

/** Callers are told to come back within this time, ms; few have more left. */
const LONGEST_MS = 3_000;

/** See the module comment. */
export class ReturnTimes {
  /** When the caller that was refused last may come back, by service. */
  private readonly lastAt = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    /** Edges that refuse callers of the same upstreams, this one included. */
    private readonly edges: () => number,
  ) {}

  /**
   * The wait of the next caller, s: not before `waitMs`, and behind the one before at
   * the part of `perSecond` that falls to this edge.
   */
  nextS(service: string, waitMs: number, perSecond: number): number {
    const now = this.clock.now();
    const gapMs = (SECOND_MS * this.edges()) / perSecond;
    const after = (this.lastAt.get(service) ?? -Infinity) + gapMs;
    const at = Math.max(now + waitMs, after);
    if (at - now > LONGEST_MS) {
      // All times are given out: those beyond are spread over the same time again.
      const spreadMs = Math.max(0, LONGEST_MS - waitMs);
      return secondsOf(waitMs + this.random.fraction() * spreadMs);
    }
    this.lastAt.set(service, at);
    return secondsOf(at - now);
  }
}

/** A wait as callers are told it, s. */
export function secondsOf(ms: number): number {
  return Math.ceil(ms) / SECOND_MS;
}
