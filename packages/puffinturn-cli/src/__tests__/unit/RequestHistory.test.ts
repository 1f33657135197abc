/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against request histories with missing, unrelated or misordered lines. */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {runCli} from '../../Cli';
import {buildRequestHistory, readLogs} from '../../RequestHistory';

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

/** Lines about a rejected request and the limits of its upstreams. */
const REJECTED_REQUEST_LINES = [
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

async function withLogFolder(run: (folder: string) => Promise<void>) {
  const folder = await mkdtemp(join(tmpdir(), 'logs-'));
  try {
    const texts = LINES.map((line) => JSON.stringify(line));
    await writeFile(
      join(folder, 'a'),
      `started\n${texts.slice(0, 4).join('\n')}`,
    );
    await writeFile(join(folder, 'b'), `${texts.slice(4).join('\n')}\n{"cut`);
    await run(folder);
  } finally {
    await rm(folder, {recursive: true});
  }
}

describe('request history', () => {
  test('returns the lines of a request and related lines, ordered by time', async () => {
    await withLogFolder(async (folder) => {
      const lines = (await readLogs(folder))._unsafeUnwrap();
      expect(lines).toHaveLength(LINES.length);
      const history = buildRequestHistory(lines, 'r')._unsafeUnwrap();
      expect(history).toEqual([0, 2, 4, 6, 7].map((at) => LINES[at]));
    });
  });

  test('includes the limits of the upstreams that rejected the request', () => {
    const lines = buildRequestHistory(
      REJECTED_REQUEST_LINES,
      'r',
    )._unsafeUnwrap();
    expect(lines).toEqual([0, 1, 3].map((at) => REJECTED_REQUEST_LINES[at]));
  });

  test('follows a stream over all requests of its caller', () => {
    const at = (box: string, event: string, request: string, time: number) => ({
      box,
      event,
      request,
      time,
    });
    const lines = [
      {...at('e1', 'stream-bound', 'q1', 1), stream: 'q1'},
      {...at('e2', 'stream-matched', 'q2', 2), stream: 'q1'},
      at('e2', 'request-ended', 'q2', 3),
      {...at('e3', 'stream-matched', 'q3', 4), stream: 'q1'},
      {...at('e3', 'stream-matched', 'other', 5), stream: 'q9'},
    ];
    for (const request of ['q1', 'q2', 'q3']) {
      const history = buildRequestHistory(lines, request)._unsafeUnwrap();
      expect(history.map(({time}) => time)).toEqual([1, 2, 3, 4]);
    }
  });

  test('fails if no line names the request', async () => {
    await withLogFolder(async (folder) => {
      const lines = (await readLogs(folder))._unsafeUnwrap();
      const failure = buildRequestHistory(lines, 'x')._unsafeUnwrapErr();
      expect(failure.kind).toBe('no-such-request');
    });
  });

  test('exits with 0 for a known request and 1 for an unknown one', async () => {
    await withLogFolder(async (folder) => {
      const argv = ['node', 'puffinturn', 'explain', 'r', '--logs', folder];
      expect(await runCli([...argv, '--json'])).toBe(0);
      expect(
        await runCli(['node', 'puffinturn', 'explain', 'x', '--logs', folder]),
      ).toBe(1);
    });
  });

  test('fails if the folder does not exist', async () => {
    const failure = (await readLogs('/nonexistent-folder'))._unsafeUnwrapErr();
    expect(failure.kind).toBe('unreadable');
  });
});
