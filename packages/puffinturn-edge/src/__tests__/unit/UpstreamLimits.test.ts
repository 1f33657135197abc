/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against many edges together exceeding the rate limit of an upstream, of which each
 * edge sees only its own requests, and against leaving that rate unused.
 */
import {
  createPacedAdmission,
  createPermitAdmission,
  createUnboundedAdmission,
} from '../utils/Admissions';
import type {LimitAt, LimitedFleetOptions} from '../utils/LimitedFleet';
import {LimitedFleet, maxAllowedArrivals} from '../utils/LimitedFleet';

const UPSTREAMS = 4;
const REQUESTS_PER_SECOND = 40;
const RUN_MS = 16_000;
const EDGE_COUNTS = [6, 61, 87, 200];

function limitFirst(perSecond: number): LimitAt {
  return (id) => (id === 'i-0' ? perSecond : undefined);
}

function limitAll(perSecond: number): LimitAt {
  return () => perSecond;
}

/** The first upstream states one limit and later another one, or none. */
function changingLimit(
  first: number,
  untilMs: number,
  second: number | undefined,
): LimitAt {
  return (id, now) =>
    id === 'i-0' ? (now < untilMs ? first : second) : undefined;
}

function createFleet(fields: Partial<LimitedFleetOptions>): LimitedFleet {
  return new LimitedFleet({
    createAdmission: createPermitAdmission,
    edges: 6,
    limitAt: limitFirst(1.2),
    requestsPerSecond: REQUESTS_PER_SECOND,
    seed: 1,
    upstreams: UPSTREAMS,
    ...fields,
  });
}

async function runFleet(
  fields: Partial<LimitedFleetOptions>,
): Promise<LimitedFleet> {
  const fleet = createFleet(fields);
  await fleet.run(RUN_MS);
  return fleet;
}

/** Mean rate of served requests over RUN_MS, requests/s. */
function servedPerSecond({served}: LimitedFleet): number {
  return (served * 1_000) / RUN_MS;
}

/** Boxes of all edges except one. */
function boxesExcept({edges}: LimitedFleet, excluded: number): string[] {
  return edges.flatMap(({box}, at) => (at === excluded ? [] : box));
}

describe('Edges with one rate-limited upstream of four', () => {
  test.each(
    EDGE_COUNTS.flatMap((edges) =>
      [0.25, 1.2, 1.6, 6].map((limit) => [edges, limit]),
    ),
  )(
    '%i edges stay within its limit of %d requests/s',
    async (edges = 0, limit = 0) => {
      const fleet = await runFleet({edges, limitAt: limitFirst(limit)});
      expect(fleet.peakArrivals).toBeLessThanOrEqual(maxAllowedArrivals(limit));
      expect(fleet.refused).toBe(0);
    },
  );

  test.each(EDGE_COUNTS)(
    '%i edges stay within its limit without a core',
    async (edges) => {
      const fleet = await runFleet({edges, hasCore: false});
      expect(fleet.peakCountedArrivals).toBeLessThanOrEqual(
        maxAllowedArrivals(1.2),
      );
      expect(fleet.refused).toBe(0);
    },
  );

  test('exceed its limit without admission control', async () => {
    const fleet = await runFleet({createAdmission: createUnboundedAdmission});
    expect(fleet.peakCountedArrivals).toBeGreaterThan(maxAllowedArrivals(1.2));
  });

  test('stay within a limit that is lowered', async () => {
    const fleet = createFleet({limitAt: changingLimit(8, 8_000, 1)});
    await fleet.run(9_000);
    fleet.arrivals.clear();
    await fleet.run(8_000);
    expect(fleet.peakCountedArrivals).toBeLessThanOrEqual(
      maxAllowedArrivals(1),
    );
  });

  test.each([6, 87])(
    'send at the full rate again once the limit is removed (%i edges)',
    async (edges) => {
      const fleet = createFleet({
        edges,
        limitAt: changingLimit(1.2, 6_000, undefined),
      });
      await fleet.run(8_000);
      fleet.arrivals.clear();
      await fleet.run(4_000);
      const arrivalCount = fleet.arrivals.get('i-0')?.length ?? 0;
      expect(arrivalCount).toBeGreaterThan(REQUESTS_PER_SECOND / 2);
    },
  );

  test('send more once the limit is raised', async () => {
    const fleet = createFleet({limitAt: changingLimit(0.5, 6_000, 6)});
    await fleet.run(9_000);
    fleet.arrivals.clear();
    await fleet.run(4_000);
    const arrivalCount = fleet.arrivals.get('i-0')?.length ?? 0;
    expect(arrivalCount).toBeGreaterThan(0.7 * 6 * 4);
    expect(fleet.peakCountedArrivals).toBeLessThanOrEqual(
      maxAllowedArrivals(6),
    );
  });

  test('occasionally probe an upstream whose limit is 0', async () => {
    const fleet = createFleet({limitAt: changingLimit(0, 20_000, undefined)});
    await fleet.run(20_000);
    expect(fleet.peakCountedArrivals).toBeLessThanOrEqual(
      maxAllowedArrivals(0),
    );
    await fleet.run(20_000);
    const newest = fleet.arrivals.get('i-0')?.slice(-50) ?? [];
    expect(newest).toHaveLength(50);
  });
});

describe('Edges with only rate-limited upstreams', () => {
  test.each(EDGE_COUNTS)(
    '%i edges use at least 70 % of the limits and reject the rest',
    async (edges) => {
      const fleet = await runFleet({edges, limitAt: limitAll(1.6)});
      expect(fleet.peakArrivals).toBeLessThanOrEqual(maxAllowedArrivals(1.6));
      expect(servedPerSecond(fleet)).toBeGreaterThan(0.7 * UPSTREAMS * 1.6);
      expect(fleet.refused).toBeGreaterThan(0);
    },
  );

  test.each(EDGE_COUNTS)(
    'one edge of %i that has all callers uses at least 70 % of the limits',
    async (edges) => {
      const fleet = await runFleet({
        usesOneEdge: true,
        edges,
        limitAt: limitAll(1.6),
      });
      expect(fleet.peakCountedArrivals).toBeLessThanOrEqual(
        maxAllowedArrivals(1.6),
      );
      expect(servedPerSecond(fleet)).toBeGreaterThan(0.7 * UPSTREAMS * 1.6);
    },
  );

  test('leave more than half unused if that edge paces its requests instead', async () => {
    const limitAt = limitAll(1.6);
    const options = {
      createAdmission: createPacedAdmission,
      usesOneEdge: true,
      edges: 61,
      limitAt,
    };
    const fleet = await runFleet(options);
    expect(servedPerSecond(fleet)).toBeLessThan(0.5 * UPSTREAMS * 1.6);
  });

  test('use the limits fully after an edge has stopped', async () => {
    const fleet = createFleet({limitAt: limitAll(1.6)});
    await fleet.run(4_000);
    fleet.kill(2);
    await fleet.run(1_000);
    fleet.announceBoxes(boxesExcept(fleet, 2));
    fleet.served = 0;
    await fleet.run(RUN_MS);
    expect(fleet.peakArrivals).toBeLessThanOrEqual(maxAllowedArrivals(1.6));
    expect(servedPerSecond(fleet)).toBeGreaterThan(0.7 * UPSTREAMS * 1.6);
  });

  test.each([0, 1, 2, 3, 4, 5])(
    'keep serving while edge %i, which may grant permits, is down',
    async (killed) => {
      const fleet = createFleet({limitAt: limitAll(1.6)});
      await fleet.run(4_000);
      fleet.kill(killed);
      fleet.served = 0;
      await fleet.run(RUN_MS);
      expect(fleet.peakArrivals).toBeLessThanOrEqual(maxAllowedArrivals(1.6));
      expect(fleet.served).toBeGreaterThan(0);
    },
  );

  test.each([1, 2, 3, 4])(
    'stay within the limits during restarts and partitions (seed %i)',
    async (seed) => {
      const fleet = createFleet({edges: 12, limitAt: limitAll(1.6), seed});
      const boxes = fleet.edges.map(({box}) => box);
      await fleet.run(4_000);
      for (let round = 0; round < 4; round += 1) {
        const restarted = (seed + 3 * round) % 12;
        fleet.kill(restarted);
        await fleet.run(1_500);
        fleet.restart(restarted);
        const partitioned = boxes.slice(round, round + 5);
        const others = boxes.filter((box) => !partitioned.includes(box));
        fleet.network.partition(partitioned, others);
        await fleet.run(3_000);
        fleet.network.heal();
        await fleet.run(1_000);
      }
      expect(fleet.peakCountedArrivals).toBeLessThanOrEqual(
        maxAllowedArrivals(1.6),
      );
    },
  );
});
