/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {Encoder} from 'cbor-x';
import fc from 'fast-check';

import {EMPTY_ROLLOUTS, FleetMachine, ROLLOUT_STATE} from '../../index';
import type {
  RolloutRecord,
  RolloutRecordOutcome,
  RolloutVerdictRecord,
} from '../../RolloutRegistry';
import {configurationOf} from '../utils/FleetFixture';

// Guards against replicas that diverge, rollouts that start twice and outcomes that change.

function createMachine(onChange?: () => void): FleetMachine {
  const machine = new FleetMachine(onChange);
  const stored = {configuration: configurationOf(1), document: 'one'};
  machine.apply({kind: 'configuration', stored});
  return machine;
}

function applyRecord(machine: FleetMachine, record: RolloutRecord) {
  return (machine.apply(record) as RolloutRecordOutcome).order;
}

function stableVersionRecord(version: string) {
  return {kind: 'stable-version', service: 's', version} as const;
}

function orderRecord(targetVersion: string, knownNumber = 0, service = 's') {
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

function blockRecord(granted: number, elapsedMs = 0, number = 1) {
  return {
    counted: granted * 10,
    elapsedMs,
    granted,
    kind: 'exposure-block',
    number,
    service: 's',
  } as const;
}

function verdictRecord(
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

function getState(machine: FleetMachine): string | undefined {
  return machine.getVersions('s')?.rollout?.state;
}

// Guards against replicas that disagree on a rollout, and against repeated or late
// records that change its outcome.
describe('The rollout registry', () => {
  test('keeps the first stable version', () => {
    const machine = createMachine();
    applyRecord(machine, stableVersionRecord('v1'));
    applyRecord(machine, stableVersionRecord('v2'));
    expect(machine.getVersions('s')?.stableVersion).toBe('v1');
    expect(machine.rollouts.revision).toBe(1);
  });

  test('starts a rollout once if its order is repeated', () => {
    const machine = createMachine();
    expect(applyRecord(machine, orderRecord('v2'))).toBe('accepted');
    expect(applyRecord(machine, orderRecord('v2'))).toBe('accepted');
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

  test('rejects orders during a rollout and for unknown services', () => {
    const machine = createMachine();
    applyRecord(machine, orderRecord('v2'));
    expect(applyRecord(machine, orderRecord('v3'))).toBe('conflict');
    expect(applyRecord(machine, orderRecord('v2', 0, 'other'))).toBe(
      'unknown-service',
    );
    expect(machine.rollouts.revision).toBe(1);
  });

  test('makes the target the stable version when the rollout is completed', () => {
    const machine = createMachine();
    applyRecord(machine, orderRecord('v2'));
    applyRecord(machine, verdictRecord(ROLLOUT_STATE.shifting));
    expect(machine.getVersions('s')?.stableVersion).toBe('v1');
    applyRecord(machine, verdictRecord(ROLLOUT_STATE.completed));
    expect(machine.getVersions('s')?.stableVersion).toBe('v2');
    expect(applyRecord(machine, orderRecord('v2', 1))).toBe('accepted');
    expect(machine.getVersions('s')?.rollout?.number).toBe(1);
    applyRecord(machine, orderRecord('v3', 1));
    expect(machine.getVersions('s')?.rollout?.number).toBe(2);
  });

  test('completes a rollout to the version that already serves', () => {
    const machine = createMachine();
    applyRecord(machine, stableVersionRecord('v1'));
    expect(applyRecord(machine, orderRecord('v1'))).toBe('accepted');
    expect(getState(machine)).toBe(ROLLOUT_STATE.completed);
  });

  test('ignores verdicts after an outcome', () => {
    const machine = createMachine();
    applyRecord(machine, orderRecord('v2'));
    applyRecord(machine, verdictRecord(ROLLOUT_STATE.rolledBack));
    applyRecord(machine, verdictRecord(ROLLOUT_STATE.shifting));
    applyRecord(machine, verdictRecord(ROLLOUT_STATE.completed));
    expect(getState(machine)).toBe(ROLLOUT_STATE.rolledBack);
    expect(machine.getVersions('s')?.stableVersion).toBe('v1');
  });

  test('does not complete a rollout before its shift', () => {
    const machine = createMachine();
    applyRecord(machine, orderRecord('v2'));
    applyRecord(machine, verdictRecord(ROLLOUT_STATE.completed));
    expect(getState(machine)).toBe(ROLLOUT_STATE.exposing);
  });

  test('does not restart for a duplicate order written after the outcome', () => {
    const machine = createMachine();
    applyRecord(machine, orderRecord('v2', 0));
    applyRecord(machine, verdictRecord(ROLLOUT_STATE.rolledBack));
    expect(applyRecord(machine, orderRecord('v2', 0))).toBe('accepted');
    expect(getState(machine)).toBe(ROLLOUT_STATE.rolledBack);
    // With the number of the outcome it is a new order.
    applyRecord(machine, orderRecord('v2', 1));
    expect(machine.getVersions('s')?.rollout?.number).toBe(2);
  });

  test('ignores blocks of other orders and smaller blocks', () => {
    const machine = createMachine();
    applyRecord(machine, orderRecord('v2'));
    applyRecord(machine, blockRecord(20, 900));
    applyRecord(machine, blockRecord(10, 400));
    applyRecord(machine, blockRecord(90, 900, 2));
    expect(machine.getRolloutProgress('s')).toMatchObject({
      counted: 200,
      elapsedMs: 900,
      granted: 20,
    });
    // Boxes do not wait for blocks.
    expect(machine.rollouts.revision).toBe(1);
  });

  test('is restored from a snapshot, and empty after one without rollouts', () => {
    const machine = createMachine();
    const encoder = new Encoder({useRecords: false});
    const olderSnapshot = encoder.encode({
      granted: [],
      holders: [],
      stored: undefined,
    });
    applyRecord(machine, orderRecord('v2'));
    applyRecord(machine, blockRecord(20, 900));
    const restored = new FleetMachine();
    restored.restore(machine.snapshot());
    expect(restored.rollouts).toEqual(machine.rollouts);
    expect(restored.getRolloutProgress('s')).toEqual(
      machine.getRolloutProgress('s'),
    );
    restored.restore(olderSnapshot);
    expect(restored.rollouts).toEqual(EMPTY_ROLLOUTS);
  });

  const states = fc.constantFrom(...Object.values(ROLLOUT_STATE));
  const versions = fc.constantFrom('v1', 'v2', 'v3');
  const numbers = fc.integer({max: 4, min: 0});
  const records: fc.Arbitrary<RolloutRecord> = fc.oneof(
    versions.map(stableVersionRecord),
    fc
      .tuple(versions, numbers)
      .map(([version, knownNumber]) => orderRecord(version, knownNumber)),
    fc
      .tuple(fc.nat(100), fc.nat(9_000), numbers)
      .map(([granted, elapsedMs, number]) =>
        blockRecord(granted, elapsedMs, number),
      ),
    fc
      .tuple(states, numbers)
      .map(([state, number]) => verdictRecord(state, number)),
  );

  test('reaches the same state on all replicas, even if each record is applied twice', () => {
    fc.assert(
      fc.property(fc.array(records), fc.nat(40), (all, snapshotIndex) => {
        const reference = createMachine();
        let restored = createMachine();
        for (const [index, record] of all.entries()) {
          const before = reference.getVersions('s')?.rollout;
          reference.apply(record);
          restored.apply(record);
          restored.apply(record);
          if (index === snapshotIndex) {
            const snapshot = restored.snapshot();
            restored = new FleetMachine();
            restored.restore(snapshot);
          }
          const after = reference.getVersions('s')?.rollout;
          const hadOutcome =
            before?.state === ROLLOUT_STATE.completed ||
            before?.state === ROLLOUT_STATE.rolledBack;
          // An outcome is final, and numbers increase by one.
          if (hadOutcome && after?.number === before.number) {
            expect(after).toEqual(before);
          }
          const numberIncrease = (after?.number ?? 0) - (before?.number ?? 0);
          expect([0, 1]).toContain(numberIncrease);
        }
        expect(restored.rollouts).toEqual(reference.rollouts);
        expect(restored.getRolloutProgress('s')).toEqual(
          reference.getRolloutProgress('s'),
        );
      }),
      {numRuns: 300, seed: 11},
    );
  });

  test('notifies waiting boxes of changes only', () => {
    let notifications = 0;
    const machine = createMachine(() => (notifications += 1));
    const before = notifications;
    applyRecord(machine, orderRecord('v2'));
    expect(notifications).toBe(before + 1);
    applyRecord(machine, orderRecord('v2'));
    applyRecord(machine, blockRecord(20));
    expect(notifications).toBe(before + 1);
  });
});
