/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Which upstream a request goes to. */
import type {Service} from 'puffinturn-fleet';
import type {Random} from 'shared';
import {drawByWeight, hashOf, rendezvousWeight} from 'shared';

import type {PromptPart} from '../callers/CallerDialect';
import {BOUNDED_LOAD} from '../EdgeConstants';
import {
  MOST_SPEED_AWAY,
  UNMEASURED_ANSWER_MS,
} from '../regions/RegionConstants';
import type {EdgeUpstream} from './EdgeUpstream';

/** What a choice may look at. */
export interface ChoiceFacts {
  readonly service: Service;
  readonly hall: string;
  readonly parts: readonly PromptPart[];
  /** The way to upstreams of other regions; undefined where there are none. */
  readonly way?: RegionLink | undefined;
}

/** The way to upstreams of other regions. */
export interface RegionLink {
  /** Whether an upstream is in another region. */
  readonly isAway: (upstream: EdgeUpstream) => boolean;
  /** What the way adds to the time of the request, ms. */
  readonly addedMs: number;
}

/** Where a request goes. */
export interface Placement {
  readonly upstream: EdgeUpstream;
  /** An upstream to copy the start of the prompt from, instead of reading it. */
  readonly prefixSource: EdgeUpstream | undefined;
  /** Tokens that the upstream copies from there. */
  readonly copiedTokens: number;
}

/** Picks one of several upstreams, all of which would take the request. */
export abstract class UpstreamChoice {
  /** The upstream; undefined where there is no candidate. */
  abstract choose(
    candidates: readonly EdgeUpstream[],
    facts: ChoiceFacts,
  ): EdgeUpstream | undefined;

  /** The upstream, and where it should copy a kept prompt from. */
  place(
    candidates: readonly EdgeUpstream[],
    facts: ChoiceFacts,
  ): Placement | undefined {
    const upstream = this.choose(candidates, facts);
    return upstream === undefined
      ? undefined
      : {copiedTokens: 0, prefixSource: undefined, upstream};
  }
}

/** Baseline: the upstream with the fewest own requests. */
export class LeastInFlight extends UpstreamChoice {
  constructor(private readonly random: Random) {
    super();
  }

  override choose(
    candidates: readonly EdgeUpstream[],
  ): EdgeUpstream | undefined {
    return lowest(
      candidates,
      ({inFlight}) => inFlight + this.random.fraction() / 2,
    );
  }
}

/** What an upstream of another hall must be ahead by, in requests a slot. */
const OTHER_HALL_SLOTS = 0.34;

/**
 * Baseline for services with few slots: the lowest load for the slots there are, upstreams
 * of the own hall first while they have room.
 */
export class FreeSlots extends UpstreamChoice {
  constructor(private readonly random: Random) {
    super();
  }

  override choose(
    candidates: readonly EdgeUpstream[],
    {hall}: ChoiceFacts,
  ): EdgeUpstream | undefined {
    return lowest(candidates, (upstream) => {
      const away = upstream.record.hall === hall ? 0 : OTHER_HALL_SLOTS;
      const load = upstream.inFlight / slotsOf(upstream);
      return load + away + this.random.fraction() / 100;
    });
  }
}

/** Assumed of every answer besides what was measured, ms. */
const BASE_ANSWER_MS = 40;

/** What an upstream of another hall must be ahead by, ms. */
const OTHER_HALL_ANSWER_MS = 3;

/**
 * For plain services of few slots before many edges, of which each knows only its
 * own requests: two upstreams are drawn by their slots, and the one where an
 * answer is expected sooner is taken. The draw spreads the load over all halls
 * alike, whichever have more upstreams; the measured times show queues that other
 * edges fill. Gain over FreeSlots: 30 to 34 instead of 93 to 99 in 1,000 requests
 * late or refused at twice the usual rate, one upstream slow (PlainLoad test,
 * virtual time, three seeds).
 */
export class ShorterWait extends UpstreamChoice {
  constructor(private readonly random: Random) {
    super();
  }

  override choose(
    candidates: readonly EdgeUpstream[],
    facts: ChoiceFacts,
  ): EdgeUpstream | undefined {
    const {away, home} = byRegion(candidates, facts.way);
    const drawn = [...this.drawTwo(home), ...this.drawTwo(away)];
    return lowest(drawn, (upstream) => expectedAnswerMs(upstream, facts));
  }

  private drawTwo(candidates: readonly EdgeUpstream[]): EdgeUpstream[] {
    if (candidates.length === 0) {
      return [];
    }
    const first = this.draw(candidates);
    const others = candidates.filter((upstream) => upstream !== first);
    const second = this.draw(others);
    return [first, second].filter((upstream) => upstream !== undefined);
  }

  private draw(candidates: readonly EdgeUpstream[]): EdgeUpstream | undefined {
    return drawByWeight(candidates, slotsOf, this.random.fraction());
  }
}

/** How long a plain upstream is expected to take to answer, with the way, ms. */
function expectedAnswerMs(
  upstream: EdgeUpstream,
  {hall, way}: ChoiceFacts,
): number {
  const {answerTime, inFlight, record} = upstream;
  const load = 1 + inFlight / slotsOf(upstream);
  if (way?.isAway(upstream) === true) {
    const taken = Math.max(UNMEASURED_ANSWER_MS, answerTime.ms);
    return (BASE_ANSWER_MS + taken) * load + way.addedMs;
  }
  const otherHall = record.hall === hall ? 0 : OTHER_HALL_ANSWER_MS;
  return (BASE_ANSWER_MS + answerTime.ms) * load + otherHall;
}

/**
 * Baseline for model engines: rendezvous of the shared parts of the prompt over
 * the upstreams, with the number of own requests at each bounded by the mean.
 */
export class PrefixRendezvous extends UpstreamChoice {
  override choose(
    candidates: readonly EdgeUpstream[],
    {parts}: ChoiceFacts,
  ): EdgeUpstream | undefined {
    const key = hashOf(sharedKey(parts));
    const total = candidates.reduce((sum, {inFlight}) => sum + inFlight, 0);
    const bound = (total / Math.max(1, candidates.length)) * BOUNDED_LOAD + 1;
    const withRoom = candidates.filter(({inFlight}) => inFlight <= bound);
    return lowest(withRoom, ({hash}) => -rendezvousWeight(hash, key));
  }
}

/** What an upstream of another hall must be ahead by, ms. */
const OTHER_HALL_MS = 4;

/** What each open request at an upstream adds to the time of another one, ms. */
const OPEN_REQUEST_MS = 0.6;

/** Time to set one copy up, ms; engines name no figure for it. */
const COPY_SETUP_MS = 10;

/** Copies of fewer tokens than this are not worth their set-up. */
const LEAST_COPIED_TOKENS = 256;

/** How many tokens of a prompt one upstream keeps. */
interface Keeper {
  readonly upstream: EdgeUpstream;
  readonly tokens: number;
}

/**
 * For model engines: the upstream where the first token is expected soonest.
 * What must be read is the prompt without the parts that the upstream keeps, and
 * the prompts before it that no event has answered; how fast is learned from
 * answers and so holds the load that other edges put on the upstream. The shared
 * parts are taken to be kept where this edge sent them lately, and at the
 * upstream that all edges agree on by rendezvous. Where engines copy from each
 * other, another upstream may copy what the best keeper has. Both hold for each
 * region by itself: an upstream of another region is taken only where the wait here
 * is longer than the way, and never for a prompt that it keeps.
 */
export class ExpectedTime extends UpstreamChoice {
  override choose(
    candidates: readonly EdgeUpstream[],
    facts: ChoiceFacts,
  ): EdgeUpstream | undefined {
    return this.place(candidates, facts)?.upstream;
  }

  override place(
    candidates: readonly EdgeUpstream[],
    facts: ChoiceFacts,
  ): Placement | undefined {
    const {way} = facts;
    const {away, home} = byRegion(candidates, way);
    const near = this.soonest(home, facts, 0);
    if (way === undefined || away.length === 0) {
      return near?.placement;
    }
    const far = this.soonest(away, facts, near?.unreadTokens ?? 0);
    const crosses =
      far !== undefined &&
      (near === undefined || far.costMs + way.addedMs < near.costMs);
    return crosses ? far.placement : near?.placement;
  }

  /**
   * The best of some upstreams that may copy from each other; at least
   * `leastUnread` tokens are taken to be unread there.
   */
  private soonest(
    candidates: readonly EdgeUpstream[],
    {hall, parts, service, way}: ChoiceFacts,
    leastUnread: number,
  ): Expectation | undefined {
    const key = hashOf(sharedKey(parts));
    const agreed = lowest(candidates, ({hash}) => -rendezvousWeight(hash, key));
    const shared = sharedTokens(parts);
    const keepers = candidates.map((upstream): Keeper => {
      const assumed = upstream === agreed ? shared : 0;
      const tokens = Math.max(assumed, upstream.prefixes.keptOf(parts));
      return {tokens, upstream};
    });
    const all = parts.reduce((sum, {tokens}) => sum + tokens, 0);
    const copyMs = service.engine?.copyMsPerToken;
    const source = copyMs === undefined ? undefined : bestKeeper(keepers);
    const expectations = keepers.map((keeper): Expectation => {
      const {upstream} = keeper;
      const {inFlight, pendingTokens, record, speed} = upstream;
      const isAway = way?.isAway(upstream) === true;
      const tokensPerMs = isAway
        ? Math.min(MOST_SPEED_AWAY, speed.tokensPerMs)
        : speed.tokensPerMs;
      const copied = copiedTokens(keeper, source);
      const copy = copied === 0 ? 0 : COPY_SETUP_MS + copied * (copyMs ?? 0);
      const unread = Math.max(leastUnread, all - keeper.tokens - copied);
      const read = (unread + pendingTokens) / tokensPerMs;
      const otherHall = record.hall === hall || isAway ? 0 : OTHER_HALL_MS;
      const prefixSource = copied === 0 ? undefined : source?.upstream;
      return {
        costMs: read + copy + inFlight * OPEN_REQUEST_MS + otherHall,
        placement: {copiedTokens: copied, prefixSource, upstream},
        unreadTokens: unread,
      };
    });
    return lowest(expectations, ({costMs}) => costMs);
  }
}

/** What is expected of a request at one upstream. */
interface Expectation {
  readonly placement: Placement;
  /** Time to the first token without the way to another region, ms. */
  readonly costMs: number;
  /** Tokens of the prompt that it would have to read. */
  readonly unreadTokens: number;
}

/** Upstreams of the own region, and those of others. */
function byRegion(
  candidates: readonly EdgeUpstream[],
  way: RegionLink | undefined,
): {
  readonly away: readonly EdgeUpstream[];
  readonly home: readonly EdgeUpstream[];
} {
  if (way === undefined) {
    return {away: [], home: candidates};
  }
  return {
    away: candidates.filter((upstream) => way.isAway(upstream)),
    home: candidates.filter((upstream) => !way.isAway(upstream)),
  };
}

/** Slots of an upstream; one that names none has one. */
function slotsOf({record}: EdgeUpstream): number {
  return Math.max(1, record.slots);
}

/** The upstream that keeps most of a prompt. */
function bestKeeper(keepers: readonly Keeper[]): Keeper | undefined {
  return lowest(keepers, ({tokens}) => -tokens);
}

/** Tokens that an upstream would copy from the one that keeps most. */
function copiedTokens(
  {tokens, upstream}: Keeper,
  source: Keeper | undefined,
): number {
  const lacking = (source?.tokens ?? 0) - tokens;
  return source?.upstream === upstream || lacking < LEAST_COPIED_TOKENS
    ? 0
    : lacking;
}

/** The parts of a prompt that other requests share. */
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

function lowest<Item>(
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
