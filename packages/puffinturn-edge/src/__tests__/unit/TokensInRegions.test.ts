/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Tokens where halls `a` and `b` are in one region, `x` and `y` in another. */
import {Regions} from 'puffinturn-fleet';
import {ManualClock, Random} from 'shared';

import {RESERVE} from '../../index';
import {TokenHolders} from '../../tokens/TokenHolders';
import {CORE, TEAM, TokenFleet} from '../utils/TokenFleet';

const REGIONS = new Regions({a: 'east', b: 'east', x: 'west', y: 'west'});
const EAST = ['a1', 'a2', 'b1', 'b2'];
const WEST = ['x1', 'x2', 'y1', 'y2'];
const PREPAID = 100_000;

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

describe('Holders of tokens', () => {
  test('are named the own region first', () => {
    const holders = holdersOf('a1', REGIONS);
    for (const team of ['t', 'u', 'v']) {
      const halls = (boxes: readonly string[]) =>
        boxes.map((box) => box.slice(0, 1)).join('');
      expect(halls(holders.lendersFor(team))).toMatch(/^a+b[xy]+$/);
      expect(halls(holders.successors(team))).toMatch(/^a+b+[xy]+$/);
    }
    expect(holders.isInOtherRegion('x1')).toBe(true);
    expect(holders.isInOtherRegion('b1')).toBe(false);
  });

  test('are in the order of before where there is one region', () => {
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

  test('are borrowed within the own region while that has some', async () => {
    const fleet = await start();
    fleet.network.partition([...EAST, ...WEST], [CORE]);
    await fleet.clock.advance(2_000);
    const west = heldBy(fleet, WEST);
    const hall = heldBy(fleet, ['a1', 'a2']);
    const edge = fleet.edge('a1');
    expect(await fleet.settled(edge.reserve(TEAM, hall + 100))).toBe(
      RESERVE.held,
    );
    expect(heldBy(fleet, WEST)).toBe(west);
  });

  test('are borrowed from the other region once the own one has none', async () => {
    const fleet = await start();
    fleet.network.partition([...EAST, ...WEST], [CORE]);
    await fleet.clock.advance(2_000);
    const all = fleet.heldByAll;
    const need = heldBy(fleet, EAST) + 100;
    const edge = fleet.edge('a1');
    expect(await fleet.settled(edge.reserve(TEAM, need))).toBe(RESERVE.held);
    expect(fleet.heldByAll).toBe(all);
  });

  test('last on in a region that is cut off, as far as its halls hold some', async () => {
    const fleet = await start();
    fleet.network.partition(EAST, [CORE, ...WEST]);
    await fleet.clock.advance(2_000);
    const east = heldBy(fleet, EAST);
    expect(east).toBeGreaterThan(0);
    let spent = 0;
    for (let at = 0; spent < east - 400; at += 1) {
      const edge = fleet.edge(EAST[at % EAST.length] ?? '');
      expect(await fleet.settled(edge.reserve(TEAM, 100))).toBe(RESERVE.held);
      edge.settle(TEAM, 100, 100);
      spent += 100;
    }
    const more = fleet.edge('b1').reserve(TEAM, east);
    expect(await fleet.settled(more)).toBe(RESERVE.unavailable);
  });

  test.each([
    [1, 'both ways'],
    [2, 'both ways'],
    [3, 'one way'],
    [4, 'one way'],
  ])(
    'are never more than paid for while the link is cut (seed %i, %s)',
    async (seed, how) => {
      const random = new Random(seed);
      const fleet = await start();
      const boxes = [...EAST, ...WEST];
      let spent = 0;
      for (let step = 0; step < 200; step += 1) {
        if (step % 50 === 10) {
          cutLink(fleet, how);
        }
        if (step % 50 === 35) {
          fleet.network.heal();
        }
        const edge = fleet.edge(random.pick(boxes) ?? '');
        const tokens = random.integer(50, 2_000);
        const outcome = await fleet.settled(edge.reserve(TEAM, tokens));
        if (outcome === RESERVE.held) {
          const charged = random.integer(0, tokens);
          edge.settle(TEAM, tokens, charged);
          spent += charged;
        }
        expect(spent + fleet.heldByAll).toBeLessThanOrEqual(PREPAID);
      }
      expect(spent).toBeGreaterThan(PREPAID / 2);
    },
    60_000,
  );

  /** The core is on the western side; one way, only answers get lost. */
  function cutLink({network}: TokenFleet, how: string): void {
    if (how === 'both ways') {
      network.partition(EAST, [CORE, ...WEST]);
      return;
    }
    for (const east of EAST) {
      for (const west of [CORE, ...WEST]) {
        network.cut(west, east);
      }
    }
  }

  test('that a stopping edge hands on stay in the own region', async () => {
    const fleet = await start();
    fleet.network.partition([...EAST, ...WEST], [CORE]);
    fleet.kill('a2');
    await fleet.clock.advance(2_000);
    const west = heldBy(fleet, WEST);
    const all = fleet.heldByAll;
    const closed = fleet.edge('a1').close();
    for (let turn = 0; turn < 40; turn += 1) {
      await fleet.clock.advance(500);
    }
    await fleet.settled(closed);
    expect(fleet.heldBy('a1')).toBe(0);
    expect(heldBy(fleet, ['b1', 'b2'])).toBe(all - west);
  });
});
