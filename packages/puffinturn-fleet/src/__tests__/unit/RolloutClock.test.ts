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

// Guards against deadlines that move when the leader changes, a box restarts or a wall
// clock jumps.

function createMachineWithOrder(clock: ManualClock): FleetMachine {
  const machine = new FleetMachine();
  const stored = {configuration: configurationOf(1), document: 'one'};
  machine.apply({kind: 'configuration', stored});
  applyOrder(machine, clock.wallTime());
  return machine;
}

function applyOrder(machine: FleetMachine, orderedAt: number): void {
  machine.apply({
    durationMs: 12_000,
    kind: 'rollout-order',
    knownNumber: 0,
    orderedAt,
    service: 's',
    stableVersion: 'v1',
    targetVersion: 'v2',
  });
}

function recordElapsed(machine: FleetMachine, elapsedMs: number): void {
  machine.apply({
    counted: 0,
    elapsedMs,
    granted: 0,
    kind: 'exposure-block',
    number: 1,
    service: 's',
  });
}

// Guards against rollouts that restart or exceed their time after a change of leader, a
// restart or a change of the wall clock.
describe('The rollout clock', () => {
  test('measures the time since the order, and returns undefined without one', async () => {
    const clock = new ManualClock();
    const rolloutClock = new RolloutClock(clock, createMachineWithOrder(clock));
    expect(rolloutClock.getElapsedMs('s')).toBe(0);
    await clock.advance(3_000);
    expect(rolloutClock.getElapsedMs('s')).toBe(3_000);
    expect(rolloutClock.getElapsedMs('other')).toBeUndefined();
  });

  test('adopts a longer elapsed time recorded by another leader', async () => {
    const clock = new ManualClock();
    const machine = createMachineWithOrder(clock);
    const rolloutClock = new RolloutClock(clock, machine);
    rolloutClock.refresh();
    await clock.advance(1_000);
    recordElapsed(machine, 1_400);
    expect(rolloutClock.getElapsedMs('s')).toBe(1_400);
    await clock.advance(1_000);
    recordElapsed(machine, 1_500);
    expect(rolloutClock.getElapsedMs('s')).toBe(2_400);
  });

  test('resumes after a restart from the record or the wall clock, whichever is longer', async () => {
    const clock = new ManualClock();
    const machine = createMachineWithOrder(clock);
    recordElapsed(machine, 4_000);
    expect(new RolloutClock(clock, machine).getElapsedMs('s')).toBe(4_000);
    await clock.advance(9_000);
    expect(new RolloutClock(clock, machine).getElapsedMs('s')).toBe(9_000);
  });

  test('treats a new order as no older than the last refresh', async () => {
    const machine = new FleetMachine();
    const clock = new ManualClock();
    const rolloutClock = new RolloutClock(clock, machine);
    rolloutClock.refresh();
    await clock.advance(500);
    const stored = {configuration: configurationOf(1), document: 'one'};
    machine.apply({kind: 'configuration', stored});
    applyOrder(machine, clock.wallTime() - 5_000);
    expect(rolloutClock.getElapsedMs('s')).toBe(500);
  });

  test('does not decrease if the wall clock goes back', () => {
    const machine = createMachineWithOrder(new ManualClock());
    recordElapsed(machine, 2_000);
    const slowClock = new ManualClock(1_600_000_000_000);
    expect(new RolloutClock(slowClock, machine).getElapsedMs('s')).toBe(2_000);
  });
});
