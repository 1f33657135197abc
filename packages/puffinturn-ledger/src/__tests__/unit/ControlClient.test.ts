/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random} from 'shared';

import type {ControlReply, LedgerRecord} from '../../index';
import {CONTROL_SERVICE, ControlClient} from '../../index';

const SWEEP: LedgerRecord = {at: 0, kind: 'sweep'};

function setUp() {
  const clock = new ManualClock();
  const network = new MemoryNetwork(clock, new Random(1));
  const client = (box: string, region: string, control: string) =>
    new ControlClient({
      box,
      clock,
      controlBoxes: [control],
      link: network.connect(box),
      region,
      relayBoxes: ['b'],
    });
  return {client, clock, network};
}

describe('ControlClient', () => {
  test('goes through another box when the leader cannot be reached, and that box asks its own region', async () => {
    const {client, clock, network} = setUp();
    const asked: string[] = [];
    for (const leader of ['north-leader', 'south-leader']) {
      network.connect(leader).register(CONTROL_SERVICE, async () => {
        asked.push(leader);
        return {kind: 'outcome', outcome: {kind: 'noted'}} as ControlReply;
      });
    }
    const link = network.connect('b');
    const parts = {box: 'b', clock, link, relayBoxes: []};
    const own = new ControlClient({
      ...parts,
      controlBoxes: ['north-leader'],
      region: 'north',
    });
    using _relay = own.serveRelay();
    // A box also has clients for other regions; they relay nothing.
    new ControlClient({
      ...parts,
      controlBoxes: ['south-leader'],
      region: 'south',
    });
    const cutOff = client('a', 'north', 'north-leader');
    network.cut('a', 'north-leader');
    let done = '';
    void cutOff
      .submit(SWEEP, {timeoutMs: 20_000})
      .map(({kind}) => (done = kind));
    await clock.advance(20_000);
    expect(done).toBe('noted');
    expect(new Set(asked)).toEqual(new Set(['north-leader']));
  });
});
