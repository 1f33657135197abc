/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {FleetConfiguration} from 'puffinturn-fleet';

/** A configuration with limits and nothing else. */
export function configurationOf(
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
