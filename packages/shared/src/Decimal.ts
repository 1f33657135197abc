/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Decimal numbers in HTTP header values. */

/** Digits with an optional fraction; no sign and no exponent. */
const DECIMAL_PATTERN = /^\d+(?:\.\d+)?$/;

/** Parses a decimal header value; returns undefined if it is not a number. */
export function parseDecimal(value: string | undefined): number | undefined {
  const text = value?.trim() ?? '';
  const number = Number(text);
  return DECIMAL_PATTERN.test(text) && Number.isFinite(number)
    ? number
    : undefined;
}
