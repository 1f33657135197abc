/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Builds the headers of a request to an upstream. */
import type {CallerProtocol, HeaderNames} from '../callers/CallerProtocol';
import type {CallerRequest} from '../callers/CallerRequest';
import {isEndToEndHeader} from '../callers/CallerRequest';
import type {RequestPlan} from '../requests/RequestPlan';
import type {Placement} from '../upstreams/LoadBalancer';

/** Inputs for the headers of one attempt. */
export interface HeaderParams {
  readonly caller: CallerRequest;
  readonly protocol: CallerProtocol;
  readonly plan: RequestPlan;
  readonly placement: Placement;
  /** Time until the deadline of the request, ms. */
  readonly remainingMs: number;
  /** ID of the last event the caller received, to resume a stream after it. */
  readonly lastEventId: string | undefined;
  readonly bodyLength: number;
}

/** Returns alternating names and values: the caller's headers, then the edge's. */
export function buildUpstreamHeaders(params: HeaderParams): string[] {
  const {bodyLength, caller, protocol, lastEventId} = params;
  const {headers: names} = protocol;
  const headers = forwardedHeaders(
    caller,
    replacedNamesFor(names, lastEventId),
  );
  const remainingMs = Math.max(1, Math.floor(params.remainingMs));
  headers.push(names.deadline, String(remainingMs));
  headers.push(names.expectedUpstream, params.placement.upstream.id);
  addPlanHeaders(headers, params);
  if (lastEventId !== undefined) {
    headers.push(names.lastEventId, lastEventId);
  }
  if (hasBody(caller)) {
    headers.push('Content-Length', String(bodyLength));
  }
  headers.push('Connection', 'keep-alive');
  return headers;
}

/** Lower-case names of caller headers that are not forwarded. */
interface ReplacedNames {
  readonly initial: ReadonlySet<string>;
  /** Used when a stream is resumed at another upstream. */
  readonly resumed: ReadonlySet<string>;
}

/** Caches the sets per protocol, as they are needed for each request. */
const replacedNamesCache = new WeakMap<HeaderNames, ReplacedNames>();

function replacedNamesFor(
  names: HeaderNames,
  lastEventId: string | undefined,
): ReadonlySet<string> {
  const replaced = replacedNamesCache.get(names) ?? buildReplacedNames(names);
  return lastEventId === undefined ? replaced.initial : replaced.resumed;
}

function buildReplacedNames(names: HeaderNames): ReplacedNames {
  const initial = new Set<string>([
    'content-length',
    'expect',
    names.deadline,
    names.expectedUpstream,
    names.credential,
    names.prefixSource,
    names.priority,
    names.team,
    ...names.reserved,
  ]);
  const replaced = {initial, resumed: new Set([...initial, names.lastEventId])};
  replacedNamesCache.set(names, replaced);
  return replaced;
}

function forwardedHeaders(
  {incoming: {headers, rawHeaders}}: CallerRequest,
  replaced: ReadonlySet<string>,
): string[] {
  const forwarded: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    if (
      !replaced.has(name.toLowerCase()) &&
      isEndToEndHeader(name, headers.connection)
    ) {
      forwarded.push(name, rawHeaders[index + 1] ?? '');
    }
  }
  return forwarded;
}

function addPlanHeaders(
  headers: string[],
  {protocol, placement, plan: {route, service, team}}: HeaderParams,
): void {
  const {headers: names} = protocol;
  if (team !== undefined) {
    headers.push(names.team, team.name);
  }
  if (service.engine !== undefined) {
    const rank = protocol.computePriority(team?.priority ?? 0, route.priority);
    headers.push(names.priority, String(rank));
  }
  if (placement.prefixSource !== undefined) {
    headers.push(names.prefixSource, placement.prefixSource.record.address);
  }
}

function hasBody({incoming: {headers}}: CallerRequest): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}
