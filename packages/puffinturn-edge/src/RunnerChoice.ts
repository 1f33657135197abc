/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Which runner a request goes to. */
import type {Service} from 'puffinturn-fleet';
import type {Random} from 'shared';

import type {PromptPart} from './CallerDialect';
import {BOUNDED_LOAD} from './EdgeConstants';
import type {EdgeRunner} from './EdgeRunner';
import {hashOf} from './EdgeRunner';

/** What a choice may look at. */
export interface ChoiceFacts {
  readonly service: Service;
  readonly zone: string;
  readonly parts: readonly PromptPart[];
}

/** Where a request goes. */
export interface Placement {
  readonly runner: EdgeRunner;
  /** A runner to copy the start of the prompt from, instead of reading it. */
  readonly prefixSource: EdgeRunner | undefined;
  /** Tokens that the runner copies from there. */
  readonly copiedTokens: number;
}

/** Picks one of several runners, all of which would take the request. */
export abstract class RunnerChoice {
  /** The runner; undefined where there is no candidate. */
  abstract choose(
    candidates: readonly EdgeRunner[],
    facts: ChoiceFacts,
  ): EdgeRunner | undefined;

  /** The runner, and where it should copy a kept prompt from. */
  place(
    candidates: readonly EdgeRunner[],
    facts: ChoiceFacts,
  ): Placement | undefined {
    const runner = this.choose(candidates, facts);
    return runner === undefined
      ? undefined
      : {copiedTokens: 0, prefixSource: undefined, runner};
  }
}

/** Baseline: the runner with the fewest own requests. */
export class LeastInFlight extends RunnerChoice {
  constructor(private readonly random: Random) {
    super();
  }

  override choose(candidates: readonly EdgeRunner[]): EdgeRunner | undefined {
    return lowest(
      candidates,
      ({inFlight}) => inFlight + this.random.fraction() / 2,
    );
  }
}

/** What a runner of another zone must be ahead by, in requests a slot. */
const OTHER_ZONE_SLOTS = 0.34;

/**
 * For services with few slots: the lowest load for the slots there are, runners
 * of the own zone first while they have room.
 */
export class FreeSlots extends RunnerChoice {
  constructor(private readonly random: Random) {
    super();
  }

  override choose(
    candidates: readonly EdgeRunner[],
    {zone}: ChoiceFacts,
  ): EdgeRunner | undefined {
    return lowest(candidates, ({inFlight, record}) => {
      const away = record.zone === zone ? 0 : OTHER_ZONE_SLOTS;
      const load = inFlight / Math.max(1, record.slots);
      return load + away + this.random.fraction() / 100;
    });
  }
}

/**
 * Baseline for model engines: rendezvous of the shared parts of the prompt over
 * the runners, with the number of own requests at each bounded by the mean.
 */
export class PrefixRendezvous extends RunnerChoice {
  override choose(
    candidates: readonly EdgeRunner[],
    {parts}: ChoiceFacts,
  ): EdgeRunner | undefined {
    const key = hashOf(sharedKey(parts));
    const total = candidates.reduce((sum, {inFlight}) => sum + inFlight, 0);
    const bound = (total / Math.max(1, candidates.length)) * BOUNDED_LOAD + 1;
    const withRoom = candidates.filter(({inFlight}) => inFlight <= bound);
    return lowest(withRoom, ({hash}) => -mix(hash, key));
  }
}

/** What a runner of another zone must be ahead by, ms. */
const OTHER_ZONE_MS = 4;

/** What each open request at a runner adds to the time of another one, ms. */
const OPEN_REQUEST_MS = 0.6;

/** Time to set one copy up, ms; engines name no figure for it. */
const COPY_SETUP_MS = 10;

/** Copies of fewer tokens than this are not worth their set-up. */
const LEAST_COPIED_TOKENS = 256;

/** How much of a prompt one runner keeps, and another one lacks. */
interface Keeper {
  readonly runner: EdgeRunner;
  readonly tokens: number;
}

/**
 * For model engines: the runner where the first token is expected soonest.
 * What must be read is the prompt without the parts that the runner keeps, and
 * the prompts before it that no event has answered; how fast is learned from
 * answers and so holds the load that other edges put on the runner. The shared
 * parts are taken to be kept where this edge sent them lately, and at the
 * runner that all edges agree on by rendezvous. Where engines copy from each
 * other, another runner may copy what the best keeper has.
 */
export class ExpectedTime extends RunnerChoice {
  override choose(
    candidates: readonly EdgeRunner[],
    facts: ChoiceFacts,
  ): EdgeRunner | undefined {
    return this.place(candidates, facts)?.runner;
  }

  override place(
    candidates: readonly EdgeRunner[],
    {parts, service, zone}: ChoiceFacts,
  ): Placement | undefined {
    const key = hashOf(sharedKey(parts));
    const agreed = lowest(candidates, ({hash}) => -mix(hash, key));
    const shared = sharedTokens(parts);
    const all = parts.reduce((sum, {tokens}) => sum + tokens, 0);
    const keptBy = (runner: EdgeRunner): number =>
      Math.max(runner === agreed ? shared : 0, runner.prefixes.keptOf(parts));
    const copyMs = service.engine?.copyMsPerToken;
    const keeper =
      copyMs === undefined ? undefined : bestKeeper(candidates, keptBy);
    const runner = lowest(candidates, (candidate) => {
      const kept = keptBy(candidate);
      const copied = copiedTokens(candidate, kept, keeper);
      const copy = copied === 0 ? 0 : COPY_SETUP_MS + copied * (copyMs ?? 0);
      const {load, pendingTokens, record, speed} = candidate;
      const ahead = Math.max(pendingTokens, load.backlogTokens);
      const toRead = Math.max(0, all - kept - copied) + ahead;
      const away = record.zone === zone ? 0 : OTHER_ZONE_MS;
      const active = Math.max(candidate.inFlight, load.active);
      const open = active * OPEN_REQUEST_MS + load.waitMs(record.slots);
      return toRead / speed.tokensPerMs + copy + open + away;
    });
    if (runner === undefined) {
      return undefined;
    }
    const copied = copiedTokens(runner, keptBy(runner), keeper);
    const prefixSource = copied === 0 ? undefined : keeper?.runner;
    return {copiedTokens: copied, prefixSource, runner};
  }
}

/** The runner that keeps most of a prompt. */
function bestKeeper(
  candidates: readonly EdgeRunner[],
  keptBy: (runner: EdgeRunner) => number,
): Keeper | undefined {
  const runner = lowest(candidates, (candidate) => -keptBy(candidate));
  return runner === undefined ? undefined : {runner, tokens: keptBy(runner)};
}

/** Tokens that a runner would copy from the keeper. */
function copiedTokens(
  runner: EdgeRunner,
  kept: number,
  keeper: Keeper | undefined,
): number {
  const lacking = (keeper?.tokens ?? 0) - kept;
  return keeper?.runner === runner || lacking < LEAST_COPIED_TOKENS
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

function lowest(
  runners: readonly EdgeRunner[],
  costOf: (runner: EdgeRunner) => number,
): EdgeRunner | undefined {
  let best: EdgeRunner | undefined;
  let bestCost = Infinity;
  for (const runner of runners) {
    const cost = costOf(runner);
    if (cost < bestCost) {
      best = runner;
      bestCost = cost;
    }
  }
  return best;
}

/** Mixes two 32-bit hashes into one. */
function mix(a: number, b: number): number {
  let mixed = Math.imul(a ^ b, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0x85ebca77);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae3d);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
