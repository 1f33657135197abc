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
import {RETRY_POLICY, roundAge, VERSION_LEASE_MS} from 'puffinturn-fleet';
import type {Lookup, MissedOrigin, StreamOrigins} from 'puffinturn-streams';
import {LOOKUP, streamKey} from 'puffinturn-streams';
import type {Clock, SuspensionDetector} from 'shared';

import type {CallerRequest} from '../callers/CallerRequest';
import type {EdgeMetrics} from '../EdgeMetrics';
import type {RequestPlan} from '../requests/RequestPlan';
import type {RouteTable} from '../requests/RouteTable';
import {servicesOf} from '../requests/RouteTable';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {VersionHistory} from './VersionHistory';

/** Share of the edges whose lists confirm the only version of a named stream: most of them. */
const MIN_LIST_SHARE = 0.501;

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
  /** Time since the known versions were confirmed, ms; Infinity if they never were. */
  readonly stateAgeMs: () => number;
  /** Voids that time after a suspension, which the clock has not counted. */
  readonly suspension: Pick<SuspensionDetector, 'check'>;
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
      confirmed: confirmedVersions(lookup),
      event: 'stream-matched',
      known: versions.recentVersions(plan.service.name),
      lastEventId: caller.lastEventId,
      leaseReplied: missedOrigin(lookup)?.hasLease,
      listShare: missedOrigin(lookup)?.listShare,
      lookup: lookup?.kind,
      revision: versions.registered?.revision,
      outcome,
      request: caller.id,
      service: resumption?.service ?? plan.service.name,
      source: found?.source,
      stateAgeMs: roundAge(this.stateAgeMs),
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
    if (resumedRequest === undefined) {
      return this.matchUnnamed(plan);
    }
    const lookup = await this.parts.origins.find({
      key: streamKey(plan.team?.name, resumedRequest),
      service: plan.service.name,
      unsureMs: this.unsureMs(plan),
    });
    if (lookup.kind !== LOOKUP.found) {
      return this.matchUnrecorded(plan, lookup);
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

  /** A stream whose caller does not name it can only go on if there is one version. */
  private async matchUnnamed(plan: RequestPlan): Promise<Match> {
    const {origins, versions} = this.parts;
    const service = plan.service.name;
    if (isSplit(plan.route)) {
      return unknownMatch(undefined);
    }
    if (this.hasLease) {
      const sole = versions.soleRegisteredVersion(service);
      return sole === undefined
        ? unknownMatch(undefined)
        : soleMatch(undefined, service, sole);
    }
    const unsureMs = this.unsureMs(plan);
    const lookup = await origins.find({key: undefined, service, unsureMs});
    if (lookup.kind === LOOKUP.found) {
      return unknownMatch(lookup);
    }
    return this.matchWithoutOrigin(plan, lookup, isConfirmed(lookup, 1));
  }

  /**
   * Matches a stream that its caller names and no box has recorded. Where the list here may be
   * old, other edges confirm it: boxes that are cut off miss the origins of new versions.
   */
  private async matchUnrecorded(
    plan: RequestPlan,
    lookup: MissedOrigin,
  ): Promise<Match> {
    const isAbsent = lookup.kind === LOOKUP.absent;
    if (
      !isAbsent ||
      this.hasLease ||
      this.isOutdated(lookup) ||
      lookup.versions !== undefined
    ) {
      return this.matchWithoutOrigin(plan, lookup, isAbsent);
    }
    const lists = await this.parts.origins.find({
      key: undefined,
      neededListShare: MIN_LIST_SHARE,
      service: plan.service.name,
      unsureMs: this.unsureMs(plan),
    });
    if (lists.kind === LOOKUP.found) {
      return unknownMatch(lists);
    }
    const replies = {
      ...lists,
      hasNoGap: lookup.hasNoGap,
      kind: lookup.kind,
      versionsRevision: newestRevision(lookup, lists),
    };
    return this.matchWithoutOrigin(
      plan,
      replies,
      isConfirmed(lists, MIN_LIST_SHARE),
    );
  }

  /**
   * Without an origin, a stream can only go on at the one version that its service has, or
   * that it had when streams were not recorded. `isTrusted` tells whether the replies bear
   * out the versions known here, however old these are.
   */
  private matchWithoutOrigin(
    {route, service: {name: service}}: RequestPlan,
    lookup: MissedOrigin,
    isTrusted: boolean,
  ): Match {
    const {versions} = this.parts;
    if (isSplit(route)) {
      return unknownMatch(lookup);
    }
    if (lookup.versions !== undefined) {
      return this.matchConfirmed(service, lookup, lookup.versions);
    }
    if (this.isOutdated(lookup)) {
      return unknownMatch(lookup);
    }
    const sole = versions.soleRegisteredVersion(service);
    if (sole !== undefined && (isTrusted || this.hasLease)) {
      return soleMatch(lookup, service, sole);
    }
    // Other edges would have replicated a stream that began after the next version.
    const former =
      lookup.hasNoGap === true
        ? versions.formerSoleVersion(service)
        : undefined;
    return former === undefined
      ? unknownMatch(lookup)
      : formerMatch(lookup, service, former);
  }

  /** Matches by the versions that a control box which follows the quorum replied with. */
  private matchConfirmed(
    service: string,
    lookup: MissedOrigin,
    [oldest, ...others]: readonly string[],
  ): Match {
    const {versions} = this.parts;
    const isCertain = versions.unregisteredVersions(service).length === 0;
    if (oldest === undefined || !isCertain) {
      return unknownMatch(lookup);
    }
    if (others.length === 0) {
      return soleMatch(lookup, service, oldest);
    }
    return lookup.hasNoGap === true
      ? formerMatch(lookup, service, oldest)
      : unknownMatch(lookup);
  }

  /** Whether no version that isn't on the list here can have begun streams yet. */
  get hasLease(): boolean {
    return this.stateAgeMs < VERSION_LEASE_MS;
  }

  /** Time since the known versions were confirmed, suspensions included, ms. */
  private get stateAgeMs(): number {
    const {stateAgeMs, suspension} = this.parts;
    suspension.check();
    return stateAgeMs();
  }

  /** How long ago a stream that is not recorded may have begun at a version unknown here, ms. */
  private unsureMs({service}: RequestPlan): number {
    const {versions} = this.parts;
    return versions.soleRegisteredVersion(service.name) === undefined
      ? Infinity
      : this.stateAgeMs;
  }

  /** Whether another edge knows of versions that this one does not know. */
  private isOutdated({versionsRevision = -Infinity}: MissedOrigin): boolean {
    return versionsRevision > this.parts.versions.revision;
  }
}

/** The versions that a control box replied with; undefined if none did. */
function confirmedVersions(
  lookup: Lookup | undefined,
): readonly string[] | undefined {
  return missedOrigin(lookup)?.versions;
}

function missedOrigin(lookup: Lookup | undefined): MissedOrigin | undefined {
  return lookup?.kind === LOOKUP.found ? undefined : lookup;
}

/** Whether an edge with a lease, or a share of all edges, replied with a list of versions. */
function isConfirmed(
  {hasLease = false, listShare = 0}: MissedOrigin,
  neededShare: number,
): boolean {
  return hasLease || listShare >= neededShare;
}

/** The newest revision of the registered versions that the replies to lookups name. */
function newestRevision(...lookups: readonly MissedOrigin[]): number {
  return Math.max(
    ...lookups.map(({versionsRevision = -Infinity}) => versionsRevision),
  );
}

function soleMatch(
  lookup: Lookup | undefined,
  service: string,
  version: string,
): Match {
  const outcome = RESUMPTION_OUTCOME.soleVersion;
  return {lookup, outcome, resumption: {service, version}};
}

function formerMatch(lookup: Lookup, service: string, version: string): Match {
  const outcome = RESUMPTION_OUTCOME.formerVersion;
  return {lookup, outcome, resumption: {service, version}};
}

function unknownMatch(lookup: Lookup | undefined): Match {
  const outcome = RESUMPTION_OUTCOME.unknown;
  return {lookup, outcome, resumption: undefined};
}

/** Whether requests of a route are divided among services. */
function isSplit(route: Route): boolean {
  return servicesOf(route).size > 1;
}
