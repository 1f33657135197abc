/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Concurrency limits of one box per upstream. */
import type {Clock} from 'shared';

import {
  LATE_FIRST_TOKEN_SHARE,
  LIMIT_DECREASE_FACTOR,
  LIMIT_DECREASE_INTERVAL_MS,
  MAX_LIMIT_SHARE,
  MIN_LIMIT_SHARE,
} from './RoutingConstants';
import type {Upstream} from './Upstream';

/** Returns the number of live boxes, this one included. */
export type BoxCount = () => number;

/** Limits the concurrent requests of this box per upstream. */
export abstract class ConcurrencyLimit {
  /** Maximum number of requests that this box may have in flight on an upstream. */
  abstract maxInFlight(upstream: Upstream): number;

  /** Records a time to first token and the pool's target for it. */
  abstract recordFirstToken(
    upstream: Upstream,
    firstTokenMs: number,
    targetMs: number,
  ): void;
}

/** Baseline: an equal share of the slots for every box. */
export class StaticConcurrencyLimit extends ConcurrencyLimit {
  constructor(private readonly boxCount: BoxCount) {
    super();
  }

  override maxInFlight({spec}: Upstream): number {
    return Math.max(1, Math.floor(spec.slots / this.boxCount()));
  }

  override recordFirstToken(): void {}
}

/**
 * An AIMD limit per upstream for the whole fleet, less the requests of the other boxes.
 * It decreases when first tokens are late. Every box keeps a minimum share, so that
 * a new box is not starved.
 */
export class AdaptiveConcurrencyLimit extends ConcurrencyLimit {
  private readonly fleetLimits = new Map<Upstream, number>();
  private readonly decreasedAt = new Map<Upstream, number>();

  constructor(
    private readonly boxCount: BoxCount,
    private readonly clock: Clock,
  ) {
    super();
  }

  override maxInFlight(upstream: Upstream): number {
    const limit = this.fleetLimit(upstream);
    const ownShare = Math.max(1, Math.floor(limit / (2 * this.boxCount())));
    return Math.max(ownShare, Math.floor(limit - upstream.otherBoxesInFlight));
  }

  override recordFirstToken(
    upstream: Upstream,
    firstTokenMs: number,
    targetMs: number,
  ): void {
    const {slots} = upstream.spec;
    const limit = this.fleetLimit(upstream);
    const isLate = firstTokenMs > targetMs * LATE_FIRST_TOKEN_SHARE;
    const nextLimit = isLate
      ? this.decrease(upstream, limit)
      : limit + slots / limit / 4;
    const minLimit = Math.max(1, slots * MIN_LIMIT_SHARE);
    this.fleetLimits.set(
      upstream,
      Math.max(minLimit, Math.min(slots * MAX_LIMIT_SHARE, nextLimit)),
    );
  }

  /** Decreases the limit once per interval, as concurrent responses are late together. */
  private decrease(upstream: Upstream, limit: number): number {
    const now = this.clock.now();
    const lastDecreaseAt = this.decreasedAt.get(upstream) ?? -Infinity;
    if (now - lastDecreaseAt < LIMIT_DECREASE_INTERVAL_MS) {
      return limit;
    }
    this.decreasedAt.set(upstream, now);
    return limit * LIMIT_DECREASE_FACTOR;
  }

  private fleetLimit(upstream: Upstream): number {
    return this.fleetLimits.get(upstream) ?? upstream.spec.slots;
  }
}
