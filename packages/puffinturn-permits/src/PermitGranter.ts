/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Grants permits for requests to upstreams that take only so many a second from all
 * boxes together: whole requests, to whoever asks, so that no box holds a part that
 * another one lacks. One box grants those of an upstream, and a second one some for
 * boxes that don't reach the first (docs/design/permits.md).
 */
import {LRUCache} from 'lru-cache';
import type {Clock} from 'shared';

import type {Granters} from './Granters';
import type {PermitRate} from './PermitBucket';
import {PermitBucket} from './PermitBucket';
import {
  BURST,
  BURST_S,
  FIRST_PART,
  LEAST_PER_SECOND,
  LOG_EVERY_MS,
  MAX_REMEMBERED,
  SECOND_PART,
  UNGRANTED_WAIT_MS,
} from './PermitConstants';
import type {PermitReply, PermitRequest} from './PermitMessages';
import type {UpstreamLimit} from './UpstreamLimit';
import {laterLimit, rateOf} from './UpstreamLimit';

/** What may arrive beyond the rate that a cold upstream bears, in any second. */
export interface ColdTolerance {
  /** Multiple of the rate. */
  readonly overage: number;
  /** Requests on top of that. */
  readonly extra: number;
}

/** What a granter did about one upstream since its last such line. */
export interface PermitCount {
  readonly upstream: string;
  /** The rate that it grants at, requests a second. */
  readonly perSecond: number;
  readonly granted: number;
  readonly refused: number;
}

/** What a PermitGranter is made of. */
export interface PermitGranterParts {
  readonly box: string;
  readonly clock: Clock;
  readonly granters: Granters;
  readonly coldTolerance: ColdTolerance;
  /** What is known here of an upstream's limit. */
  readonly limitOf: (id: string) => UpstreamLimit;
  /** Told from time to time what was granted. */
  readonly onCount: (count: PermitCount) => void;
}

interface Account {
  readonly bucket: PermitBucket;
  granted: number;
  refused: number;
  countedAt: number;
}

/** See the module comment. */
export class PermitGranter {
  private readonly accounts = new LRUCache<string, Account>({
    max: MAX_REMEMBERED,
  });
  private readonly startedAt: number;

  constructor(private readonly parts: PermitGranterParts) {
    this.startedAt = parts.clock.now();
  }

  /** Answers a question for permits, of this box or of another one. */
  grant(request: PermitRequest): PermitReply {
    const {upstream, wanted} = request;
    const {box, granters, limitOf} = this.parts;
    const limit = laterLimit(limitOf(upstream.id), request.limit);
    const rank = granters.of(upstream).indexOf(box);
    const perSecond = boundOf(limit, request.coldPerSecond);
    if (perSecond === Infinity) {
      return {granted: wanted, limit, waitMs: 0};
    }
    if (rank < 0) {
      // The asking box knows other boxes; it finds the granters with its next list.
      return {granted: 0, limit, waitMs: UNGRANTED_WAIT_MS};
    }
    const rate = this.rateFor(perSecond, rank, request.coldPerSecond);
    const account = this.accountOf(upstream.id, rate);
    const granted = account.bucket.take(wanted, request.isLeastUrgent);
    this.count(upstream.id, account, granted, wanted - granted, perSecond);
    const waitMs =
      granted < wanted ? account.bucket.nextWaitMs(request.isLeastUrgent) : 0;
    return {granted, limit, waitMs};
  }

  private rateFor(
    perSecond: number,
    rank: number,
    coldPerSecond: number | undefined,
  ): PermitRate {
    const part = rank === 0 ? FIRST_PART : SECOND_PART;
    const most = rank === 0 ? BURST + BURST_S * perSecond : 1;
    const room =
      coldPerSecond === undefined ? Infinity : this.coldRoom(coldPerSecond);
    return {
      burst: Math.max(1, Math.min(most, room)),
      perSecond: perSecond * part,
    };
  }

  /** Requests that a cold upstream bears at once beyond those of a whole second. */
  private coldRoom(perSecond: number): number {
    const {extra, overage} = this.parts.coldTolerance;
    return perSecond * (overage - FIRST_PART) + extra;
  }

  /**
   * A granter that has just started has gathered nothing before, as its former life may
   * have granted as many as the upstream takes.
   */
  private accountOf(id: string, rate: PermitRate): Account {
    const known = this.accounts.get(id);
    if (known !== undefined) {
      known.bucket.adopt(rate);
      return known;
    }
    const {clock} = this.parts;
    const now = clock.now();
    const gathered = ((now - this.startedAt) / 1_000) * rate.perSecond;
    const permits = Math.min(rate.burst, gathered);
    const account: Account = {
      bucket: new PermitBucket(clock, rate, permits),
      countedAt: now,
      granted: 0,
      refused: 0,
    };
    this.accounts.set(id, account);
    return account;
  }

  private count(
    upstream: string,
    account: Account,
    granted: number,
    refused: number,
    perSecond: number,
  ): void {
    account.granted += granted;
    account.refused += refused;
    const now = this.parts.clock.now();
    if (now - account.countedAt >= LOG_EVERY_MS) {
      account.countedAt = now;
      const counts = {granted: account.granted, refused: account.refused};
      this.parts.onCount({...counts, perSecond, upstream});
      account.granted = 0;
      account.refused = 0;
    }
  }
}

/** Requests a second that an upstream takes now; Infinity where nothing bounds them. */
export function boundOf(
  limit: UpstreamLimit,
  coldPerSecond: number | undefined,
): number {
  const named = Math.max(LEAST_PER_SECOND, rateOf(limit));
  return Math.min(named, coldPerSecond ?? Infinity);
}
