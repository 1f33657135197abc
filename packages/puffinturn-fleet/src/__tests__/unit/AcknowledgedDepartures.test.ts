/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {UpstreamRecord} from '../../index';
import {UPSTREAM_STATE, UpstreamTable} from '../../index';
import {upstreamOf} from '../utils/FleetFixture';
import type {RecordingHandler} from '../utils/WatchedFleet';
import {advanceUntilSettled, CONTROLS, startFleet} from '../utils/WatchedFleet';

/** Time within which every edge must know an acknowledged departure, ms. */
const DRAIN_MS = 2_500;

const RECORD = upstreamOf({bornAt: 1_000, sequence: 5});

/** Reports that an upstream sends when it leaves. */
const DEPARTURES = ['draining heartbeat', 'deregistration'] as const;

/** Starts a fleet whose control boxes and one edge know an upstream. */
async function startKnownUpstream(boxes = CONTROLS) {
  const fleet = await startFleet(boxes);
  const edge = fleet.startWatch('e1:1');
  await fleet.clock.advance(1_500);
  const {upstreamControl} = fleet.control('c3:1');
  await advanceUntilSettled(
    fleet.clock,
    upstreamControl.acceptHeartbeat(RECORD),
  );
  await fleet.clock.advance(500);
  expect(stateAt(edge.handler)).toBe(UPSTREAM_STATE.ready);
  /** Announces the departure to a control box; returns whether it is acknowledged. */
  const leave = (
    box: string,
    departure: (typeof DEPARTURES)[number] = 'deregistration',
    reportsStart = true,
    onAcknowledged: () => void = () => undefined,
  ): Promise<boolean> => {
    const bornAt = reportsStart ? RECORD.bornAt : undefined;
    const draining = {...RECORD, sequence: 6, state: UPSTREAM_STATE.draining};
    const acknowledged =
      departure === 'deregistration'
        ? fleet
            .control(box)
            .upstreamControl.acceptDeregistration(RECORD.id, bornAt)
        : fleet.control(box).upstreamControl.acceptHeartbeat(draining);
    const reply = acknowledged.then((isAcknowledged) => {
      onAcknowledged();
      return isAcknowledged;
    });
    return advanceUntilSettled(fleet.clock, reply);
  };
  return {...fleet, edge, leave};
}

/** The state of the upstream at an edge; undefined if the edge does not know it. */
function stateAt({upstreamRecords}: RecordingHandler): string | undefined {
  return tableOf(upstreamRecords).get(RECORD.id)?.state;
}

function tableOf(records: readonly UpstreamRecord[]): UpstreamTable {
  const table = new UpstreamTable();
  for (const record of records) {
    table.merge(record, 0);
  }
  return table;
}

// An edge must not send requests to an upstream whose departure was acknowledged.
describe('An acknowledged departure', () => {
  test.each(DEPARTURES)(
    'outlives the control box that acknowledged a %s',
    async (departure) => {
      const {clock, edge, leave, network} = await startKnownUpstream();
      const cutOff = () =>
        network.partition(['c1:1'], ['c2:1', 'c3:1', 'e1:1']);
      expect(await leave('c1:1', departure, true, cutOff)).toBe(true);
      await clock.advance(DRAIN_MS);
      expect(stateAt(edge.handler)).not.toBe(UPSTREAM_STATE.ready);
    },
  );

  test.each(DEPARTURES)(
    'is not given for a %s by a control box without a quorum',
    async (departure) => {
      const {clock, edge, leave, network} = await startKnownUpstream();
      network.partition(['c1:1'], ['c2:1', 'c3:1', 'e1:1']);
      expect(await leave('c1:1', departure)).toBe(false);
      expect(await leave('c2:1', departure)).toBe(true);
      await clock.advance(DRAIN_MS);
      expect(stateAt(edge.handler)).not.toBe(UPSTREAM_STATE.ready);
    },
  );

  test('names the incarnation that a just started control box does not know', async () => {
    const {clock, control, edge, leave, network} = await startKnownUpstream();
    control('c1:1').upstreamControl.table.expire(Infinity);
    network.partition(['c1:1'], ['e1:1']);
    expect(await leave('c1:1', 'deregistration', false)).toBe(true);
    await clock.advance(DRAIN_MS);
    expect(stateAt(edge.handler)).not.toBe(UPSTREAM_STATE.ready);
  });

  test('is not given if no control box knows which incarnation leaves', async () => {
    const {control, leave} = await startKnownUpstream();
    for (const box of CONTROLS) {
      control(box).upstreamControl.table.expire(Infinity);
    }
    expect(await leave('c1:1', 'deregistration', false)).toBe(false);
  });

  test.each(DEPARTURES)(
    'by a %s is not undone by a later ready heartbeat of the same incarnation',
    async (departure) => {
      const {clock, control, edge, leave} = await startKnownUpstream();
      expect(await leave('c1:1', departure)).toBe(true);
      await clock.advance(100);
      await control('c2:1').upstreamControl.acceptHeartbeat({
        ...RECORD,
        sequence: 9,
      });
      await clock.advance(DRAIN_MS);
      const table = tableOf(edge.handler.upstreamRecords);
      expect(table.get(RECORD.id)?.state).not.toBe(UPSTREAM_STATE.ready);
      for (const box of CONTROLS) {
        const {state} = control(box).upstreamControl.table.get(RECORD.id) ?? {};
        expect(state).not.toBe(UPSTREAM_STATE.ready);
      }
    },
  );

  test('does not bind a later incarnation', async () => {
    const {clock, control, edge, leave} = await startKnownUpstream();
    expect(await leave('c1:1')).toBe(true);
    await clock.advance(100);
    const next = {...RECORD, bornAt: 2_000, sequence: 1};
    expect(await control('c2:1').upstreamControl.acceptHeartbeat(next)).toBe(
      true,
    );
    await clock.advance(DRAIN_MS);
    expect(stateAt(edge.handler)).toBe(UPSTREAM_STATE.ready);
  });

  test('reaches an edge from control boxes that have all forgotten the upstream', async () => {
    const {clock, control, edge, leave, network} = await startKnownUpstream();
    network.partition(['e1:1'], CONTROLS);
    expect(await leave('c1:1')).toBe(true);
    for (const box of CONTROLS) {
      control(box).upstreamControl.table.expire(Infinity);
    }
    // A delayed heartbeat must not register the upstream again.
    await control('c2:1').upstreamControl.acceptHeartbeat({
      ...RECORD,
      sequence: 5,
    });
    network.heal();
    await clock.advance(DRAIN_MS + 2_000);
    expect(stateAt(edge.handler)).not.toBe(UPSTREAM_STATE.ready);
  });
});
