/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {DecisionLog} from 'puffinturn-decisions';
import type {
  ExposureGrant,
  ExposureReport,
  Rollouts,
  ServiceVersions,
} from 'puffinturn-fleet';
import {EMPTY_ROLLOUTS, ROLLOUT_STATE} from 'puffinturn-fleet';
import type {Clock, Random} from 'shared';
import {Condition, hash32, rankByRendezvous} from 'shared';

import {LatencyBaselines} from '../connections/LatencyBaselines';
import type {EdgeMetrics} from '../EdgeMetrics';
import type {RequestPlan} from '../requests/RequestPlan';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {UpstreamPool} from '../upstreams/UpstreamPool';
import type {AttemptObserver} from './AttemptObserver';
import {NoOpAttemptObserver, VersionAttemptObserver} from './AttemptObserver';
import {ExposureTracker} from './ExposureTracker';
import type {VersionRoles} from './VersionRoles';
import {
  primaryUpstreams,
  upstreamsOfVersion,
  versionRolesOf,
} from './VersionRoles';

/** Dependencies of ExposureController. */
export interface ExposureControllerParts {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: EdgeMetrics;
  readonly pool: UpstreamPool;
  readonly random: Random;
}

/**
 * Fraction of the new upstreams that get the exposed requests. About this fraction of
 * all requests is exposed, so these few are as busy as the stable ones, and a version
 * that is bad only under load shows.
 */
const EXPOSED_UPSTREAM_FRACTION = 0.1;

/**
 * Time after which a version that no order names gets requests, ms. An order for it is
 * sent again for less time, and a version that an order names may be bad.
 */
export const UNORDERED_VERSION_DELAY_MS = 6_000;

/** Maximum number of services listed in one log line. */
const MAX_LOGGED_SERVICES = 16;

/** Rollout state of one versioned service. */
interface ServiceState {
  readonly versions: ServiceVersions;
  readonly roles: VersionRoles;
  /** Versions that a rollout replaced or rolled back; they get no requests. */
  readonly withdrawn: ReadonlySet<string>;
  readonly baselines: LatencyBaselines;
  /** Defined while a rollout is exposing or shifting. */
  readonly tracker: ExposureTracker | undefined;
}

const NO_OP_OBSERVER = new NoOpAttemptObserver();

/**
 * Carries out the rollouts of all services on one edge. Selects the upstreams that a
 * request may use and exposes granted requests, that is, sends them to a new version.
 */
export class ExposureController {
  /** Notified when rollouts change or exposure stops. */
  readonly changed = new Condition();
  private current: Rollouts = EMPTY_ROLLOUTS;
  private services = new Map<string, ServiceState>();

  constructor(private readonly parts: ExposureControllerParts) {}

  /** The most recently adopted rollouts. */
  get rollouts(): Rollouts {
    return this.current;
  }

  /** Whether any rollout is exposing or shifting. */
  get hasActiveRollout(): boolean {
    return [...this.services.values()].some(
      ({tracker}) => tracker !== undefined,
    );
  }

  /** Adopts rollouts; ignores a revision that is not newer than the current one. */
  adopt(rollouts: Rollouts, source: string): void {
    const {revision: previousRevision} = this.current;
    if (rollouts.revision <= previousRevision) {
      return;
    }
    this.current = rollouts;
    this.services = new Map(
      rollouts.services.map((versions) => [
        versions.service,
        this.createState(versions),
      ]),
    );
    this.parts.log.note({
      event: 'rollouts-adopted',
      former: previousRevision,
      revision: rollouts.revision,
      services: rollouts.services
        .slice(-MAX_LOGGED_SERVICES)
        .map(describeRollout),
      source,
    });
    this.changed.notify();
  }

  /**
   * Returns groups of upstreams that a request may use, in order of preference. Only
   * the first attempt may go to a new version; retries use the primary version.
   */
  candidateGroups(
    {route, service}: RequestPlan,
    serving: readonly EdgeUpstream[],
    isFirstAttempt: boolean,
  ): readonly (readonly EdgeUpstream[])[] {
    const state = this.services.get(service.name);
    if (state === undefined) {
      return [serving];
    }
    const {tracker, roles} = state;
    const regular = this.regularUpstreams(state, serving);
    if (roles.fallback !== undefined && tracker?.hasShifted === false) {
      // Falls back when cold upstreams of the new version have no capacity.
      return [regular, upstreamsOfVersion(serving, roles.fallback)];
    }
    if (
      roles.canary === undefined ||
      tracker === undefined ||
      !isFirstAttempt
    ) {
      return [regular];
    }
    return tracker.tryExpose(route.name)
      ? [
          selectExposedUpstreams(
            upstreamsOfVersion(serving, roles.canary),
            service.name,
          ),
          regular,
        ]
      : [regular];
  }

  /**
   * Upstreams of the primary version, and of others that serve beside it without an order.
   */
  private regularUpstreams(
    state: ServiceState,
    serving: readonly EdgeUpstream[],
  ): readonly EdgeUpstream[] {
    const primary = primaryUpstreams(state.roles, serving);
    if (primary.length === serving.length) {
      return primary;
    }
    const isOnlyOne = primary.length === 0;
    const unordered = serving.filter(
      ({version}) =>
        isUnordered(state, version) &&
        (isOnlyOne || this.isEstablished(state, version)),
    );
    return unordered.length === 0 ? primary : [...primary, ...unordered];
  }

  /** Whether an order for a version would have arrived by now. */
  private isEstablished({versions}: ServiceState, version: string): boolean {
    const history = this.parts.pool.versions;
    return (
      history.ageMs(versions.service, version) >= UNORDERED_VERSION_DELAY_MS
    );
  }

  /**
   * Whether a stream that a version began may be resumed there. At a new version that
   * counts as exposure; a version that was withdrawn gets no more requests.
   */
  mayResume(plan: RequestPlan, version: string): boolean {
    return this.mayUse(plan, version, (tracker) =>
      tracker.tryExpose(plan.route.name),
    );
  }

  /**
   * Whether a response that a version began may be continued there. The response counts as
   * exposed already; this doesn't change the state, so it can be asked at any time.
   */
  mayContinue(plan: RequestPlan, version: string): boolean {
    return this.mayUse(plan, version, ({remaining}) => remaining >= 1);
  }

  /** Counts a sent request and returns the observer of its outcome. */
  recordSent(
    {route, service}: RequestPlan,
    {isCold, version}: EdgeUpstream,
    promptTokens: number,
  ): AttemptObserver {
    const state = this.services.get(service.name);
    if (state === undefined) {
      return NO_OP_OBSERVER;
    }
    const {tracker, baselines, roles, versions} = state;
    if (version === roles.fallback) {
      tracker?.recordFallbackRequest();
    }
    if (tracker?.targetVersion === version) {
      tracker.recordTargetRequest();
      this.parts.metrics.exposed.inc({service: service.name});
    }
    return new VersionAttemptObserver({
      tracker,
      clock: this.parts.clock,
      isCold,
      baselines,
      isStable: version === versions.stableVersion,
      route: route.name,
      onStopped: (stopped) => this.logStop(service.name, stopped),
      promptTokens,
      version,
    });
  }

  /** Builds a report to the leader for each active rollout. */
  reports(): ExposureReport[] {
    const reports: ExposureReport[] = [];
    for (const [service, {tracker, roles}] of this.services) {
      if (tracker !== undefined) {
        const {pool} = this.parts;
        const target = upstreamsOfVersion(
          pool.servingUpstreams(service),
          tracker.targetVersion,
        );
        const hasShifted =
          roles.primary === tracker.targetVersion &&
          target.length > 0 &&
          tracker.updateShift();
        reports.push(
          tracker.report({
            openAtFormer: pool.inFlightOnOtherVersions(
              service,
              tracker.targetVersion,
            ),
            shifted: hasShifted,
          }),
        );
      }
    }
    return reports;
  }

  /** Applies grants; ignores those for another rollout of the service. */
  applyGrants(grants: readonly ExposureGrant[]): void {
    for (const {granted, number, service} of grants) {
      const tracker = this.services.get(service)?.tracker;
      if (tracker?.number === number) {
        tracker.applyGrant(granted);
        this.parts.metrics.exposureGranted.set({service}, granted);
      }
    }
  }

  private createState(versions: ServiceVersions): ServiceState {
    const existing = this.services.get(versions.service);
    return {
      tracker: this.trackerFor(versions, existing?.tracker),
      baselines: this.baselinesFor(versions, existing),
      roles: versionRolesOf(versions),
      versions,
      withdrawn: withdrawnVersions(versions, existing),
    };
  }

  private trackerFor(
    {rollout, service}: ServiceVersions,
    existing: ExposureTracker | undefined,
  ): ExposureTracker | undefined {
    const isActive =
      rollout?.state === ROLLOUT_STATE.exposing ||
      rollout?.state === ROLLOUT_STATE.shifting;
    if (!isActive) {
      return undefined;
    }
    return existing?.number === rollout.number
      ? existing
      : new ExposureTracker(
          service,
          rollout,
          this.parts.clock,
          this.parts.random,
        );
  }

  /** Discards learned response times when the stable version changes. */
  private baselinesFor(
    {stableVersion}: ServiceVersions,
    existing: ServiceState | undefined,
  ): LatencyBaselines {
    return existing?.versions.stableVersion === stableVersion
      ? existing.baselines
      : new LatencyBaselines();
  }

  /** Whether a version may be used; `mayExpose` decides for one that is being tried. */
  private mayUse(
    {service}: RequestPlan,
    version: string,
    mayExpose: (tracker: ExposureTracker) => boolean,
  ): boolean {
    const state = this.services.get(service.name);
    const primary = state?.roles.primary;
    if (state === undefined || primary === undefined) {
      return true;
    }
    const {roles, tracker} = state;
    return (
      version === primary ||
      version === roles.fallback ||
      isUnordered(state, version) ||
      (version === roles.canary && tracker !== undefined && mayExpose(tracker))
    );
  }

  private logStop(service: string, tracker: ExposureTracker): void {
    this.parts.log.note({
      cause: tracker.lastStopCause,
      event: 'exposure-stopped',
      exposed: tracker.exposedCount,
      number: tracker.number,
      service,
      version: tracker.targetVersion,
    });
    this.changed.notify();
  }
}

/** Selects by rendezvous hashing, so that all edges agree; skips paused upstreams. */
function selectExposedUpstreams(
  upstreams: readonly EdgeUpstream[],
  service: string,
): readonly EdgeUpstream[] {
  const count = Math.max(
    1,
    Math.round(upstreams.length * EXPOSED_UPSTREAM_FRACTION),
  );
  const unpaused = upstreams.filter(({isPaused}) => !isPaused);
  return rankByRendezvous(unpaused, hash32(service)).slice(0, count);
}

function describeRollout({
  rollout,
  service,
  stableVersion,
}: ServiceVersions): string {
  return rollout === undefined || rollout === null
    ? `${service} ${stableVersion}`
    : `${service} ${stableVersion} to ${rollout.targetVersion}: ${rollout.state}`;
}

/** Whether no order names a version; the primary version doesn't count as such. */
function isUnordered(
  {roles, withdrawn}: ServiceState,
  version: string,
): boolean {
  const {canary, fallback, primary} = roles;
  return (
    version !== canary &&
    version !== fallback &&
    version !== primary &&
    !withdrawn.has(version)
  );
}

/** Versions that rollouts, as far as this edge has followed them, have withdrawn. */
function withdrawnVersions(
  {rollout, stableVersion}: ServiceVersions,
  existing: ServiceState | undefined,
): ReadonlySet<string> {
  const withdrawn = new Set(existing?.withdrawn);
  const former = existing?.versions.stableVersion;
  if (rollout?.state === ROLLOUT_STATE.completed && former !== undefined) {
    withdrawn.add(former);
  }
  withdrawn.delete(stableVersion);
  if (rollout?.state === ROLLOUT_STATE.rolledBack) {
    withdrawn.add(rollout.targetVersion);
  } else if (rollout !== undefined && rollout !== null) {
    withdrawn.delete(rollout.targetVersion);
  }
  return withdrawn;
}
