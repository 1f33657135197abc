/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {isReadLate} from '../../callers/ReadLateness';

describe('isReadLate', () => {
  test.each([
    ['a new one', 0, 5_000, 800, false],
    ['one that can be answered in time', 390, 5_000, 800, false],
    ['one that another edge may still answer in time', 410, 5_000, 800, true],
    ['one whose age is not told apart from a new one', 340, 5_000, 300, false],
    ['one that is past such an objective', 360, 5_000, 300, true],
    ['one of a route without an objective', 2_400, 5_000, 0, false],
    ['one with less than half of its time left', 2_600, 5_000, 0, true],
    ['one whose caller waits for a moment only', 260, 500, 800, true],
    ['one past its time', 6_000, 5_000, 0, true],
  ])('%s', (_, ageMs, limitMs, objectiveMs, late) => {
    expect(isReadLate(ageMs, limitMs, {objectiveMs})).toBe(late);
  });
});
