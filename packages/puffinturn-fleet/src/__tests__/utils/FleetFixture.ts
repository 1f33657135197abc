/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {
  FleetConfiguration,
  Route,
  Team,
  UpstreamRecord,
} from '../../index';
import {RETRY_POLICY, UPSTREAM_STATE} from '../../index';

/** Creates a route with default values for the missing fields. */
export function routeOf(fields: Partial<Route> = {}): Route {
  return {
    anonymous: false,
    host: 'a.example',
    maxAttempts: 2,
    name: 'r',
    objectiveMs: 500,
    pathPrefix: '/a/',
    priority: 0,
    repetition: RETRY_POLICY.repeatable,
    streams: false,
    targets: [{service: 's', weight: 1}],
    timeoutMs: 1_000,
    ...fields,
  };
}

/** Creates a team with default values for the missing fields. */
export function teamOf(fields: Partial<Team> = {}): Team {
  return {
    keys: ['key-1'],
    name: 't',
    prepaidTokens: 1_000,
    priority: 0,
    ...fields,
  };
}

/** Creates a configuration with one route, service and team by default. */
export function configurationOf(
  version: number,
  fields: Partial<FleetConfiguration> = {},
): FleetConfiguration {
  return {
    limits: {
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
      maxBodyBytes: 10_000,
      maxHeaderBytes: 4_000,
    },
    routes: [routeOf()],
    services: [{engine: undefined, maxConnections: 10, name: 's'}],
    teams: [teamOf()],
    version,
    ...fields,
  };
}

/** Creates an upstream record with default values for the missing fields. */
export function upstreamOf(
  fields: Partial<UpstreamRecord> = {},
): UpstreamRecord {
  return {
    address: '10.0.0.1:80',
    coldMs: 0,
    id: 'i-1',
    sequence: 1,
    service: 's',
    slots: 4,
    state: UPSTREAM_STATE.ready,
    hall: 'z',
    ...fields,
  };
}
