/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {RunnerRecord} from '../../index';
import {RUNNER_STATE, RunnerTable} from '../../index';

function record(fields: Partial<RunnerRecord> = {}): RunnerRecord {
  return {
    address: '10.0.0.1:80',
    coldMs: 0,
    id: 'i-1',
    sequence: 1,
    service: 's',
    slots: 4,
    state: RUNNER_STATE.ready,
    zone: 'z',
    ...fields,
  };
}

describe('RunnerTable', () => {
  test('tells what changed after a revision, and no plain heartbeat', () => {
    const table = new RunnerTable();
    expect(table.merge(record(), 0)).toBe(true);
    const {revision} = table;
    expect(table.merge(record({sequence: 2}), 1)).toBe(false);
    expect(table.changedSince(revision)).toEqual([]);
    const draining = record({sequence: 3, state: RUNNER_STATE.draining});
    expect(table.merge(draining, 2)).toBe(true);
    expect(table.changedSince(revision)).toEqual([draining]);
  });

  test('does not go back for a heartbeat that comes late', () => {
    const table = new RunnerTable();
    table.merge(record({sequence: 5, state: RUNNER_STATE.draining}), 0);
    expect(table.merge(record({sequence: 4}), 1)).toBe(false);
    expect(table.get('i-1')?.state).toBe(RUNNER_STATE.draining);
  });

  test('remembers a runner that left before it was known', () => {
    const table = new RunnerTable();
    expect(table.remove('i-1', 0)).toBe(true);
    expect(table.merge(record({sequence: 9}), 1)).toBe(false);
    expect(table.get('i-1')?.state).toBe(RUNNER_STATE.gone);
  });

  test('forgets what has long been silent', () => {
    const table = new RunnerTable();
    table.merge(record(), 0);
    table.expire(61_000);
    expect(table.records()).toEqual([]);
  });
});
