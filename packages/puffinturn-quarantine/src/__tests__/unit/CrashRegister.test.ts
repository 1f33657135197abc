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
  QUARANTINE_MS,
  SAME_MOMENT_MS,
  SUSPICION_MS,
} from '../../QuarantineConstants';

const SECOND_MS = 1_000;

/** Reports one crash. */
function crash(
  register: CrashRegister,
  at: number,
  life: string,
  ...fingerprints: string[]
): boolean {
  const crashes = [{agoMs: 0, fingerprints, life}];
  return register.report({answered: [], crashes}, at);
}

describe('A register of crashes', () => {
  test('quarantines a request at its third crash, not before', () => {
    const register = new CrashRegister();
    expect(crash(register, 0, 'a', 'f', 'g')).toBe(false);
    expect(crash(register, SECOND_MS, 'b', 'f', 'g')).toBe(true);
    expect(register.quarantine.fingerprints).toEqual([]);
    expect(register.quarantine.suspects).toEqual(['f', 'g']);
    expect(register.crashesOf('f')).toBe(2);
    expect(crash(register, 2 * SECOND_MS, 'c', 'f')).toBe(true);
    expect(register.quarantine).toEqual({
      fingerprints: ['f'],
      revision: 2,
      suspects: ['g'],
    });
    expect(register.isQuarantined('g')).toBe(false);
  });

  test('counts a life once, however many boxes report it', () => {
    const register = new CrashRegister();
    for (let at = 0; at < 10 * SECOND_MS; at += SECOND_MS) {
      crash(register, at, 'a', 'f');
    }
    expect(register.crashesOf('f')).toBe(1);
  });

  test('quarantines nobody for a single moment, however many upstreams end', () => {
    const register = new CrashRegister();
    for (const [at, life] of ['a', 'b', 'c', 'd', 'e'].entries()) {
      crash(register, at, life, 'f');
    }
    expect(register.crashesOf('f')).toBe(2);
    expect(crash(register, SECOND_MS, 'g', 'f')).toBe(true);
  });

  test('tells moments apart though they are reported together', () => {
    const register = new CrashRegister();
    const crashes = [4_000, 2_000, 100].map((agoMs) => ({
      agoMs,
      fingerprints: ['f'],
      life: `life ${agoMs}`,
    }));
    register.report({answered: [], crashes}, 10_000);
    expect(register.isQuarantined('f')).toBe(true);
  });

  test('counts late reports by when the crash was', () => {
    const register = new CrashRegister();
    crash(register, 0, 'a', 'f');
    crash(register, 1, 'b', 'f');
    const late = {agoMs: 5 * SECOND_MS, fingerprints: ['f'], life: 'c'};
    register.report(
      {answered: [], crashes: [late]},
      5 * SECOND_MS + SAME_MOMENT_MS - 1,
    );
    expect(register.crashesOf('f')).toBe(2);
  });

  test('clears a request that is answered between crashes', () => {
    const register = new CrashRegister();
    for (let turn = 0; turn < 20; turn += 1) {
      crash(register, turn * SECOND_MS, `life ${turn}`, 'often');
      if (turn % 2 === 1) {
        const report = {answered: ['often'], crashes: []};
        register.report(report, turn * SECOND_MS + 1);
      }
    }
    expect(register.quarantine.fingerprints).toEqual([]);
  });

  test('forgets a suspect that no crash is added to', () => {
    const register = new CrashRegister();
    crash(register, 0, 'a', 'f');
    crash(register, SECOND_MS, 'b', 'f');
    crash(register, 2 * SECOND_MS + SUSPICION_MS, 'c', 'f');
    expect(register.crashesOf('f')).toBe(1);
  });

  test('lets a quarantined request run again on trial once its time is over', () => {
    const register = new CrashRegister();
    for (const [turn, life] of ['a', 'b', 'c'].entries()) {
      crash(register, turn * SECOND_MS, life, 'f');
    }
    const over = 3 * SECOND_MS + QUARANTINE_MS;
    expect(register.hasExpired(over - SECOND_MS)).toBe(false);
    expect(register.hasExpired(over)).toBe(true);
    expect(register.report({answered: [], crashes: []}, over)).toBe(true);
    expect(register.quarantine).toEqual({
      fingerprints: [],
      revision: 3,
      suspects: ['f'],
    });
    crash(register, over + SECOND_MS, 'd', 'f');
    expect(register.quarantine).toEqual({
      fingerprints: ['f'],
      revision: 4,
      suspects: [],
    });
  });

  test('is the same after a snapshot', () => {
    const register = new CrashRegister();
    crash(register, 0, 'a', 'f', 'g');
    crash(register, SECOND_MS, 'b', 'f', 'g');
    crash(register, 2 * SECOND_MS, 'c', 'f');
    const restored = new CrashRegister();
    restored.restore(JSON.parse(JSON.stringify(register.image())));
    expect(restored.quarantine).toEqual(register.quarantine);
    crash(restored, 3 * SECOND_MS, 'd', 'g');
    expect(restored.quarantine.fingerprints).toEqual(['f', 'g']);
  });

  test('is bounded', () => {
    const register = new CrashRegister();
    for (let count = 0; count < MAX_SUSPECTS + 5; count += 1) {
      crash(register, count, `life ${count}`, `suspect ${count}`);
    }
    expect(register.image().suspects).toHaveLength(MAX_SUSPECTS);
    for (let count = 0; count < MAX_QUARANTINED + 5; count += 1) {
      for (const turn of [0, 1, 2]) {
        const at = turn * SECOND_MS;
        crash(register, at, `${turn} ${count}`, `harmful ${count}`);
      }
    }
    expect(register.quarantine.fingerprints).toHaveLength(MAX_QUARANTINED);
    expect(register.isQuarantined('harmful 0')).toBe(false);
  });
});
