/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {ManualClock} from 'shared';

import {FleetMachine} from '../../index';
import {RolloutClock} from '../../RolloutClock';
import {configurationOf} from '../utils/FleetFixture';

function orderedAt(clock: ManualClock): FleetMachine {
  const machine = new FleetMachine();
  const stored = {configuration: configurationOf(1), document: 'one'};
  machine.apply({kind: 'configuration', stored});
  order(machine, clock.wallTime());
  return machine;
}

function order(machine: FleetMachine, at: number): void {
  machine.apply({
    durationMs: 12_000,
    kind: 'rollout-order',
    knownNumber: 0,
    orderedAt: at,
    service: 's',
    stableVersion: 'v1',
    targetVersion: 'v2',
  });
}

function noteElapsed(machine: FleetMachine, elapsedMs: number): void {
  machine.apply({
    counted: 0,
    elapsedMs,
    granted: 0,
    kind: 'exposure-block',
    number: 1,
    service: 's',
  });
}

describe('The clock of roll-outs', () => {
  test('goes on from the order, and knows none without one', async () => {
    const clock = new ManualClock();
    const elapsed = new RolloutClock(clock, orderedAt(clock));
    expect(elapsed.elapsedOf('s')).toBe(0);
    await clock.advance(3_000);
    expect(elapsed.elapsedOf('s')).toBe(3_000);
    expect(elapsed.elapsedOf('other')).toBeUndefined();
  });

  test('takes over the time of a leader that heard of the order earlier', async () => {
    const clock = new ManualClock();
    const machine = orderedAt(clock);
    const elapsed = new RolloutClock(clock, machine);
    elapsed.look();
    await clock.advance(1_000);
    noteElapsed(machine, 1_400);
    expect(elapsed.elapsedOf('s')).toBe(1_400);
    await clock.advance(1_000);
    noteElapsed(machine, 1_500);
    expect(elapsed.elapsedOf('s')).toBe(2_400);
  });

  test('goes on after a start from the record, or the time of day if that is more', async () => {
    const clock = new ManualClock();
    const machine = orderedAt(clock);
    noteElapsed(machine, 4_000);
    expect(new RolloutClock(clock, machine).elapsedOf('s')).toBe(4_000);
    await clock.advance(9_000);
    expect(new RolloutClock(clock, machine).elapsedOf('s')).toBe(9_000);
  });

  test('takes an order that came since the last look for no older than that', async () => {
    const machine = new FleetMachine();
    const clock = new ManualClock();
    const elapsed = new RolloutClock(clock, machine);
    elapsed.look();
    await clock.advance(500);
    const stored = {configuration: configurationOf(1), document: 'one'};
    machine.apply({kind: 'configuration', stored});
    order(machine, clock.wallTime() - 5_000);
    expect(elapsed.elapsedOf('s')).toBe(500);
  });

  test('does not go back with a time of day that does', () => {
    const machine = orderedAt(new ManualClock());
    noteElapsed(machine, 2_000);
    const behind = new ManualClock(1_600_000_000_000);
    expect(new RolloutClock(behind, machine).elapsedOf('s')).toBe(2_000);
  });
});
