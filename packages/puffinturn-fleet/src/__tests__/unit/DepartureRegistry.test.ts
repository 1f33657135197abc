/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {DepartureRegistry} from '../../DepartureRegistry';
import {FleetMachine} from '../../index';

const DEPARTURE = {bornAt: 1_000, id: 'i-1'};
const RETENTION_MS = 120_000;

function recordOf(at: number, departure = DEPARTURE) {
  return {at, departure, kind: 'departure' as const};
}

// A departure must hold for its incarnation, and not forever for one without a start time.
describe('Departures in the log', () => {
  test('bind an incarnation and earlier ones, not later ones', () => {
    const registry = new DepartureRegistry(() => undefined);
    registry.apply(recordOf(0));
    const {id} = DEPARTURE;
    const hasDeparted = (bornAt: number | undefined) =>
      registry.has({bornAt, id}, 0);
    expect([undefined, 999, 1_000, 1_001].map(hasDeparted)).toEqual([
      true,
      true,
      true,
      false,
    ]);
  });

  test('are applied once, whatever is repeated', () => {
    let changes = 0;
    const registry = new DepartureRegistry(() => (changes += 1));
    registry.apply(recordOf(0));
    registry.apply(recordOf(5));
    registry.apply(recordOf(6, {...DEPARTURE, bornAt: 900}));
    expect(changes).toBe(1);
    expect(registry.list(6)).toEqual([DEPARTURE]);
  });

  test('are forgotten after a time, and can be announced again', () => {
    const registry = new DepartureRegistry(() => undefined);
    registry.apply(recordOf(0));
    const later = RETENTION_MS + 1;
    expect(registry.has(DEPARTURE, RETENTION_MS)).toBe(true);
    expect(registry.has(DEPARTURE, later)).toBe(false);
    expect(registry.list(later)).toEqual([]);
    registry.apply(recordOf(later));
    expect(registry.has(DEPARTURE, later)).toBe(true);
  });

  test('are limited in number; the oldest is dropped', () => {
    const registry = new DepartureRegistry(() => undefined);
    for (let index = 0; index < 5_000; index += 1) {
      registry.apply(recordOf(index, {...DEPARTURE, id: `i-${index}`}));
    }
    expect(registry.snapshot()).toHaveLength(4_096);
    expect(registry.list(5_000).at(-1)?.id).toBe('i-4999');
  });

  test('survive a snapshot; one of an older version holds none', () => {
    const machine = new FleetMachine();
    machine.apply(recordOf(0));
    const restored = new FleetMachine();
    restored.restore(machine.snapshot());
    expect(restored.departures.list(0)).toEqual([DEPARTURE]);
    restored.restore(new FleetMachine().snapshot());
    expect(restored.departures.list(0)).toEqual([]);
  });
});
