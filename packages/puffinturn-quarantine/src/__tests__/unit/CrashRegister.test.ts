/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {CrashRegister} from '../../CrashRegister';
import {
  MAX_QUARANTINED,
  MAX_SUSPECTS,
  QUARANTINE_DURATION_MS,
  SIMULTANEOUS_CRASH_MS,
  SUSPECT_TTL_MS,
} from '../../QuarantineConstants';

const SECOND_MS = 1_000;

function reportCrash(
  register: CrashRegister,
  at: number,
  incarnation: string,
  ...fingerprints: string[]
): boolean {
  const crashes = [{agoMs: 0, fingerprints, life: incarnation}];
  return register.report({answered: [], crashes}, at);
}

/**
 * Guards against quarantining requests that don't cause crashes and against running those
 * that do.
 */
describe('CrashRegister', () => {
  test('quarantines a request at its third crash and not before', () => {
    const register = new CrashRegister();
    expect(reportCrash(register, 0, 'a', 'f', 'g')).toBe(false);
    expect(reportCrash(register, SECOND_MS, 'b', 'f', 'g')).toBe(true);
    expect(register.quarantine.fingerprints).toEqual([]);
    expect(register.quarantine.suspects).toEqual(['f', 'g']);
    expect(register.crashCount('f')).toBe(2);
    expect(reportCrash(register, 2 * SECOND_MS, 'c', 'f')).toBe(true);
    expect(register.quarantine).toEqual({
      fingerprints: ['f'],
      revision: 2,
      suspects: ['g'],
    });
    expect(register.isQuarantined('g')).toBe(false);
  });

  test('counts the crash of an incarnation once if several boxes report it', () => {
    const register = new CrashRegister();
    for (let at = 0; at < 10 * SECOND_MS; at += SECOND_MS) {
      reportCrash(register, at, 'a', 'f');
    }
    expect(register.crashCount('f')).toBe(1);
  });

  test('does not quarantine a request for simultaneous crashes alone', () => {
    const register = new CrashRegister();
    for (const [at, incarnation] of ['a', 'b', 'c', 'd', 'e'].entries()) {
      reportCrash(register, at, incarnation, 'f');
    }
    expect(register.crashCount('f')).toBe(2);
    expect(reportCrash(register, SECOND_MS, 'g', 'f')).toBe(true);
  });

  test('counts crashes at different times in the same report separately', () => {
    const register = new CrashRegister();
    const crashes = [4_000, 2_000, 100].map((agoMs) => ({
      agoMs,
      fingerprints: ['f'],
      life: `incarnation ${agoMs}`,
    }));
    register.report({answered: [], crashes}, 10_000);
    expect(register.isQuarantined('f')).toBe(true);
  });

  test('uses the time of the crash and not of a delayed report', () => {
    const register = new CrashRegister();
    reportCrash(register, 0, 'a', 'f');
    reportCrash(register, 1, 'b', 'f');
    const lateCrash = {agoMs: 5 * SECOND_MS, fingerprints: ['f'], life: 'c'};
    register.report(
      {answered: [], crashes: [lateCrash]},
      5 * SECOND_MS + SIMULTANEOUS_CRASH_MS - 1,
    );
    expect(register.crashCount('f')).toBe(2);
  });

  test('clears a request that succeeds between crashes', () => {
    const register = new CrashRegister();
    for (let turn = 0; turn < 20; turn += 1) {
      reportCrash(register, turn * SECOND_MS, `incarnation ${turn}`, 'often');
      if (turn % 2 === 1) {
        const report = {answered: ['often'], crashes: []};
        register.report(report, turn * SECOND_MS + 1);
      }
    }
    expect(register.quarantine.fingerprints).toEqual([]);
  });

  test('drops a suspect without further crashes', () => {
    const register = new CrashRegister();
    reportCrash(register, 0, 'a', 'f');
    reportCrash(register, SECOND_MS, 'b', 'f');
    reportCrash(register, 2 * SECOND_MS + SUSPECT_TTL_MS, 'c', 'f');
    expect(register.crashCount('f')).toBe(1);
  });

  test('releases a quarantined request as a suspect after the quarantine expires', () => {
    const register = new CrashRegister();
    for (const [turn, incarnation] of ['a', 'b', 'c'].entries()) {
      reportCrash(register, turn * SECOND_MS, incarnation, 'f');
    }
    const expiredAt = 3 * SECOND_MS + QUARANTINE_DURATION_MS;
    expect(register.hasExpired(expiredAt - SECOND_MS)).toBe(false);
    expect(register.hasExpired(expiredAt)).toBe(true);
    expect(register.report({answered: [], crashes: []}, expiredAt)).toBe(true);
    expect(register.quarantine).toEqual({
      fingerprints: [],
      revision: 3,
      suspects: ['f'],
    });
    reportCrash(register, expiredAt + SECOND_MS, 'd', 'f');
    expect(register.quarantine).toEqual({
      fingerprints: ['f'],
      revision: 4,
      suspects: [],
    });
  });

  test('restores the same state from a snapshot', () => {
    const register = new CrashRegister();
    reportCrash(register, 0, 'a', 'f', 'g');
    reportCrash(register, SECOND_MS, 'b', 'f', 'g');
    reportCrash(register, 2 * SECOND_MS, 'c', 'f');
    const restored = new CrashRegister();
    restored.restore(JSON.parse(JSON.stringify(register.image())));
    expect(restored.quarantine).toEqual(register.quarantine);
    reportCrash(restored, 3 * SECOND_MS, 'd', 'g');
    expect(restored.quarantine.fingerprints).toEqual(['f', 'g']);
  });

  test('limits the number of suspects and quarantined requests', () => {
    const register = new CrashRegister();
    for (let count = 0; count < MAX_SUSPECTS + 5; count += 1) {
      reportCrash(register, count, `incarnation ${count}`, `suspect ${count}`);
    }
    expect(register.image().suspects).toHaveLength(MAX_SUSPECTS);
    for (let count = 0; count < MAX_QUARANTINED + 5; count += 1) {
      for (const turn of [0, 1, 2]) {
        const at = turn * SECOND_MS;
        reportCrash(register, at, `${turn} ${count}`, `harmful ${count}`);
      }
    }
    expect(register.quarantine.fingerprints).toHaveLength(MAX_QUARANTINED);
    expect(register.isQuarantined('harmful 0')).toBe(false);
  });
});
