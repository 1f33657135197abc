/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Requests permits for upstreams that announce a rate limit for all boxes together.
 */
import type {GranterCandidate, PermitQuery} from 'puffinturn-permits';
import {maxRequestsPerSecond, NO_LIMIT, PermitClient} from 'puffinturn-permits';
import type {Upstream, UpstreamSlot} from 'puffinturn-routing';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';

import type {PoolRegistry} from './PoolRegistry';
import {upstreamId} from './PoolRegistry';

/** Dependencies of UpstreamPermits. */
export interface UpstreamPermitsParts {
  readonly self: GranterCandidate;
  /** The other boxes of the fleet. */
  readonly peers: readonly GranterCandidate[];
  /** Whether two halls are in one region. */
  readonly areInSameRegion: (hall: string, other: string) => boolean;
  readonly clock: Clock;
  readonly link: Link;
  readonly pools: PoolRegistry;
}

/** Required by PermitClient but unused: this package does not limit warm-up. */
const NO_WARM_UP_TOLERANCE = {extra: 0, overage: 1};

/** Enforces the rate limits of upstreams across boxes. */
export class UpstreamPermits implements Disposable {
  private readonly permits: PermitClient;

  constructor(private readonly parts: UpstreamPermitsParts) {
    const {pools} = parts;
    this.permits = new PermitClient({
      ...parts,
      coldTolerance: NO_WARM_UP_TOLERANCE,
      mergeLimit: (id, limit) =>
        void pools.findUpstream(id)?.rateLimit.merge(limit),
      limitOf: (id) => pools.findUpstream(id)?.rateLimit.limit ?? NO_LIMIT,
      peers: () => parts.peers,
    });
  }

  /**
   * Acquires a permit to send a request now. If there is none, the upstream gets no
   * requests until one may be available.
   */
  async tryAcquire(
    {upstream}: UpstreamSlot,
    isLeastUrgent: boolean,
  ): Promise<boolean> {
    if (maxRequestsPerSecond(upstream.rateLimit.limit) === Infinity) {
      return true;
    }
    const query = createPermitQuery(upstream, isLeastUrgent);
    const isGranted = await this.permits.acquire(query);
    if (!isGranted) {
      const {id} = query.upstream;
      const waitMs = this.permits.waitMs(id, isLeastUrgent);
      upstream.pauseUntil(this.parts.clock.now() + waitMs);
    }
    return isGranted;
  }

  /** Reports the rate limit of an upstream to the box that grants its permits. */
  reportLimit(upstream: Upstream): void {
    void this.permits.reportLimit(createPermitQuery(upstream, false));
  }

  [Symbol.dispose](): void {
    this.permits[Symbol.dispose]();
  }
}

function createPermitQuery(
  {rateLimit, name, pool, spec}: Upstream,
  isLeastUrgent: boolean,
): PermitQuery {
  const id = upstreamId(pool, name);
  return {
    isLeastUrgent,
    limit: rateLimit.limit,
    upstream: {hall: spec.hall, id},
  };
}
