/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Which upstream one request goes to next: those that were not tried for it, don't
 * rest and bear it, sound ones before grey ones and those that pause, then by the
 * choice of the service's kind. It looks at facts only and sends nothing.
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
import {secondsOf} from './ReturnTimes';
import type {AdmissionFacts, UpstreamAdmission} from './UpstreamAdmission';
import {rateOfUpstream} from './UpstreamAdmission';
import type {Placement, RegionLink, UpstreamChoice} from './UpstreamChoice';
import type {UpstreamPool} from './UpstreamPool';
import {greyErrorRate} from './UpstreamPool';

/** What a selection rests on. */
export interface SelectionParts {
  readonly hall: string;
  readonly random: Random;
  readonly pool: UpstreamPool;
  readonly engineChoice: UpstreamChoice;
  readonly plainChoice: UpstreamChoice;
  readonly admission: UpstreamAdmission;
  readonly returnTimes: ReturnTimes;
  readonly exposures: Exposures;
  readonly regions: Regions;
  readonly crossing: RegionCrossing;
  readonly homeProbes: HomeProbes;
  /** Regions that the newest configuration allows; undefined for all. */
  readonly newestRegions: (
    route: Route,
    team: Team | undefined,
  ) => readonly string[] | undefined;
}

/** What is to be sent. */
export interface RequestSize {
  readonly bodyBytes: number;
  /** Whether it is among the least urgent requests. */
  readonly isLeastUrgent: boolean;
  /** Upstreams that had no permit left for it. */
  readonly heldBack: ReadonlySet<EdgeUpstream>;
}

/** Why there is no upstream for a request, and when to come back. */
export interface Lack {
  readonly cause:
    | 'no-upstream'
    | 'no-upstream-in-region'
    | 'region-link-full'
    | 'upstreams-limited'
    | 'upstreams-rest';
  readonly retryAfterS: number;
}

/** Wait told of an upstream that had no permit, where it names no longer one, ms. */
const LEAST_HELD_MS = 50;

/** Part of the requests that a grey upstream still gets. */
const GREY_PROBES = 0.05;

/** Where a request goes next; undefined where no upstream is left for it. */
export function selectUpstream(
  parts: SelectionParts,
  plan: Plan,
  tried: ReadonlySet<EdgeUpstream>,
  sending: RequestSize,
): Placement | undefined {
  const all = parts.pool.serving(plan.service.name);
  // Trials of a new version are drawn from upstreams that may serve the request.
  const allowed = allowedOf(parts, plan, all);
  const isFirst = tried.size === 0;
  for (const group of parts.exposures.groupsFor(plan, allowed, isFirst)) {
    const placement = selectFrom(parts, plan, tried, sending, group);
    if (placement !== undefined) {
      return placement;
    }
  }
  return undefined;
}

function selectFrom(
  parts: SelectionParts,
  plan: Plan,
  tried: ReadonlySet<EdgeUpstream>,
  sending: RequestSize,
  allowed: readonly EdgeUpstream[],
): Placement | undefined {
  const {engineChoice, hall, plainChoice} = parts;
  const {parts: prompt, service} = plan;
  const reached = inReach(parts, allowed, sending);
  const facts = admissionFacts(plan, sending);
  const untried = reached
    .filter((upstream) => !tried.has(upstream))
    .filter((upstream) => waitMsOf(parts, facts, sending, upstream) === 0);
  const calm = untried.filter(({paused}) => !paused);
  const greyAbove = greyErrorRate(allowed);
  const trusted = calm.filter((upstream) => !mistrusts(parts, upstream));
  const sound = trusted.filter(
    (upstream) => !avoids(parts, upstream, greyAbove),
  );
  // With sound ones behind a full link, a request is refused at once rather than
  // held up by upstreams that pause.
  const isHeldBack = reached.length < allowed.length;
  const rest = isHeldBack || wasHeldUp(parts, tried) ? [] : [calm, untried];
  const candidates = [sound, trusted, ...rest].find(({length}) => length > 0);
  if (candidates === undefined) {
    return undefined;
  }
  const choice = service.engine === undefined ? plainChoice : engineChoice;
  return choice.place(candidates, {
    hall,
    parts: prompt,
    service,
    way: wayFor(parts, plan, sending),
  });
}

/** Why `selectUpstream` found none. */
export function lackOf(
  parts: SelectionParts,
  plan: Plan,
  sending: RequestSize,
): Lack {
  const serving = parts.pool.serving(plan.service.name);
  const allowed = allowedOf(parts, plan, serving);
  const retryAfterS =
    allowed.length === 0 ? RETRY_AFTER_MISSING_S : RETRY_AFTER_BUSY_S;
  if (allowed.length < serving.length) {
    return {cause: 'no-upstream-in-region', retryAfterS};
  }
  const reached = inReach(parts, allowed, sending);
  if (reached.length < allowed.length) {
    return {cause: 'region-link-full', retryAfterS};
  }
  const facts = admissionFacts(plan, sending);
  const waits = allowed.map((upstream) =>
    waitMsOf(parts, facts, sending, upstream),
  );
  const waitMs = Math.min(...waits);
  if (allowed.length === 0 || waitMs === 0) {
    return {cause: 'no-upstream', retryAfterS: RETRY_AFTER_BUSY_S};
  }
  if (allowed.every(({restLeftMs}) => restLeftMs > 0)) {
    return {cause: 'upstreams-rest', retryAfterS: secondsOf(waitMs)};
  }
  const rate = allowed
    .filter(({restLeftMs}) => restLeftMs === 0)
    .reduce((sum, upstream) => sum + rateOfUpstream(upstream, facts), 0);
  const {name} = plan.service;
  return {
    cause: 'upstreams-limited',
    retryAfterS: parts.returnTimes.nextS(name, waitMs, rate),
  };
}

/** What the admission of a request depends on. */
export function admissionFacts(
  {service: {coldStart}}: Plan,
  {isLeastUrgent}: RequestSize,
): AdmissionFacts {
  return {coldStart, isLeastUrgent};
}

/**
 * Upstreams in regions where the request may be served. Both the version that it
 * came under and the newest one bind, so that regions taken away bind a retry too.
 */
function allowedOf(
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

/** Those of the own region, and of others while the link between bears more. */
function inReach(
  {crossing, regions}: SelectionParts,
  upstreams: readonly EdgeUpstream[],
  {isLeastUrgent}: RequestSize,
): readonly EdgeUpstream[] {
  return !regions.several || crossing.allows(isLeastUrgent)
    ? upstreams
    : upstreams.filter(({record: {hall}}) => !crossing.isAway(hall));
}

/** What a choice needs to know of other regions; undefined where there are none. */
function wayFor(
  {crossing, regions}: SelectionParts,
  plan: Plan,
  {bodyBytes}: RequestSize,
): RegionLink | undefined {
  return regions.several
    ? {
        addedMs: crossing.transferMs(plan, bodyBytes),
        isAway: ({record: {hall}}) => crossing.isAway(hall),
      }
    : undefined;
}

/** How long until an upstream may be tried for a request, ms; 0 where it may be now. */
function waitMsOf(
  {admission}: SelectionParts,
  facts: AdmissionFacts,
  {heldBack}: RequestSize,
  upstream: EdgeUpstream,
): number {
  const heldMs = heldBack.has(upstream) ? LEAST_HELD_MS : 0;
  const permitMs = admission.waitMs(upstream, facts);
  return Math.max(upstream.restLeftMs, permitMs, heldMs);
}

/**
 * Whether an upstream that can't be reached has held the request up already. Where
 * none is sound in any region, a request is then refused rather than held up by one
 * after the other, each for CONNECT_MS (docs/design/regions.md has the measurement).
 */
function wasHeldUp(
  {regions}: SelectionParts,
  tried: ReadonlySet<EdgeUpstream>,
): boolean {
  return regions.several && [...tried].some(({doubtful}) => doubtful);
}

/** Whether it is too early to try one that failed last; see HomeProbes. */
function mistrusts(
  {homeProbes, regions}: SelectionParts,
  {doubtful}: EdgeUpstream,
): boolean {
  return regions.several && doubtful && !homeProbes.allowed;
}

/** A grey upstream gets few requests, enough to show when it has recovered. */
function avoids(
  {random}: SelectionParts,
  {errorRate}: EdgeUpstream,
  greyAbove: number,
): boolean {
  return errorRate > greyAbove && random.fraction() > GREY_PROBES;
}
