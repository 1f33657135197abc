/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import fc from 'fast-check';
import {NO_QUARANTINE} from 'puffinturn-quarantine';

import type {CrashReportRecord} from '../../FleetMachine';
import {FleetMachine} from '../../FleetMachine';

const SECOND_MS = 1_000;

function record(
  at: number,
  life: string,
  ...fingerprints: string[]
): CrashReportRecord {
  const crashes = [{agoMs: 0, fingerprints, life}];
  return {at, kind: 'crash-report', report: {answered: [], crashes}};
}

/** Three crashes with the same request. */
function convict(machine: FleetMachine): void {
  for (const [turn, life] of ['a', 'b', 'c'].entries()) {
    machine.apply(record(turn * SECOND_MS, life, 'f'));
  }
}

describe('The quarantine in the log', () => {
  test('is there again after a snapshot, and none in an older one', () => {
    const machine = new FleetMachine();
    const empty = machine.snapshot();
    convict(machine);
    const restored = new FleetMachine();
    restored.restore(machine.snapshot());
    expect(restored.quarantine).toEqual({
      fingerprints: ['f'],
      revision: 2,
      suspects: [],
    });
    restored.restore(empty);
    expect(restored.quarantine).toEqual(NO_QUARANTINE);
  });

  test('is told to those who wait for changes, with those that one more crash adds', () => {
    let told = 0;
    const machine = new FleetMachine(() => (told += 1));
    machine.apply(record(0, 'a', 'f'));
    expect(told).toBe(0);
    machine.apply(record(SECOND_MS, 'b', 'f'));
    expect(told).toBe(1);
    expect(machine.quarantine.suspects).toEqual(['f']);
    machine.apply(record(2 * SECOND_MS, 'c', 'f'));
    expect(told).toBe(2);
    expect(machine.quarantine.suspects).toEqual([]);
  });

  test('is the same wherever the same reports are applied', () => {
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
      fc.property(reports, fc.nat(40), (all, cut) => {
        const whole = new FleetMachine();
        let resumed = new FleetMachine();
        for (const [turn, entry] of all.entries()) {
          const {answered, at, fingerprints, life} = entry;
          const crashes = [{agoMs: 0, fingerprints, life}];
          const report = {answered, crashes};
          const one: CrashReportRecord = {at, kind: 'crash-report', report};
          whole.apply(one);
          resumed.apply(one);
          if (turn === cut) {
            const image = resumed.snapshot();
            resumed = new FleetMachine();
            resumed.restore(image);
          }
        }
        expect(resumed.quarantine).toEqual(whole.quarantine);
      }),
      {numRuns: 200, seed: 7},
    );
  });
});
