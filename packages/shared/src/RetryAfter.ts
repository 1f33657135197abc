/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Parses `Retry-After` headers; only delays in seconds are supported, not dates. */
import {parseDecimal} from './Decimal';

/**
 * Maximum delay, ms. A longer one is taken for a mistake that would exclude an upstream
 * for good; after an hour it is tried again.
 */
const MAX_RETRY_AFTER_MS = 3_600_000;

/** HTTP status of an upstream that is temporarily overloaded. */
const SERVICE_UNAVAILABLE = 503;

/** Returns the delay of a 503 response with a valid `Retry-After`, ms. */
export function unavailableRetryAfterMs(
  status: number,
  retryAfter: string | undefined,
): number | undefined {
  return status === SERVICE_UNAVAILABLE
    ? parseRetryAfterMs(retryAfter)
    : undefined;
}

/** Parses a `Retry-After` value into ms; returns undefined if it is invalid. */
export function parseRetryAfterMs(
  value: string | undefined,
): number | undefined {
  const seconds = parseDecimal(value);
  return seconds === undefined
    ? undefined
    : Math.min(MAX_RETRY_AFTER_MS, seconds * 1_000);
}
