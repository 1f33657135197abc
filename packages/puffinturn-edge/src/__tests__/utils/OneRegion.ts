/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Choices as they are made in a fleet of one region, written out once more: what
 * those of a fleet of several regions must agree with where there is only one.
 */
import type {Service} from 'puffinturn-fleet';
import type {Random} from 'shared';
import {drawByWeight, hashOf, rendezvousWeight} from 'shared';

import type {PromptPart} from '../../callers/CallerDialect';
import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import type {Placement} from '../../upstreams/UpstreamChoice';

/** Two are drawn by slots, the one that is expected to answer sooner is taken. */
export function plainInOneRegion(
  candidates: readonly EdgeUpstream[],
  hall: string,
  random: Random,
): EdgeUpstream | undefined {
  const slots = ({record}: EdgeUpstream) => Math.max(1, record.slots);
  const first = drawByWeight(candidates, slots, random.fraction());
  const others = candidates.filter((upstream) => upstream !== first);
  const second = drawByWeight(others, slots, random.fraction());
  const drawn = [first, second].filter((upstream) => upstream !== undefined);
  return lowest(drawn, (upstream) => {
    const away = upstream.record.hall === hall ? 0 : 3;
    const load = 1 + upstream.inFlight / slots(upstream);
    return (40 + upstream.answerTime.ms) * load + away;
  });
}

/** The engine where the first token is expected soonest, with copies. */
export function engineInOneRegion(
  candidates: readonly EdgeUpstream[],
  parts: readonly PromptPart[],
  service: Service,
  hall: string,
): Placement | undefined {
  const sharedParts = parts.length > 1 ? parts.slice(0, -1) : parts;
  const key = hashOf(sharedParts.map(({id}) => id).join(','));
  const agreed = lowest(candidates, ({hash}) => -rendezvousWeight(hash, key));
  const shared = parts.length > 1 ? sum(sharedParts) : 0;
  const kept = new Map(
    candidates.map((upstream) => {
      const assumed = upstream === agreed ? shared : 0;
      return [upstream, Math.max(assumed, upstream.prefixes.keptOf(parts))];
    }),
  );
  const copyMs = service.engine?.copyMsPerToken;
  const source =
    copyMs === undefined
      ? undefined
      : lowest(candidates, (upstream) => -(kept.get(upstream) ?? 0));
  const copiedTo = (upstream: EdgeUpstream): number => {
    const sourceKept = source === undefined ? 0 : (kept.get(source) ?? 0);
    const lacking = sourceKept - (kept.get(upstream) ?? 0);
    return upstream === source || lacking < 256 ? 0 : lacking;
  };
  const upstream = lowest(candidates, (candidate) => {
    const copied = copiedTo(candidate);
    const copy = copied === 0 ? 0 : 10 + copied * (copyMs ?? 0);
    const unread = Math.max(
      0,
      sum(parts) - (kept.get(candidate) ?? 0) - copied,
    );
    const read =
      (unread + candidate.pendingTokens) / candidate.speed.tokensPerMs;
    const away = candidate.record.hall === hall ? 0 : 4;
    return read + copy + candidate.inFlight * 0.6 + away;
  });
  if (upstream === undefined) {
    return undefined;
  }
  const copiedTokens = copiedTo(upstream);
  const prefixSource = copiedTokens === 0 ? undefined : source;
  return {copiedTokens, prefixSource, upstream};
}

function sum(parts: readonly PromptPart[]): number {
  return parts.reduce((total, {tokens}) => total + tokens, 0);
}

function lowest<Item>(
  items: readonly Item[],
  costOf: (item: Item) => number,
): Item | undefined {
  return items.reduce<Item | undefined>(
    (best, item) =>
      best === undefined || costOf(item) < costOf(best) ? item : best,
    undefined,
  );
}
