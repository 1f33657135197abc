/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against losing records when a box cannot reach the leader, and against
 * relays that forward them to the leader of another region.
 */
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random} from 'shared';

import type {ControlReply, LedgerRecord} from '../../index';
import {CONTROL_SERVICE, ControlClient} from '../../index';

const SWEEP: LedgerRecord = {at: 0, kind: 'sweep'};

function createFixture() {
  const clock = new ManualClock();
  const network = new MemoryNetwork(clock, new Random(1));
  const createClient = (box: string, region: string, controlBox: string) =>
    new ControlClient({
      box,
      clock,
      controlBoxes: [controlBox],
      link: network.connect(box),
      region,
      relayBoxes: ['b'],
    });
  return {clock, createClient, network};
}

describe('ControlClient', () => {
  test('relays a record through another box to the leader of its own region', async () => {
    const {clock, createClient, network} = createFixture();
    const askedLeaders: string[] = [];
    for (const leader of ['north-leader', 'south-leader']) {
      network.connect(leader).register(CONTROL_SERVICE, async () => {
        askedLeaders.push(leader);
        return {kind: 'outcome', outcome: {kind: 'noted'}} as ControlReply;
      });
    }
    const link = network.connect('b');
    const parts = {box: 'b', clock, link, relayBoxes: []};
    const relayingClient = new ControlClient({
      ...parts,
      controlBoxes: ['north-leader'],
      region: 'north',
    });
    using _relay = relayingClient.serveRelay();
    // Clients for other regions do not serve the relay.
    new ControlClient({
      ...parts,
      controlBoxes: ['south-leader'],
      region: 'south',
    });
    const isolatedClient = createClient('a', 'north', 'north-leader');
    network.dropMessages('a', 'north-leader');
    let outcomeKind = '';
    void isolatedClient
      .submit(SWEEP, {timeoutMs: 20_000})
      .map(({kind}) => (outcomeKind = kind));
    await clock.advance(20_000);
    expect(outcomeKind).toBe('noted');
    expect(new Set(askedLeaders)).toEqual(new Set(['north-leader']));
  });
});
