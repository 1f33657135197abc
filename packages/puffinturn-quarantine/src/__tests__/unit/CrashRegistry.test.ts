/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {CrashRegistry} from '../../CrashRegistry';
import {
  MAX_QUARANTINED,
  MAX_SUSPECTS,
  QUARANTINE_DURATION_MS,
  SIMULTANEOUS_CRASH_MS,
  SUSPECT_TTL_MS,
} from '../../QuarantineConstants';

const SECOND_MS = 1_000;

function reportCrash(
  registry: CrashRegistry,
  at: number,
  incarnation: string,
  ...fingerprints: string[]
): boolean {
  const crashes = [{agoMs: 0, fingerprints, life: incarnation}];
  return registry.applyReport({answered: [], crashes}, at);
}

/** A registry in which a request is quarantined after crashes at these times, s. */
function quarantineWithCrashes(...seconds: number[]): CrashRegistry {
  const registry = new CrashRegistry();
  for (const second of seconds) {
    reportCrash(registry, second * SECOND_MS, `incarnation ${second}`, 'f');
  }
  expect(registry.isQuarantined('f')).toBe(true);
  return registry;
}

/**
 * Guards against quarantining requests that don't cause crashes and against running those
 * that do.
 */
describe('CrashRegistry', () => {
  test('quarantines a request at its third crash and not before', () => {
    const registry = new CrashRegistry();
    expect(reportCrash(registry, 0, 'a', 'f', 'g')).toBe(false);
    expect(reportCrash(registry, SECOND_MS, 'b', 'f', 'g')).toBe(true);
    expect(registry.quarantine.fingerprints).toEqual([]);
    expect(registry.quarantine.suspects).toEqual(['f', 'g']);
    expect(registry.crashCount('f')).toBe(2);
    expect(reportCrash(registry, 2 * SECOND_MS, 'c', 'f')).toBe(true);
    expect(registry.quarantine).toEqual({
      fingerprints: ['f'],
      revision: 2,
      suspects: ['g'],
    });
    expect(registry.isQuarantined('g')).toBe(false);
  });

  test('counts the crash of an incarnation once if several boxes report it', () => {
    const registry = new CrashRegistry();
    for (let at = 0; at < 10 * SECOND_MS; at += SECOND_MS) {
      reportCrash(registry, at, 'a', 'f');
    }
    expect(registry.crashCount('f')).toBe(1);
  });

  test('does not quarantine a request for simultaneous crashes alone', () => {
    const registry = new CrashRegistry();
    for (const [at, incarnation] of ['a', 'b', 'c', 'd', 'e'].entries()) {
      reportCrash(registry, at, incarnation, 'f');
    }
    expect(registry.crashCount('f')).toBe(2);
    expect(reportCrash(registry, SECOND_MS, 'g', 'f')).toBe(true);
  });

  test('counts crashes at different times in the same report separately', () => {
    const registry = new CrashRegistry();
    const crashes = [4_000, 2_000, 100].map((agoMs) => ({
      agoMs,
      fingerprints: ['f'],
      life: `incarnation ${agoMs}`,
    }));
    registry.applyReport({answered: [], crashes}, 10_000);
    expect(registry.isQuarantined('f')).toBe(true);
  });

  test('uses the time of the crash and not of a delayed report', () => {
    const registry = new CrashRegistry();
    reportCrash(registry, 0, 'a', 'f');
    reportCrash(registry, 1, 'b', 'f');
    const lateCrash = {agoMs: 5 * SECOND_MS, fingerprints: ['f'], life: 'c'};
    registry.applyReport(
      {answered: [], crashes: [lateCrash]},
      5 * SECOND_MS + SIMULTANEOUS_CRASH_MS - 1,
    );
    expect(registry.crashCount('f')).toBe(2);
  });

  test('clears a request that succeeds between crashes', () => {
    const registry = new CrashRegistry();
    for (let turn = 0; turn < 20; turn += 1) {
      reportCrash(registry, turn * SECOND_MS, `incarnation ${turn}`, 'often');
      if (turn % 2 === 1) {
        const report = {answered: ['often'], crashes: []};
        registry.applyReport(report, turn * SECOND_MS + 1);
      }
    }
    expect(registry.quarantine.fingerprints).toEqual([]);
  });

  test('releases a request that succeeded after its first crash, however late the report comes', () => {
    for (const report of [
      {answered: ['f'], crashes: []},
      {
        answered: [],
        answeredParts: [{agoMs: 4 * SECOND_MS, feature: 'f'}],
        crashes: [],
      },
    ]) {
      const registry = quarantineWithCrashes(2, 3, 4);
      expect(registry.applyReport(report, 6.5 * SECOND_MS)).toBe(true);
      expect(registry.isTracked('f')).toBe(false);
    }
  });

  test('keeps a request quarantined that succeeded only before its first crash', () => {
    const registry = quarantineWithCrashes(2, 3, 4);
    const answer = {agoMs: 5 * SECOND_MS, feature: 'f'};
    const report = {answered: [], answeredParts: [answer], crashes: []};
    expect(registry.wouldClear(answer, 6.5 * SECOND_MS)).toBe(false);
    registry.applyReport(report, 6.5 * SECOND_MS);
    expect(registry.isQuarantined('f')).toBe(true);
  });

  test('drops a suspect without further crashes', () => {
    const registry = new CrashRegistry();
    reportCrash(registry, 0, 'a', 'f');
    reportCrash(registry, SECOND_MS, 'b', 'f');
    reportCrash(registry, 2 * SECOND_MS + SUSPECT_TTL_MS, 'c', 'f');
    expect(registry.crashCount('f')).toBe(1);
  });

  test('releases a quarantined request as a suspect after the quarantine expires', () => {
    const registry = new CrashRegistry();
    for (const [turn, incarnation] of ['a', 'b', 'c'].entries()) {
      reportCrash(registry, turn * SECOND_MS, incarnation, 'f');
    }
    const expiredAt = 3 * SECOND_MS + QUARANTINE_DURATION_MS;
    expect(registry.isUpdateDue(expiredAt - SECOND_MS)).toBe(false);
    expect(registry.isUpdateDue(expiredAt)).toBe(true);
    expect(registry.applyReport({answered: [], crashes: []}, expiredAt)).toBe(
      true,
    );
    expect(registry.quarantine).toEqual({
      fingerprints: [],
      revision: 3,
      suspects: ['f'],
    });
    reportCrash(registry, expiredAt + SECOND_MS, 'd', 'f');
    expect(registry.quarantine).toEqual({
      fingerprints: ['f'],
      revision: 4,
      suspects: [],
    });
  });

  test('restores the same state from a snapshot', () => {
    const registry = new CrashRegistry();
    reportCrash(registry, 0, 'a', 'f', 'g');
    reportCrash(registry, SECOND_MS, 'b', 'f', 'g');
    reportCrash(registry, 2 * SECOND_MS, 'c', 'f');
    const restored = new CrashRegistry();
    restored.restore(JSON.parse(JSON.stringify(registry.snapshot())));
    expect(restored.quarantine).toEqual(registry.quarantine);
    reportCrash(restored, 3 * SECOND_MS, 'd', 'g');
    expect(restored.quarantine.fingerprints).toEqual(['f', 'g']);
  });

  test('limits the number of suspects and quarantined requests', () => {
    const registry = new CrashRegistry();
    for (let count = 0; count < MAX_SUSPECTS + 5; count += 1) {
      reportCrash(registry, count, `incarnation ${count}`, `suspect ${count}`);
    }
    expect(registry.snapshot().suspects).toHaveLength(MAX_SUSPECTS);
    for (let count = 0; count < MAX_QUARANTINED + 5; count += 1) {
      for (const turn of [0, 1, 2]) {
        const at = turn * SECOND_MS;
        reportCrash(registry, at, `${turn} ${count}`, `harmful ${count}`);
      }
    }
    expect(registry.quarantine.fingerprints).toHaveLength(MAX_QUARANTINED);
    expect(registry.isQuarantined('harmful 0')).toBe(false);
  });
});
