/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * What this edge does in one roll-out: how many requests it may still send to the
 * new version, which ones, and how both versions answer. All counts are since the
 * order and only grow, so that a report that is late or comes twice does no harm.
 */
import type {ExposureReport, Rollout, VersionTally} from 'puffinturn-fleet';
import {tallyKey, TIME_RATIO_BOUNDS} from 'puffinturn-fleet';
import type {Clock, Random} from 'shared';

/** Why an edge stopped exposing by itself. */
export const EXPOSURE_STOP = {
  /** Only bad answers, one after the other. */
  run: 'run',
  /** Far more bad answers than the stable version gives. */
  share: 'share',
} as const;

/** One of EXPOSURE_STOP. */
export type ExposureStop = (typeof EXPOSURE_STOP)[keyof typeof EXPOSURE_STOP];

/**
 * Bad answers of the new version in a row after which this edge stops. Of a version
 * that fails one answer in ten, a run of six comes about once in a million answers.
 */
const STOP_RUN = 6;

/** Bad answers before their share counts, so that no good version stops by chance. */
const STOP_LEAST_BAD = 8;

/** The share of bad answers above which this edge stops. */
const STOP_SHARE = 0.3;

/** How many times the stable version's share that must be. */
const STOP_FACTOR = 3;

/** An answer counts as bad here above this multiple of the expected time. */
const SLOW_RATIO = 4;

/**
 * How long it stops at first, ms; twice as long each further time. The verdict comes
 * sooner where the version is bad, and a good one of which a single upstream broke
 * down is tried again.
 */
const FIRST_STOP_MS = 2_000;

/**
 * An edge has shifted once no request had to go to the former version for this time,
 * ms: some reports in a row, so that a gap between two requests is not taken for it.
 */
const SHIFT_SETTLE_MS = 500;

/** Time in which what is granted should be used, ms: two reports or so. */
const USE_WITHIN_MS = 500;

/** Most by which a rare route is exposed more often than all are together. */
const RARE_FACTOR = 4;

/** Exposure that a route may save up, requests. */
const MOST_CREDIT = 2;

/** What one answer was like. */
export interface AnswerJudgement {
  readonly route: string;
  readonly version: string;
  /** An error of the upstream's own, or a broken or lost answer. */
  readonly failed: boolean;
  /** Its time over the expected one; undefined where that is not known. */
  readonly ratio: number | undefined;
}

/** Answers of one version to one route, while they are counted. */
class Tally {
  answers = 0;
  failures = 0;
  readonly times = [...TIME_RATIO_BOUNDS, Infinity].map(() => 0);

  constructor(
    readonly route: string,
    readonly version: string,
  ) {}

  add({failed, ratio}: AnswerJudgement): void {
    this.answers += 1;
    this.failures += failed ? 1 : 0;
    if (!failed && ratio !== undefined) {
      const above = TIME_RATIO_BOUNDS.findIndex((bound) => ratio <= bound);
      const bucket = above === -1 ? TIME_RATIO_BOUNDS.length : above;
      this.times[bucket] = (this.times[bucket] ?? 0) + 1;
    }
  }
}

/** Good and bad answers of one version. */
class Quality {
  answers = 0;
  bad = 0;
  badInRow = 0;

  get badShare(): number {
    return this.answers === 0 ? 0 : this.bad / this.answers;
  }

  add(isBad: boolean): void {
    this.answers += 1;
    this.bad += isBad ? 1 : 0;
    this.badInRow = isBad ? this.badInRow + 1 : 0;
  }
}

/** Requests that came lately, in spans of USE_WITHIN_MS. */
class RecentArrivals {
  private spanAt = -Infinity;
  private former = 0;
  private current = 0;

  constructor(private readonly clock: Clock) {}

  count(): void {
    const spans = Math.floor((this.clock.now() - this.spanAt) / USE_WITHIN_MS);
    if (spans > 0) {
      this.former = spans === 1 ? this.current : 0;
      this.current = 0;
      this.spanAt = this.clock.now();
    }
    this.current += 1;
  }

  /** Requests to expect in the next span; at least one. */
  get expected(): number {
    return Math.max(1, this.former, this.current);
  }
}

/** One route as exposure sees it. */
interface ExposedRoute {
  arrived: number;
  /** Exposure saved up; a whole one lets a request try the new version. */
  credit: number;
}

/** See the module comment. */
export class ExposureAccount {
  readonly number: number;
  readonly targetVersion: string;
  private granted = 0;
  private exposed = 0;
  private requests = 0;
  private arrived = 0;
  private stopCause: ExposureStop | undefined;
  private stops = 0;
  private fallbackUsedAt: number | undefined;
  private shifted = false;
  private stoppedUntil = -Infinity;
  private readonly routes = new Map<string, ExposedRoute>();
  private readonly tallies = new Map<string, Tally>();
  private readonly target = new Quality();
  private readonly stable = new Quality();
  private readonly recent: RecentArrivals;

  constructor(
    private readonly service: string,
    {number, targetVersion}: Rollout,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.number = number;
    this.targetVersion = targetVersion;
    this.recent = new RecentArrivals(clock);
  }

  /** Requests that may still be sent to the new version. */
  get left(): number {
    return this.isStopped ? 0 : Math.max(0, this.granted - this.exposed);
  }

  /** Requests sent to the new version. */
  get used(): number {
    return this.exposed;
  }

  /** Why this edge last stopped; kept after it has resumed, undefined before. */
  get lastStop(): ExposureStop | undefined {
    return this.stopCause;
  }

  /** Takes a grant in; one that was overtaken changes nothing. */
  grant(granted: number): void {
    this.granted = Math.max(this.granted, granted);
  }

  /**
   * Counts a request that came, and decides whether it tries the new version: what
   * is left is spread over the requests expected, and of a rare route relatively
   * more try it, so that each route shows how it is served.
   */
  draws(route: string): boolean {
    const seen = this.routeOf(route);
    this.recent.count();
    this.arrived += 1;
    seen.arrived += 1;
    if (this.left < 1) {
      return false;
    }
    const evenShare = 1 / this.routes.size;
    const ownShare = seen.arrived / this.arrived;
    const rarity = Math.min(RARE_FACTOR, Math.sqrt(evenShare / ownShare));
    const part = (this.left / this.recent.expected) * rarity;
    seen.credit = Math.min(MOST_CREDIT, seen.credit + Math.min(1, part));
    if (seen.credit < 1) {
      return false;
    }
    seen.credit -= 1;
    return true;
  }

  /** Counts a request as it is sent to the new version. */
  sentToTarget(): void {
    this.exposed += 1;
    this.requests += 1;
  }

  /** Whether no new request goes to the former version as long as the new one serves. */
  get hasShifted(): boolean {
    return this.shifted;
  }

  /** Notes that while shifting a request had to go to the former version. */
  sentToFallback(): void {
    this.fallbackUsedAt = this.clock.now();
  }

  /** Shifts for good once the former version was not needed for a while. */
  settleShift(): boolean {
    this.fallbackUsedAt ??= this.clock.now();
    this.shifted ||= this.clock.now() - this.fallbackUsedAt >= SHIFT_SETTLE_MS;
    return this.shifted;
  }

  /** Counts a request that reached another version. */
  reachedOther(): void {
    this.requests += 1;
  }

  /** Takes an answer in; true where this edge stops exposing because of it. */
  judge(answer: AnswerJudgement): boolean {
    const {failed, ratio = 0, route, version} = answer;
    const key = tallyKey(route, version);
    const tally = this.tallies.get(key) ?? new Tally(route, version);
    this.tallies.set(key, tally);
    tally.add(answer);
    const isTarget = version === this.targetVersion;
    const quality = isTarget ? this.target : this.stable;
    quality.add(failed || ratio > SLOW_RATIO);
    const reason = this.isStopped ? undefined : this.reasonToStop();
    if (reason === undefined) {
      return false;
    }
    this.stopCause = reason;
    this.stoppedUntil = this.clock.now() + FIRST_STOP_MS * 2 ** this.stops;
    this.stops += 1;
    this.target.badInRow = 0;
    return true;
  }

  /** What the leader is told, apart from what the upstreams show. */
  report(
    shown: Pick<ExposureReport, 'openAtFormer' | 'shifted'>,
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
    return {exposed, granted, number, requests, service, tallies, ...shown};
  }

  private get isStopped(): boolean {
    return this.clock.now() < this.stoppedUntil;
  }

  private reasonToStop(): ExposureStop | undefined {
    const {badInRow, bad, badShare} = this.target;
    if (badInRow >= STOP_RUN) {
      return EXPOSURE_STOP.run;
    }
    const isFar = badShare > STOP_SHARE + STOP_FACTOR * this.stable.badShare;
    return bad >= STOP_LEAST_BAD && isFar ? EXPOSURE_STOP.share : undefined;
  }

  private routeOf(route: string): ExposedRoute {
    const known = this.routes.get(route);
    if (known !== undefined) {
      return known;
    }
    // Edges begin at different points, so that they don't all expose at once.
    const seen = {arrived: 0, credit: this.random.fraction()};
    this.routes.set(route, seen);
    return seen;
  }
}
