/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against versions that are forgotten, or listed in another order, after a restart. */
import {FleetMachine} from '../../FleetMachine';

const added = (service: string, version: string) =>
  ({kind: 'version-added', service, version}) as const;

function namesOf(machine: FleetMachine, service = 's'): string[] {
  return machine.versions.ofService(service).map(({version}) => version);
}

describe('The registered versions', () => {
  test('are listed in the order in which they were added', () => {
    const machine = new FleetMachine();
    machine.apply(added('s', 'v2'));
    machine.apply(added('o', 'v1'));
    machine.apply(added('s', 'v1'));
    expect(namesOf(machine)).toEqual(['v2', 'v1']);
    expect(namesOf(machine, 'o')).toEqual(['v1']);
  });

  test('change once for a version that is added twice', () => {
    let changes = 0;
    const machine = new FleetMachine(() => (changes += 1));
    machine.apply(added('s', 'v1'));
    machine.apply(added('s', 'v1'));
    expect(changes).toBe(1);
    expect(machine.versions.registered.revision).toBe(1);
  });

  test('keep a version that was removed and added again', () => {
    const machine = new FleetMachine();
    machine.apply(added('s', 'v1'));
    machine.apply(added('s', 'v2'));
    machine.apply({kind: 'version-removed', number: 1});
    machine.apply(added('s', 'v1'));
    machine.apply({kind: 'version-removed', number: 1});
    expect(namesOf(machine)).toEqual(['v2', 'v1']);
    expect(machine.versions.lastNumber).toBe(3);
  });

  test('are restored from a snapshot', () => {
    const machine = new FleetMachine();
    machine.apply(added('s', 'v1'));
    machine.apply(added('s', 'v2'));
    machine.apply({kind: 'version-removed', number: 2});
    const restored = new FleetMachine();
    restored.restore(machine.snapshot());
    expect(restored.versions.snapshot()).toEqual(machine.versions.snapshot());
    restored.apply(added('s', 'v3'));
    expect(restored.versions.lastNumber).toBe(3);
  });
});
