/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Constants of the edge. */

/** Timeout for connecting to an upstream, ms. */
export const CONNECT_MS = 400;

/**
 * Timeout for the body of a response that rejects a request, ms. Prevents a body that
 * never ends from blocking its connection.
 */
export const REJECTION_BODY_MS = 400;

/** Failed connection attempts after which a request fails. */
export const MAX_UNSENT = 4;

/** Responses up to this size are buffered until they are complete, bytes. */
export const WHOLE_ANSWER_BYTES = 256 * 1024;

/** Time after which idle connections to upstreams are closed, ms. */
export const IDLE_CONNECTION_MS = 4_000;

/** Initial back-off of a failing upstream, ms; doubles with each failure. */
export const FIRST_PAUSE_MS = 250;

/** Maximum back-off of a failing upstream, ms. */
export const LONGEST_PAUSE_MS = 2_000;

/** Consecutive failures after which the back-off of an upstream starts. */
export const BROKEN_BEFORE_PAUSE = 2;

/** Back-off after an upstream reports that it has no capacity, ms. */
export const FULL_PAUSE_MS = 60;

/** `Retry-After` when no upstream has capacity, s. */
export const RETRY_AFTER_BUSY_S = 0.3;

/** `Retry-After` of a draining edge, s. */
export const RETRY_AFTER_STOPPING_S = 0.05;

/**
 * `Retry-After` of a request that waited too long to be read, s. Short, because the
 * retry goes to another edge and has little time left.
 */
export const RETRY_AFTER_READ_LATE_S = 0.05;

/** `Retry-After` while the configuration, the service or its upstreams are missing, s. */
export const RETRY_AFTER_MISSING_S = 1;

/** `Retry-After` while tokens can't be obtained, s; most outages last for seconds. */
export const RETRY_AFTER_TOKENS_S = 3;

/** Maximum load of one engine, as a multiple of the mean load. */
export const BOUNDED_LOAD = 1.25;

/** Seconds of demand that held tokens should cover; longer than most outages. */
export const ALLOWANCE_SECONDS = 12;

/**
 * Share of a team's prepaid tokens that all halls together hold before any demand is
 * measured, so that an early outage can be bridged. A larger share would lose more
 * tokens when an edge crashes.
 */
export const ALLOWANCE_FLOOR_SHARE = 0.08;

/**
 * Seconds of demand covered by an edge that is not the token holder of its hall. Short,
 * because the holder lends more within milliseconds.
 */
export const FLOAT_SECONDS = 1;

/** Share of the target amount below which tokens are refilled. */
export const REFILL_BELOW = 0.85;

/** Multiple of the target amount above which tokens are returned to the control plane. */
export const RETURN_ABOVE = 1.5;

/** Time after its start from which an edge can hold tokens for its hall, ms. */
export const HOLD_AFTER_MS = 800;

/** Interval at which allowances are checked without any other trigger, ms. */
export const ALLOWANCE_TICK_MS = 1_000;

/** Delay before a failed exchange with the control plane is retried, ms. */
export const EXCHANGE_AGAIN_MS = 125;

/** Time over which freed tokens are collected before they are distributed, ms. */
export const HAND_ON_AFTER_MS = 250;

/** Time constant of the exponential average of the demand, ms. */
export const DEMAND_WINDOW_MS = 6_000;

/** Maximum time that a request waits for tokens, ms. */
export const ALLOWANCE_WAIT_MS = 150;

/** Timeout for an exchange with the control plane, ms. */
export const EXCHANGE_MS = 1_500;

/** Timeout for borrowing tokens that another edge holds, ms. */
export const BORROW_MS = 200;

/** Timeout for borrowing from the hall's token holder, which may ask other edges, ms. */
export const GATHER_MS = 500;

/** Time for which an exhausted budget is not requested again, ms. */
export const EXHAUSTED_MS = 800;

/** HTTP status 421, Misdirected Request: another upstream was meant. */
export const MISDIRECTED = 421;

/** Lowest HTTP status of a server error. */
export const FIRST_ERROR_STATUS = 500;

/** Cause of an attempt or a request that ended because its caller disconnected. */
export const CALLER_LEFT = 'caller-left';
