/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Constants of permits. */

/** Burst size that does not depend on the rate, in permits. */
export const BASE_BURST = 2;

/**
 * Rate-dependent part of the burst size, in seconds of the rate. It keeps timer
 * granularity from reducing a high rate.
 */
export const BURST_SECONDS = 0.1;

/**
 * Fraction of the rate that the primary granter hands out. The rest is headroom for
 * clock differences and network delay.
 */
export const PRIMARY_RATE_FRACTION = 0.95;

/**
 * Fraction of the rate that the secondary granter hands out to boxes that can't reach
 * the primary. Both may be granting at once, so their sum must stay near the rate.
 */
export const SECONDARY_RATE_FRACTION = 0.25;

/** Permits that the least urgent requests leave for urgent ones. */
export const RESERVED_FOR_URGENT = 1;

/**
 * Minimum rate at which permits are granted, requests per second. An upstream with a
 * limit of 0 still gets a request every ten seconds, which shows whether the limit
 * has changed.
 */
export const MIN_REQUESTS_PER_SECOND = 0.1;

/** Timeout of a request for permits or slots, ms; callers wait for it. */
export const REQUEST_TIMEOUT_MS = 200;

/** How long a granter is skipped after a failed request, ms. */
export const UNRESPONSIVE_GRANTER_MS = 1_000;

/** Wait before the next permit request when no granter is available, ms. */
export const NO_GRANTER_WAIT_MS = 300;

/** Minimum wait in a refusal, ms; the next request takes a round trip too. */
export const MIN_WAIT_MS = 20;

/** Maximum wait in a refusal, ms; a longer wait would leave permits unused. */
export const MAX_WAIT_MS = 4_000;

/**
 * Maximum number of entries in each per-upstream cache; far more than are limited at a
 * time.
 */
export const MAX_TRACKED_UPSTREAMS = 2_000;

/** Minimum interval between reports of the grant counts of an upstream, ms. */
export const LOG_INTERVAL_MS = 1_000;
