/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A load on a fleet whose edges are killed, cut off and restarted. */
import {Random} from 'shared';

import {RESERVE_OUTCOME} from '../../index';
import {CORE, namesExcept, TEAM, TokenFleet} from './TokenFleet';

const HALLS = ['a', 'b', 'c', 'd', 'e', 'f'];
/** The edges of the fleet, two in each hall. */
export const EDGES = HALLS.flatMap((hall) => [`${hall}1`, `${hall}2`]);

/** Prepaid tokens of the team, unless a test asks for others. */
export const BUDGET = 3_600_000;
/** Interval between two requests, ms. */
export const REQUEST_INTERVAL_MS = 10;
const RESERVED_TOKENS = 1_100;
const CHARGED_TOKENS = 1_000;
/** Time that a request takes, ms. */
export const SERVICE_TIME_MS = 500;

/** Sends requests to random edges and counts what they were charged. */
export class TokenLoad {
  charged = 0;
  sent = 0;
  served = 0;
  private readonly reservedBy = new Map<string, number>();

  constructor(
    private readonly fleet: TokenFleet,
    private readonly random: Random,
  ) {}

  async run(seconds: number, interval = REQUEST_INTERVAL_MS): Promise<void> {
    for (let elapsed = 0; elapsed < seconds * 1_000; elapsed += interval) {
      void this.send(this.random.pick(EDGES) ?? '');
      await this.fleet.clock.advance(interval);
    }
  }

  /** Kills an edge; what its open requests had reserved counts as used. */
  kill(box: string): void {
    this.charged += this.reservedBy.get(box) ?? 0;
    this.reservedBy.delete(box);
    this.fleet.kill(box);
  }

  /** Half of the time, sends as many requests at once as use all tokens of an edge. */
  async maybeSendBurst(box: string, random: Random): Promise<void> {
    const isBurst = random.integer(0, 1) === 1;
    const count = isBurst ? this.fleet.heldBy(box) / RESERVED_TOKENS : 0;
    for (let index = 0; index < count; index += 1) {
      void this.send(box);
    }
    await this.fleet.clock.advance(0);
  }

  private async send(box: string): Promise<void> {
    if (!this.fleet.isRunning(box)) {
      return;
    }
    const edge = this.fleet.edge(box);
    this.sent += 1;
    const outcome = await edge.reserve(TEAM, RESERVED_TOKENS);
    if (outcome !== RESERVE_OUTCOME.reserved || !this.isCurrent(box, edge)) {
      return;
    }
    this.addReserved(box, RESERVED_TOKENS);
    await this.fleet.clock.sleep(SERVICE_TIME_MS);
    if (this.isCurrent(box, edge)) {
      this.addReserved(box, -RESERVED_TOKENS);
      this.charged += CHARGED_TOKENS;
      this.served += 1;
      edge.settle(TEAM, RESERVED_TOKENS, CHARGED_TOKENS);
    }
  }

  private isCurrent(box: string, edge: unknown): boolean {
    return this.fleet.isRunning(box) && this.fleet.edge(box) === edge;
  }

  private addReserved(box: string, tokens: number): void {
    this.reservedBy.set(box, (this.reservedBy.get(box) ?? 0) + tokens);
  }
}

/** Starts a fleet whose core has `budget` tokens, and the load for it. */
export async function startFleet(budget = BUDGET) {
  const fleet = new TokenFleet(budget);
  const load = new TokenLoad(fleet, new Random(3));
  for (const box of EDGES) {
    fleet.startNow(box, namesExcept(box, EDGES));
  }
  await fleet.clock.advance(2_000);
  return {fleet, load};
}

/** Starts edges that were killed. */
export function restart(fleet: TokenFleet, boxes: readonly string[]): void {
  for (const box of boxes) {
    fleet.startNow(box, namesExcept(box, EDGES));
  }
}

/** Tokens that were granted, but neither charged nor held by a running edge. */
export function lostTokens(
  {coreRemaining, totalHeld}: TokenFleet,
  load: TokenLoad,
) {
  return BUDGET - coreRemaining - totalHeld - load.charged;
}

/** Declares a test for each seed: random kills, cuts and late messages spend no token twice. */
export function testRandomKills(seeds: readonly number[]): void {
  test.each(seeds)(
    'no more than the budget is spent in kills, cuts and late messages, seed %i',
    async (seed) => {
      const budget = 20 * BUDGET;
      const {fleet, load} = await startFleet(budget);
      const random = new Random(seed);
      for (let step = 0; step < 60; step += 1) {
        await load.run(random.fraction());
        await disturb(fleet, load, random);
      }
      expect(fleet.reclaimChecker.reclaimed).toBeGreaterThan(0);
      expect(fleet.reclaimChecker.wronglyReclaimed).toBe(0);
      expect(load.charged).toBeLessThanOrEqual(budget);
    },
  );
}

/** Kills, stops and restarts edges, or cuts off, delays or heals messages. */
async function disturb(
  fleet: TokenFleet,
  load: TokenLoad,
  random: Random,
): Promise<void> {
  const box = random.pick(EDGES) ?? '';
  switch (random.integer(0, 9)) {
    case 0:
      fleet.network.partition(EDGES, [CORE]);
      return;
    case 1:
    case 2:
      fleet.network.heal();
      return;
    case 3:
      fleet.network.holdMessages(box, CORE);
      return;
    case 4:
      fleet.network.holdMessages(CORE, box);
      return;
    case 5:
      void fleet.edge(box).close();
      await fleet.clock.advance(random.integer(0, 3) * 100);
      load.kill(box);
      await fleet.clock.advance(random.integer(0, 1_000));
      restart(fleet, [box]);
      return;
    case 6:
      for (const other of EDGES) {
        await load.maybeSendBurst(other, random);
      }
      EDGES.forEach((other) => load.kill(other));
      await fleet.clock.advance(random.integer(0, 4_000));
      restart(fleet, EDGES);
      return;
    default:
      await load.maybeSendBurst(box, random);
      await fleet.clock.advance(random.integer(0, 3) * 100);
      load.kill(box);
      if (random.integer(0, 3) === 0) {
        fleet.bootMachine(box);
      }
      await fleet.clock.advance(random.integer(0, 2_000));
      restart(fleet, [box]);
  }
}
