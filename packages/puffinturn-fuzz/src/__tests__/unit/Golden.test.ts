/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against unintended changes in the order of events and in responses. Each
 * scenario runs real boxes in virtual time and must violate no invariant.
 */
import type {Step} from '../../index';
import {FuzzRun} from '../../index';
import {formatTimeline, requestStep} from '../utils/Scenarios';

const FLEET_SEED = 5;

async function runScenario(steps: readonly Step[]): Promise<string> {
  const report = await FuzzRun.run(FLEET_SEED, steps);
  expect(report.breaches).toEqual([]);
  return formatTimeline(report);
}

describe('golden time lines', () => {
  test('a streamed chat, an order placed and retried elsewhere', async () => {
    const timeline = await runScenario([
      requestStep('n1', 'o1', 'stream'),
      requestStep('n2', 'o1', 'marked'),
      requestStep('n4', 'o1', 'marked'),
      requestStep('s1', 'o1', 'marked'),
    ]);
    expect(timeline).toMatchSnapshot();
  });

  test('a box dies with streams open and the callers retry', async () => {
    const timeline = await runScenario([
      {afterMs: 0, kind: 'upstream', mode: 'slow', url: 'http://engine-1'},
      {afterMs: 0, kind: 'upstream', mode: 'slow', url: 'http://engine-2'},
      {afterMs: 0, kind: 'upstream', mode: 'slow', url: 'http://service-1'},
      {afterMs: 0, kind: 'upstream', mode: 'slow', url: 'http://service-2'},
      requestStep('n4', 'o1', 'stream', 100),
      requestStep('n4', 'o2', 'marked', 300),
      {afterMs: 3_000, box: 'n4', kind: 'kill'},
      requestStep('n1', 'o1', 'stream', 100),
      requestStep('n1', 'o2', 'marked', 5_000),
    ]);
    expect(timeline).toMatchSnapshot();
  });

  test('regions part while both draw on one budget, and heal', async () => {
    const spend = (index: number): Step[] =>
      ['n1', 's1'].map((box) => requestStep(box, `o${index}`, 'unkeyed', 50));
    const timeline = await runScenario([
      ...[1, 2, 3].flatMap(spend),
      {afterMs: 1_000, kind: 'part-regions'},
      ...[4, 5, 6, 7].flatMap(spend),
      {afterMs: 3_000, kind: 'heal'},
      ...[1, 2, 3, 4, 5, 6].flatMap(spend),
    ]);
    expect(timeline).toMatchSnapshot();
  });

  test('a second control box is lost right after a repair', async () => {
    const timeline = await runScenario([
      requestStep('n4', 'o1', 'marked', 200),
      {afterMs: 6_000, box: 'n2', kind: 'lose-disk'},
      requestStep('n4', 'o2', 'marked', 200),
      {afterMs: 4_000, box: 'n3', kind: 'kill'},
      requestStep('n4', 'o3', 'marked', 1_000),
      requestStep('n4', 'o1', 'marked', 1_000),
    ]);
    expect(timeline).toMatchSnapshot();
  });

  test('a control box is cut off in silence and answers nothing', async () => {
    const timeline = await runScenario([
      {afterMs: 5_000, box: 'n1', kind: 'isolate'},
      requestStep('n1', 'o1', 'marked', 1_000),
      requestStep('n2', 'o2', 'marked', 6_000),
      {afterMs: 3_000, kind: 'heal'},
      requestStep('n1', 'o1', 'marked', 1_000),
    ]);
    expect(timeline).toMatchSnapshot();
  });

  test('operators race with one number; the price that won is billed', async () => {
    const timeline = await runScenario([
      {afterMs: 1_500, boxes: ['n1', 's2'], kind: 'racing-price'},
      requestStep('n2', 'o1', 'unkeyed', 100),
      requestStep('s3', 'o2', 'unkeyed', 100),
    ]);
    expect(timeline).toMatchSnapshot();
  });

  test('a budget runs out: the last units are spent, the rest refused', async () => {
    const timeline = await runScenario(
      Array.from({length: 24}, (_, index) =>
        requestStep(`n${(index % 4) + 1}`, 'o1', 'unkeyed', 30),
      ),
    );
    expect(timeline).toMatchSnapshot();
  });
});
