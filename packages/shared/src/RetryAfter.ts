/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * How long an HTTP answer asks whoever got it to wait, from `Retry-After`. Upstreams
 * here name seconds, and no dates.
 */
import {decimalOf} from './Decimal';

/**
 * The longest time that is taken from an answer, ms. A figure beyond is taken for a
 * mistake that would keep an upstream out for good; after an hour it is asked again.
 */
const LONGEST_MS = 3_600_000;

/** The status with which an overloaded upstream turns a request away. */
const UNAVAILABLE = 503;

/** The rest that an upstream asks for in an answer, ms; undefined where it asks for none. */
export function restMsOf(
  status: number,
  retryAfter: string | undefined,
): number | undefined {
  return status === UNAVAILABLE ? retryAfterMs(retryAfter) : undefined;
}

/** The time in a header's value, ms; undefined where it names none. */
export function retryAfterMs(value: string | undefined): number | undefined {
  const seconds = decimalOf(value);
  return seconds === undefined
    ? undefined
    : Math.min(LONGEST_MS, seconds * 1_000);
}
