/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Requests permits for upstreams that announce a rate limit for all boxes together.
 */
import type {GrantingBox, PermitQuestion} from 'puffinturn-permits';
import {NO_LIMIT, Permits, rateOf} from 'puffinturn-permits';
import type {Place, Upstream} from 'puffinturn-routing';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';

import type {Pools} from './Pools';
import {upstreamId} from './Pools';

/** Dependencies of UpstreamPermits. */
export interface UpstreamPermitsParts {
  readonly self: GrantingBox;
  /** The other boxes of the fleet. */
  readonly peers: readonly GrantingBox[];
  /** Whether two halls are in one region. */
  readonly areTogether: (hall: string, other: string) => boolean;
  readonly clock: Clock;
  readonly link: Link;
  readonly pools: Pools;
}

/** Required by Permits but unused: this package does not limit warm-up. */
const NO_WARM_UP_TOLERANCE = {extra: 0, overage: 1};

/** Enforces the rate limits of upstreams across boxes. */
export class UpstreamPermits implements Disposable {
  private readonly permits: Permits;

  constructor(private readonly parts: UpstreamPermitsParts) {
    const {pools} = parts;
    this.permits = new Permits({
      ...parts,
      coldTolerance: NO_WARM_UP_TOLERANCE,
      learnLimit: (id, limit) =>
        void pools.findUpstream(id)?.limits.learn(limit),
      limitOf: (id) => pools.findUpstream(id)?.limits.limit ?? NO_LIMIT,
      peers: () => parts.peers,
    });
  }

  /**
   * Acquires a permit to send a request now. If there is none, the upstream gets no
   * requests until one may be available.
   */
  async tryAcquire(
    {upstream}: Place,
    isLeastUrgent: boolean,
  ): Promise<boolean> {
    if (rateOf(upstream.limits.limit) === Infinity) {
      return true;
    }
    const query = createPermitQuery(upstream, isLeastUrgent);
    const isGranted = await this.permits.take(query);
    if (!isGranted) {
      const {id} = query.upstream;
      const waitMs = this.permits.waitMs(id, isLeastUrgent);
      upstream.restsAtLeastUntil(this.parts.clock.now() + waitMs);
    }
    return isGranted;
  }

  /** Reports the rate limit of an upstream to the box that grants its permits. */
  reportLimit(upstream: Upstream): void {
    void this.permits.tell(createPermitQuery(upstream, false));
  }

  [Symbol.dispose](): void {
    this.permits[Symbol.dispose]();
  }
}

function createPermitQuery(
  {limits, name, pool, spec}: Upstream,
  isLeastUrgent: boolean,
): PermitQuestion {
  const id = upstreamId(pool, name);
  return {
    isLeastUrgent,
    limit: limits.limit,
    upstream: {hall: spec.hall, id},
  };
}
