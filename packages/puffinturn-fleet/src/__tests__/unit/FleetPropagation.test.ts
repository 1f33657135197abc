/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {NoopDecisionLog} from 'puffinturn-decisions';
import {MemoryNetwork} from 'puffinturn-wire';
import {invariant, ManualClock, Random} from 'shared';

import type {WatchReply, WatchRequest} from '../../index';
import {
  BOX_ROLE,
  FLEET_SERVICE,
  FleetWatch,
  UPSTREAM_STATE,
  UpstreamTable,
} from '../../index';
import {configurationOf, upstreamOf} from '../utils/FleetFixture';
import {
  advanceUntilSettled,
  CONTROLS,
  RecordingHandler,
  startFleet,
} from '../utils/WatchedFleet';

/** Timing of a partition and of the configuration changes during it. */
interface ChangeSchedule {
  readonly boxes: readonly string[];
  /** Whether the edge can't reach the partitioned control boxes either. */
  readonly isolatesEdge: boolean;
  readonly changeIntervalMs: number;
  /** From the end of the start-up to the partition. */
  readonly partitionDelayMs: number;
  /** From the partition to the first change. */
  readonly firstChangeDelayMs: number;
}

/**
 * Measures the times between the acknowledgement of each change and its arrival at an
 * edge, ms, while some control boxes are partitioned from the others.
 */
async function delaysDuringPartition(
  partitioned: readonly string[],
  {
    boxes,
    changeIntervalMs,
    partitionDelayMs,
    isolatesEdge,
    firstChangeDelayMs,
  }: ChangeSchedule,
): Promise<number[]> {
  const {clock, control, network, startWatch} = await startFleet(boxes);
  const {handler} = startWatch('e1:1');
  await clock.advance(5_000 + partitionDelayMs);
  const others = boxes.filter((box) => !partitioned.includes(box));
  network.partition(partitioned, isolatesEdge ? [...others, 'e1:1'] : others);
  await clock.advance(firstChangeDelayMs);
  const [reachable = ''] = others;
  const acknowledgedAt = new Map<number, number>();
  const delaysMs: number[] = [];
  for (let at = 0; at < 6_000; at += 10) {
    const version = 10 + at / changeIntervalMs;
    if (Number.isInteger(version)) {
      const stored = {
        configuration: configurationOf(version),
        document: 'changed',
      };
      void control(reachable)
        .changeConfiguration(stored)
        .then(({accepted}) => {
          if (accepted) {
            acknowledgedAt.set(version, clock.now());
          }
        });
    }
    await clock.advance(10);
    const held = handler.configurationVersion;
    for (const [version, since] of acknowledgedAt) {
      if (version <= held) {
        delaysMs.push(clock.now() - since);
        acknowledgedAt.delete(version);
      }
    }
  }
  invariant(
    acknowledgedAt.size === 0,
    'every acknowledged change must reach the edge',
  );
  return delaysMs;
}

// Guards against acknowledged changes that don't reach every edge, or reach it late, and
// against changes that are accepted without a quorum.
describe('Fleet propagation', () => {
  test('accepts a change at any control box and sends it to edges without delay', async () => {
    const {clock, control, startWatch} = await startFleet();
    const {handler} = startWatch('e1:1');
    await clock.advance(1_500);
    const stored = {configuration: configurationOf(7), document: 'seven'};
    for (const box of CONTROLS) {
      const reply = await advanceUntilSettled(
        clock,
        control(box).changeConfiguration(stored),
      );
      expect(reply).toEqual({accepted: true, heldVersion: 7});
    }
    await clock.advance(200);
    expect(handler.configurationHeld?.version).toBe(7);
    const read = await advanceUntilSettled(
      clock,
      control('c2:1').readConfiguration(),
    );
    expect(read).toEqual({current: true, document: 'seven'});
  });

  test('accepts an evacuation at any control box and sends it to edges without delay', async () => {
    const {clock, control, startWatch} = await startFleet();
    const {handler} = startWatch('e1:1');
    await clock.advance(1_500);
    for (const box of CONTROLS) {
      const request = {evacuated: true, hall: 'z'};
      const reply = await advanceUntilSettled(
        clock,
        control(box).setEvacuated(request),
      );
      expect(reply).toEqual({accepted: true});
    }
    await clock.advance(200);
    expect(handler.evacuationsHeld).toEqual({halls: ['z'], revision: 1});
    const back = {evacuated: false, hall: 'z'};
    await advanceUntilSettled(clock, control('c2:1').setEvacuated(back));
    await clock.advance(200);
    expect(handler.evacuationsHeld).toEqual({halls: [], revision: 2});
  });

  test('rejects an evacuation without a quorum, and sends an accepted one after a partition', async () => {
    const {clock, control, network, startWatch} = await startFleet();
    const {handler} = startWatch('e1:1');
    await clock.advance(1_500);
    network.partition(['e1:1'], CONTROLS);
    const request = {evacuated: true, hall: 'z'};
    await advanceUntilSettled(clock, control('c1:1').setEvacuated(request));
    await clock.advance(2_000);
    expect(handler.evacuationsHeld.halls).toEqual([]);
    network.heal();
    await clock.advance(3_000);
    expect(handler.evacuationsHeld.halls).toEqual(['z']);
    network.partition(['c1:1'], ['c2:1', 'c3:1']);
    network.partition(['c2:1'], ['c3:1']);
    const other = {evacuated: true, hall: 'y'};
    const reply = await advanceUntilSettled(
      clock,
      control('c1:1').setEvacuated(other),
    );
    expect(reply.accepted).toBe(false);
  });

  test.each(CONTROLS)(
    'does not let a delayed copy of an evacuation at %s undo a newer order',
    async (delayed) => {
      const {clock, control, network, startWatch} = await startFleet();
      const {handler} = startWatch('e1:1');
      await clock.advance(1_500);
      const others = CONTROLS.filter((box) => box !== delayed);
      others.forEach((box) => network.holdMessages(delayed, box));
      const begin = {evacuated: true, hall: 'z'};
      await advanceUntilSettled(clock, control(delayed).setEvacuated(begin));
      const [other = ''] = others;
      for (const order of [begin, {evacuated: false, hall: 'z'}]) {
        let isAccepted = false;
        while (!isAccepted) {
          const reply = control(other).setEvacuated(order);
          isAccepted = (await advanceUntilSettled(clock, reply)).accepted;
          await clock.advance(500);
        }
      }
      network.heal();
      await clock.advance(3_000);
      expect(handler.evacuationsHeld.halls).toEqual([]);
      const again = control(delayed).setEvacuated(begin);
      expect(await advanceUntilSettled(clock, again)).toEqual({accepted: true});
    },
  );

  test('neither accepts nor reads a configuration without a quorum', async () => {
    const {clock, control, network} = await startFleet();
    const stored = {configuration: configurationOf(7), document: 'seven'};
    await advanceUntilSettled(
      clock,
      control('c1:1').changeConfiguration(stored),
    );
    network.partition(['c1:1'], ['c2:1', 'c3:1']);
    network.partition(['c2:1'], ['c3:1']);
    const later = {configuration: configurationOf(8), document: 'eight'};
    const reply = await advanceUntilSettled(
      clock,
      control('c1:1').changeConfiguration(later),
    );
    expect(reply.accepted).toBe(false);
    const read = await advanceUntilSettled(
      clock,
      control('c1:1').readConfiguration(),
    );
    expect(read.current).toBe(false);
  });

  test('sends an upstream that registered at one control box to edges', async () => {
    const {clock, control, startWatch} = await startFleet();
    const {handler} = startWatch('e1:1');
    await clock.advance(1_500);
    control('c3:1').upstreamControl.mergeRecord(upstreamOf());
    await clock.advance(100);
    expect(handler.upstreamRecords.map(({id}) => id)).toContain('i-1');
    void control('c1:1').upstreamControl.acceptDeregistration('i-1');
    await clock.advance(100);
    expect(handler.upstreamRecords.at(-1)?.state).toBe(UPSTREAM_STATE.gone);
  });

  test('sends an edge the changes that it missed during a partition', async () => {
    const {clock, control, network, startWatch} = await startFleet();
    const {handler, watch} = startWatch('e1:1');
    await clock.advance(1_500);
    expect(watch.isConnected).toBe(true);
    expect(watch.isCurrent).toBe(true);
    network.partition(['e1:1'], CONTROLS);
    await clock.advance(4_000);
    expect(watch.isConnected).toBe(false);
    const stored = {configuration: configurationOf(9), document: 'nine'};
    await advanceUntilSettled(
      clock,
      control('c1:1').changeConfiguration(stored),
    );
    network.heal();
    await clock.advance(2_500);
    expect(handler.configurationHeld?.version).toBe(9);
  });

  test('converges on the newest incarnation of an upstream regardless of message order', async () => {
    const {clock, control, network, startWatch} = await startFleet();
    const {handler} = startWatch('e1:1');
    await clock.advance(1_000);
    const oldRecord = upstreamOf({bornAt: 1_000, sequence: 70});
    const newRecord = upstreamOf({bornAt: 2_000, sequence: 1, version: 'v2'});
    control('c1:1').upstreamControl.mergeRecord(oldRecord);
    await clock.advance(500);
    // The new incarnation registers on one side of a partition; late heartbeats of the old
    // one arrive on the other side.
    network.partition(['c3:1'], ['c1:1', 'c2:1']);
    control('c1:1').upstreamControl.mergeRecord(newRecord);
    control('c3:1').upstreamControl.mergeRecord({...oldRecord, sequence: 71});
    void control('c3:1').upstreamControl.acceptDeregistration('i-1', 1_000);
    await clock.advance(1_000);
    network.heal();
    control('c2:1').upstreamControl.mergeRecord({...oldRecord, sequence: 72});
    void control('c2:1').upstreamControl.acceptDeregistration('i-1', 1_000);
    await clock.advance(5_000);
    const edge = new UpstreamTable();
    for (const record of handler.upstreamRecords) {
      edge.merge(record, 0);
    }
    for (const box of CONTROLS) {
      expect(control(box).upstreamControl.table.get('i-1')).toMatchObject(
        newRecord,
      );
    }
    expect(edge.get('i-1')).toMatchObject(newRecord);
  });

  test('sends an edge the difference from its current version', async () => {
    const {clock, control, startWatch} = await startFleet();
    const {handler} = startWatch('e1:1');
    await clock.advance(1_500);
    for (const version of [7, 9, 12]) {
      const configuration = configurationOf(version);
      const stored = {configuration, document: String(version)};
      await advanceUntilSettled(
        clock,
        control('c1:1').changeConfiguration(stored),
      );
      await clock.advance(200);
      expect(handler.configurationHeld).toEqual(configuration);
    }
    expect(handler.changeCount).toBe(2);
  });

  test('lists all boxes to every edge, whichever control boxes it polls', async () => {
    const {clock, startWatch} = await startFleet();
    const edges = ['e1:1', 'e2:1', 'e3:1', 'e4:1', 'e5:1'];
    const watches = edges.map((box) => startWatch(box));
    await clock.advance(5_000);
    for (const {handler} of watches) {
      const known = handler.boxRecords.map(({box}) => box);
      expect(known.sort()).toEqual([...CONTROLS, ...edges].sort());
    }
  });

  test('polls another control box when a polled one is unreachable', async () => {
    const {clock, control, network, startWatch} = await startFleet();
    const {handler, watch} = startWatch('e1:1');
    await clock.advance(5_000);
    for (const [at, box] of CONTROLS.entries()) {
      network.partition(['e1:1'], [box]);
      await clock.advance(3_000);
      expect(watch.isConnected).toBe(true);
      const configuration = configurationOf(20 + at);
      const stored = {configuration, document: 'changed'};
      await advanceUntilSettled(
        clock,
        control(box).changeConfiguration(stored),
      );
      await clock.advance(300);
      expect(handler.configurationHeld?.version).toBe(20 + at);
      network.heal();
    }
  });

  test('does not depend on a control box that is partitioned from the others', async () => {
    const {clock, control, network, startWatch} = await startFleet();
    const {handler} = startWatch('e1:1', 1);
    await clock.advance(5_000);
    for (const [at, box] of CONTROLS.entries()) {
      const others = CONTROLS.filter((other) => other !== box);
      network.partition([box], others);
      await clock.advance(3_000);
      const configuration = configurationOf(30 + at);
      const stored = {configuration, document: 'changed'};
      const [reachable = ''] = others;
      const reply = await advanceUntilSettled(
        clock,
        control(reachable).changeConfiguration(stored),
      );
      expect(reply.accepted).toBe(true);
      await clock.advance(500);
      expect(handler.configurationHeld?.version).toBe(30 + at);
      network.heal();
      await clock.advance(3_000);
    }
  });

  // Guards against late changes when the preferred control box lacks a quorum but still
  // replies: each newer version used to restart the wait for an overdue one.
  test('delivers every change within 1 s while any one control box is partitioned', async () => {
    const delaysMs: number[] = [];
    for (const partitioned of CONTROLS) {
      for (const partitionDelayMs of [0, 400, 800, 1_200, 1_600]) {
        for (const firstChangeDelayMs of [300, 900, 1_500]) {
          for (const changeIntervalMs of [1_600, 2_400]) {
            const schedule = {
              boxes: CONTROLS,
              changeIntervalMs,
              partitionDelayMs,
              isolatesEdge: false,
              firstChangeDelayMs,
            };
            delaysMs.push(
              ...(await delaysDuringPartition([partitioned], schedule)),
            );
          }
        }
      }
    }
    expect(Math.max(...delaysMs)).toBeLessThan(1_000);
  });

  // Guards against waiting for two partitioned control boxes one after the other.
  test.each([false, true])(
    'delivers every change in 1.6 s while two of five are partitioned, unreachable: %s',
    async (isolatesEdge) => {
      const boxes = [...CONTROLS, 'c4:1', 'c5:1'];
      const delaysMs: number[] = [];
      for (const first of boxes) {
        for (const second of boxes.filter((box) => box > first)) {
          for (const partitionDelayMs of [0, 700, 1_400]) {
            const schedule = {
              boxes,
              changeIntervalMs: 2_400,
              partitionDelayMs,
              isolatesEdge,
              firstChangeDelayMs: 300,
            };
            const someDelaysMs = await delaysDuringPartition(
              [first, second],
              schedule,
            );
            delaysMs.push(...someDelaysMs);
          }
        }
      }
      expect(Math.max(...delaysMs)).toBeLessThan(1_600);
    },
  );

  test('confirms a barrier without delay when there are no updates', async () => {
    const {clock, network} = await startFleet();
    const link = network.connect('e1:1');
    const self = {box: 'e1:1', hall: 'z', incarnation: '1'};
    const sendWatch = async (
      box: string,
      fields: Partial<WatchRequest>,
    ): Promise<WatchReply> => {
      const request: WatchRequest = {
        boxesRevision: -1,
        brief: false,
        configurationVersion: -Infinity,
        current: false,
        evacuationRevision: 0,
        from: {...self, role: BOX_ROLE.edge},
        incarnation: '',
        upstreamsRevision: 0,
        waitMs: 0,
        ...fields,
      };
      const call = link.call(box, FLEET_SERVICE.watch, request, 20_000);
      const result = await advanceUntilSettled(clock, Promise.resolve(call));
      invariant(result.isOk(), 'the control box must reply');
      return result.value as WatchReply;
    };
    const leader = (await sendWatch('c1:1', {})).leader ?? '';
    const {incarnation, upstreamsRevision} = await sendWatch(leader, {});
    const before = clock.now();
    const upToDate = {incarnation, upstreamsRevision, waitMs: 3_000};
    const reply = await sendWatch(leader, {...upToDate, current: true});
    expect(reply.current).toBe(true);
    expect(clock.now() - before).toBeLessThan(500);
  });

  test('sends the boxes only when they have changed', async () => {
    const {clock, startWatch} = await startFleet();
    const {handler} = startWatch('e1:1');
    // The control box that is no longer polled removes this edge after 15 s.
    await clock.advance(19_000);
    const before = handler.boxListCount;
    await clock.advance(10_000);
    expect(handler.boxListCount).toBe(before);
  });

  test('sends only the version number of a configuration in a brief reply', async () => {
    const {clock, control, network} = await startFleet();
    const stored = {configuration: configurationOf(7), document: 'seven'};
    await advanceUntilSettled(
      clock,
      control('c1:1').changeConfiguration(stored),
    );
    await clock.advance(500);
    const briefRequest: WatchRequest = {
      boxesRevision: -1,
      brief: true,
      configurationVersion: -Infinity,
      current: false,
      evacuationRevision: 0,
      from: {box: 'e1:1', hall: 'z', incarnation: '1', role: BOX_ROLE.edge},
      incarnation: '',
      upstreamsRevision: 0,
      waitMs: 100,
    };
    const link = network.connect('e1:1');
    const sendWatch = async (request: WatchRequest): Promise<WatchReply> => {
      const result = await advanceUntilSettled(
        clock,
        Promise.resolve(link.call('c2:1', FLEET_SERVICE.watch, request, 500)),
      );
      invariant(result.isOk(), 'the control box must reply');
      return result.value as WatchReply;
    };
    const briefReply = await sendWatch(briefRequest);
    expect(briefReply.configuration).toBeUndefined();
    expect(briefReply.boxes).toBeUndefined();
    expect(briefReply.heldVersion).toBe(7);
    const fullReply = await sendWatch({...briefRequest, brief: false});
    expect(fullReply.configuration?.version).toBe(7);
    expect(fullReply.boxes?.changed.length).toBeGreaterThan(0);
  });

  test('requests a version that the preferred control box lacks from the others', async () => {
    const clock = new ManualClock();
    const network = new MemoryNetwork(clock, new Random(3));
    const versions = new Map([
      ['c1:1', 1],
      ['c2:1', 2],
    ]);
    for (const [box, version] of versions) {
      const link = network.connect(box);
      link.register(FLEET_SERVICE.watch, async (body) => {
        const request = body as WatchRequest;
        await clock.sleep(100);
        const sendsConfiguration =
          !request.brief && version > request.configurationVersion;
        const reply: WatchReply = {
          boxes: {
            changed: [
              // The control box of the own hall is preferred.
              {box: 'c1:1', hall: 'z', incarnation: '1', role: 'control'},
              {box: 'c2:1', hall: 'y', incarnation: '1', role: 'control'},
            ],
            gone: [],
          },
          boxesRevision: 1,
          configuration: sendsConfiguration
            ? configurationOf(version)
            : undefined,
          configurationChange: undefined,
          current: true,
          evacuations: undefined,
          heldVersion: version,
          incarnation: '1',
          leader: 'c1:1',
          upstreams: [],
          upstreamsRevision: 0,
        };
        return reply;
      });
    }
    const handler = new RecordingHandler();
    new FleetWatch({
      maxPolledControls: 2,
      clock,
      link: network.connect('e1:1'),
      log: new NoopDecisionLog(),
      updateHandler: handler,
      seeds: () => ['c1:1', 'c2:1'],
      self: {box: 'e1:1', hall: 'z', incarnation: '1', role: BOX_ROLE.edge},
    });
    await clock.advance(1_500);
    expect(handler.configurationHeld?.version).toBe(2);
  });
});
