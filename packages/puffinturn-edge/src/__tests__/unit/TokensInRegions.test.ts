/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against tokens crossing the slow link between regions while the own region
 * has some, and against granting more than the budget when that link fails.
 */
import {Regions} from 'puffinturn-fleet';
import {ManualClock, Random} from 'shared';

import {RESERVE_OUTCOME} from '../../index';
import {TokenHolders} from '../../tokens/TokenHolders';
import {CORE, TEAM, TokenFleet} from '../utils/TokenFleet';

/** Two regions with two halls each. */
const REGIONS = new Regions({a: 'east', b: 'east', x: 'west', y: 'west'});
const EAST = ['a1', 'a2', 'b1', 'b2'];
const WEST = ['x1', 'x2', 'y1', 'y2'];
const PREPAID = 100_000;

/** Interval of requests that use all tokens of a region, ms. */
const REQUEST_INTERVAL_MS = 100;

function holdersOf(box: string, regions: Regions): TokenHolders {
  const others = [...WEST, ...EAST]
    .filter((other) => other !== box)
    .map((other) => ({
      box: other,
      hall: other.slice(0, 1),
      incarnation: '1',
      role: 'edge' as const,
    }));
  const self = {box, hall: box.slice(0, 1)};
  return new TokenHolders(self, new ManualClock(), () => others, regions);
}

describe('TokenHolders with regions', () => {
  test('list the edges of the own region first', () => {
    const holders = holdersOf('a1', REGIONS);
    for (const team of ['t', 'u', 'v']) {
      const hallsOf = (boxes: readonly string[]) =>
        boxes.map((box) => box.slice(0, 1)).join('');
      expect(hallsOf(holders.lendersFor(team))).toMatch(/^a+b[xy]+$/);
      expect(hallsOf(holders.successors(team))).toMatch(/^a+b+[xy]+$/);
    }
    expect(holders.isInOtherRegion('x1')).toBe(true);
    expect(holders.isInOtherRegion('b1')).toBe(false);
  });

  test('keep the order of the hash if there is only one region', () => {
    const holders = holdersOf('a1', new Regions());
    const halls = holders.lendersFor('t').map((box) => box.slice(0, 1));
    expect(halls.filter((hall) => hall !== 'a')).toEqual(['x', 'y', 'b']);
    expect(holders.isInOtherRegion('x1')).toBe(false);
  });
});

describe('Tokens in two regions', () => {
  async function start(): Promise<TokenFleet> {
    const fleet = new TokenFleet(PREPAID, REGIONS);
    await fleet.startAll([...EAST, ...WEST]);
    return fleet;
  }

  function heldBy(fleet: TokenFleet, boxes: readonly string[]): number {
    return boxes.reduce((sum, box) => sum + fleet.heldBy(box), 0);
  }

  test('are borrowed from the own region while it has some', async () => {
    const fleet = await start();
    fleet.network.partition([...EAST, ...WEST], [CORE]);
    await fleet.clock.advance(2_000);
    const westBefore = heldBy(fleet, WEST);
    const ownHall = heldBy(fleet, ['a1', 'a2']);
    const edge = fleet.edge('a1');
    expect(
      await fleet.advanceUntilSettled(edge.reserve(TEAM, ownHall + 100)),
    ).toBe(RESERVE_OUTCOME.reserved);
    expect(heldBy(fleet, WEST)).toBe(westBefore);
  });

  test('are borrowed from the other region if the own one has too few', async () => {
    const fleet = await start();
    fleet.network.partition([...EAST, ...WEST], [CORE]);
    await fleet.clock.advance(2_000);
    const totalBefore = fleet.totalHeld;
    const need = heldBy(fleet, EAST) + 100;
    const edge = fleet.edge('a1');
    expect(await fleet.advanceUntilSettled(edge.reserve(TEAM, need))).toBe(
      RESERVE_OUTCOME.reserved,
    );
    expect(fleet.totalHeld).toBe(totalBefore);
  });

  test('held in a disconnected region can be spent there, and no more', async () => {
    const fleet = await start();
    fleet.network.partition(EAST, [CORE, ...WEST]);
    await fleet.clock.advance(2_000);
    const east = heldBy(fleet, EAST);
    expect(east).toBeGreaterThan(0);
    let spent = 0;
    for (let index = 0; spent < east - 400; index += 1) {
      const edge = fleet.edge(EAST[index % EAST.length] ?? '');
      expect(await fleet.advanceUntilSettled(edge.reserve(TEAM, 100))).toBe(
        RESERVE_OUTCOME.reserved,
      );
      edge.settle(TEAM, 100, 100);
      spent += 100;
      // Spending limits don't allow to use all tokens within milliseconds.
      await fleet.clock.advance(REQUEST_INTERVAL_MS);
    }
    const reservation = fleet.edge('b1').reserve(TEAM, east);
    expect(await fleet.advanceUntilSettled(reservation)).toBe(
      RESERVE_OUTCOME.unavailable,
    );
  });

  test.each([
    [1, 'both ways'],
    [2, 'both ways'],
    [3, 'one way'],
    [4, 'one way'],
  ])(
    'spent and held never exceed the budget while the link is down (seed %i, %s)',
    async (seed, direction) => {
      const random = new Random(seed);
      const fleet = await start();
      const boxes = [...EAST, ...WEST];
      let spent = 0;
      for (let step = 0; step < 200; step += 1) {
        if (step % 50 === 10) {
          cutLink(fleet, direction);
        }
        if (step % 50 === 35) {
          fleet.network.heal();
        }
        const edge = fleet.edge(random.pick(boxes) ?? '');
        const tokens = random.integer(50, 2_000);
        const outcome = await fleet.advanceUntilSettled(
          edge.reserve(TEAM, tokens),
        );
        if (outcome === RESERVE_OUTCOME.reserved) {
          const charged = random.integer(0, tokens);
          edge.settle(TEAM, tokens, charged);
          spent += charged;
        }
        expect(spent + fleet.totalHeld).toBeLessThanOrEqual(PREPAID);
      }
      expect(spent).toBeGreaterThan(PREPAID / 2);
    },
    60_000,
  );

  /**
   * Cuts the link; the control plane is in the west. One way loses messages to the
   * east.
   */
  function cutLink({network}: TokenFleet, direction: string): void {
    if (direction === 'both ways') {
      network.partition(EAST, [CORE, ...WEST]);
      return;
    }
    for (const east of EAST) {
      for (const west of [CORE, ...WEST]) {
        network.dropMessages(west, east);
      }
    }
  }

  test('given away by a stopping edge stay in the own region', async () => {
    const fleet = await start();
    fleet.network.partition([...EAST, ...WEST], [CORE]);
    fleet.kill('a2');
    await fleet.clock.advance(2_000);
    const westBefore = heldBy(fleet, WEST);
    const totalBefore = fleet.totalHeld;
    const closing = fleet.edge('a1').close();
    for (let turn = 0; turn < 40; turn += 1) {
      await fleet.clock.advance(500);
    }
    await fleet.advanceUntilSettled(closing);
    expect(fleet.heldBy('a1')).toBe(0);
    expect(heldBy(fleet, ['b1', 'b2'])).toBe(totalBefore - westBefore);
  });
});
