/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against edges without state after a restart during a control plane outage. */
import type {BoxRecord, EdgeState, Route} from 'puffinturn-fleet';
import {
  BOX_ROLE,
  FLEET_SERVICE,
  NO_EVACUATIONS,
  Regions,
  RETRY_POLICY,
} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random, settleTasks} from 'shared';

import {NeighbourRecovery} from '../../NeighbourRecovery';
import {makeConfiguration} from '../utils/EdgeFixture';

function edgeRecord(box: string): BoxRecord {
  return {box, hall: 'z', incarnation: '1', role: BOX_ROLE.edge};
}

const STATE: EdgeState = {
  boxes: ['a', 'b', 'c', 'd'].map(edgeRecord),
  configuration: makeConfiguration(4),
  evacuations: NO_EVACUATIONS,
  upstreams: [],
};

const ROUTE_COUNT = 1_400;

/** A link of which callers leave 100 KB a second free, bytes per ms. */
const NARROW_BYTES_PER_MS = 100;

/** More iterations of the event loop than it takes to unpack a large state. */
const UNPACK_ITERATIONS = 50;

function routeOf(number: number): Route {
  return {
    anonymous: false,
    host: `host-${number}.example`,
    maxAttempts: 3,
    name: `route-${number}`,
    objectiveMs: 800,
    pathPrefix: `/path-${number}/`,
    priority: 1,
    repetition: RETRY_POLICY.repeatable,
    streams: false,
    targets: [{service: 'app', weight: 1}],
    timeoutMs: 10_000,
  };
}

const LARGE_STATE: EdgeState = {
  ...STATE,
  configuration: makeConfiguration(4, {
    routes: Array.from({length: ROUTE_COUNT}, (_, number) => routeOf(number)),
  }),
};

/** Edges that can't reach the control plane. */
class SimulatedRing {
  readonly clock = new ManualClock();
  readonly network = new MemoryNetwork(this.clock, new Random(5));
  readonly handovers: string[] = [];
  /** The states that were handed over. */
  readonly states: EdgeState[] = [];

  start(box: string, state: EdgeState | undefined): void {
    let current = state;
    const others = STATE.boxes.filter((other) => other.box !== box);
    new NeighbourRecovery({
      clock: this.clock,
      otherEdges: () => (current === undefined ? [] : others),
      isControlReachable: () => false,
      link: this.network.connect(box),
      needsState: () => current === undefined,
      regions: new Regions(),
      self: edgeRecord(box),
      getState: () => current,
      applyState: (received, source) => {
        current = received;
        this.handovers.push(`${box} from ${source}`);
        this.states.push(received);
      },
    });
  }
}

describe('NeighbourRecovery', () => {
  test('sends the state to a restarted edge', async () => {
    const ring = new SimulatedRing();
    ring.start('a', STATE);
    ring.start('c', STATE);
    ring.start('d', STATE);
    await ring.clock.advance(3_000);
    ring.start('b', undefined);
    await ring.clock.advance(1_000);
    expect(ring.handovers).toEqual(['b from a']);
  });

  test('skips an edge that is down and wraps around the end of the ring', async () => {
    const ring = new SimulatedRing();
    ring.start('c', STATE);
    ring.start('a', undefined);
    await ring.clock.advance(1_500);
    expect(ring.handovers).toEqual(['a from c']);
  });

  test('sends nothing to an edge that has a state', async () => {
    const ring = new SimulatedRing();
    for (const {box} of STATE.boxes) {
      ring.start(box, STATE);
    }
    await ring.clock.advance(3_000);
    expect(ring.handovers).toEqual([]);
  });

  test('sends a large state over a link that callers fill', async () => {
    const ring = new SimulatedRing();
    ring.network.limitBandwidth('b', NARROW_BYTES_PER_MS);
    ring.start('b', undefined);
    ring.start('a', LARGE_STATE);
    await ring.clock.advance(1_500);
    // The receiver unpacks it over several iterations of the event loop.
    for (let iteration = 0; iteration < UNPACK_ITERATIONS; iteration += 1) {
      await settleTasks();
    }
    expect(ring.handovers).toEqual(['b from a']);
    expect(ring.states).toEqual([LARGE_STATE]);
  });

  test('sends a plain state to an edge of an earlier software version', async () => {
    const ring = new SimulatedRing();
    const received: unknown[] = [];
    const link = ring.network.connect('b');
    link.register(FLEET_SERVICE.checkStateNeeded, async () => ({
      needsState: true,
    }));
    link.register(FLEET_SERVICE.sendState, async (body) => {
      received.push(body);
      return null;
    });
    ring.start('a', STATE);
    await ring.clock.advance(700);
    expect(received).toMatchObject([{configuration: STATE.configuration}]);
  });
});
