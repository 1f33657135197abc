/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Load balancing policies: select the upstream of a request. */
import type {Random} from 'shared';

import type {PrefixIndex} from './PrefixIndex';
import {CACHED_PREFIX_SAVING, MAX_PREFIX_LOAD_RATIO} from './RoutingConstants';
import type {Upstream} from './Upstream';

/** Properties of the request and time of the selection. */
export interface SelectionContext {
  /** Current time, ms of the box's clock. */
  readonly now: number;
  /** Hashes of the blocks of the prompt; each also covers the blocks before it. */
  readonly blockHashes: readonly string[];
}

/** Selects one of the candidates; there is at least one. */
export abstract class LoadBalancer {
  abstract select(
    candidates: readonly Upstream[],
    context: SelectionContext,
  ): Upstream | undefined;
}

/** Baseline: a random upstream. */
export class RandomBalancer extends LoadBalancer {
  constructor(private readonly random: Random) {
    super();
  }

  override select(candidates: readonly Upstream[]): Upstream | undefined {
    return this.random.pick(candidates);
  }
}

/** Baseline: the upstreams in turn. */
export class RoundRobinBalancer extends LoadBalancer {
  private position = 0;

  override select(candidates: readonly Upstream[]): Upstream | undefined {
    this.position += 1;
    return candidates[this.position % candidates.length];
  }
}

/** Baseline: the upstream with the fewest in-flight requests of this box. */
export class LeastInFlightBalancer extends LoadBalancer {
  constructor(private readonly random: Random) {
    super();
  }

  override select(candidates: readonly Upstream[]): Upstream | undefined {
    const minInFlight = Math.min(...candidates.map(({inFlight}) => inFlight));
    return this.random.pick(
      candidates.filter(({inFlight}) => inFlight === minInFlight),
    );
  }
}

/**
 * Selects the upstream with the lowest expected time to first token, given its load, its
 * latency and the cached share of the prompt. It compares a random sample and the
 * upstreams that have the prompt cached, so that boxes with the same stale load reports
 * select different upstreams.
 */
export class ExpectedLatencyBalancer extends LoadBalancer {
  constructor(
    private readonly random: Random,
    private readonly prefixIndex: PrefixIndex,
    private readonly sampleSize = 4,
  ) {
    super();
  }

  override select(
    candidates: readonly Upstream[],
    context: SelectionContext,
  ): Upstream | undefined {
    const {blockHashes, now} = context;
    const cachedShares = this.prefixIndex.cachedShares(candidates, blockHashes);
    const meanUtilization = mean(
      candidates.map((candidate) => utilization(candidate, now)),
    );
    let best: Upstream | undefined;
    let bestFirstTokenMs = Infinity;
    for (const candidate of this.sampleCandidates(candidates, cachedShares)) {
      const cachedShare = cachedShares.get(candidate) ?? 0;
      const isOverloaded =
        utilization(candidate, now) >
        MAX_PREFIX_LOAD_RATIO * meanUtilization + 0.1;
      const saving = isOverloaded ? 0 : cachedShare * CACHED_PREFIX_SAVING;
      const firstTokenMs = expectedFirstTokenMs(candidate, now) * (1 - saving);
      if (firstTokenMs < bestFirstTokenMs) {
        best = candidate;
        bestFirstTokenMs = firstTokenMs;
      }
    }
    return best;
  }

  private sampleCandidates(
    candidates: readonly Upstream[],
    cachedShares: ReadonlyMap<Upstream, number>,
  ): ReadonlySet<Upstream> {
    if (candidates.length <= this.sampleSize) {
      return new Set(candidates);
    }
    const sampled = new Set<Upstream>();
    while (sampled.size < this.sampleSize) {
      const candidate = this.random.pick(candidates);
      if (candidate !== undefined) {
        sampled.add(candidate);
      }
    }
    for (const [upstream, cachedShare] of cachedShares) {
      if (cachedShare > 0) {
        sampled.add(upstream);
      }
    }
    return sampled;
  }
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function utilization(upstream: Upstream, now: number): number {
  return upstream.estimateLoad(now) / upstream.spec.slots;
}

/** Expected time to first token, ms; rises steeply once no slot is free. */
function expectedFirstTokenMs(upstream: Upstream, now: number): number {
  const utilizationAfter =
    (upstream.estimateLoad(now) + 1) / upstream.spec.slots;
  const excess = Math.max(0, utilizationAfter - 1);
  return upstream.firstTokenMs * (0.2 + utilizationAfter + 4 * excess);
}
