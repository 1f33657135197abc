/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import fc from 'fast-check';

import {FleetMachine, NO_EVACUATIONS} from '../../index';

function createRecord(hall: string, evacuated: boolean) {
  return {evacuated, hall, kind: 'evacuation'} as const;
}

// All replicas must agree on the evacuated halls, also after a restore from a snapshot.
describe('Evacuations', () => {
  test('last until they are ended, and a repeated record has no effect', () => {
    const machine = new FleetMachine();
    machine.apply(createRecord('a', true));
    machine.apply(createRecord('a', true));
    machine.apply(createRecord('b', true));
    expect(machine.evacuations).toEqual({halls: ['a', 'b'], revision: 2});
    machine.apply(createRecord('a', false));
    machine.apply(createRecord('a', false));
    expect(machine.evacuations).toEqual({halls: ['b'], revision: 3});
  });

  test('are restored from a snapshot, and an earlier snapshot clears them', () => {
    const machine = new FleetMachine();
    const empty = machine.snapshot();
    machine.apply(createRecord('a', true));
    const restored = new FleetMachine();
    restored.restore(machine.snapshot());
    expect(restored.evacuations).toEqual({halls: ['a'], revision: 1});
    restored.restore(empty);
    expect(restored.evacuations).toEqual(NO_EVACUATIONS);
  });

  test('tell orders that would undo a change made since they were received', () => {
    const machine = new FleetMachine();
    machine.apply(createRecord('a', true));
    machine.apply(createRecord('b', true));
    const isOutdated = (
      hall: string,
      evacuated: boolean,
      knownRevision?: number,
    ): boolean =>
      machine.isEvacuationOutdated({evacuated, hall, knownRevision});
    expect(isOutdated('a', false, 0)).toBe(true);
    // It knew of the change, changes nothing, or comes from an older software version.
    expect(isOutdated('a', false, 1)).toBe(false);
    expect(isOutdated('a', true, 0)).toBe(false);
    expect(isOutdated('a', false)).toBe(false);
    // Changes of other halls don't matter.
    expect(isOutdated('b', false, 2)).toBe(false);
    expect(isOutdated('c', true, 0)).toBe(false);
    machine.restore(machine.snapshot());
    expect(isOutdated('a', false, 0)).toBe(true);
    // A snapshot doesn't tell when a hall changed.
    expect(isOutdated('a', false, 1)).toBe(true);
    expect(isOutdated('a', false, 2)).toBe(false);
  });

  test('call the listener on every change', () => {
    let notifications = 0;
    const machine = new FleetMachine(() => (notifications += 1));
    machine.apply(createRecord('a', true));
    expect(notifications).toBe(1);
    // A repeated record changes nothing.
    machine.apply(createRecord('a', true));
    expect(notifications).toBe(1);
  });

  test('are equal on all replicas that apply the same records', () => {
    const records = fc.array(
      fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.boolean()),
    );
    fc.assert(
      fc.property(records, fc.nat(40), (entries, restoreAt) => {
        const uninterrupted = new FleetMachine();
        let restored = new FleetMachine();
        for (const [index, [hall, evacuated]] of entries.entries()) {
          uninterrupted.apply(createRecord(hall, evacuated));
          restored.apply(createRecord(hall, evacuated));
          if (index === restoreAt) {
            const snapshot = restored.snapshot();
            restored = new FleetMachine();
            restored.restore(snapshot);
          }
        }
        expect(restored.evacuations).toEqual(uninterrupted.evacuations);
      }),
      {numRuns: 200, seed: 6},
    );
  });
});
