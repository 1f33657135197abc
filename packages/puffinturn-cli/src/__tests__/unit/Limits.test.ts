/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against limits that have ended and boxes that are missing from the list. */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {runCli} from '../../Cli';
import {findCurrentLimits} from '../../Limits';

const LINES = [
  {
    box: 'e1',
    event: 'upstream-told',
    limitPerS: 1.2,
    time: 1_000,
    upstream: 'i-1',
  },
  {
    box: 'e2',
    event: 'upstream-limited',
    perSecond: 1.2,
    time: 1_100,
    upstream: 'i-1',
  },
  {box: 'e1', event: 'upstream-told', limitPerS: 8, time: 900, upstream: 'i-2'},
  {box: 'e1', event: 'upstream-told', time: 1_500, upstream: 'i-2'},
  {box: 'e1', event: 'upstream-judged', time: 1_600, upstream: 'i-1'},
];

describe('upstream limits', () => {
  test('lists the limits in force and the boxes that know them', () => {
    expect(findCurrentLimits(LINES)).toEqual([
      {boxes: ['e1', 'e2'], perSecond: 1.2, time: 1_100, upstream: 'i-1'},
    ]);
  });

  test('exits with 0 for a folder of logs and 1 for a missing folder', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'logs-'));
    const text = LINES.map((line) => JSON.stringify(line)).join('\n');
    await writeFile(join(folder, 'a'), text);
    const argv = ['node', 'puffinturn', 'limits', '--logs'];
    expect(await runCli([...argv, folder, '--json'])).toBe(0);
    expect(await runCli([...argv, join(folder, 'none')])).toBe(1);
    await rm(folder, {recursive: true});
  });
});
