/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {explain, readLogs} from '../../Explanation';
import {runTool} from '../../Tool';

const LINES = [
  {
    box: 'e1',
    event: 'dependency-changed',
    peer: 'c1',
    reachable: false,
    time: 5_000,
  },
  {
    box: 'e2',
    event: 'dependency-changed',
    peer: 'c1',
    reachable: false,
    time: 5_000,
  },
  {amount: -4, box: 'e1', event: 'allowance-moved', team: 't', time: 6_000},
  {amount: -4, box: 'e1', event: 'allowance-moved', team: 'u', time: 6_000},
  {
    box: 'e1',
    event: 'upstream-judged',
    upstream: 'i-1',
    time: 7_000,
    usable: false,
  },
  {
    box: 'e1',
    event: 'upstream-judged',
    upstream: 'i-9',
    time: 7_000,
    usable: false,
  },
  {
    box: 'e1',
    cause: 'ECONNRESET',
    event: 'attempt-failed',
    request: 'r',
    upstream: 'i-1',
    time: 8_000,
  },
  {
    box: 'e1',
    cause: 'ECONNRESET',
    event: 'request-ended',
    request: 'r',
    upstream: 'i-1',
    team: 't',
    time: 8_001,
  },
  {
    box: 'e1',
    event: 'upstream-judged',
    upstream: 'i-1',
    time: 9_000,
    usable: true,
  },
];

/** A request that was refused, and what was known of limits. */
const REFUSAL = [
  {box: 'c1', event: 'upstream-limited', time: 1_000, upstream: 'i-1'},
  {box: 'e1', event: 'upstream-limited', time: 1_001, upstream: 'i-1'},
  {box: 'e1', event: 'upstream-limited', time: 1_001, upstream: 'i-2'},
  {
    box: 'e1',
    cause: 'upstreams-limited',
    event: 'request-ended',
    heldBackBy: ['i-1'],
    request: 'r',
    time: 2_000,
  },
];

async function inFolder(run: (folder: string) => Promise<void>) {
  const folder = await mkdtemp(join(tmpdir(), 'logs-'));
  try {
    const text = LINES.map((line) => JSON.stringify(line));
    await writeFile(
      join(folder, 'a'),
      `started\n${text.slice(0, 4).join('\n')}`,
    );
    await writeFile(join(folder, 'b'), `${text.slice(4).join('\n')}\n{"cut`);
    await run(folder);
  } finally {
    await rm(folder, {recursive: true});
  }
}

describe('explain', () => {
  test('joins a request with what bears on it, in order', async () => {
    await inFolder(async (folder) => {
      const lines = (await readLogs(folder))._unsafeUnwrap();
      expect(lines).toHaveLength(LINES.length);
      const history = explain(lines, 'r')._unsafeUnwrap();
      expect(history).toEqual([0, 2, 4, 6, 7].map((at) => LINES[at]));
    });
  });

  test('shows the limits that a refused request was held back by', () => {
    const lines = explain(REFUSAL, 'r')._unsafeUnwrap();
    expect(lines).toEqual([0, 1, 3].map((at) => REFUSAL[at]));
  });

  test('says that no line names a request', async () => {
    await inFolder(async (folder) => {
      const lines = (await readLogs(folder))._unsafeUnwrap();
      const failure = explain(lines, 'x')._unsafeUnwrapErr();
      expect(failure.kind).toBe('no-such-request');
    });
  });

  test('is a command of the tool', async () => {
    await inFolder(async (folder) => {
      const argv = ['node', 'puffinturn', 'explain', 'r', '--logs', folder];
      expect(await runTool([...argv, '--json'])).toBe(0);
      expect(
        await runTool(['node', 'puffinturn', 'explain', 'x', '--logs', folder]),
      ).toBe(1);
    });
  });

  test('answers a missing folder with a failure', async () => {
    const failure = (await readLogs('/nonexistent-folder'))._unsafeUnwrapErr();
    expect(failure.kind).toBe('unreadable');
  });
});
