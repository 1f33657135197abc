/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {ExposureReport, Rollout, VersionTally} from 'puffinturn-fleet';
import {createTallyKey, TIME_RATIO_BOUNDS} from 'puffinturn-fleet';
import type {Clock, Random} from 'shared';

/** Causes for which an edge stops sending requests to the new version. */
export const EXPOSURE_STOP_CAUSE = {
  /** Too many consecutive bad responses. */
  consecutiveBadResponses: 'run',
  /** A much higher ratio of bad responses than the stable version has. */
  badResponseRatio: 'share',
} as const;

/** One of EXPOSURE_STOP_CAUSE. */
export type ExposureStopCause =
  (typeof EXPOSURE_STOP_CAUSE)[keyof typeof EXPOSURE_STOP_CAUSE];

/**
 * Consecutive bad responses of the new version after which this edge stops. Of a
 * version that fails one response in ten, a run of six comes about once in a million
 * responses.
 */
const MAX_CONSECUTIVE_BAD_RESPONSES = 6;

/**
 * Minimum number of bad responses before their ratio is checked, so that a few random
 * failures don't stop a good version.
 */
const MIN_BAD_RESPONSES = 8;

/** Ratio of bad responses allowed on top of the scaled ratio of the stable version. */
const BAD_RATIO_MARGIN = 0.3;

/** Factor applied to the bad response ratio of the stable version. */
const STABLE_BAD_RATIO_FACTOR = 3;

/** Multiple of the expected time above which a response counts as bad. */
const SLOW_LATENCY_RATIO = 4;

/**
 * Time for which this edge stops at first, ms; doubles each further time. The verdict
 * comes sooner if the version is bad; a good one of which a single upstream failed is
 * tried again.
 */
const INITIAL_BACKOFF_MS = 2_000;

/**
 * Time without requests to the previous version after which the shift is complete,
 * ms. A short gap between two requests must not complete it.
 */
const SHIFT_SETTLE_MS = 500;

/** Time within which a grant should be used up, ms: two report intervals. */
const GRANT_USE_WINDOW_MS = 500;

/** Maximum factor by which a rare route is exposed more often than average. */
const MAX_RARE_ROUTE_BOOST = 4;

/** Maximum credit that a route accumulates, requests. */
const MAX_ROUTE_CREDIT = 2;

/** Outcome of one response. */
export interface ObservedResponse {
  readonly route: string;
  readonly version: string;
  /** Whether the upstream returned an error, or the response broke off or was lost. */
  readonly failed: boolean;
  /** Measured time divided by the expected time; undefined if none is known. */
  readonly latencyRatio: number | undefined;
}

/** Counts the responses of one version for one route. */
class ResponseTally {
  answers = 0;
  failures = 0;
  readonly times = [...TIME_RATIO_BOUNDS, Infinity].map(() => 0);

  constructor(
    readonly route: string,
    readonly version: string,
  ) {}

  add({failed, latencyRatio}: ObservedResponse): void {
    this.answers += 1;
    this.failures += failed ? 1 : 0;
    if (!failed && latencyRatio !== undefined) {
      const index = TIME_RATIO_BOUNDS.findIndex(
        (bound) => latencyRatio <= bound,
      );
      const bucket = index === -1 ? TIME_RATIO_BOUNDS.length : index;
      this.times[bucket] = (this.times[bucket] ?? 0) + 1;
    }
  }
}

/** Counts good and bad responses of one version. */
class ResponseQuality {
  responses = 0;
  badResponses = 0;
  consecutiveBad = 0;

  get badRatio(): number {
    return this.responses === 0 ? 0 : this.badResponses / this.responses;
  }

  add(isBad: boolean): void {
    this.responses += 1;
    this.badResponses += isBad ? 1 : 0;
    this.consecutiveBad = isBad ? this.consecutiveBad + 1 : 0;
  }
}

/** Counts arrivals in windows of GRANT_USE_WINDOW_MS to predict the next window. */
class ArrivalWindow {
  private windowStartedAt = -Infinity;
  private previousCount = 0;
  private currentCount = 0;

  constructor(private readonly clock: Clock) {}

  recordArrival(): void {
    const elapsedWindows = Math.floor(
      (this.clock.now() - this.windowStartedAt) / GRANT_USE_WINDOW_MS,
    );
    if (elapsedWindows > 0) {
      this.previousCount = elapsedWindows === 1 ? this.currentCount : 0;
      this.currentCount = 0;
      this.windowStartedAt = this.clock.now();
    }
    this.currentCount += 1;
  }

  /** Requests expected in the next window; at least one. */
  get expectedInNextWindow(): number {
    return Math.max(1, this.previousCount, this.currentCount);
  }
}

/** Arrivals and exposure credit of one route. */
interface RouteExposure {
  arrivals: number;
  /** Accumulated credit; one unit sends one request to the new version. */
  credit: number;
}

/**
 * Tracks one rollout on this edge: how many requests may still go to the new version,
 * which ones, and how both versions respond. Counts start with the rollout and never
 * decrease, so that late or repeated reports are harmless.
 */
export class ExposureTracker {
  readonly number: number;
  readonly targetVersion: string;
  private granted = 0;
  private exposed = 0;
  private requests = 0;
  private arrivals = 0;
  private stopCause: ExposureStopCause | undefined;
  private stopCount = 0;
  private lastFallbackAt: number | undefined;
  private isShiftComplete = false;
  private stoppedUntil = -Infinity;
  private readonly routes = new Map<string, RouteExposure>();
  private readonly tallies = new Map<string, ResponseTally>();
  private readonly targetQuality = new ResponseQuality();
  private readonly stableQuality = new ResponseQuality();
  private readonly arrivalWindow: ArrivalWindow;

  constructor(
    private readonly service: string,
    {number, targetVersion}: Rollout,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.number = number;
    this.targetVersion = targetVersion;
    this.arrivalWindow = new ArrivalWindow(clock);
  }

  /** Requests that may still be sent to the new version. */
  get remaining(): number {
    return this.isStopped ? 0 : Math.max(0, this.granted - this.exposed);
  }

  /** Requests sent to the new version. */
  get exposedCount(): number {
    return this.exposed;
  }

  /** Cause of the last stop, kept after resuming; undefined before the first stop. */
  get lastStopCause(): ExposureStopCause | undefined {
    return this.stopCause;
  }

  /** Raises the number of granted requests; ignores grants that arrive out of order. */
  applyGrant(granted: number): void {
    this.granted = Math.max(this.granted, granted);
  }

  /**
   * Counts an arriving request and returns whether it should go to the new version.
   * Spreads the remaining grant over the expected requests. Exposes rare routes more
   * often, so that every route yields enough responses to compare.
   */
  tryExpose(route: string): boolean {
    const exposure = this.exposureOf(route);
    this.arrivalWindow.recordArrival();
    this.arrivals += 1;
    exposure.arrivals += 1;
    if (this.remaining < 1) {
      return false;
    }
    const uniformShare = 1 / this.routes.size;
    const routeShare = exposure.arrivals / this.arrivals;
    const boost = Math.min(
      MAX_RARE_ROUTE_BOOST,
      Math.sqrt(uniformShare / routeShare),
    );
    const earnedCredit =
      (this.remaining / this.arrivalWindow.expectedInNextWindow) * boost;
    exposure.credit = Math.min(
      MAX_ROUTE_CREDIT,
      exposure.credit + Math.min(1, earnedCredit),
    );
    if (exposure.credit < 1) {
      return false;
    }
    exposure.credit -= 1;
    return true;
  }

  /** Counts a request sent to the new version. */
  recordTargetRequest(): void {
    this.exposed += 1;
    this.requests += 1;
  }

  /** Whether requests use the previous version only if the new one has no upstreams. */
  get hasShifted(): boolean {
    return this.isShiftComplete;
  }

  /** Records that a request had to fall back to the previous version. */
  recordFallbackRequest(): void {
    this.lastFallbackAt = this.clock.now();
  }

  /** Returns whether the shift is complete: no request fell back for SHIFT_SETTLE_MS. */
  updateShift(): boolean {
    this.lastFallbackAt ??= this.clock.now();
    this.isShiftComplete ||=
      this.clock.now() - this.lastFallbackAt >= SHIFT_SETTLE_MS;
    return this.isShiftComplete;
  }

  /** Counts a request that reached a version other than the target. */
  recordOtherRequest(): void {
    this.requests += 1;
  }

  /** Records a response; returns whether it makes this edge stop exposing requests. */
  recordResponse(response: ObservedResponse): boolean {
    const {failed, latencyRatio = 0, route, version} = response;
    const key = createTallyKey(route, version);
    const tally = this.tallies.get(key) ?? new ResponseTally(route, version);
    this.tallies.set(key, tally);
    tally.add(response);
    const isTarget = version === this.targetVersion;
    const quality = isTarget ? this.targetQuality : this.stableQuality;
    quality.add(failed || latencyRatio > SLOW_LATENCY_RATIO);
    const cause = this.isStopped ? undefined : this.findStopCause();
    if (cause === undefined) {
      return false;
    }
    this.stopCause = cause;
    this.stoppedUntil =
      this.clock.now() + INITIAL_BACKOFF_MS * 2 ** this.stopCount;
    this.stopCount += 1;
    this.targetQuality.consecutiveBad = 0;
    return true;
  }

  /** Builds the report to the leader from the counts and the given state of upstreams. */
  report(
    upstreamState: Pick<ExposureReport, 'openAtFormer' | 'shifted'>,
  ): ExposureReport {
    const {exposed, granted, number, requests, service} = this;
    const tallies = [...this.tallies.values()].map(
      ({answers, failures, route, times, version}): VersionTally => ({
        answers,
        failures,
        route,
        times: [...times],
        version,
      }),
    );
    return {
      exposed,
      granted,
      number,
      requests,
      service,
      tallies,
      ...upstreamState,
    };
  }

  private get isStopped(): boolean {
    return this.clock.now() < this.stoppedUntil;
  }

  private findStopCause(): ExposureStopCause | undefined {
    const {consecutiveBad, badResponses, badRatio} = this.targetQuality;
    if (consecutiveBad >= MAX_CONSECUTIVE_BAD_RESPONSES) {
      return EXPOSURE_STOP_CAUSE.consecutiveBadResponses;
    }
    const isFarWorse =
      badRatio >
      BAD_RATIO_MARGIN + STABLE_BAD_RATIO_FACTOR * this.stableQuality.badRatio;
    return badResponses >= MIN_BAD_RESPONSES && isFarWorse
      ? EXPOSURE_STOP_CAUSE.badResponseRatio
      : undefined;
  }

  private exposureOf(route: string): RouteExposure {
    const existing = this.routes.get(route);
    if (existing !== undefined) {
      return existing;
    }
    // A random initial credit keeps edges from exposing requests in lockstep.
    const created = {arrivals: 0, credit: this.random.fraction()};
    this.routes.set(route, created);
    return created;
  }
}
