/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Selects the next upstream of a request: filters out those already tried or over their
 * rate, prefers healthy ones over degraded or paused ones, and applies the load balancer.
 */
import type {Regions, Route, Team} from 'puffinturn-fleet';
import type {Random} from 'shared';

import {
  RETRY_AFTER_BUSY_S,
  RETRY_AFTER_UNAVAILABLE_S,
  RETRY_AFTER_VERSION_LEFT_S,
} from '../EdgeConstants';
import type {RegionLinkBudget} from '../regions/RegionLinkBudget';
import type {RequestPlan} from '../requests/RequestPlan';
import type {ExposureController} from '../rollouts/ExposureController';
import {upstreamsOfVersion} from '../rollouts/VersionRoles';
import {upstreamsForBeginning} from '../streams/StreamBeginnings';
import type {EdgeUpstream} from './EdgeUpstream';
import type {LoadBalancer, Placement, RegionLink} from './LoadBalancer';
import type {RecoveryProbes} from './RecoveryProbes';
import type {RetrySchedule} from './RetrySchedule';
import {toRetryAfterSeconds} from './RetrySchedule';
import type {AdmissionContext, UpstreamAdmission} from './UpstreamAdmission';
import {maxRequestRate} from './UpstreamAdmission';
import type {UpstreamPool} from './UpstreamPool';
import {degradedErrorThreshold} from './UpstreamPool';

/** Dependencies of the upstream selection. */
export interface SelectionParts {
  readonly hall: string;
  readonly random: Random;
  readonly pool: UpstreamPool;
  readonly engineBalancer: LoadBalancer;
  readonly plainBalancer: LoadBalancer;
  readonly admission: UpstreamAdmission;
  readonly retrySchedule: RetrySchedule;
  readonly exposureController: ExposureController;
  readonly regions: Regions;
  readonly linkBudget: RegionLinkBudget;
  readonly recoveryProbes: RecoveryProbes;
  /** Regions allowed by the latest configuration; undefined for all. */
  readonly latestAllowedRegions: (
    route: Route,
    team: Team | undefined,
  ) => readonly string[] | undefined;
}

/** Properties of a request that its selection depends on. */
export interface RequestTraits {
  readonly bodyBytes: number;
  /** Whether the request has the lowest priority. */
  readonly isLeastUrgent: boolean;
  /** Upstreams for which a permit was denied to this request. */
  readonly deniedUpstreams: ReadonlySet<EdgeUpstream>;
  /** Version that began the stream which the request continues, if it does. */
  readonly streamVersion?: string | undefined;
  /** Whether its caller has a part of the response already. */
  readonly isContinuation?: boolean | undefined;
}

/** Why no upstream was found for a request, and when to retry. */
export interface NoUpstreamReason {
  readonly cause:
    | 'no-upstream'
    | 'no-upstream-in-region'
    | 'no-upstream-of-version'
    | 'region-link-full'
    | 'stream-version-left'
    | 'upstreams-limited'
    | 'upstreams-rest';
  readonly retryAfterS: number;
}

/** Minimum wait reported for an upstream that denied a permit, ms. */
const MIN_PERMIT_WAIT_MS = 50;

/** Share of the requests that a degraded upstream still gets, from 0 to 1. */
const DEGRADED_PROBE_RATE = 0.05;

/** Selects the next upstream for a request; returns undefined if none is left. */
export function selectUpstream(
  deps: SelectionParts,
  plan: RequestPlan,
  tried: ReadonlySet<EdgeUpstream>,
  request: RequestTraits,
): Placement | undefined {
  const all = deps.pool.servingUpstreams(plan.service.name);
  // Filter by region first, so that canaries are chosen from permitted upstreams only.
  const allowed = allowedUpstreams(deps, plan, all);
  const groups =
    request.streamVersion === undefined
      ? deps.exposureController.candidateGroups(
          plan,
          upstreamsForBeginning(
            deps.pool.versions,
            plan.route,
            plan.service.name,
            allowed,
          ),
          tried.size === 0,
        )
      : [
          upstreamsForStream(
            deps,
            plan,
            allowed,
            request.streamVersion,
            request.isContinuation === true,
          ),
        ];
  for (const group of groups) {
    const placement = selectFrom(deps, plan, tried, request, group);
    if (placement !== undefined) {
      return placement;
    }
  }
  return undefined;
}

/** Upstreams of the version that began a stream; none if a rollout withdrew it. */
function upstreamsForStream(
  {exposureController}: SelectionParts,
  plan: RequestPlan,
  allowed: readonly EdgeUpstream[],
  version: string,
  isContinuation: boolean,
): readonly EdgeUpstream[] {
  const isAllowed = isContinuation
    ? exposureController.mayContinue(plan, version)
    : exposureController.mayResume(plan, version);
  return isAllowed ? upstreamsOfVersion(allowed, version) : [];
}

function selectFrom(
  deps: SelectionParts,
  plan: RequestPlan,
  tried: ReadonlySet<EdgeUpstream>,
  request: RequestTraits,
  allowed: readonly EdgeUpstream[],
): Placement | undefined {
  const {engineBalancer, hall, plainBalancer} = deps;
  const {promptParts, service} = plan;
  const reachable = reachableUpstreams(deps, allowed, request);
  const admission = admissionContextOf(plan, request);
  const untried = reachable
    .filter((upstream) => !tried.has(upstream))
    .filter(
      (upstream) => upstreamWaitMs(deps, admission, request, upstream) === 0,
    );
  const unpaused = untried.filter(({isPaused}) => !isPaused);
  const errorThreshold = degradedErrorThreshold(allowed);
  const trusted = unpaused.filter(
    (upstream) => !shouldSkipFailing(deps, upstream),
  );
  const healthy = trusted.filter(
    (upstream) => !shouldAvoidDegraded(deps, upstream, errorThreshold),
  );
  // If upstreams are out of reach because the link is full, reject the request at once
  // instead of delaying it at paused upstreams.
  const isLinkFull = reachable.length < allowed.length;
  const fallbacks =
    isLinkFull || hasTriedFailing(deps, tried) ? [] : [unpaused, untried];
  const candidates = [healthy, trusted, ...fallbacks].find(
    ({length}) => length > 0,
  );
  if (candidates === undefined) {
    return undefined;
  }
  const balancer =
    service.engine === undefined ? plainBalancer : engineBalancer;
  return balancer.choosePlacement(candidates, {
    hall,
    parts: promptParts,
    service,
    regionLink: regionLinkFor(deps, plan, request),
  });
}

/** Explains why no upstream was selected for a request. */
export function explainNoUpstream(
  deps: SelectionParts,
  plan: RequestPlan,
  request: RequestTraits,
): NoUpstreamReason {
  const all = deps.pool.servingUpstreams(plan.service.name);
  const {streamVersion} = request;
  const serving =
    streamVersion === undefined ? all : upstreamsOfVersion(all, streamVersion);
  if (streamVersion !== undefined && serving.length === 0) {
    return explainNoVersion(deps, plan.service.name, streamVersion);
  }
  const allowed = allowedUpstreams(deps, plan, serving);
  const retryAfterS =
    allowed.length === 0 ? RETRY_AFTER_UNAVAILABLE_S : RETRY_AFTER_BUSY_S;
  if (allowed.length < serving.length) {
    return {cause: 'no-upstream-in-region', retryAfterS};
  }
  const reachable = reachableUpstreams(deps, allowed, request);
  if (reachable.length < allowed.length) {
    return {cause: 'region-link-full', retryAfterS};
  }
  const admission = admissionContextOf(plan, request);
  const waits = allowed.map((upstream) =>
    upstreamWaitMs(deps, admission, request, upstream),
  );
  const waitMs = Math.min(...waits);
  if (allowed.length === 0 || waitMs === 0) {
    return {cause: 'no-upstream', retryAfterS: RETRY_AFTER_BUSY_S};
  }
  if (allowed.every(({remainingBackoffMs}) => remainingBackoffMs > 0)) {
    return {cause: 'upstreams-rest', retryAfterS: toRetryAfterSeconds(waitMs)};
  }
  const rate = allowed
    .filter(({remainingBackoffMs}) => remainingBackoffMs === 0)
    .reduce((sum, upstream) => sum + servedRate(upstream, admission), 0);
  const {name} = plan.service;
  return {
    cause: 'upstreams-limited',
    retryAfterS: deps.retrySchedule.nextRetryAfterS(name, waitMs, rate),
  };
}

/** A version without upstreams here may have left, or this edge does not know them yet. */
function explainNoVersion(
  {pool}: SelectionParts,
  service: string,
  version: string,
): NoUpstreamReason {
  return pool.hasVersionLeft(service, version)
    ? {cause: 'stream-version-left', retryAfterS: RETRY_AFTER_VERSION_LEFT_S}
    : {
        cause: 'no-upstream-of-version',
        retryAfterS: RETRY_AFTER_UNAVAILABLE_S,
      };
}

/**
 * Requests per second that an upstream serves while it is limited. If only its slots limit
 * it, each is taken to serve one request a second.
 */
function servedRate(
  upstream: EdgeUpstream,
  admission: AdmissionContext,
): number {
  const limit = maxRequestRate(upstream, admission);
  return limit === Infinity ? upstream.record.slots : limit;
}

/** Returns the properties of a request that its admission depends on. */
export function admissionContextOf(
  {service: {coldStart}}: RequestPlan,
  {isLeastUrgent}: RequestTraits,
): AdmissionContext {
  return {coldStart, isLeastUrgent};
}

/**
 * Upstreams in regions where the request may be served, according to both the configuration
 * it started with and the latest one, so that a retry respects regions removed meanwhile.
 */
function allowedUpstreams(
  {latestAllowedRegions, regions}: SelectionParts,
  {allowedRegions, route, team}: RequestPlan,
  serving: readonly EdgeUpstream[],
): readonly EdgeUpstream[] {
  const newest = latestAllowedRegions(route, team);
  if (allowedRegions === undefined && newest === undefined) {
    return serving;
  }
  return serving.filter(
    ({record: {hall}}) =>
      regions.isHallAllowed(allowedRegions, hall) &&
      regions.isHallAllowed(newest, hall),
  );
}

/** Upstreams of the local region, and of others while the link has capacity. */
function reachableUpstreams(
  {linkBudget, regions}: SelectionParts,
  upstreams: readonly EdgeUpstream[],
  {isLeastUrgent}: RequestTraits,
): readonly EdgeUpstream[] {
  return !regions.hasMultipleRegions || linkBudget.hasCapacity(isLeastUrgent)
    ? upstreams
    : upstreams.filter(({record: {hall}}) => !linkBudget.isRemote(hall));
}

/** Describes the link to other regions; undefined if there is only one region. */
function regionLinkFor(
  {linkBudget, regions}: SelectionParts,
  plan: RequestPlan,
  {bodyBytes}: RequestTraits,
): RegionLink | undefined {
  return regions.hasMultipleRegions
    ? {
        transferMs: linkBudget.estimateTransferMs(plan, bodyBytes),
        isRemote: ({record: {hall}}) => linkBudget.isRemote(hall),
      }
    : undefined;
}

/** Time until an upstream may be tried for a request, ms; 0 if it may be tried now. */
function upstreamWaitMs(
  {admission}: SelectionParts,
  context: AdmissionContext,
  {deniedUpstreams}: RequestTraits,
  upstream: EdgeUpstream,
): number {
  const permitRetryMs = deniedUpstreams.has(upstream) ? MIN_PERMIT_WAIT_MS : 0;
  const permitMs = admission.waitMs(upstream, context);
  return Math.max(upstream.remainingBackoffMs, permitMs, permitRetryMs);
}

/**
 * Whether the request was already tried at a failing upstream. If no healthy upstream is
 * left, it is then rejected instead of waiting for one connect timeout after another.
 */
function hasTriedFailing(
  {regions}: SelectionParts,
  tried: ReadonlySet<EdgeUpstream>,
): boolean {
  return (
    regions.hasMultipleRegions && [...tried].some(({isFailing}) => isFailing)
  );
}

/** Whether an upstream is failing and no probe of it is due. */
function shouldSkipFailing(
  {recoveryProbes, regions}: SelectionParts,
  {isFailing}: EdgeUpstream,
): boolean {
  return regions.hasMultipleRegions && isFailing && !recoveryProbes.isAllowed;
}

/**
 * Whether to skip a degraded upstream; a few requests still go there to detect its
 * recovery.
 */
function shouldAvoidDegraded(
  {random}: SelectionParts,
  {errorRate}: EdgeUpstream,
  errorThreshold: number,
): boolean {
  return errorRate > errorThreshold && random.fraction() > DEGRADED_PROBE_RATE;
}
