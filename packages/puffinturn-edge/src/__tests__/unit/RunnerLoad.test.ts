/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {ManualClock} from 'shared';

import {RunnerLoad} from '../../RunnerLoad';

describe('RunnerLoad', () => {
  test('counts what waits and what is being read, less as it ages', async () => {
    const clock = new ManualClock();
    const load = new RunnerLoad(clock);
    expect(load.backlogTokens).toBe(0);
    load.reported({active: 3, queued: 2, reading: 2});
    const told = load.backlogTokens;
    expect(told).toBeGreaterThan(0);
    await clock.advance(400);
    expect(load.backlogTokens).toBeLessThan(told / 2);
    await clock.advance(10_000);
    expect(load.backlogTokens).toBeCloseTo(0);
  });

  test('expects a wait only where all slots are taken', () => {
    const load = new RunnerLoad(new ManualClock());
    load.reported({active: 3, queued: 0, reading: 0});
    expect(load.waitMs(4)).toBe(0);
    expect(load.waitMs(3)).toBeGreaterThan(0);
  });

  test('expects a wait at an engine that did not answer, for a while', async () => {
    const clock = new ManualClock();
    const load = new RunnerLoad(clock);
    load.silent();
    expect(load.waitMs(4)).toBeGreaterThan(100);
    await clock.advance(10_000);
    expect(load.waitMs(4)).toBeCloseTo(0);
  });

  test('is asked for again once the last answer is old', async () => {
    const clock = new ManualClock();
    const load = new RunnerLoad(clock);
    expect(load.fresh).toBe(false);
    load.silent();
    expect(load.fresh).toBe(true);
    await clock.advance(200);
    expect(load.fresh).toBe(false);
  });
});
