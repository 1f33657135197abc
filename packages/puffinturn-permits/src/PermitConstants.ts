/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Figures of permits, with unit and reason. */

/** Permits that may be used at once, beyond those that the rate brings. */
export const BURST = 2;

/** The same as a time of the rate, s, so that a high rate is not cut by its clock. */
export const BURST_S = 0.1;

/** Part of the rate that the first granter hands out, its clock and the way allowed for. */
export const FIRST_PART = 0.95;

/**
 * Part of the rate that the second granter hands out, for boxes that don't reach the
 * first one. It may do so while the first one serves others, so that both together stay
 * near the rate.
 */
export const SECOND_PART = 0.25;

/** Permits that are left to urgent requests by the others. */
export const KEPT_FOR_URGENT = 1;

/**
 * Least rate at which permits are granted, requests a second: an upstream that names 0,
 * or next to it, is asked every ten seconds whether it still does.
 */
export const LEAST_PER_SECOND = 0.1;

/** Longest time for a granter's answer, ms; a caller waits meanwhile. */
export const ASK_MS = 200;

/** A granter that didn't answer is passed over for this time, ms. */
export const SUSPECT_MS = 1_000;

/** Wait told where no granter answers, ms. */
export const UNGRANTED_WAIT_MS = 300;

/** Least wait that a refusal names, ms: the next question takes a way too. */
export const LEAST_WAIT_MS = 20;

/** Longest wait that a refusal names, ms; permits that nobody uses are lost. */
export const LONGEST_WAIT_MS = 4_000;

/** Upstreams that something is remembered of; far more than are bounded at a time. */
export const MAX_REMEMBERED = 2_000;

/** A box's permits of one upstream are logged at most so often, ms. */
export const LOG_EVERY_MS = 1_000;
