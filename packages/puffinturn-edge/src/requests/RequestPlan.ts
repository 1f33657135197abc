/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Resolves the route, team, service and tokens of a request before it is forwarded. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Route, Service, Team} from 'puffinturn-fleet';
import {intersectRegions} from 'puffinturn-fleet';

import type {
  CallerProtocol,
  PromptPart,
  TokenCounts,
} from '../callers/CallerProtocol';
import type {CallerRequest} from '../callers/CallerRequest';
import {RETRY_AFTER_UNAVAILABLE_S} from '../EdgeConstants';
import type {RouteTable} from './RouteTable';

/** Route, team, service and limits of a request, resolved before the first attempt. */
export interface RequestPlan {
  readonly route: Route;
  readonly team: Team | undefined;
  readonly service: Service;
  readonly tokenCounts: TokenCounts | undefined;
  readonly promptParts: readonly PromptPart[];
  /** Regions that route and team both allow; undefined for all. */
  readonly allowedRegions?: readonly string[] | undefined;
}

/** Error response for a request that can't be forwarded. */
export interface Refusal {
  readonly status: number;
  readonly cause: 'no-route' | 'no-service' | 'unknown-key';
  readonly retryAfterS: number | undefined;
}

/** The route of a request, and the team whose key it carries. */
export type RequestGrant = Pick<RequestPlan, 'route' | 'team'>;

/** Finds the route and team of a request, which a configuration must have to allow it. */
export function findGrant(
  caller: CallerRequest,
  table: RouteTable,
  protocol: CallerProtocol,
): Result<RequestGrant, Refusal> {
  const host = (caller.header('host') ?? '').replace(/:\d+$/, '');
  const route = table.findRoute(host, caller.path);
  if (route === undefined) {
    return refusal(404, 'no-route');
  }
  const team = table.findTeam(caller.header(protocol.headers.credential));
  return team === undefined && table.requiresKey(route)
    ? refusal(401, 'unknown-key')
    : ok({route, team});
}

/** Resolves a request. `fraction` in [0, 1) selects a target of a weighted route. */
export function planRequest(
  caller: CallerRequest,
  table: RouteTable,
  protocol: CallerProtocol,
  fraction: number,
): Result<RequestPlan, Refusal> {
  const grant = findGrant(caller, table, protocol);
  if (grant.isErr()) {
    return err(grant.error);
  }
  const {route, team} = grant.value;
  const service = table.pickService(route, fraction);
  if (service === undefined) {
    return refusal(503, 'no-service', RETRY_AFTER_UNAVAILABLE_S);
  }
  const header = (name: string) => caller.header(name);
  const promptParts = protocol.parsePromptParts(header);
  return ok({
    allowedRegions: intersectRegions(
      route.allowedRegions,
      team?.allowedRegions,
    ),
    promptParts,
    route,
    service,
    team,
    tokenCounts: protocol.parseTokenCounts(header),
  });
}

function refusal(
  status: number,
  cause: Refusal['cause'],
  retryAfterS?: number,
): Result<never, Refusal> {
  return err({cause, retryAfterS, status});
}
