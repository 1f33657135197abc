/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Regions} from 'puffinturn-fleet';
import type {Clock} from 'shared';

import type {RequestPlan} from '../requests/RequestPlan';
import type {CrossRegionEpisodes} from './CrossRegionEpisodes';
import {
  LEAST_URGENT_RESERVE_FRACTION,
  LINK_BURST_MS,
  LINK_BYTES_PER_MS,
  LINK_DELAY_MS,
  MIN_AVAILABLE_FRACTION,
  PLAIN_RESPONSE_BYTES,
  REQUEST_LINK_FRACTION,
  STREAM_RESPONSE_BYTES,
} from './RegionConstants';

/** Dependencies of a RegionLinkBudget. */
export interface RegionLinkBudgetParts {
  readonly hall: string;
  readonly regions: Regions;
  readonly clock: Clock;
  readonly episodes: CrossRegionEpisodes;
  /** Number of edges in the local region, this one included. */
  readonly countEdges: () => number;
}

/**
 * Limits and estimates traffic to upstreams in other regions. Each edge has a token
 * bucket with an equal share of the link, so no coordination between edges is needed.
 */
export class RegionLinkBudget {
  /** Bytes taken from the token bucket and not refilled yet. */
  private usedBytes = 0;
  private updatedAt: number;

  constructor(private readonly parts: RegionLinkBudgetParts) {
    this.updatedAt = parts.clock.now();
  }

  /** Whether a hall is in a region other than that of this edge. */
  isRemote(hall: string): boolean {
    return !this.parts.regions.areInSameRegion(this.parts.hall, hall);
  }

  /** Whether the bucket admits a request; the least urgent must leave a reserve. */
  hasCapacity(isLeastUrgent: boolean): boolean {
    const reserved = isLeastUrgent ? LEAST_URGENT_RESERVE_FRACTION : 0;
    return this.availableFraction > reserved;
  }

  /** Estimates the round trip and transfer time on the link, ms. */
  estimateTransferMs(plan: RequestPlan, bodyBytes: number): number {
    const availableRate =
      LINK_BYTES_PER_MS *
      Math.max(MIN_AVAILABLE_FRACTION, this.availableFraction);
    return 2 * LINK_DELAY_MS + estimateBytes(plan, bodyBytes) / availableRate;
  }

  /** Records a request sent to another region. */
  recordSent(plan: RequestPlan, bodyBytes: number): void {
    this.refill();
    this.usedBytes += estimateBytes(plan, bodyBytes);
    this.parts.episodes.recordRequest(plan.service.name);
  }

  /** Fraction of the token bucket that is left; negative after a large request. */
  private get availableFraction(): number {
    this.refill();
    return 1 - this.usedBytes / (this.bytesPerMs * LINK_BURST_MS);
  }

  private get bytesPerMs(): number {
    const edges = Math.max(1, this.parts.countEdges());
    return (LINK_BYTES_PER_MS * REQUEST_LINK_FRACTION) / edges;
  }

  /** Refills the bucket for the time since the last update. */
  private refill(): void {
    const now = this.parts.clock.now();
    const refilledBytes = (now - this.updatedAt) * this.bytesPerMs;
    this.usedBytes = Math.max(0, this.usedBytes - refilledBytes);
    this.updatedAt = now;
  }
}

/** Estimates the bytes that a request and its response use on the link. */
function estimateBytes({service}: RequestPlan, bodyBytes: number): number {
  const responseBytes =
    service.engine === undefined ? PLAIN_RESPONSE_BYTES : STREAM_RESPONSE_BYTES;
  return bodyBytes + responseBytes;
}
