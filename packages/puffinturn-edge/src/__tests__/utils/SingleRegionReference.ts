/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Reference selection for a fleet with one region. Region-aware selection must give
 * the same result if there is only one region.
 */
import type {Service} from 'puffinturn-fleet';
import type {Random} from 'shared';
import {hash32, rendezvousWeight, selectByWeight} from 'shared';

import type {PromptPart} from '../../callers/CallerProtocol';
import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import type {Placement} from '../../upstreams/LoadBalancer';

/** Samples two upstreams by slots and returns the one with the lower expected time. */
export function referencePlainChoice(
  candidates: readonly EdgeUpstream[],
  hall: string,
  random: Random,
): EdgeUpstream | undefined {
  const slotsOf = ({record}: EdgeUpstream) => Math.max(1, record.slots);
  const first = selectByWeight(candidates, slotsOf, random.fraction());
  const others = candidates.filter((upstream) => upstream !== first);
  const second = selectByWeight(others, slotsOf, random.fraction());
  const sampled = [first, second].filter((upstream) => upstream !== undefined);
  return minBy(sampled, (upstream) => {
    const otherHallMs = upstream.record.hall === hall ? 0 : 3;
    const load = 1 + upstream.inFlight / slotsOf(upstream);
    return (40 + upstream.responseTime.expectedMs) * load + otherHallMs;
  });
}

/** Returns the engine with the lowest expected time to first token, with prompt copies. */
export function referenceEnginePlacement(
  candidates: readonly EdgeUpstream[],
  parts: readonly PromptPart[],
  service: Service,
  hall: string,
): Placement | undefined {
  const sharedParts = parts.length > 1 ? parts.slice(0, -1) : parts;
  const key = hash32(sharedParts.map(({id}) => id).join(','));
  const rendezvousChoice = minBy(
    candidates,
    ({hash}) => -rendezvousWeight(hash, key),
  );
  const shared = parts.length > 1 ? totalTokens(sharedParts) : 0;
  const cachedTokens = new Map(
    candidates.map((upstream) => {
      const assumedTokens = upstream === rendezvousChoice ? shared : 0;
      return [
        upstream,
        Math.max(assumedTokens, upstream.cachedPrefixes.cachedTokens(parts)),
      ];
    }),
  );
  const copyMsPerToken = service.engine?.copyMsPerToken;
  const source =
    copyMsPerToken === undefined
      ? undefined
      : minBy(candidates, (upstream) => -(cachedTokens.get(upstream) ?? 0));
  const copiedTokensFor = (upstream: EdgeUpstream): number => {
    const sourceTokens =
      source === undefined ? 0 : (cachedTokens.get(source) ?? 0);
    const missingTokens = sourceTokens - (cachedTokens.get(upstream) ?? 0);
    return upstream === source || missingTokens < 256 ? 0 : missingTokens;
  };
  const upstream = minBy(candidates, (candidate) => {
    const copiedTokens = copiedTokensFor(candidate);
    const copyCostMs =
      copiedTokens === 0 ? 0 : 10 + copiedTokens * (copyMsPerToken ?? 0);
    const unreadTokens = Math.max(
      0,
      totalTokens(parts) - (cachedTokens.get(candidate) ?? 0) - copiedTokens,
    );
    const readMs =
      (unreadTokens + candidate.pendingTokens) /
      candidate.prefillSpeed.tokensPerMs;
    const otherHallMs = candidate.record.hall === hall ? 0 : 4;
    return readMs + copyCostMs + candidate.inFlight * 0.6 + otherHallMs;
  });
  if (upstream === undefined) {
    return undefined;
  }
  const copiedTokens = copiedTokensFor(upstream);
  const prefixSource = copiedTokens === 0 ? undefined : source;
  return {copiedTokens, prefixSource, upstream};
}

function totalTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((total, {tokens}) => total + tokens, 0);
}

function minBy<Item>(
  items: readonly Item[],
  costOf: (item: Item) => number,
): Item | undefined {
  return items.reduce<Item | undefined>(
    (best, item) =>
      best === undefined || costOf(item) < costOf(best) ? item : best,
    undefined,
  );
}
