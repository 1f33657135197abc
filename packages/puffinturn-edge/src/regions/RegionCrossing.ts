/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Requests that an edge sends to upstreams of other regions: what the way costs,
 * and how much of the link between regions this edge may use for them. Each edge
 * has its part of the link, so that all together leave room for calls between
 * boxes without asking each other.
 */
import type {Regions} from 'puffinturn-fleet';
import type {Clock} from 'shared';

import type {Plan} from '../requests/RequestPlan';
import type {CrossingEpisodes} from './CrossingEpisodes';
import {
  ANSWER_BYTES,
  LEAST_LINK_LEFT,
  LINK_BURST_MS,
  LINK_BYTES_PER_MS,
  LINK_DELAY_MS,
  LINK_PART_FOR_REQUESTS,
  LINK_PART_LEFT_BY_LEAST_URGENT,
  STREAM_ANSWER_BYTES,
} from './RegionConstants';

/** What RegionCrossing is made of. */
export interface RegionCrossingParts {
  readonly hall: string;
  readonly regions: Regions;
  readonly clock: Clock;
  readonly episodes: CrossingEpisodes;
  /** Edges of the own region, this one included. */
  readonly edges: () => number;
}

/** See the module comment. */
export class RegionCrossing {
  /** Bytes sent beyond what has come free since; at most a store of it. */
  private used = 0;
  private usedAt: number;

  constructor(private readonly parts: RegionCrossingParts) {
    this.usedAt = parts.clock.now();
  }

  /** Whether a hall is in another region than this edge. */
  isAway(hall: string): boolean {
    return !this.parts.regions.areTogether(this.parts.hall, hall);
  }

  /** Whether one more request fits; the least urgent leave a part to others. */
  allows(isLeastUrgent: boolean): boolean {
    const kept = isLeastUrgent ? LINK_PART_LEFT_BY_LEAST_URGENT : 0;
    return this.left > kept;
  }

  /** What the way adds to the time of a request, ms. */
  transferMs(plan: Plan, bodyBytes: number): number {
    const left = LINK_BYTES_PER_MS * Math.max(LEAST_LINK_LEFT, this.left);
    return 2 * LINK_DELAY_MS + bytesOf(plan, bodyBytes) / left;
  }

  /** Notes that a request goes over. */
  sent(plan: Plan, bodyBytes: number): void {
    this.settle();
    this.used += bytesOf(plan, bodyBytes);
    this.parts.episodes.sent(plan.service.name);
  }

  /** The part of this edge's store that is left; below 0 after a large request. */
  private get left(): number {
    this.settle();
    return 1 - this.used / (this.bytesPerMs * LINK_BURST_MS);
  }

  private get bytesPerMs(): number {
    const edges = Math.max(1, this.parts.edges());
    return (LINK_BYTES_PER_MS * LINK_PART_FOR_REQUESTS) / edges;
  }

  /** Takes off what has come free in the meantime. */
  private settle(): void {
    const now = this.parts.clock.now();
    const freed = (now - this.usedAt) * this.bytesPerMs;
    this.used = Math.max(0, this.used - freed);
    this.usedAt = now;
  }
}

/** Bytes that a request and its answer take on the link. */
function bytesOf({service}: Plan, bodyBytes: number): number {
  const answer =
    service.engine === undefined ? ANSWER_BYTES : STREAM_ANSWER_BYTES;
  return bodyBytes + answer;
}
