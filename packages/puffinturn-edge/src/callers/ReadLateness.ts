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
 * Part of the time in which its first byte is due that a request may have waited: the
 * rest is enough for another edge to answer in time, and the queue here stays short
 * (docs/design/accept-backlog.md has the measurement).
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
