/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import fc from 'fast-check';
import {EMPTY_QUARANTINE} from 'puffinturn-quarantine';

import type {CrashReportRecord} from '../../FleetMachine';
import {FleetMachine} from '../../FleetMachine';

const SECOND_MS = 1_000;

function createRecord(
  at: number,
  incarnationId: string,
  ...fingerprints: string[]
): CrashReportRecord {
  const crashes = [{agoMs: 0, fingerprints, life: incarnationId}];
  return {at, kind: 'crash-report', report: {answered: [], crashes}};
}

/** Reports three crashes that involve the same request. */
function reportThreeCrashes(machine: FleetMachine): void {
  for (const [index, incarnationId] of ['a', 'b', 'c'].entries()) {
    machine.apply(createRecord(index * SECOND_MS, incarnationId, 'f'));
  }
}

// All replicas must agree on the quarantine, also after a restore from a snapshot.
describe('Replicated quarantine', () => {
  test('is restored from a snapshot, and an earlier snapshot clears it', () => {
    const machine = new FleetMachine();
    const empty = machine.snapshot();
    reportThreeCrashes(machine);
    const restored = new FleetMachine();
    restored.restore(machine.snapshot());
    expect(restored.quarantine).toEqual({
      fingerprints: ['f'],
      revision: 2,
      suspects: [],
    });
    restored.restore(empty);
    expect(restored.quarantine).toEqual(EMPTY_QUARANTINE);
  });

  test('calls the listener on changes, with requests that are one crash from quarantine', () => {
    let notifications = 0;
    const machine = new FleetMachine(() => (notifications += 1));
    machine.apply(createRecord(0, 'a', 'f'));
    expect(notifications).toBe(0);
    machine.apply(createRecord(SECOND_MS, 'b', 'f'));
    expect(notifications).toBe(1);
    expect(machine.quarantine.suspects).toEqual(['f']);
    machine.apply(createRecord(2 * SECOND_MS, 'c', 'f'));
    expect(notifications).toBe(2);
    expect(machine.quarantine.suspects).toEqual([]);
  });

  test('is equal on all replicas that apply the same reports', () => {
    const reports = fc.array(
      fc.record({
        answered: fc.subarray(['f', 'g', 'h']),
        at: fc.nat(900_000),
        fingerprints: fc.subarray(['f', 'g', 'h']),
        life: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
      }),
      {maxLength: 40},
    );
    fc.assert(
      fc.property(reports, fc.nat(40), (entries, restoreAt) => {
        const uninterrupted = new FleetMachine();
        let restored = new FleetMachine();
        for (const [index, entry] of entries.entries()) {
          const {answered, at, fingerprints, life} = entry;
          const crashes = [{agoMs: 0, fingerprints, life}];
          const report = {answered, crashes};
          const record: CrashReportRecord = {at, kind: 'crash-report', report};
          uninterrupted.apply(record);
          restored.apply(record);
          if (index === restoreAt) {
            const snapshot = restored.snapshot();
            restored = new FleetMachine();
            restored.restore(snapshot);
          }
        }
        expect(restored.quarantine).toEqual(uninterrupted.quarantine);
      }),
      {numRuns: 200, seed: 7},
    );
  });
});
