/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Grants permits for requests to rate-limited upstreams. Permits are granted for single
 * requests on demand, so that no box holds an unused share of the limit. Each upstream
 * has a primary granter, and a secondary one with a lower rate for boxes that can't reach
 * the primary. See docs/design/permits.md.
 */
import {LRUCache} from 'lru-cache';
import type {Clock} from 'shared';

import type {GranterSelector} from './GranterSelector';
import type {PermitRate} from './PermitBucket';
import {PermitBucket} from './PermitBucket';
import {
  BASE_BURST,
  BURST_SECONDS,
  LOG_INTERVAL_MS,
  MAX_TRACKED_UPSTREAMS,
  MIN_REQUESTS_PER_SECOND,
  NO_GRANTER_WAIT_MS,
  PRIMARY_RATE_FRACTION,
  SECONDARY_RATE_FRACTION,
} from './PermitConstants';
import type {PermitReply, PermitRequest} from './PermitMessages';
import type {UpstreamRateLimit} from './UpstreamRateLimit';
import {maxRequestsPerSecond, newerLimit} from './UpstreamRateLimit';

/** The most requests in any second of a warm-up: `rate * overage + extra`. */
export interface ColdTolerance {
  readonly overage: number;
  /** Requests. */
  readonly extra: number;
}

/** Permits granted and refused for one upstream since the last report. */
export interface GrantCounts {
  readonly upstream: string;
  /** The limit in effect, requests per second. */
  readonly perSecond: number;
  readonly granted: number;
  readonly refused: number;
}

/** Dependencies of a PermitGranter. */
export interface PermitGranterParts {
  readonly box: string;
  readonly clock: Clock;
  readonly selector: GranterSelector;
  readonly coldTolerance: ColdTolerance;
  /** Returns the limit of an upstream as known to this box. */
  readonly limitOf: (id: string) => UpstreamRateLimit;
  /** Called periodically with the permits granted for an upstream. */
  readonly onCounts: (counts: GrantCounts) => void;
}

/** Bucket and unreported counts of one upstream. */
interface GrantState {
  readonly bucket: PermitBucket;
  granted: number;
  refused: number;
  /** When the counts were last reported, monotonic ms. */
  reportedAt: number;
}

/** Grants permits on one box. */
export class PermitGranter {
  private readonly states = new LRUCache<string, GrantState>({
    max: MAX_TRACKED_UPSTREAMS,
  });
  private readonly startedAt: number;

  constructor(private readonly parts: PermitGranterParts) {
    this.startedAt = parts.clock.now();
  }

  /** Handles a permit request from this or another box. */
  grant(request: PermitRequest): PermitReply {
    const {upstream, wanted} = request;
    const {box, limitOf, selector} = this.parts;
    const limit = newerLimit(limitOf(upstream.id), request.limit);
    const rank = selector.select(upstream).indexOf(box);
    const perSecond = effectiveLimit(limit, request.coldPerSecond);
    if (perSecond === Infinity) {
      return {granted: wanted, limit, waitMs: 0};
    }
    if (rank < 0) {
      // The requesting box has a different list of boxes. It selects the right granters
      // once its list is updated.
      return {granted: 0, limit, waitMs: NO_GRANTER_WAIT_MS};
    }
    const rate = this.computeRate(perSecond, rank, request.coldPerSecond);
    const state = this.getState(upstream.id, rate);
    const granted = state.bucket.acquire(wanted, request.isLeastUrgent);
    this.recordGrant(upstream.id, state, granted, wanted - granted, perSecond);
    const waitMs =
      granted < wanted ? state.bucket.assignWaitMs(request.isLeastUrgent) : 0;
    return {granted, limit, waitMs};
  }

  /** Returns the rate and burst size of a granter with the given rank. */
  private computeRate(
    perSecond: number,
    rank: number,
    coldPerSecond: number | undefined,
  ): PermitRate {
    const fraction =
      rank === 0 ? PRIMARY_RATE_FRACTION : SECONDARY_RATE_FRACTION;
    const normalMax = rank === 0 ? BASE_BURST + BURST_SECONDS * perSecond : 1;
    const coldMax =
      coldPerSecond === undefined ? Infinity : this.coldBurst(coldPerSecond);
    return {
      maxPermits: Math.max(1, Math.min(normalMax, coldMax)),
      perSecond: perSecond * fraction,
    };
  }

  /**
   * Maximum burst during warm-up: the requests allowed in one second minus those that the
   * primary rate adds in that second.
   */
  private coldBurst(perSecond: number): number {
    const {extra, overage} = this.parts.coldTolerance;
    return perSecond * (overage - PRIMARY_RATE_FRACTION) + extra;
  }

  /**
   * Returns the state of an upstream. A new bucket only has the permits accrued since
   * this process started, because a previous process may have granted up to the limit
   * just before.
   */
  private getState(id: string, rate: PermitRate): GrantState {
    const existing = this.states.get(id);
    if (existing !== undefined) {
      existing.bucket.setRate(rate);
      return existing;
    }
    const {clock} = this.parts;
    const now = clock.now();
    const accrued = ((now - this.startedAt) / 1_000) * rate.perSecond;
    const permits = Math.min(rate.maxPermits, accrued);
    const state: GrantState = {
      bucket: new PermitBucket(clock, rate, permits),
      granted: 0,
      refused: 0,
      reportedAt: now,
    };
    this.states.set(id, state);
    return state;
  }

  /** Counts granted and refused permits and reports them periodically. */
  private recordGrant(
    upstream: string,
    state: GrantState,
    granted: number,
    refused: number,
    perSecond: number,
  ): void {
    state.granted += granted;
    state.refused += refused;
    const now = this.parts.clock.now();
    if (now - state.reportedAt >= LOG_INTERVAL_MS) {
      state.reportedAt = now;
      const counts = {granted: state.granted, refused: state.refused};
      this.parts.onCounts({...counts, perSecond, upstream});
      state.granted = 0;
      state.refused = 0;
    }
  }
}

/** Requests per second currently allowed to an upstream; Infinity if unlimited. */
export function effectiveLimit(
  limit: UpstreamRateLimit,
  coldPerSecond: number | undefined,
): number {
  const limitPerSecond = Math.max(
    MIN_REQUESTS_PER_SECOND,
    maxRequestsPerSecond(limit),
  );
  return Math.min(limitPerSecond, coldPerSecond ?? Infinity);
}
