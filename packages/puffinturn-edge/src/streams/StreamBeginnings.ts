/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Which versions may begin streams that callers can resume at any edge. */
import type {Route} from 'puffinturn-fleet';
import {RETRY_POLICY, VERSION_HOLD_MS} from 'puffinturn-fleet';

import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {VersionHistory} from './VersionHistory';

/**
 * The upstreams that may begin a request of a route. A stream that may be resumed begins at a
 * version that all edges know, or whose list of versions has run out. Versions that could not
 * be stored, as without a quorum, begin streams only where no registered version serves.
 */
export function upstreamsForBeginning(
  versions: VersionHistory,
  {repetition}: Route,
  service: string,
  upstreams: readonly EdgeUpstream[],
): readonly EdgeUpstream[] {
  if (repetition !== RETRY_POLICY.resumable) {
    return upstreams;
  }
  const held = upstreams.filter(
    ({version}) => versions.holdLeftMs(service, version) > 0,
  );
  if (held.length === 0) {
    return upstreams;
  }
  const ready = upstreams.filter((upstream) => !held.includes(upstream));
  return ready.length > 0
    ? ready
    : held.filter(
        ({version}) =>
          versions.isUnregistered(service, version) &&
          versions.ageMs(service, version) >= VERSION_HOLD_MS,
      );
}
