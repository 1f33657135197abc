/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against serving requests too late, and rejecting them too early. */
import {waitedTooLong} from '../../callers/QueueWaitLimit';

describe('waitedTooLong', () => {
  test.each([
    ['accepts a new request', 0, 5_000, 800, false],
    ['accepts a request within half of the objective', 390, 5_000, 800, false],
    ['rejects a request past half of the objective', 410, 5_000, 800, true],
    [
      'accepts a wait below the resolution of the estimate',
      340,
      5_000,
      300,
      false,
    ],
    [
      'rejects a wait above the resolution and the objective',
      360,
      5_000,
      300,
      true,
    ],
    [
      'accepts a long wait on a route without an objective',
      2_400,
      5_000,
      0,
      false,
    ],
    ['rejects a request past half of its time limit', 2_600, 5_000, 0, true],
    ['rejects a request past half of a short deadline', 260, 500, 800, true],
    ['rejects a request past its time limit', 6_000, 5_000, 0, true],
  ])('%s', (_, waitedMs, timeLimitMs, objectiveMs, isLate) => {
    expect(waitedTooLong(waitedMs, timeLimitMs, {objectiveMs})).toBe(isLate);
  });
});
