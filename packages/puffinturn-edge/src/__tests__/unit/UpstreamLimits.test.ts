/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Load: some or all of four upstreams name in their answers how many requests a second
 * they take, while callers send 40 a second at all edges, or at one of them. The bound is
 * on the sum over all edges, of which each sees a part.
 */
import {byPace, byPermits, unbounded} from '../utils/AdmittingEdge';
import type {LimitAt, LimitedFleetFields} from '../utils/LimitedFleet';
import {LimitedFleet, mostAllowed} from '../utils/LimitedFleet';

const UPSTREAMS = 4;
const PER_SECOND = 40;
const RUN_MS = 16_000;
const SIZES = [6, 61, 87, 200];

function one(perSecond: number): LimitAt {
  return (id) => (id === 'i-0' ? perSecond : undefined);
}

function all(perSecond: number): LimitAt {
  return () => perSecond;
}

/** One that names a limit and then another one, or none. */
function changing(
  first: number,
  untilMs: number,
  second: number | undefined,
): LimitAt {
  return (id, now) =>
    id === 'i-0' ? (now < untilMs ? first : second) : undefined;
}

function fleetOf(fields: Partial<LimitedFleetFields>): LimitedFleet {
  return new LimitedFleet({
    admissionOf: byPermits,
    edges: 6,
    limitAt: one(1.2),
    perSecond: PER_SECOND,
    seed: 1,
    upstreams: UPSTREAMS,
    ...fields,
  });
}

async function run(fields: Partial<LimitedFleetFields>): Promise<LimitedFleet> {
  const fleet = fleetOf(fields);
  await fleet.run(RUN_MS);
  return fleet;
}

/** Requests served a second, less what comes before the limits are known. */
function servedPerSecond({served}: LimitedFleet): number {
  return (served * 1_000) / RUN_MS;
}

/** Ids of edges, without one. */
function boxesBut({edges}: LimitedFleet, left: number): string[] {
  return edges.flatMap(({box}, at) => (at === left ? [] : box));
}

describe('Edges before one upstream of four that names a limit', () => {
  test.each(
    SIZES.flatMap((edges) =>
      [0.25, 1.2, 1.6, 6].map((limit) => [edges, limit]),
    ),
  )('%i send it what it takes of %d a second', async (edges = 0, limit = 0) => {
    const fleet = await run({edges, limitAt: one(limit)});
    expect(fleet.mostOfAll).toBeLessThanOrEqual(mostAllowed(limit));
    expect(fleet.refused).toBe(0);
  });

  test.each(SIZES)('%i do so while the core is away', async (edges) => {
    const fleet = await run({edges, hasCore: false});
    expect(fleet.most).toBeLessThanOrEqual(mostAllowed(1.2));
    expect(fleet.refused).toBe(0);
  });

  test('would send it too many without a bound', async () => {
    const fleet = await run({admissionOf: unbounded});
    expect(fleet.most).toBeGreaterThan(mostAllowed(1.2));
  });

  test('keep to a limit that falls', async () => {
    const fleet = fleetOf({limitAt: changing(8, 8_000, 1)});
    await fleet.run(9_000);
    fleet.arrivals.clear();
    await fleet.run(8_000);
    expect(fleet.most).toBeLessThanOrEqual(mostAllowed(1));
  });

  test.each([6, 87])(
    'send as much as before once it ends (%i)',
    async (edges) => {
      const fleet = fleetOf({edges, limitAt: changing(1.2, 6_000, undefined)});
      await fleet.run(8_000);
      fleet.arrivals.clear();
      await fleet.run(4_000);
      const got = fleet.arrivals.get('i-0')?.length ?? 0;
      expect(got).toBeGreaterThan(PER_SECOND / 2);
    },
  );

  test('send more where it rises', async () => {
    const fleet = fleetOf({limitAt: changing(0.5, 6_000, 6)});
    await fleet.run(9_000);
    fleet.arrivals.clear();
    await fleet.run(4_000);
    const got = fleet.arrivals.get('i-0')?.length ?? 0;
    expect(got).toBeGreaterThan(0.7 * 6 * 4);
    expect(fleet.most).toBeLessThanOrEqual(mostAllowed(6));
  });

  test('ask one that names 0 now and then whether it still does', async () => {
    const fleet = fleetOf({limitAt: changing(0, 20_000, undefined)});
    await fleet.run(20_000);
    expect(fleet.most).toBeLessThanOrEqual(mostAllowed(0));
    await fleet.run(20_000);
    const newest = fleet.arrivals.get('i-0')?.slice(-50) ?? [];
    expect(newest).toHaveLength(50);
  });
});

describe('Edges before upstreams that all name limits', () => {
  test.each(SIZES)(
    '%i use 0.7 of what these take, and refuse the rest',
    async (edges) => {
      const fleet = await run({edges, limitAt: all(1.6)});
      expect(fleet.mostOfAll).toBeLessThanOrEqual(mostAllowed(1.6));
      expect(servedPerSecond(fleet)).toBeGreaterThan(0.7 * UPSTREAMS * 1.6);
      expect(fleet.refused).toBeGreaterThan(0);
    },
  );

  test.each(SIZES)(
    'of %i, one with all callers uses as much',
    async (edges) => {
      const fleet = await run({atOneEdge: true, edges, limitAt: all(1.6)});
      expect(fleet.most).toBeLessThanOrEqual(mostAllowed(1.6));
      expect(servedPerSecond(fleet)).toBeGreaterThan(0.7 * UPSTREAMS * 1.6);
    },
  );

  test('would leave most of it unused there with few senders', async () => {
    const limitAt = all(1.6);
    const paced = {admissionOf: byPace, atOneEdge: true, edges: 61, limitAt};
    const fleet = await run(paced);
    expect(servedPerSecond(fleet)).toBeLessThan(0.5 * UPSTREAMS * 1.6);
  });

  test('lose the use of none where an edge ends', async () => {
    const fleet = fleetOf({limitAt: all(1.6)});
    await fleet.run(4_000);
    fleet.kill(2);
    await fleet.run(1_000);
    fleet.tellBoxes(boxesBut(fleet, 2));
    fleet.served = 0;
    await fleet.run(RUN_MS);
    expect(fleet.mostOfAll).toBeLessThanOrEqual(mostAllowed(1.6));
    expect(servedPerSecond(fleet)).toBeGreaterThan(0.7 * UPSTREAMS * 1.6);
  });

  test.each([0, 1, 2, 3, 4, 5])(
    'go on with less where edge %i, which may grant, is gone for long',
    async (gone) => {
      const fleet = fleetOf({limitAt: all(1.6)});
      await fleet.run(4_000);
      fleet.kill(gone);
      fleet.served = 0;
      await fleet.run(RUN_MS);
      expect(fleet.mostOfAll).toBeLessThanOrEqual(mostAllowed(1.6));
      expect(fleet.served).toBeGreaterThan(0);
    },
  );

  test.each([1, 2, 3, 4])(
    'keep to them while edges end, start and are cut off (seed %i)',
    async (seed) => {
      const fleet = fleetOf({edges: 12, limitAt: all(1.6), seed});
      const boxes = fleet.edges.map(({box}) => box);
      await fleet.run(4_000);
      for (let round = 0; round < 4; round += 1) {
        const harmed = (seed + 3 * round) % 12;
        fleet.kill(harmed);
        await fleet.run(1_500);
        fleet.restart(harmed);
        const cut = boxes.slice(round, round + 5);
        const others = boxes.filter((box) => !cut.includes(box));
        fleet.network.partition(cut, others);
        await fleet.run(3_000);
        fleet.network.heal();
        await fleet.run(1_000);
      }
      expect(fleet.most).toBeLessThanOrEqual(mostAllowed(1.6));
    },
  );
});
