/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Constants of request routing. */

/** Length of a prompt block in the prefix index, UTF-16 code units. */
export const PREFIX_BLOCK_LENGTH = 512;

/** Maximum number of blocks of a prompt that are hashed. */
export const MAX_PREFIX_BLOCKS = 64;

/** Maximum number of blocks in the prefix index. */
export const PREFIX_INDEX_CAPACITY = 200_000;

/** Utilization relative to the mean above which a cached prefix is ignored. */
export const MAX_PREFIX_LOAD_RATIO = 1.25;

/** Share of the time to first token that a fully cached prompt saves. */
export const CACHED_PREFIX_SAVING = 0.7;

/** Minimum weight of a new value in the EWMA of the time to first token. */
export const LATENCY_EWMA_WEIGHT = 0.15;

/** Assumed time to first token before the first response, ms. */
export const INITIAL_FIRST_TOKEN_MS = 200;

/** Load reports of upstreams expire after this time, ms. */
export const MAX_LOAD_REPORT_AGE_MS = 3_000;

/** Number of consecutive failures that open a circuit. */
export const CIRCUIT_FAILURE_THRESHOLD = 4;

/** Time before an open circuit allows a probe, ms; doubles with each failed probe. */
export const INITIAL_CIRCUIT_OPEN_MS = 1_000;

/** Maximum time before an open circuit allows a probe, ms. */
export const MAX_CIRCUIT_OPEN_MS = 30_000;

/** Maximum share of the upstreams of a pool that open circuits may exclude. */
export const MAX_EJECTED_SHARE = 0.5;

/** Retries per request that the retry budget allows. */
export const RETRY_RATIO = 0.1;

/**
 * Capacity of the retry budget, retries. It covers the requests that one box has in
 * flight, so that each can be retried once if a hall fails.
 */
export const RETRY_BURST = 50;

/** Hedged requests per request that the hedge budget allows. */
export const HEDGE_RATIO = 0.02;

/** Queue time that raises a request by one priority, ms. */
export const PRIORITY_AGING_MS = 2_000;

/** Maximum number of queued requests per box and pool. */
export const MAX_QUEUED_REQUESTS = 2_000;

/** Upper bound of the first retry delay, ms; doubles with each attempt. */
export const INITIAL_BACKOFF_MS = 20;

/** Maximum retry delay, ms. */
export const MAX_BACKOFF_MS = 1_000;

/** Minimum adaptive limit as a share of the declared slots. */
export const MIN_LIMIT_SHARE = 0.25;

/** Maximum adaptive limit as a share of the slots; the excess queues on the upstream. */
export const MAX_LIMIT_SHARE = 1.25;

/** Expected queue time of a standing queue, as a share of the first-token target. */
export const STANDING_QUEUE_WAIT_SHARE = 0.2;

/** A queue that stands for longer than this sheds load, ms. */
export const STANDING_QUEUE_MS = 1_000;

/** Cached share assumed for the first upstreams of the rendezvous order. */
export const RENDEZVOUS_CACHED_SHARES: readonly number[] = [0.6, 0.4, 0.2];

/** Prompts that are equal up to this block have the same rendezvous order. */
export const RENDEZVOUS_BLOCK_INDEX = 3;

/** A time to first token above this share of the target decreases the limit. */
export const LATE_FIRST_TOKEN_SHARE = 0.5;

/** Factor of a decrease of the limit. */
export const LIMIT_DECREASE_FACTOR = 0.85;

/** Minimum time between two decreases of a limit, ms. */
export const LIMIT_DECREASE_INTERVAL_MS = 400;
