/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Keeps each stream at the version that began it. What two versions write doesn't fit
 * together, and upstreams don't check which one wrote the events before.
 */
import type {DecisionLog, ResumptionOutcome} from 'puffinturn-decisions';
import {RESUMPTION_OUTCOME} from 'puffinturn-decisions';
import type {Route} from 'puffinturn-fleet';
import {RETRY_POLICY} from 'puffinturn-fleet';
import type {Lookup, StreamOrigins} from 'puffinturn-streams';
import {LOOKUP, streamKey} from 'puffinturn-streams';
import type {Clock} from 'shared';

import type {CallerRequest} from '../callers/CallerRequest';
import type {EdgeMetrics} from '../EdgeMetrics';
import type {RequestPlan} from '../requests/RequestPlan';
import type {RouteTable} from '../requests/RouteTable';
import {servicesOf} from '../requests/RouteTable';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {VersionHistory} from './VersionHistory';

/** Dependencies of StreamVersions. */
export interface StreamVersionsParts {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: EdgeMetrics;
  readonly origins: Pick<
    StreamOrigins,
    'find' | 'remember' | 'replicate' | 'replicateService'
  >;
  readonly versions: VersionHistory;
  /** Whether this edge hears from a control box. */
  readonly isConnected: () => boolean;
}

/** Where a stream that a caller resumes may go on. */
export interface Resumption {
  readonly service: string;
  readonly version: string;
}

/** A stream that a caller resumes; its version may be unknown. */
interface Match {
  readonly outcome: ResumptionOutcome;
  readonly resumption: Resumption | undefined;
  readonly lookup: Lookup | undefined;
}

/** Whether a request continues a stream of which its caller has events. */
export function isResumption(caller: CallerRequest, route: Route): boolean {
  return (
    route.repetition === RETRY_POLICY.resumable &&
    (caller.lastEventId !== undefined || caller.resumedRequest !== undefined)
  );
}

/** Records the versions that begin streams, and finds them when callers resume. */
export class StreamVersions {
  constructor(private readonly parts: StreamVersionsParts) {}

  /**
   * Finds where a caller's stream may go on. Returns undefined if it isn't known, as
   * any guess could join events of two versions.
   */
  async resolve(
    caller: CallerRequest,
    plan: RequestPlan,
    table: RouteTable,
  ): Promise<Resumption | undefined> {
    const {clock, log, metrics, versions} = this.parts;
    const startedAt = clock.now();
    const match = await this.match(caller, plan);
    const {lookup, outcome, resumption} = match;
    const found = lookup?.kind === LOOKUP.found ? lookup : undefined;
    metrics.resumptions.inc({outcome, service: plan.service.name});
    log.note({
      ageMs: found?.ageMs,
      configuration: table.version,
      event: 'stream-matched',
      known: versions.recentVersions(plan.service.name),
      lastEventId: caller.lastEventId,
      lookup: lookup?.kind,
      outcome,
      request: caller.id,
      service: resumption?.service ?? plan.service.name,
      source: found?.source,
      stream: caller.resumedRequest,
      tookMs: Math.round(clock.now() - startedAt),
      version: found?.origin.version ?? resumption?.version,
    });
    return resumption;
  }

  /**
   * Records the version that an attempt is sent to, before it can bring the first event.
   * Other edges need it only if they could choose another service or version.
   */
  recordAttempt(
    caller: CallerRequest,
    {route, service, team}: RequestPlan,
    upstream: EdgeUpstream,
    attempt: number,
  ): void {
    const {log, origins, versions} = this.parts;
    const stream = caller.resumedRequest ?? caller.id;
    const {version} = upstream;
    const key = streamKey(team?.name, stream);
    const origin = {attempt, key, service: service.name, version};
    if (!versions.hasSeveral(service.name) && !isSplit(route)) {
      origins.remember(origin);
      return;
    }
    origins.replicate(origin);
    log.note({
      attempt,
      event: 'stream-bound',
      request: caller.id,
      service: service.name,
      stream,
      upstream: upstream.id,
      version,
    });
  }

  /**
   * Replicates the streams of services whose routes have changed: other edges may now
   * choose another service when they are resumed.
   */
  applyRoutes(previous: RouteTable | undefined, current: RouteTable): void {
    for (const service of previous?.findRetargetedServices(current) ?? []) {
      this.parts.origins.replicateService(service);
    }
  }

  private async match(
    caller: CallerRequest,
    plan: RequestPlan,
  ): Promise<Match> {
    const {resumedRequest} = caller;
    const lookup =
      resumedRequest === undefined
        ? undefined
        : await this.parts.origins.find(
            streamKey(plan.team?.name, resumedRequest),
          );
    if (lookup?.kind !== LOOKUP.found) {
      return this.matchWithoutOrigin(plan, lookup);
    }
    const {service, version} = lookup.origin;
    return servicesOf(plan.route).has(service)
      ? {
          lookup,
          outcome: RESUMPTION_OUTCOME.found,
          resumption: {service, version},
        }
      : {
          lookup,
          outcome: RESUMPTION_OUTCOME.serviceRemoved,
          resumption: undefined,
        };
  }

  /** Without an origin, only a service with a single version leaves no doubt. */
  private matchWithoutOrigin(
    {route, service: {name: service}}: RequestPlan,
    lookup: Exclude<Lookup, {kind: typeof LOOKUP.found}> | undefined,
  ): Match {
    const {isConnected, versions} = this.parts;
    const sole = versions.soleVersion(service);
    // An edge that reaches no other box may not have heard of a new version.
    const mayBeOutdated = lookup?.kind === LOOKUP.unreachable && !isConnected();
    if (isSplit(route) || mayBeOutdated) {
      return unknownMatch(lookup);
    }
    if (sole !== undefined) {
      const outcome = RESUMPTION_OUTCOME.soleVersion;
      return {lookup, outcome, resumption: {service, version: sole}};
    }
    // Other edges would have replicated a stream that began after the next version.
    const former =
      lookup?.kind === LOOKUP.absent
        ? versions.formerSoleVersion(service)
        : undefined;
    if (former === undefined) {
      return unknownMatch(lookup);
    }
    const outcome = RESUMPTION_OUTCOME.formerVersion;
    return {lookup, outcome, resumption: {service, version: former}};
  }
}

function unknownMatch(lookup: Lookup | undefined): Match {
  const outcome = RESUMPTION_OUTCOME.unknown;
  return {lookup, outcome, resumption: undefined};
}

/** Whether requests of a route are divided among services. */
function isSplit(route: Route): boolean {
  return servicesOf(route).size > 1;
}
