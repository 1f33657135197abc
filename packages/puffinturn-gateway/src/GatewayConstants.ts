/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Constants of the gateway. */

export const JSON_CONTENT_TYPE = 'application/json';

/** Unread bytes of a response above which its writer waits. */
export const RESPONSE_HIGH_WATER_MARK_BYTES = 256 * 1024;

/** Maximum size of a response, bytes. */
export const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

/** Interim responses before one final response; more are no sign of progress. */
export const MAX_INTERIM_RESPONSES = 16;

/** Maximum length of one event of a stream, characters. */
export const MAX_EVENT_LENGTH = 256 * 1024;

/** Total size of the responses that one box retains for retries, bytes. */
export const MAX_RETAINED_RESPONSE_BYTES = 256 * 1024 * 1024;

/** How long an attach call waits for new chunks (long polling), ms. */
export const ATTACH_WAIT_MS = 1_000;

/** Timeout of one attach call, ms. */
export const ATTACH_TIMEOUT_MS = 2_500;

/** Size after which a reply to an attach call gets no more chunks, bytes. */
export const ATTACH_REPLY_BYTES = 256 * 1024;

/** Delay before the state of a request is queried again, ms. */
export const POLL_INTERVAL_MS = 150;

/** Maximum number of upstream calls per attempt, without hedged requests. */
export const MAX_UPSTREAM_TRIES = 4;

/** Delay before a settlement without an outcome is retried, ms. */
export const SETTLE_RETRY_MS = 500;

/** Timeout of one settlement call, ms. */
export const SETTLE_TIMEOUT_MS = 10_000;

/** How long a response waits for its settlement or release, ms. */
export const SETTLE_WAIT_MS = 1_000;

/** Timeout of admission and dispatch calls, ms; admission adds its wait for budget. */
export const ADMIT_TIMEOUT_MS = 5_000;

/** Maximum number of admission tries for one request. */
export const MAX_ADMISSION_TRIES = 5;

/** Maximum length of an Idempotency-Key, characters. */
export const MAX_KEY_LENGTH = 255;

/** Timeout for connecting to an upstream, ms. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Maximum time between two chunks of a response body, ms. */
export const IDLE_TIMEOUT_MS = 30_000;

/** Timeout for the headers and body of a request from a caller, ms. */
export const CALLER_TIMEOUT_MS = 30_000;

/** Response header of an upstream that did not run the request. */
export const NOT_RUN_HEADER = 'puffinturn-not-run';

/** Response header with the rate limit of an upstream for all boxes, requests per second. */
export const RATE_LIMIT_HEADER = 'puffinturn-limit';

/** Maximum number of refused permits per request before it is rejected. */
export const MAX_PERMIT_REFUSALS = 8;

/** Response header of an upstream that is leaving. */
export const LEAVING_HEADER = 'puffinturn-leaving';
