/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {BoxRecord, HandOver} from 'puffinturn-fleet';
import {BOX_ROLE, NO_EVACUATIONS, Regions} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random} from 'shared';

import {Neighbours} from '../../Neighbours';
import {configurationOf} from '../utils/EdgeFixture';

function edgeOf(box: string): BoxRecord {
  return {box, hall: 'z', incarnation: '1', role: BOX_ROLE.edge};
}

const STATE: HandOver = {
  boxes: ['a', 'b', 'c', 'd'].map(edgeOf),
  configuration: configurationOf(4),
  evacuations: NO_EVACUATIONS,
  upstreams: [],
};

class Ring {
  readonly clock = new ManualClock();
  readonly network = new MemoryNetwork(this.clock, new Random(5));
  readonly taken: string[] = [];

  start(box: string, state: HandOver | undefined): void {
    let held = state;
    const others = STATE.boxes.filter((other) => other.box !== box);
    new Neighbours({
      clock: this.clock,
      edges: () => (held === undefined ? [] : others),
      inTouch: () => false,
      link: this.network.connect(box),
      needsState: () => held === undefined,
      regions: new Regions(),
      self: edgeOf(box),
      state: () => held,
      take: (handed, source) => {
        held = handed;
        this.taken.push(`${box} from ${source}`);
      },
    });
  }
}

describe('Neighbours', () => {
  test('hand what they serve from to an edge that knows nothing', async () => {
    const ring = new Ring();
    ring.start('a', STATE);
    ring.start('c', STATE);
    ring.start('d', STATE);
    await ring.clock.advance(3_000);
    ring.start('b', undefined);
    await ring.clock.advance(1_000);
    expect(ring.taken).toEqual(['b from a']);
  });

  test('reach it past one that is down, and over the end of the ring', async () => {
    const ring = new Ring();
    ring.start('c', STATE);
    ring.start('a', undefined);
    await ring.clock.advance(1_500);
    expect(ring.taken).toEqual(['a from c']);
  });

  test('hand nothing to one that has all it needs', async () => {
    const ring = new Ring();
    for (const {box} of STATE.boxes) {
      ring.start(box, STATE);
    }
    await ring.clock.advance(3_000);
    expect(ring.taken).toEqual([]);
  });
});
