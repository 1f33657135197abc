/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** How many requests of this box may run on an upstream at once. */
import type {Clock} from 'shared';

import {
  LIMIT_DECREASE,
  LIMIT_HEADROOM,
  LIMIT_PAUSE_MS,
  LIMIT_TARGET_SHARE,
  MIN_LIMIT_SHARE,
} from './RoutingConstants';
import type {Upstream} from './Upstream';

/** Live boxes that share the upstreams, this one included. */
export type BoxCount = () => number;

/** Bounds the requests of this box on each upstream. */
export abstract class Limit {
  /** Requests that this box may have there in all. */
  abstract allowed(upstream: Upstream): number;

  /** Notes a first-token time against the pool's target. */
  abstract observe(
    upstream: Upstream,
    firstTokenMs: number,
    targetMs: number,
  ): void;
}

/** Baseline: every box may fill an equal share of the slots. */
export class StaticLimit extends Limit {
  constructor(private readonly boxes: BoxCount) {
    super();
  }

  override allowed({spec}: Upstream): number {
    return Math.max(1, Math.floor(spec.slots / this.boxes()));
  }

  override observe(): void {}
}

/**
 * A limit for the whole fleet on each upstream that shrinks while first tokens
 * come late and grows back slowly, less what the other boxes use. A box always
 * keeps a small share, so that one that joins is not shut out.
 */
export class AdaptiveLimit extends Limit {
  private readonly limits = new Map<Upstream, number>();
  private readonly loweredAt = new Map<Upstream, number>();

  constructor(
    private readonly boxes: BoxCount,
    private readonly clock: Clock,
  ) {
    super();
  }

  override allowed(upstream: Upstream): number {
    const limit = this.fleetLimit(upstream);
    const floor = Math.max(1, Math.floor(limit / (2 * this.boxes())));
    return Math.max(floor, Math.floor(limit - upstream.othersInFlight));
  }

  override observe(
    upstream: Upstream,
    firstTokenMs: number,
    targetMs: number,
  ): void {
    const {slots} = upstream.spec;
    const limit = this.fleetLimit(upstream);
    const late = firstTokenMs > targetMs * LIMIT_TARGET_SHARE;
    const next = late
      ? this.lowered(upstream, limit)
      : limit + slots / limit / 4;
    const lowest = Math.max(1, slots * MIN_LIMIT_SHARE);
    this.limits.set(
      upstream,
      Math.max(lowest, Math.min(slots * LIMIT_HEADROOM, next)),
    );
  }

  /** Lowers at most once in a while, as answers in flight are late together. */
  private lowered(upstream: Upstream, limit: number): number {
    const now = this.clock.now();
    const last = this.loweredAt.get(upstream) ?? -Infinity;
    if (now - last < LIMIT_PAUSE_MS) {
      return limit;
    }
    this.loweredAt.set(upstream, now);
    return limit * LIMIT_DECREASE;
  }

  private fleetLimit(upstream: Upstream): number {
    return this.limits.get(upstream) ?? upstream.spec.slots;
  }
}
