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

import {RETRY_AFTER_BUSY_S, RETRY_AFTER_MISSING_S} from '../EdgeConstants';
import type {RegionCrossing} from '../regions/RegionCrossing';
import type {Plan} from '../requests/RequestPlan';
import type {Exposures} from '../rollouts/Exposures';
import type {EdgeUpstream} from './EdgeUpstream';
import type {HomeProbes} from './HomeProbes';
import type {ReturnTimes} from './ReturnTimes';
import {toRetryAfterSeconds} from './ReturnTimes';
import type {AdmissionContext, UpstreamAdmission} from './UpstreamAdmission';
import {maxRequestRate} from './UpstreamAdmission';
import type {LoadBalancer, Placement, RegionLink} from './UpstreamChoice';
import type {UpstreamPool} from './UpstreamPool';
import {degradedErrorThreshold} from './UpstreamPool';

/** Dependencies of the upstream selection. */
export interface SelectionParts {
  readonly hall: string;
  readonly random: Random;
  readonly pool: UpstreamPool;
  readonly engineChoice: LoadBalancer;
  readonly plainChoice: LoadBalancer;
  readonly admission: UpstreamAdmission;
  readonly returnTimes: ReturnTimes;
  readonly exposures: Exposures;
  readonly regions: Regions;
  readonly crossing: RegionCrossing;
  readonly homeProbes: HomeProbes;
  /** Regions allowed by the latest configuration; undefined for all. */
  readonly newestRegions: (
    route: Route,
    team: Team | undefined,
  ) => readonly string[] | undefined;
}

/** Properties of a request that its selection depends on. */
export interface RequestSize {
  readonly bodyBytes: number;
  /** Whether the request has the lowest priority. */
  readonly isLeastUrgent: boolean;
  /** Upstreams for which a permit was denied to this request. */
  readonly heldBack: ReadonlySet<EdgeUpstream>;
}

/** Why no upstream was found for a request, and when to retry. */
export interface Lack {
  readonly cause:
    | 'no-upstream'
    | 'no-upstream-in-region'
    | 'region-link-full'
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
  plan: Plan,
  tried: ReadonlySet<EdgeUpstream>,
  request: RequestSize,
): Placement | undefined {
  const all = deps.pool.serving(plan.service.name);
  // Filter by region first, so that canaries are chosen from permitted upstreams only.
  const allowed = allowedUpstreams(deps, plan, all);
  const isFirst = tried.size === 0;
  for (const group of deps.exposures.groupsFor(plan, allowed, isFirst)) {
    const placement = selectFrom(deps, plan, tried, request, group);
    if (placement !== undefined) {
      return placement;
    }
  }
  return undefined;
}

function selectFrom(
  deps: SelectionParts,
  plan: Plan,
  tried: ReadonlySet<EdgeUpstream>,
  request: RequestSize,
  allowed: readonly EdgeUpstream[],
): Placement | undefined {
  const {engineChoice, hall, plainChoice} = deps;
  const {parts: prompt, service} = plan;
  const reachable = reachableUpstreams(deps, allowed, request);
  const admission = admissionFacts(plan, request);
  const untried = reachable
    .filter((upstream) => !tried.has(upstream))
    .filter(
      (upstream) => upstreamWaitMs(deps, admission, request, upstream) === 0,
    );
  const unpaused = untried.filter(({paused}) => !paused);
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
  const choice = service.engine === undefined ? plainChoice : engineChoice;
  return choice.place(candidates, {
    hall,
    parts: prompt,
    service,
    regionLink: regionLinkFor(deps, plan, request),
  });
}

/** Explains why no upstream was selected for a request. */
export function lackOf(
  deps: SelectionParts,
  plan: Plan,
  request: RequestSize,
): Lack {
  const serving = deps.pool.serving(plan.service.name);
  const allowed = allowedUpstreams(deps, plan, serving);
  const retryAfterS =
    allowed.length === 0 ? RETRY_AFTER_MISSING_S : RETRY_AFTER_BUSY_S;
  if (allowed.length < serving.length) {
    return {cause: 'no-upstream-in-region', retryAfterS};
  }
  const reachable = reachableUpstreams(deps, allowed, request);
  if (reachable.length < allowed.length) {
    return {cause: 'region-link-full', retryAfterS};
  }
  const admission = admissionFacts(plan, request);
  const waits = allowed.map((upstream) =>
    upstreamWaitMs(deps, admission, request, upstream),
  );
  const waitMs = Math.min(...waits);
  if (allowed.length === 0 || waitMs === 0) {
    return {cause: 'no-upstream', retryAfterS: RETRY_AFTER_BUSY_S};
  }
  if (allowed.every(({restLeftMs}) => restLeftMs > 0)) {
    return {cause: 'upstreams-rest', retryAfterS: toRetryAfterSeconds(waitMs)};
  }
  const rate = allowed
    .filter(({restLeftMs}) => restLeftMs === 0)
    .reduce((sum, upstream) => sum + maxRequestRate(upstream, admission), 0);
  const {name} = plan.service;
  return {
    cause: 'upstreams-limited',
    retryAfterS: deps.returnTimes.nextRetryAfterS(name, waitMs, rate),
  };
}

/** Returns the properties of a request that its admission depends on. */
export function admissionFacts(
  {service: {coldStart}}: Plan,
  {isLeastUrgent}: RequestSize,
): AdmissionContext {
  return {coldStart, isLeastUrgent};
}

/**
 * Upstreams in regions where the request may be served, according to both the configuration
 * it started with and the latest one, so that a retry respects regions removed meanwhile.
 */
function allowedUpstreams(
  {newestRegions, regions}: SelectionParts,
  {allowedRegions, route, team}: Plan,
  serving: readonly EdgeUpstream[],
): readonly EdgeUpstream[] {
  const newest = newestRegions(route, team);
  if (allowedRegions === undefined && newest === undefined) {
    return serving;
  }
  return serving.filter(
    ({record: {hall}}) =>
      regions.allows(allowedRegions, hall) && regions.allows(newest, hall),
  );
}

/** Upstreams of the local region, and of others while the link has capacity. */
function reachableUpstreams(
  {crossing, regions}: SelectionParts,
  upstreams: readonly EdgeUpstream[],
  {isLeastUrgent}: RequestSize,
): readonly EdgeUpstream[] {
  return !regions.several || crossing.allows(isLeastUrgent)
    ? upstreams
    : upstreams.filter(({record: {hall}}) => !crossing.isAway(hall));
}

/** Describes the link to other regions; undefined if there is only one region. */
function regionLinkFor(
  {crossing, regions}: SelectionParts,
  plan: Plan,
  {bodyBytes}: RequestSize,
): RegionLink | undefined {
  return regions.several
    ? {
        transferMs: crossing.transferMs(plan, bodyBytes),
        isRemote: ({record: {hall}}) => crossing.isAway(hall),
      }
    : undefined;
}

/** Time until an upstream may be tried for a request, ms; 0 if it may be tried now. */
function upstreamWaitMs(
  {admission}: SelectionParts,
  context: AdmissionContext,
  {heldBack}: RequestSize,
  upstream: EdgeUpstream,
): number {
  const permitRetryMs = heldBack.has(upstream) ? MIN_PERMIT_WAIT_MS : 0;
  const permitMs = admission.waitMs(upstream, context);
  return Math.max(upstream.restLeftMs, permitMs, permitRetryMs);
}

/**
 * Whether the request was already tried at a failing upstream. If no healthy upstream is
 * left, it is then rejected instead of waiting for one connect timeout after another.
 */
function hasTriedFailing(
  {regions}: SelectionParts,
  tried: ReadonlySet<EdgeUpstream>,
): boolean {
  return regions.several && [...tried].some(({doubtful}) => doubtful);
}

/** Whether an upstream is failing and no probe of it is due. */
function shouldSkipFailing(
  {homeProbes, regions}: SelectionParts,
  {doubtful}: EdgeUpstream,
): boolean {
  return regions.several && doubtful && !homeProbes.isAllowed;
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
