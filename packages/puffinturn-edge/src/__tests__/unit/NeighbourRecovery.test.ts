/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against edges without state after a restart during a control plane outage. */
import type {BoxRecord, EdgeState} from 'puffinturn-fleet';
import {BOX_ROLE, NO_EVACUATIONS, Regions} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random} from 'shared';

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

/** Edges that can't reach the control plane. */
class SimulatedRing {
  readonly clock = new ManualClock();
  readonly network = new MemoryNetwork(this.clock, new Random(5));
  readonly handovers: string[] = [];

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
});
