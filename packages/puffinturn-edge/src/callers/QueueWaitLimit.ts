/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Rejects requests that waited too long in the listen queue to be served in time. */
import type {Route} from 'puffinturn-fleet';

import {AGE_RESOLUTION_MS} from './AcceptBacklog';

/**
 * Maximum share of the first-byte objective that a request may have waited. The rest is
 * enough for another edge to respond in time, and the queue here stays short
 * (docs/design/accept-backlog.md).
 */
const MAX_OBJECTIVE_SHARE = 0.5;

/** Maximum share of the time limit that a request may have waited, on any route. */
const MAX_TIME_LIMIT_SHARE = 0.5;

/**
 * Whether to reject a request that waited `waitedMs` before it was read and has
 * `timeLimitMs` in total. The objective is not checked for waits up to
 * AGE_RESOLUTION_MS, because the estimate is not precise enough.
 */
export function waitedTooLong(
  waitedMs: number,
  timeLimitMs: number,
  {objectiveMs}: Pick<Route, 'objectiveMs'>,
): boolean {
  if (waitedMs > timeLimitMs * MAX_TIME_LIMIT_SHARE) {
    return true;
  }
  const maxWaitMs = objectiveMs * MAX_OBJECTIVE_SHARE;
  return objectiveMs > 0 && waitedMs > Math.max(maxWaitMs, AGE_RESOLUTION_MS);
}
