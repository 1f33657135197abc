/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {Encoder} from 'cbor-x';
import fc from 'fast-check';

import {FleetMachine, NO_ROLLOUTS, ROLLOUT_STATE} from '../../index';
import type {
  RolloutRecord,
  RolloutRecordOutcome,
  RolloutVerdictRecord,
} from '../../RolloutRegister';
import {configurationOf} from '../utils/FleetFixture';

function machineFor(onChange?: () => void): FleetMachine {
  const machine = new FleetMachine(onChange);
  const stored = {configuration: configurationOf(1), document: 'one'};
  machine.apply({kind: 'configuration', stored});
  return machine;
}

function applyTo(machine: FleetMachine, record: RolloutRecord) {
  return (machine.apply(record) as RolloutRecordOutcome).order;
}

function stable(version: string) {
  return {kind: 'stable-version', service: 's', version} as const;
}

function order(targetVersion: string, knownNumber = 0, service = 's') {
  return {
    durationMs: 12_000,
    kind: 'rollout-order',
    knownNumber,
    orderedAt: 1_000,
    service,
    stableVersion: 'v1',
    targetVersion,
  } as const;
}

function block(granted: number, elapsedMs = 0, number = 1) {
  return {
    counted: granted * 10,
    elapsedMs,
    granted,
    kind: 'exposure-block',
    number,
    service: 's',
  } as const;
}

function verdict(
  state: RolloutVerdictRecord['state'],
  number = 1,
): RolloutVerdictRecord {
  return {
    cause: 'good',
    elapsedMs: 7_000,
    figures: [],
    kind: 'rollout-verdict',
    number,
    service: 's',
    state,
  };
}

function stateOf(machine: FleetMachine): string | undefined {
  return machine.versionsOf('s')?.rollout?.state;
}

describe('The register of roll-outs', () => {
  test('keeps the first stable version that it is told', () => {
    const machine = machineFor();
    applyTo(machine, stable('v1'));
    applyTo(machine, stable('v2'));
    expect(machine.versionsOf('s')?.stableVersion).toBe('v1');
    expect(machine.rollouts.revision).toBe(1);
  });

  test('begins a roll-out once, however often its order comes', () => {
    const machine = machineFor();
    expect(applyTo(machine, order('v2'))).toBe('accepted');
    expect(applyTo(machine, order('v2'))).toBe('accepted');
    expect(machine.rollouts).toEqual({
      revision: 1,
      services: [
        {
          rollout: {
            durationMs: 12_000,
            number: 1,
            state: ROLLOUT_STATE.exposing,
            targetVersion: 'v2',
          },
          service: 's',
          stableVersion: 'v1',
        },
      ],
    });
  });

  test('takes no other order while one is under way, and none for unknown services', () => {
    const machine = machineFor();
    applyTo(machine, order('v2'));
    expect(applyTo(machine, order('v3'))).toBe('conflict');
    expect(applyTo(machine, order('v2', 0, 'other'))).toBe('unknown-service');
    expect(machine.rollouts.revision).toBe(1);
  });

  test('makes the target the stable version once it is completed', () => {
    const machine = machineFor();
    applyTo(machine, order('v2'));
    applyTo(machine, verdict(ROLLOUT_STATE.shifting));
    expect(machine.versionsOf('s')?.stableVersion).toBe('v1');
    applyTo(machine, verdict(ROLLOUT_STATE.completed));
    expect(machine.versionsOf('s')?.stableVersion).toBe('v2');
    expect(applyTo(machine, order('v2', 1))).toBe('accepted');
    expect(machine.versionsOf('s')?.rollout?.number).toBe(1);
    applyTo(machine, order('v3', 1));
    expect(machine.versionsOf('s')?.rollout?.number).toBe(2);
  });

  test('knows a version that serves already as completed', () => {
    const machine = machineFor();
    applyTo(machine, stable('v1'));
    expect(applyTo(machine, order('v1'))).toBe('accepted');
    expect(stateOf(machine)).toBe(ROLLOUT_STATE.completed);
  });

  test('ends a roll-out once: no verdict follows an outcome', () => {
    const machine = machineFor();
    applyTo(machine, order('v2'));
    applyTo(machine, verdict(ROLLOUT_STATE.rolledBack));
    applyTo(machine, verdict(ROLLOUT_STATE.shifting));
    applyTo(machine, verdict(ROLLOUT_STATE.completed));
    expect(stateOf(machine)).toBe(ROLLOUT_STATE.rolledBack);
    expect(machine.versionsOf('s')?.stableVersion).toBe('v1');
  });

  test('does not complete what was never shifted', () => {
    const machine = machineFor();
    applyTo(machine, order('v2'));
    applyTo(machine, verdict(ROLLOUT_STATE.completed));
    expect(stateOf(machine)).toBe(ROLLOUT_STATE.exposing);
  });

  test('does not begin anew for a copy that is written behind the outcome', () => {
    const machine = machineFor();
    applyTo(machine, order('v2', 0));
    applyTo(machine, verdict(ROLLOUT_STATE.rolledBack));
    expect(applyTo(machine, order('v2', 0))).toBe('accepted');
    expect(stateOf(machine)).toBe(ROLLOUT_STATE.rolledBack);
    // Once the outcome is known to who orders, it is another order.
    applyTo(machine, order('v2', 1));
    expect(machine.versionsOf('s')?.rollout?.number).toBe(2);
  });

  test('takes blocks of the newest order only, and never a smaller one', () => {
    const machine = machineFor();
    applyTo(machine, order('v2'));
    applyTo(machine, block(20, 900));
    applyTo(machine, block(10, 400));
    applyTo(machine, block(90, 900, 2));
    expect(machine.rolloutProgressOf('s')).toMatchObject({
      counted: 200,
      elapsedMs: 900,
      granted: 20,
    });
    // Nobody waits for a block.
    expect(machine.rollouts.revision).toBe(1);
  });

  test('is there again after a snapshot, and empty in an older one', () => {
    const machine = machineFor();
    const encoder = new Encoder({useRecords: false});
    const former = encoder.encode({
      granted: [],
      holders: [],
      stored: undefined,
    });
    applyTo(machine, order('v2'));
    applyTo(machine, block(20, 900));
    const restored = new FleetMachine();
    restored.restore(machine.snapshot());
    expect(restored.rollouts).toEqual(machine.rollouts);
    expect(restored.rolloutProgressOf('s')).toEqual(
      machine.rolloutProgressOf('s'),
    );
    restored.restore(former);
    expect(restored.rollouts).toEqual(NO_ROLLOUTS);
  });

  const states = fc.constantFrom(...Object.values(ROLLOUT_STATE));
  const versions = fc.constantFrom('v1', 'v2', 'v3');
  const numbers = fc.integer({max: 4, min: 0});
  const records: fc.Arbitrary<RolloutRecord> = fc.oneof(
    versions.map(stable),
    fc.tuple(versions, numbers).map(([to, known]) => order(to, known)),
    fc
      .tuple(fc.nat(100), fc.nat(9_000), numbers)
      .map(([granted, elapsed, number]) => block(granted, elapsed, number)),
    fc.tuple(states, numbers).map(([state, at]) => verdict(state, at)),
  );

  test('is the same wherever the same records are applied, also each one twice', () => {
    fc.assert(
      fc.property(fc.array(records), fc.nat(40), (all, cut) => {
        const whole = machineFor();
        let resumed = machineFor();
        for (const [at, record] of all.entries()) {
          const before = whole.versionsOf('s')?.rollout;
          whole.apply(record);
          resumed.apply(record);
          resumed.apply(record);
          if (at === cut) {
            const image = resumed.snapshot();
            resumed = new FleetMachine();
            resumed.restore(image);
          }
          const after = whole.versionsOf('s')?.rollout;
          const isOver =
            before?.state === ROLLOUT_STATE.completed ||
            before?.state === ROLLOUT_STATE.rolledBack;
          // An outcome is final, and numbers grow by one.
          if (isOver && after?.number === before.number) {
            expect(after).toEqual(before);
          }
          const numbersGrow = (after?.number ?? 0) - (before?.number ?? 0);
          expect([0, 1]).toContain(numbersGrow);
        }
        expect(resumed.rollouts).toEqual(whole.rollouts);
        expect(resumed.rolloutProgressOf('s')).toEqual(
          whole.rolloutProgressOf('s'),
        );
      }),
      {numRuns: 300, seed: 11},
    );
  });

  test('tells those who wait of changes and of nothing else', () => {
    let told = 0;
    const machine = machineFor(() => (told += 1));
    const before = told;
    applyTo(machine, order('v2'));
    expect(told).toBe(before + 1);
    applyTo(machine, order('v2'));
    applyTo(machine, block(20));
    expect(told).toBe(before + 1);
  });
});
