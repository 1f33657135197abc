/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Plain decimal numbers in the headers of answers. */

/** Digits, with a fraction or without; no sign and no exponent. */
const DECIMAL = /^\d+(?:\.\d+)?$/;

/** The number that a header's value names; undefined where it names none. */
export function decimalOf(value: string | undefined): number | undefined {
  const text = value?.trim() ?? '';
  const number = Number(text);
  return DECIMAL.test(text) && Number.isFinite(number) ? number : undefined;
}
