/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The headers of a request as an upstream gets them. */
import type {CallerDialect, HeaderNames} from '../callers/CallerDialect';
import type {CallerRequest} from '../callers/CallerRequest';
import {passesOn} from '../callers/CallerRequest';
import type {Plan} from '../requests/RequestPlan';
import type {Placement} from '../upstreams/UpstreamChoice';

/** What the headers are made of. */
export interface HeaderFacts {
  readonly caller: CallerRequest;
  readonly dialect: CallerDialect;
  readonly plan: Plan;
  readonly placement: Placement;
  /** Time left for the request, ms. */
  readonly leftMs: number;
  /** The event after which a stream goes on. */
  readonly resumeAt: string | undefined;
  readonly bodyLength: number;
}

/** Names and values in turn: the caller's own, then those set here. */
export function headersFor(facts: HeaderFacts): string[] {
  const {bodyLength, caller, dialect, resumeAt} = facts;
  const {headers: names} = dialect;
  const sent = keptHeaders(caller, replacedNames(names, resumeAt));
  const left = Math.max(1, Math.floor(facts.leftMs));
  sent.push(names.deadline, String(left));
  sent.push(names.expectedUpstream, facts.placement.upstream.id);
  pushPlan(sent, facts);
  if (resumeAt !== undefined) {
    sent.push(names.lastEvent, resumeAt);
  }
  if (hasBody(caller)) {
    sent.push('Content-Length', String(bodyLength));
  }
  sent.push('Connection', 'keep-alive');
  return sent;
}

/** Headers of a caller's that are not passed on as they came. */
interface ReplacedNames {
  readonly first: ReadonlySet<string>;
  /** Where a stream goes on at another upstream. */
  readonly resumed: ReadonlySet<string>;
}

/** By the names that they are made of, so that they are made once. */
const replacedByNames = new WeakMap<HeaderNames, ReplacedNames>();

function replacedNames(
  names: HeaderNames,
  resumeAt: string | undefined,
): ReadonlySet<string> {
  const known = replacedByNames.get(names) ?? makeReplaced(names);
  return resumeAt === undefined ? known.first : known.resumed;
}

function makeReplaced(names: HeaderNames): ReplacedNames {
  const first = new Set<string>([
    'content-length',
    'expect',
    names.deadline,
    names.expectedUpstream,
    names.key,
    names.prefixSource,
    names.priority,
    names.team,
    ...names.reserved,
  ]);
  const made = {first, resumed: new Set([...first, names.lastEvent])};
  replacedByNames.set(names, made);
  return made;
}

function keptHeaders(
  {incoming: {headers, rawHeaders}}: CallerRequest,
  replaced: ReadonlySet<string>,
): string[] {
  const kept: string[] = [];
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const name = rawHeaders[at] ?? '';
    if (
      !replaced.has(name.toLowerCase()) &&
      passesOn(name, headers.connection)
    ) {
      kept.push(name, rawHeaders[at + 1] ?? '');
    }
  }
  return kept;
}

function pushPlan(
  sent: string[],
  {dialect, placement, plan: {route, service, team}}: HeaderFacts,
): void {
  const {headers: names} = dialect;
  if (team !== undefined) {
    sent.push(names.team, team.name);
  }
  if (service.engine !== undefined) {
    const rank = dialect.priorityOf(team?.priority ?? 0, route.priority);
    sent.push(names.priority, String(rank));
  }
  if (placement.prefixSource !== undefined) {
    sent.push(names.prefixSource, placement.prefixSource.record.address);
  }
}

function hasBody({incoming: {headers}}: CallerRequest): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}
