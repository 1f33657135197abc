/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Golden time lines of whole sessions. Each runs real boxes in virtual time
 * and must also keep every promise.
 */
import type {Step} from '../../index';
import {FuzzRun} from '../../index';
import {ask, storyOf} from '../utils/Scenarios';

const SEED = 5;

async function run(steps: readonly Step[]): Promise<string> {
  const report = await FuzzRun.run(SEED, steps);
  expect(report.breaches).toEqual([]);
  return storyOf(report);
}

describe('golden time lines', () => {
  test('a streamed chat, an order placed and retried elsewhere', async () => {
    const story = await run([
      ask('n1', 'o1', 'stream'),
      ask('n2', 'o1', 'marked'),
      ask('n4', 'o1', 'marked'),
      ask('s1', 'o1', 'marked'),
    ]);
    expect(story).toMatchSnapshot();
  });

  test('a box dies with streams open and the callers retry', async () => {
    const story = await run([
      {afterMs: 0, kind: 'upstream', mode: 'slow', url: 'http://engine-1'},
      {afterMs: 0, kind: 'upstream', mode: 'slow', url: 'http://engine-2'},
      {afterMs: 0, kind: 'upstream', mode: 'slow', url: 'http://service-1'},
      {afterMs: 0, kind: 'upstream', mode: 'slow', url: 'http://service-2'},
      ask('n4', 'o1', 'stream', 100),
      ask('n4', 'o2', 'marked', 300),
      {afterMs: 3_000, box: 'n4', kind: 'kill'},
      ask('n1', 'o1', 'stream', 100),
      ask('n1', 'o2', 'marked', 5_000),
    ]);
    expect(story).toMatchSnapshot();
  });

  test('regions part while both draw on one budget, and heal', async () => {
    const spend = (turn: number): Step[] =>
      ['n1', 's1'].map((box) => ask(box, `o${turn}`, 'unkeyed', 50));
    const story = await run([
      ...[1, 2, 3].flatMap(spend),
      {afterMs: 1_000, kind: 'part-regions'},
      ...[4, 5, 6, 7].flatMap(spend),
      {afterMs: 3_000, kind: 'heal'},
      ...[1, 2, 3, 4, 5, 6].flatMap(spend),
    ]);
    expect(story).toMatchSnapshot();
  });

  test('a second control box is lost right after a repair', async () => {
    const story = await run([
      ask('n4', 'o1', 'marked', 200),
      {afterMs: 6_000, box: 'n2', kind: 'lose-disk'},
      ask('n4', 'o2', 'marked', 200),
      {afterMs: 4_000, box: 'n3', kind: 'kill'},
      ask('n4', 'o3', 'marked', 1_000),
      ask('n4', 'o1', 'marked', 1_000),
    ]);
    expect(story).toMatchSnapshot();
  });

  test('a control box is cut off in silence and answers nothing', async () => {
    const story = await run([
      {afterMs: 5_000, box: 'n1', kind: 'isolate'},
      ask('n1', 'o1', 'marked', 1_000),
      ask('n2', 'o2', 'marked', 6_000),
      {afterMs: 3_000, kind: 'heal'},
      ask('n1', 'o1', 'marked', 1_000),
    ]);
    expect(story).toMatchSnapshot();
  });

  test('operators race with one number; the price that won is billed', async () => {
    const story = await run([
      {afterMs: 1_500, boxes: ['n1', 's2'], kind: 'racing-price'},
      ask('n2', 'o1', 'unkeyed', 100),
      ask('s3', 'o2', 'unkeyed', 100),
    ]);
    expect(story).toMatchSnapshot();
  });

  test('a budget runs out: the last units are spent, the rest refused', async () => {
    const story = await run(
      Array.from({length: 24}, (_, turn) =>
        ask(`n${(turn % 4) + 1}`, 'o1', 'unkeyed', 30),
      ),
    );
    expect(story).toMatchSnapshot();
  });
});
