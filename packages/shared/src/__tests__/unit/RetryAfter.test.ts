/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against invalid `Retry-After` values and excessive delays. */
import {parseRetryAfterMs} from '../../RetryAfter';

describe('parseRetryAfterMs', () => {
  test.each([
    ['3', 3_000],
    [' 0.25 ', 250],
    ['0', 0],
    ['999999999', 3_600_000],
    [undefined, undefined],
    ['', undefined],
    ['-1', undefined],
    ['soon', undefined],
    ['3, 4', undefined],
  ])('parses %p as %p ms', (value, expected) => {
    expect(parseRetryAfterMs(value)).toBe(expected);
  });
});
