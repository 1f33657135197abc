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

/** Picks one of several runners, all of which would take the request. */
export abstract class RunnerChoice {
  abstract choose(
    candidates: readonly EdgeRunner[],
    facts: ChoiceFacts,
  ): EdgeRunner | undefined;
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

/**
 * For model engines: the runner where the first token is expected soonest.
 * What must be read is the prompt without the parts that the runner keeps, and
 * the prompts before it that no event has answered; how fast is learned from
 * answers and so holds the load that other edges put on the runner. The shared
 * parts are taken to be kept where this edge sent them lately, and at the
 * runner that all edges agree on by rendezvous.
 */
export class ExpectedTime extends RunnerChoice {
  override choose(
    candidates: readonly EdgeRunner[],
    {parts, zone}: ChoiceFacts,
  ): EdgeRunner | undefined {
    const key = hashOf(sharedKey(parts));
    const agreed = lowest(candidates, ({hash}) => -mix(hash, key));
    const all = parts.reduce((sum, {tokens}) => sum + tokens, 0);
    return lowest(candidates, (runner) => {
      const assumed = runner === agreed ? sharedTokens(parts) : 0;
      const kept = Math.max(assumed, runner.prefixes.keptOf(parts));
      const toRead = Math.max(0, all - kept) + runner.pendingTokens;
      const away = runner.record.zone === zone ? 0 : OTHER_ZONE_MS;
      const open = runner.inFlight * OPEN_REQUEST_MS;
      return toRead / runner.speed.tokensPerMs + open + away;
    });
  }
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
