/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Permits of one box for upstreams that name how many requests a second they take from
 * all boxes together.
 */
import type {GrantingBox, PermitQuestion} from 'puffinturn-permits';
import {NO_LIMIT, Permits, rateOf} from 'puffinturn-permits';
import type {Place, Upstream} from 'puffinturn-routing';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';

import type {Pools} from './Pools';
import {upstreamId} from './Pools';

/** What UpstreamPermits are made of. */
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

/** Cold upstreams are not bounded here; this is never asked for. */
const NO_COLD_TOLERANCE = {extra: 0, overage: 1};

/** See the module comment. */
export class UpstreamPermits implements Disposable {
  private readonly permits: Permits;

  constructor(private readonly parts: UpstreamPermitsParts) {
    const {pools} = parts;
    this.permits = new Permits({
      ...parts,
      coldTolerance: NO_COLD_TOLERANCE,
      learnLimit: (id, limit) => void pools.upstream(id)?.limits.learn(limit),
      limitOf: (id) => pools.upstream(id)?.limits.limit ?? NO_LIMIT,
      peers: () => parts.peers,
    });
  }

  /**
   * Whether a request may go to its place at once. Where it may not, the upstream is
   * left out of choice until a permit may be had.
   */
  async admit({upstream}: Place, isLeastUrgent: boolean): Promise<boolean> {
    if (rateOf(upstream.limits.limit) === Infinity) {
      return true;
    }
    const question = questionFor(upstream, isLeastUrgent);
    const isGranted = await this.permits.take(question);
    if (!isGranted) {
      const {id} = question.upstream;
      const waitMs = this.permits.waitMs(id, isLeastUrgent);
      upstream.restsAtLeastUntil(this.parts.clock.now() + waitMs);
    }
    return isGranted;
  }

  /** Tells the box that grants permits what an upstream said of its limit. */
  tell(upstream: Upstream): void {
    void this.permits.tell(questionFor(upstream, false));
  }

  [Symbol.dispose](): void {
    this.permits[Symbol.dispose]();
  }
}

function questionFor(
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
