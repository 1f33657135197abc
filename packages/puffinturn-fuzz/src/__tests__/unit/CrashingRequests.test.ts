/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against a request that crashes every engine it runs on: boxes that don't share
 * crash records would dispatch each copy of it again.
 */
import type {RunReport, Step} from '../../index';
import {FuzzRun} from '../../index';
import {requestStep, setEngineModes} from '../utils/Scenarios';

const FLEET_SEED = 7;

const BOXES = ['n1', 'n2', 'n4'];

/** Longer than the downtime of an engine after a crash, ms. */
const REQUEST_INTERVAL_MS = 1_500;

function repeatRequest(count: number): Step[] {
  return Array.from({length: count}, (_, index) =>
    requestStep(
      BOXES[index % BOXES.length] ?? '',
      'o1',
      'stream',
      REQUEST_INTERVAL_MS,
    ),
  );
}

function attemptCodes({attempts}: RunReport): (string | undefined)[] {
  return attempts.map(({code}) => code ?? undefined);
}

describe('A request that crashes engines', () => {
  test('is rejected by every box of the region after three crashes', async () => {
    const report = await FuzzRun.run(FLEET_SEED, [
      ...setEngineModes('crash'),
      ...repeatRequest(12),
    ]);
    expect(report.breaches).toEqual([]);
    expect(attemptCodes(report).slice(-6)).toEqual(
      Array(6).fill('quarantined'),
    );
    const crashes = report.timeline.filter(
      ({kind}) => kind === 'upstream-crashed',
    );
    expect(crashes.length).toBeLessThanOrEqual(6);
  });

  test('is still rejected after a leader change', async () => {
    const report = await FuzzRun.run(FLEET_SEED, [
      ...setEngineModes('crash'),
      ...repeatRequest(9),
      {afterMs: 3_000, box: 'n1', kind: 'kill'},
      requestStep('n2', 'o1', 'stream', REQUEST_INTERVAL_MS),
      requestStep('n4', 'o1', 'stream', REQUEST_INTERVAL_MS),
    ]);
    expect(attemptCodes(report).slice(-2)).toEqual([
      'quarantined',
      'quarantined',
    ]);
  });

  test('does not cause other requests to be rejected', async () => {
    const report = await FuzzRun.run(FLEET_SEED, [
      ...setEngineModes('crash'),
      ...repeatRequest(9),
      ...setEngineModes('ok'),
      requestStep('n2', 'o2', 'stream', REQUEST_INTERVAL_MS),
      requestStep('n4', 'o3', 'stream', REQUEST_INTERVAL_MS),
    ]);
    const lastResults = report.attempts
      .slice(-2)
      .map(({isComplete}) => isComplete);
    expect(lastResults).toEqual([true, true]);
  });
});
