/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Defaults of the routing decisions. */

/** Bytes of prompt in one block of the prefix index. */
export const PREFIX_BLOCK_BYTES = 512;

/** Blocks of a prompt that are looked at. */
export const MAX_PREFIX_BLOCKS = 64;

/** Blocks that the prefix index remembers. */
export const PREFIX_INDEX_BLOCKS = 200_000;

/** An upstream may be this much busier than the mean and keep its prefix. */
export const PREFIX_LOAD_BOUND = 1.25;

/** Share of the first-token time that a whole cached prefix saves. */
export const PREFIX_SAVING = 0.7;

/** Weight of a new observation in moving averages. */
export const LATENCY_SMOOTHING = 0.15;

/** First-token time assumed before there are observations, ms. */
export const INITIAL_FIRST_TOKEN_MS = 200;

/** Reports older than this say nothing about an upstream's load, ms. */
export const LOAD_REPORT_MS = 3_000;

/** Failures in a row that open a circuit. */
export const CIRCUIT_FAILURES = 4;

/** Pause before a circuit lets one request through, ms; doubles each time. */
export const CIRCUIT_PAUSE_MS = 1_000;

/** Longest pause of a circuit, ms. */
export const CIRCUIT_MAX_PAUSE_MS = 30_000;

/** Share of a pool that circuits may take out at most. */
export const MAX_EJECTED_SHARE = 0.5;

/** Retries as a share of requests. */
export const RETRY_SHARE = 0.1;

/**
 * Retries that are possible at once after a quiet time: about what one box
 * has in flight, so that the loss of a hall can be retried once.
 */
export const RETRY_RESERVE = 50;

/** Hedges as a share of requests. */
export const HEDGE_SHARE = 0.02;

/** Waiting this long moves a request up by one priority, ms. */
export const AGEING_MS = 2_000;

/** Requests that wait on one box for one pool at most. */
export const MAX_WAITING = 2_000;

/** First retry pause, ms; doubles, with full jitter. */
export const BACKOFF_MS = 20;

/** Longest retry pause, ms. */
export const MAX_BACKOFF_MS = 1_000;

/** Adaptive limits never go below this share of the declared slots. */
export const MIN_LIMIT_SHARE = 0.25;

/** Requests beyond the slots that an upstream may queue itself. */
export const LIMIT_HEADROOM = 1.25;

/** A queue that waits longer than this share of the target stands. */
export const STANDING_WAIT_SHARE = 0.2;

/** A queue that stands for this long is cut to what meets the target, ms. */
export const STANDING_MS = 1_000;

/** Shares presumed for the first upstreams by rendezvous hashing. */
export const PRESUMED_SHARES: readonly number[] = [0.6, 0.4, 0.2];

/** Prompts that are equal up to this block are kept together. */
export const RENDEZVOUS_BLOCK = 3;

/** A first token later than this share of the target lowers the limit. */
export const LIMIT_TARGET_SHARE = 0.5;

/** Factor by which a limit is lowered. */
export const LIMIT_DECREASE = 0.85;

/** A limit is lowered at most this often, ms. */
export const LIMIT_PAUSE_MS = 400;
