/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {FleetConfiguration, UpstreamRecord} from 'puffinturn-fleet';
import {UPSTREAM_STATE} from 'puffinturn-fleet';

/** Creates a configuration with minimal limits and no routes, services or teams. */
export function makeConfiguration(
  version: number,
  fields: Partial<FleetConfiguration> = {},
): FleetConfiguration {
  return {
    limits: {
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
      maxBodyBytes: 1,
      maxHeaderBytes: 1,
    },
    routes: [],
    services: [],
    teams: undefined,
    version,
    ...fields,
  };
}

/** Creates a ready upstream of service `s` in hall `a`. */
export function makeUpstream(
  id: string,
  fields: Partial<UpstreamRecord> = {},
): UpstreamRecord {
  return {
    address: '10.0.0.1:80',
    coldMs: 0,
    hall: 'a',
    id,
    sequence: 1,
    service: 's',
    slots: 4,
    state: UPSTREAM_STATE.ready,
    ...fields,
  };
}
