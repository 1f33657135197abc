/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Limits and periods of the gateway. */

/** Bytes of an answer that wait for a slow reader before it is throttled. */
export const ANSWER_HIGH_WATER_BYTES = 256 * 1024;

/** Largest answer, bytes. */
export const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

/** Answers kept for retries on one box, bytes in all. */
export const KEPT_ANSWERS_BYTES = 256 * 1024 * 1024;

/** A remote reader's call waits this long for news, ms. */
export const ATTACH_POLL_MS = 1_000;

/** Limit for one call of a remote reader, ms. */
export const ATTACH_CALL_MS = 2_500;

/** Bytes in one answer to a remote reader. */
export const ATTACH_PART_BYTES = 256 * 1024;

/** Pause before the state of a request is asked for again, ms. */
export const FOLLOW_PAUSE_MS = 150;

/** Attempts at one request on one box at most. */
export const MAX_ATTEMPTS = 4;

/** Pause before a settlement without an outcome is sent again, ms. */
export const SETTLE_RETRY_MS = 500;

/** Limit for one try at a settlement, ms. */
export const SETTLE_TIMEOUT_MS = 10_000;

/** How long the end of a stream waits for its settlement, ms. */
export const SETTLE_WAIT_MS = 1_000;

/** How long an admission may search for a leader, ms. */
export const ADMIT_TIMEOUT_MS = 5_000;

/** How often an admission is decided again after a change of configuration. */
export const MAX_REDECISIONS = 5;

/** Longest caller's key, characters. */
export const MAX_KEY_LENGTH = 255;

/** Time for an upstream to take a connection, ms. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Silence of an upstream in the middle of an answer, ms. */
export const IDLE_TIMEOUT_MS = 30_000;

/** Time for a caller to send its headers and body, ms. */
export const CALLER_TIMEOUT_MS = 30_000;

/** An upstream says by this header that it has not run the request. */
export const NOT_RUN_HEADER = 'puffinturn-not-run';

/** An upstream names by this header the requests a second that it takes from all boxes. */
export const LIMIT_HEADER = 'puffinturn-limit';

/** Upstreams of one request that may have no permit left before it is refused. */
export const MOST_HELD_BACK = 8;

/** An upstream says by this header that it is leaving. */
export const LEAVING_HEADER = 'puffinturn-leaving';
