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
  await fleet.control('c3:1').acceptHeartbeat(RECORD);
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
        ? fleet.control(box).acceptDeregistration(RECORD.id, bornAt)
        : fleet.control(box).acceptHeartbeat(draining);
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
});
