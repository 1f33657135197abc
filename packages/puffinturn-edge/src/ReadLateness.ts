/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Whether so much of a request's time went by unread that it is refused. */
import type {Route} from 'puffinturn-fleet';

import {TOLD_APART_MS} from './AcceptBacklog';

/**
 * Part of the time in which its first byte is due that a request may have waited.
 * There is time left then for another edge to answer within it, and what waits here
 * behind it is answered in time as well. At 600 requests a second for six seconds
 * at an edge that bears some 300, 4,660 of 4,660 had their first byte within a
 * second, 1,619 of 4,652 without a bound (processes stopped for 68 of each 100 ms,
 * a neighbour with room, one run each).
 */
const MOST_WAITED_PART = 0.5;

/** Part of all its time that a request may have waited, whatever its route says. */
const MOST_LIMIT_PART = 0.5;

/**
 * Whether a request that waited `ageMs` for its reading, and may take `limitMs` in
 * all, is better served by a refusal now. Ages are known to a part of a second only.
 */
export function isReadLate(
  ageMs: number,
  limitMs: number,
  {objectiveMs}: Pick<Route, 'objectiveMs'>,
): boolean {
  if (ageMs > limitMs * MOST_LIMIT_PART) {
    return true;
  }
  const due = objectiveMs * MOST_WAITED_PART;
  return objectiveMs > 0 && ageMs > Math.max(due, TOLD_APART_MS);
}
