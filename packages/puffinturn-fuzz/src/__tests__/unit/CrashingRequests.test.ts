/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The same request, sent to one box after another, ends each engine that runs it.
 * Without a memory of crashes every box sends each copy to up to three engines: each
 * copy is a new request there.
 */
import type {RunReport, Step} from '../../index';
import {FuzzRun} from '../../index';
import {ask, engines} from '../utils/Scenarios';

const SEED = 7;

const BOXES = ['n1', 'n2', 'n4'];

/** Time between two copies: longer than an engine is away after a crash, ms. */
const BETWEEN_MS = 1_500;

function copies(count: number): Step[] {
  return Array.from({length: count}, (_, turn) =>
    ask(BOXES[turn % BOXES.length] ?? '', 'o1', 'stream', BETWEEN_MS),
  );
}

function codes({tries}: RunReport): (string | undefined)[] {
  return tries.map(({code}) => code ?? undefined);
}

describe('A request that crashes engines', () => {
  test('is refused by every box of the region after three crashes', async () => {
    const report = await FuzzRun.run(SEED, [
      ...engines('crash'),
      ...copies(12),
    ]);
    expect(report.breaches).toEqual([]);
    expect(codes(report).slice(-6)).toEqual(Array(6).fill('quarantined'));
    const crashes = report.timeline.filter(
      ({kind}) => kind === 'upstream-crashed',
    );
    expect(crashes.length).toBeLessThanOrEqual(6);
  });

  test('is still refused after the leader has changed', async () => {
    const report = await FuzzRun.run(SEED, [
      ...engines('crash'),
      ...copies(9),
      {afterMs: 3_000, box: 'n1', kind: 'kill'},
      ask('n2', 'o1', 'stream', BETWEEN_MS),
      ask('n4', 'o1', 'stream', BETWEEN_MS),
    ]);
    expect(codes(report).slice(-2)).toEqual(['quarantined', 'quarantined']);
  });

  test('takes no other request with it', async () => {
    const report = await FuzzRun.run(SEED, [
      ...engines('crash'),
      ...copies(9),
      ...engines('ok'),
      ask('n2', 'o2', 'stream', BETWEEN_MS),
      ask('n4', 'o3', 'stream', BETWEEN_MS),
    ]);
    const last = report.tries.slice(-2).map(({whole}) => whole);
    expect(last).toEqual([true, true]);
  });
});
