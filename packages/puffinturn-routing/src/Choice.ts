/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** How one of several upstreams is chosen. */
import type {Random} from 'shared';

import type {PrefixIndex} from './PrefixIndex';
import {PREFIX_LOAD_BOUND, PREFIX_SAVING} from './RoutingConstants';
import type {Upstream} from './Upstream';

/** What a choice may look at. */
export interface ChoiceContext {
  readonly now: number;
  /** Hashes of the prompt's blocks, each over all before it. */
  readonly prefix: readonly string[];
}

/** Picks an upstream. All candidates may be used; there is at least one. */
export abstract class Choice {
  abstract choose(
    candidates: readonly Upstream[],
    context: ChoiceContext,
  ): Upstream | undefined;
}

/** Baseline: any upstream. */
export class RandomChoice extends Choice {
  constructor(private readonly random: Random) {
    super();
  }

  override choose(candidates: readonly Upstream[]): Upstream | undefined {
    return this.random.pick(candidates);
  }
}

/** Baseline: each upstream in turn. */
export class RoundRobinChoice extends Choice {
  private turn = 0;

  override choose(candidates: readonly Upstream[]): Upstream | undefined {
    this.turn += 1;
    return candidates[this.turn % candidates.length];
  }
}

/** Baseline: the upstream with the fewest requests of this box. */
export class LeastInFlightChoice extends Choice {
  constructor(private readonly random: Random) {
    super();
  }

  override choose(candidates: readonly Upstream[]): Upstream | undefined {
    const fewest = Math.min(...candidates.map(({inFlight}) => inFlight));
    return this.random.pick(
      candidates.filter(({inFlight}) => inFlight === fewest),
    );
  }
}

/**
 * The upstream with the least expected first-token time, from its load, its
 * observed speed and the part of the prompt that it has cached. Among a few
 * random candidates and the holder of the prefix, so that boxes with the same
 * stale news do not all pick the same one.
 */
export class ExpectedTimeChoice extends Choice {
  constructor(
    private readonly random: Random,
    private readonly prefixes: PrefixIndex,
    private readonly samples = 4,
  ) {
    super();
  }

  override choose(
    candidates: readonly Upstream[],
    context: ChoiceContext,
  ): Upstream | undefined {
    const {now, prefix} = context;
    const cached = this.prefixes.cachedShare(candidates, prefix);
    const meanLoad = meanOf(candidates.map((one) => usedShare(one, now)));
    let best: Upstream | undefined;
    let bestTime = Infinity;
    for (const candidate of this.sample(candidates, cached)) {
      const share = cached.get(candidate) ?? 0;
      const crowded =
        usedShare(candidate, now) > PREFIX_LOAD_BOUND * meanLoad + 0.1;
      const saving = crowded ? 0 : share * PREFIX_SAVING;
      const time = expectedTime(candidate, now) * (1 - saving);
      if (time < bestTime) {
        best = candidate;
        bestTime = time;
      }
    }
    return best;
  }

  private sample(
    candidates: readonly Upstream[],
    cached: ReadonlyMap<Upstream, number>,
  ): ReadonlySet<Upstream> {
    if (candidates.length <= this.samples) {
      return new Set(candidates);
    }
    const sampled = new Set<Upstream>();
    while (sampled.size < this.samples) {
      const one = this.random.pick(candidates);
      if (one !== undefined) {
        sampled.add(one);
      }
    }
    for (const [upstream, share] of cached) {
      if (share > 0) {
        sampled.add(upstream);
      }
    }
    return sampled;
  }
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function usedShare(upstream: Upstream, now: number): number {
  return upstream.load(now) / upstream.spec.slots;
}

/** Grows slowly while slots are free and steeply once requests must queue. */
function expectedTime(upstream: Upstream, now: number): number {
  const used = (upstream.load(now) + 1) / upstream.spec.slots;
  const queueing = Math.max(0, used - 1);
  return upstream.firstTokenMs * (0.2 + used + 4 * queueing);
}
