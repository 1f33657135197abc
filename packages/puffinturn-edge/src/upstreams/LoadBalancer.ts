/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Load balancers, which choose the upstream of a request. */
import type {Service} from 'puffinturn-fleet';
import type {Random} from 'shared';
import {hash32, rendezvousWeight, selectByWeight} from 'shared';

import type {PromptPart} from '../callers/CallerProtocol';
import {MAX_LOAD_FACTOR} from '../EdgeConstants';
import {
  MAX_REMOTE_PREFILL_TOKENS_PER_MS,
  MIN_REMOTE_RESPONSE_MS,
} from '../regions/RegionConstants';
import type {EdgeUpstream} from './EdgeUpstream';

/** Properties of a request that a load balancer takes into account. */
export interface BalancingContext {
  readonly service: Service;
  readonly hall: string;
  readonly parts: readonly PromptPart[];
  /** The link to other regions; undefined if there is only one region. */
  readonly regionLink?: RegionLink | undefined;
}

/** The link to upstreams of other regions. */
export interface RegionLink {
  /** Whether an upstream is in another region. */
  readonly isRemote: (upstream: EdgeUpstream) => boolean;
  /** Latency that the link adds to the request, ms. */
  readonly transferMs: number;
}

/** The upstream chosen for a request, and the source of a cached prefix. */
export interface Placement {
  readonly upstream: EdgeUpstream;
  /** Upstream whose cached prefix is copied instead of being computed again. */
  readonly prefixSource: EdgeUpstream | undefined;
  /** Number of tokens copied from `prefixSource`. */
  readonly copiedTokens: number;
}

/** Chooses one of several upstreams that accept the request. */
export abstract class LoadBalancer {
  /** Returns the chosen upstream; undefined if there is no candidate. */
  abstract choose(
    candidates: readonly EdgeUpstream[],
    context: BalancingContext,
  ): EdgeUpstream | undefined;

  /** Returns the chosen upstream and the source of a cached prefix to copy. */
  choosePlacement(
    candidates: readonly EdgeUpstream[],
    context: BalancingContext,
  ): Placement | undefined {
    const upstream = this.choose(candidates, context);
    return upstream === undefined
      ? undefined
      : {copiedTokens: 0, prefixSource: undefined, upstream};
  }
}

/** Chooses the upstream with the fewest requests of this edge in flight. */
export class LeastRequests extends LoadBalancer {
  constructor(private readonly random: Random) {
    super();
  }

  override choose(
    candidates: readonly EdgeUpstream[],
  ): EdgeUpstream | undefined {
    return minBy(
      candidates,
      ({inFlight}) => inFlight + this.random.fraction() / 2,
    );
  }
}

/** Added to the utilization of upstreams in other halls, requests per slot. */
const CROSS_HALL_LOAD_PENALTY = 0.34;

/**
 * Chooses the upstream with the fewest requests of this edge per slot, and prefers the
 * local hall.
 */
export class LeastUtilization extends LoadBalancer {
  constructor(private readonly random: Random) {
    super();
  }

  override choose(
    candidates: readonly EdgeUpstream[],
    {hall}: BalancingContext,
  ): EdgeUpstream | undefined {
    return minBy(candidates, (upstream) => {
      const hallPenalty =
        upstream.record.hall === hall ? 0 : CROSS_HALL_LOAD_PENALTY;
      const load = upstream.inFlight / slotCount(upstream);
      return load + hallPenalty + this.random.fraction() / 100;
    });
  }
}

/** Fixed part of the expected response time, ms. */
const BASE_RESPONSE_MS = 40;

/** Added to the expected response time of upstreams in other halls, ms. */
const CROSS_HALL_RESPONSE_PENALTY_MS = 3;

/**
 * Power of two choices for plain services: samples two upstreams weighted by slots and
 * takes the one with the lower expected response time. Measured response times account
 * for the load of other edges, which this edge can't see otherwise. Sampling by slots
 * spreads the load over all halls alike, whichever have more upstreams.
 */
export class PowerOfTwoChoices extends LoadBalancer {
  constructor(private readonly random: Random) {
    super();
  }

  override choose(
    candidates: readonly EdgeUpstream[],
    context: BalancingContext,
  ): EdgeUpstream | undefined {
    const {local, remote} = splitByRegion(candidates, context.regionLink);
    const sampled = [...this.pickTwo(local), ...this.pickTwo(remote)];
    return minBy(sampled, (upstream) => expectedResponseMs(upstream, context));
  }

  private pickTwo(candidates: readonly EdgeUpstream[]): EdgeUpstream[] {
    if (candidates.length === 0) {
      return [];
    }
    const first = this.pickWeighted(candidates);
    const others = candidates.filter((upstream) => upstream !== first);
    const second = this.pickWeighted(others);
    return [first, second].filter((upstream) => upstream !== undefined);
  }

  private pickWeighted(
    candidates: readonly EdgeUpstream[],
  ): EdgeUpstream | undefined {
    return selectByWeight(candidates, slotCount, this.random.fraction());
  }
}

/** Expected response time of a plain upstream, including the link to its region, ms. */
function expectedResponseMs(
  upstream: EdgeUpstream,
  {hall, regionLink}: BalancingContext,
): number {
  const {responseTime, inFlight, record} = upstream;
  const loadFactor = 1 + inFlight / slotCount(upstream);
  if (regionLink?.isRemote(upstream) === true) {
    const responseMs = Math.max(
      MIN_REMOTE_RESPONSE_MS,
      responseTime.expectedMs,
    );
    return (BASE_RESPONSE_MS + responseMs) * loadFactor + regionLink.transferMs;
  }
  const hallPenaltyMs =
    record.hall === hall ? 0 : CROSS_HALL_RESPONSE_PENALTY_MS;
  return (
    (BASE_RESPONSE_MS + responseTime.expectedMs) * loadFactor + hallPenaltyMs
  );
}

/**
 * Rendezvous hashing of the shared prompt prefix with bounded load: an upstream is skipped
 * while it has many more requests of this edge in flight than the mean.
 */
export class PrefixRendezvous extends LoadBalancer {
  override choose(
    candidates: readonly EdgeUpstream[],
    {parts}: BalancingContext,
  ): EdgeUpstream | undefined {
    const key = hash32(sharedKey(parts));
    const total = candidates.reduce((sum, {inFlight}) => sum + inFlight, 0);
    const bound =
      (total / Math.max(1, candidates.length)) * MAX_LOAD_FACTOR + 1;
    const underBound = candidates.filter(({inFlight}) => inFlight <= bound);
    return minBy(underBound, ({hash}) => -rendezvousWeight(hash, key));
  }
}

/** Added to the expected latency of engines in other halls, ms. */
const CROSS_HALL_PREFILL_PENALTY_MS = 4;

/** Added to the expected latency for each request in flight, ms. */
const IN_FLIGHT_PENALTY_MS = 0.6;

/** Time to set up one copy, ms; engines state no figure for it. */
const COPY_SETUP_MS = 10;

/** Minimum tokens of a copy; smaller ones aren't worth the setup. */
const MIN_COPIED_TOKENS = 256;

/** An upstream with the number of prompt tokens that it has cached. */
interface PrefixHolder {
  readonly upstream: EdgeUpstream;
  readonly cachedTokens: number;
}

/**
 * For model engines: chooses the upstream with the lowest expected time to the first
 * token, computed from the uncached tokens, the pending tokens and the prefill speed.
 *
 * The shared prefix is assumed to be cached where this edge sent it recently, and at the
 * upstream that all edges derive by rendezvous hashing. If engines can copy prefixes, an
 * upstream may copy it from the one with the longest cached prefix of its region.
 *
 * An upstream of another region is chosen only if it is faster despite the link. A longer
 * cached prefix there doesn't count.
 */
export class LowestLatency extends LoadBalancer {
  override choose(
    candidates: readonly EdgeUpstream[],
    context: BalancingContext,
  ): EdgeUpstream | undefined {
    return this.choosePlacement(candidates, context)?.upstream;
  }

  override choosePlacement(
    candidates: readonly EdgeUpstream[],
    context: BalancingContext,
  ): Placement | undefined {
    const {regionLink} = context;
    const {local: localCandidates, remote: remoteCandidates} = splitByRegion(
      candidates,
      regionLink,
    );
    const local = this.findFastest(localCandidates, context, 0);
    if (regionLink === undefined || remoteCandidates.length === 0) {
      return local?.placement;
    }
    const remote = this.findFastest(
      remoteCandidates,
      context,
      local?.uncachedTokens ?? 0,
    );
    const isRemoteFaster =
      remote !== undefined &&
      (local === undefined ||
        remote.latencyMs + regionLink.transferMs < local.latencyMs);
    return isRemoteFaster ? remote.placement : local?.placement;
  }

  /**
   * Finds the upstream with the lowest latency among candidates that may copy prefixes from
   * each other. At least `minUncachedTokens` are assumed to be uncached at each.
   */
  private findFastest(
    candidates: readonly EdgeUpstream[],
    {hall, parts, service, regionLink}: BalancingContext,
    minUncachedTokens: number,
  ): LatencyEstimate | undefined {
    const key = hash32(sharedKey(parts));
    const rendezvousUpstream = minBy(
      candidates,
      ({hash}) => -rendezvousWeight(hash, key),
    );
    const shared = sharedTokens(parts);
    const holders = candidates.map((upstream): PrefixHolder => {
      const assumedTokens = upstream === rendezvousUpstream ? shared : 0;
      const cachedTokens = Math.max(
        assumedTokens,
        upstream.cachedPrefixes.cachedTokens(parts),
      );
      return {cachedTokens, upstream};
    });
    const promptTokens = parts.reduce((sum, {tokens}) => sum + tokens, 0);
    const copyMsPerToken = service.engine?.copyMsPerToken;
    const copySource =
      copyMsPerToken === undefined ? undefined : bestHolder(holders);
    const estimates = holders.map((holder): LatencyEstimate => {
      const {upstream} = holder;
      const {inFlight, pendingTokens, record, prefillSpeed} = upstream;
      const isRemote = regionLink?.isRemote(upstream) === true;
      const tokensPerMs = isRemote
        ? Math.min(MAX_REMOTE_PREFILL_TOKENS_PER_MS, prefillSpeed.tokensPerMs)
        : prefillSpeed.tokensPerMs;
      const copiedTokens = tokensToCopy(holder, copySource);
      const copyTotalMs =
        copiedTokens === 0
          ? 0
          : COPY_SETUP_MS + copiedTokens * (copyMsPerToken ?? 0);
      const uncachedTokens = Math.max(
        minUncachedTokens,
        promptTokens - holder.cachedTokens - copiedTokens,
      );
      const prefillMs = (uncachedTokens + pendingTokens) / tokensPerMs;
      const hallPenaltyMs =
        record.hall === hall || isRemote ? 0 : CROSS_HALL_PREFILL_PENALTY_MS;
      const prefixSource =
        copiedTokens === 0 ? undefined : copySource?.upstream;
      return {
        latencyMs:
          prefillMs +
          copyTotalMs +
          inFlight * IN_FLIGHT_PENALTY_MS +
          hallPenaltyMs,
        placement: {copiedTokens, prefixSource, upstream},
        uncachedTokens,
      };
    });
    return minBy(estimates, ({latencyMs}) => latencyMs);
  }
}

/** Expected latency of a request at one upstream. */
interface LatencyEstimate {
  readonly placement: Placement;
  /** Time to the first token without the link to another region, ms. */
  readonly latencyMs: number;
  /** Prompt tokens that the upstream would have to process. */
  readonly uncachedTokens: number;
}

/** Splits upstreams into those of the local region and those of other regions. */
function splitByRegion(
  candidates: readonly EdgeUpstream[],
  regionLink: RegionLink | undefined,
): {
  readonly remote: readonly EdgeUpstream[];
  readonly local: readonly EdgeUpstream[];
} {
  if (regionLink === undefined) {
    return {local: candidates, remote: []};
  }
  return {
    remote: candidates.filter((upstream) => regionLink.isRemote(upstream)),
    local: candidates.filter((upstream) => !regionLink.isRemote(upstream)),
  };
}

/** Number of slots of an upstream; 1 if its record states none. */
function slotCount({record}: EdgeUpstream): number {
  return Math.max(1, record.slots);
}

/** The upstream with the longest cached prefix. */
function bestHolder(
  holders: readonly PrefixHolder[],
): PrefixHolder | undefined {
  return minBy(holders, ({cachedTokens}) => -cachedTokens);
}

/**
 * Number of tokens that an upstream would copy from `copySource`; 0 if not worthwhile.
 */
function tokensToCopy(
  {cachedTokens, upstream}: PrefixHolder,
  copySource: PrefixHolder | undefined,
): number {
  const missingTokens = (copySource?.cachedTokens ?? 0) - cachedTokens;
  return copySource?.upstream === upstream || missingTokens < MIN_COPIED_TOKENS
    ? 0
    : missingTokens;
}

/** All parts of a prompt but the last, which is specific to the request. */
function sharedParts(parts: readonly PromptPart[]): readonly PromptPart[] {
  return parts.length > 1 ? parts.slice(0, -1) : parts;
}

function sharedKey(parts: readonly PromptPart[]): string {
  return sharedParts(parts)
    .map(({id}) => id)
    .join(',');
}

function sharedTokens(parts: readonly PromptPart[]): number {
  return parts.length > 1
    ? sharedParts(parts).reduce((sum, {tokens}) => sum + tokens, 0)
    : 0;
}

function minBy<Item>(
  items: readonly Item[],
  costOf: (item: Item) => number,
): Item | undefined {
  let best: Item | undefined;
  let bestCost = Infinity;
  for (const item of items) {
    const cost = costOf(item);
    if (cost < bestCost) {
      best = item;
      bestCost = cost;
    }
  }
  return best;
}
