/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * How many requests a second an upstream says that it takes from all boxes together,
 * as boxes tell each other.
 */

/** What was said last. */
export interface UpstreamLimit {
  /** Requests a second; undefined where it names no limit any more. */
  readonly perSecond?: number | undefined;
  /** Grows with each change that any box has seen; 0 while none was ever named. */
  readonly revision: number;
}

/** Of an upstream that has never named one. */
export const NO_LIMIT: UpstreamLimit = {perSecond: undefined, revision: 0};

/**
 * Whether a statement is later than another one. Of two that boxes heard at the same
 * time the lower one counts, as the upstream bears what is less.
 */
export function isLaterLimit(
  found: UpstreamLimit,
  held: UpstreamLimit,
): boolean {
  return found.revision === held.revision
    ? rateOf(found) < rateOf(held)
    : found.revision > held.revision;
}

/** The later of two statements. */
export function laterLimit(a: UpstreamLimit, b: UpstreamLimit): UpstreamLimit {
  return isLaterLimit(b, a) ? b : a;
}

/** Requests a second that a limit allows; Infinity where there is none. */
export function rateOf({perSecond}: UpstreamLimit): number {
  return perSecond ?? Infinity;
}
