/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Constants of the edge. */

/**
 * Timeout for connecting to an upstream, ms. A host that is down does not reply at all.
 */
export const CONNECT_TIMEOUT_MS = 400;

/**
 * Limit of the body of a response that rejects a request, or of an error for which another
 * upstream can be tried. Prevents a body that never ends from blocking its connection and
 * the request.
 */
export const ERROR_BODY_LIMIT = {maxBytes: 64 * 1024, maxMs: 400} as const;

/** Failed connection attempts after which a request fails. */
export const MAX_CONNECT_FAILURES = 4;

/** Responses up to this size are buffered until they are complete, bytes. */
export const MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024;

/** Time after which idle connections to upstreams are closed, ms. */
export const IDLE_CONNECTION_TIMEOUT_MS = 4_000;

/** Initial back-off of a failing upstream, ms; doubles with each failure. */
export const INITIAL_BACKOFF_MS = 250;

/** Maximum back-off of a failing upstream, ms. */
export const MAX_BACKOFF_MS = 2_000;

/** Consecutive failures after which the back-off of an upstream starts. */
export const FAILURES_BEFORE_BACKOFF = 2;

/** Back-off after an upstream reports that it has no capacity, ms. */
export const NO_CAPACITY_BACKOFF_MS = 60;

/** `Retry-After` when no upstream has capacity, s. */
export const RETRY_AFTER_BUSY_S = 0.3;

/** `Retry-After` of a draining edge, s. */
export const RETRY_AFTER_DRAINING_S = 0.05;

/**
 * `Retry-After` of a request that waited too long to be read, s. Short, because the
 * retry goes to another edge and has little time left.
 */
export const RETRY_AFTER_WAITED_TOO_LONG_S = 0.05;

/** `Retry-After` while the configuration, the service or its upstreams are missing, s. */
export const RETRY_AFTER_UNAVAILABLE_S = 1;

/**
 * `Retry-After` while the configuration is overdue here, s. Short, because the retry goes to
 * another edge.
 */
export const RETRY_AFTER_OVERDUE_S = 0.3;

/** `Retry-After` while tokens can't be obtained, s; most outages last for seconds. */
export const RETRY_AFTER_TOKENS_S = 3;

/** Maximum load of one engine, as a multiple of the mean load. */
export const MAX_LOAD_FACTOR = 1.25;

/**
 * Seconds of demand that held tokens should cover. Most network partitions end within 9
 * s, and what is held lies between REFILL_TARGET_RATIO and RETURN_TARGET_RATIO of this.
 */
export const HOLDER_TARGET_S = 13;

/**
 * Share of a team's prepaid tokens that all halls together hold before any demand is
 * measured, so that an early outage can be bridged. Tokens of an edge that crashes are
 * lost: with eight edges, 1 % of the budgets; with a share of 0.4 it would be a tenth.
 */
export const MIN_TARGET_BUDGET_FRACTION = 0.08;

/**
 * Seconds of demand covered by an edge that is not the token holder of its hall. Short,
 * because the holder lends more within milliseconds, and what an edge holds is lost if
 * it crashes.
 */
export const NON_HOLDER_TARGET_S = 1;

/**
 * Share of the target amount below which tokens are refilled. High, because a network
 * partition may begin before the refill.
 */
export const REFILL_TARGET_RATIO = 0.85;

/** Multiple of the target amount above which tokens are returned to the control plane. */
export const RETURN_TARGET_RATIO = 1.5;

/** Time after its start from which an edge can hold tokens for its hall, ms. */
export const HOLDER_START_DELAY_MS = 800;

/** Interval at which allowances are checked without any other trigger, ms. */
export const ALLOWANCE_CHECK_INTERVAL_MS = 1_000;

/** Delay before a failed exchange with the control plane is retried, ms. */
export const EXCHANGE_RETRY_DELAY_MS = 125;

/** Time over which freed tokens are collected before they are distributed, ms. */
export const SURPLUS_BATCH_DELAY_MS = 250;

/** Time constant of the exponential average of the demand, ms. */
export const DEMAND_TIME_CONSTANT_MS = 6_000;

/** Maximum time that a request waits for tokens, ms. */
export const MAX_TOKEN_WAIT_MS = 150;

/** Timeout for an exchange with the control plane, ms. */
export const EXCHANGE_TIMEOUT_MS = 1_500;

/** Timeout for borrowing tokens that another edge holds, ms. */
export const BORROW_TIMEOUT_MS = 200;

/** Timeout for borrowing from the hall's token holder, which may ask other edges, ms. */
export const HOLDER_BORROW_TIMEOUT_MS = 500;

/** Time for which an exhausted budget is not requested again, ms. */
export const EXHAUSTED_CACHE_MS = 800;

/** `Retry-After` when no box that replied knows which version began a stream, s. */
export const RETRY_AFTER_UNKNOWN_STREAM_S = 0.3;

/**
 * `Retry-After` when the version that began a stream has left, s. Longer than most callers
 * wait, as the stream can only begin anew.
 */
export const RETRY_AFTER_VERSION_LEFT_S = 10;

/** HTTP status 421, Misdirected Request: another upstream was meant. */
export const MISDIRECTED_REQUEST_STATUS = 421;

/** Lowest HTTP status of a server error. */
export const MIN_SERVER_ERROR_STATUS = 500;

/** Cause of an attempt or a request that ended because its caller disconnected. */
export const CALLER_DISCONNECTED = 'caller-left';

/** Cause of a request that ended because its edge is stopping. */
export const EDGE_STOPPING = 'stopping';
