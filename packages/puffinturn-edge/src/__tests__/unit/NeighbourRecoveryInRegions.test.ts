/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

// Guards against edges that probe other regions without need, and against a region
// that cannot recover its state. Hall names alternate between the regions.
import type {BoxRecord, EdgeState} from 'puffinturn-fleet';
import {
  BOX_ROLE,
  FLEET_SERVICE,
  NO_EVACUATIONS,
  Regions,
} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random} from 'shared';

import {NeighbourRecovery} from '../../NeighbourRecovery';
import {makeConfiguration} from '../utils/EdgeFixture';

const HALLS = {a: 'west', b: 'east', c: 'west', d: 'east'} as const;
const EDGES = Object.keys(HALLS).flatMap((hall) =>
  [1, 2, 3].map((at): BoxRecord => ({
    box: `${hall}${at}`,
    hall,
    incarnation: '1',
    role: BOX_ROLE.edge,
  })),
);
const STATE: EdgeState = {
  boxes: EDGES,
  configuration: makeConfiguration(4),
  evacuations: NO_EVACUATIONS,
  upstreams: [],
};

class RegionRing {
  readonly clock = new ManualClock();
  readonly network = new MemoryNetwork(this.clock, new Random(5));
  readonly regions = new Regions(HALLS);
  /** Distinct `sender>receiver` pairs. */
  readonly greetings = new Set<string>();
  private readonly states = new Map<string, EdgeState>();

  start(self: BoxRecord, state: EdgeState | undefined): void {
    const {box} = self;
    const link = this.network.connect(box);
    const others = EDGES.filter((other) => other.box !== box);
    if (state !== undefined) {
      this.states.set(box, state);
    }
    new NeighbourRecovery({
      clock: this.clock,
      otherEdges: () => (this.hasState(box) ? others : []),
      isControlReachable: () => false,
      link,
      needsState: () => !this.hasState(box),
      regions: this.regions,
      self,
      getState: () => this.states.get(box),
      applyState: (state) => void this.states.set(box, state),
    });
    link.register(FLEET_SERVICE.checkStateNeeded, async (_, from) => {
      this.greetings.add(`${from}>${box}`);
      return {needsState: !this.hasState(box)};
    });
  }

  hasState(box: string): boolean {
    return this.states.has(box);
  }

  /** Number of pairs in different regions. */
  get crossRegionGreetings(): number {
    const pairs = [...this.greetings].filter((pair) => {
      const [from = '', to = ''] = pair.split('>');
      return !this.regions.areInSameRegion(from.slice(0, 1), to.slice(0, 1));
    });
    return pairs.length;
  }
}

describe('NeighbourRecovery in two regions', () => {
  test('greet across regions only where the ring changes region', async () => {
    const ring = new RegionRing();
    for (const edge of EDGES) {
      ring.start(edge, STATE);
    }
    await ring.clock.advance(6_000);
    expect(ring.greetings.size).toBe(2 * EDGES.length);
    expect(ring.crossRegionGreetings).toBe(6);
  });

  test('restore the state of a region that has lost it', async () => {
    const ring = new RegionRing();
    for (const edge of EDGES) {
      const isWest = ring.regions.regionOf(edge.hall) === 'west';
      ring.start(edge, isWest ? undefined : STATE);
    }
    await ring.clock.advance(6_000);
    expect(EDGES.every(({box}) => ring.hasState(box))).toBe(true);
  });
});
