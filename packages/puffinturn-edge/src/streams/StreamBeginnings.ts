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
  const known = [...new Set(upstreams.map(({version}) => version))];
  const held = known.filter(
    (version) => versions.holdLeftMs(service, version) > 0,
  );
  if (held.length === 0) {
    return upstreams;
  }
  const allowed =
    held.length < known.length
      ? known.filter((version) => !held.includes(version))
      : held.filter((version) =>
          isLongUnregistered(versions, service, version),
        );
  return upstreams.filter(({version}) => allowed.includes(version));
}

/** Whether a version was known for the time of the hold, and could not be stored. */
function isLongUnregistered(
  versions: VersionHistory,
  service: string,
  version: string,
): boolean {
  return (
    versions.isUnregistered(service, version) &&
    versions.ageMs(service, version) >= VERSION_HOLD_MS
  );
}
