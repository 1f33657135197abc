/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against outdated configuration, release of admissions that are still
 * open, and fencing of boxes that only have irregular heartbeats.
 */
import fc from 'fast-check';
import type {DeclarationEntry} from 'puffinturn-ledger';
import {DeclarationSchema, validateValue} from 'puffinturn-settings';
import {digestBytes} from 'shared';

import {FailureDetector, FleetConfig, OpenAdmissions} from '../../index';

function drainEntry(index: number, isOn: boolean): DeclarationEntry {
  const value = {
    kind: 'drain',
    name: 'd',
    number: index,
    spec: {on: isOn, target: {pool: 'p', upstream: 'u'}},
  };
  const checked = validateValue(DeclarationSchema, value, 'test');
  const declaration = checked._unsafeUnwrap();
  return {declaration, digest: '', index, operator: 'o', sequence: index};
}

describe('FleetConfig', () => {
  test('never returns to an older index, in any order of updates', () => {
    const indices = fc.uniqueArray(fc.integer({max: 50, min: 1}), {
      minLength: 1,
    });
    fc.assert(
      fc.property(indices, (list) => {
        let config = FleetConfig.empty;
        let highest = 0;
        for (const index of list) {
          config = config.withEntries(
            [drainEntry(index, index % 2 === 0)],
            index,
          );
          highest = Math.max(highest, index);
          expect(config.index).toBe(highest);
          expect(config.isUpstreamDrained('p', 'u')).toBe(highest % 2 === 0);
        }
      }),
      {seed: 1},
    );
  });

  test('finds a team by the old and the new key during key rotation', () => {
    const keys = ['old', 'new'].map((name) => ({
      name,
      sha256: digestBytes(name),
    }));
    const value = {kind: 'team', name: 't', number: 1, spec: {keys}};
    const declaration = validateValue(
      DeclarationSchema,
      value,
      'test',
    )._unsafeUnwrap();
    const entry = {
      declaration,
      digest: '',
      index: 1,
      operator: '',
      sequence: 1,
    };
    const config = FleetConfig.empty.withEntries([entry], 1);
    expect(config.findTeamByKey('old')?.name).toBe('t');
    expect(config.findTeamByKey('new')?.name).toBe('t');
    expect(config.findTeamByKey('none')).toBeUndefined();
  });
});

describe('OpenAdmissions', () => {
  test('reports a lowest open serial that never exceeds an open one or decreases', () => {
    const steps = fc.array(fc.option(fc.nat(20), {nil: undefined}));
    fc.assert(
      fc.property(steps, (list) => {
        const admissions = new OpenAdmissions();
        const open = new Set<number>();
        let floor = 0;
        for (const closed of list) {
          if (closed === undefined) {
            open.add(admissions.allocate());
          } else {
            admissions.close(closed);
            open.delete(closed);
          }
          expect(admissions.lowestOpenSerial).toBeGreaterThanOrEqual(floor);
          floor = admissions.lowestOpenSerial;
          expect(Math.min(floor, ...open)).toBe(floor);
          expect(admissions.size).toBe(open.size);
        }
      }),
      {seed: 2},
    );
  });
});

describe('Suspicion', () => {
  test('uses a longer timeout for a box with irregular heartbeats', () => {
    const regular = new FailureDetector(0);
    const irregular = new FailureDetector(0);
    let now = 0;
    for (let heartbeat = 1; heartbeat <= 60; heartbeat += 1) {
      regular.recordHeartbeat(heartbeat * 300);
      now += heartbeat % 2 === 0 ? 100 : 900;
      irregular.recordHeartbeat(now);
    }
    expect(regular.timeoutMs).toBe(1_500);
    expect(irregular.timeoutMs).toBeGreaterThan(2_500);
    expect(irregular.timeoutMs).toBeLessThanOrEqual(10_000);
  });
});
