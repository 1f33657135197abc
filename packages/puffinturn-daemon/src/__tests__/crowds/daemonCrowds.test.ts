/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against clients that end a daemon, fill the memory of its machine, or keep
 * ordinary callers and operators out.
 */
import {jest} from '@jest/globals';
import type {CrowdOutcome, CrowdScript} from 'puffinturn-stand-in';
import {encodeChunk, runCrowdTrial} from 'puffinturn-stand-in';

import {OPERATOR_KEY, TEAM_KEY} from '../utils/DaemonFixture';
import {DaemonProcess} from '../utils/DaemonProcess';

/** Memory of the users' smaller machines, MB. */
const MAX_MEMORY_MB = 350;

const MAX_BODY_BYTES = 4 * 1_024 * 1_024;
const CHUNK_BYTES = 64 * 1_024;
const LARGE_CHUNK = encodeChunk(CHUNK_BYTES);
const SMALL_CHUNK = encodeChunk(1);

/** Length of bodies that are sent in chunks of a byte. */
const BYTES_IN_SINGLE_CHUNKS = 900_000;

const COMPLETIONS = '/v1/chat/completions';
const DECLARATIONS = '/v1/declarations';

function buildHead(path: string, key: string, fields: string): string {
  return `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nAuthorization: Bearer ${key}\r\n${fields}\r\n\r\n`;
}

function chunkedHead(path: string, key: string): string {
  return buildHead(path, key, 'Transfer-Encoding: chunked');
}

const SHORT_OF_THE_END: Pick<CrowdScript, 'clients' | 'piece' | 'times'> = {
  clients: 100,
  piece: LARGE_CHUNK,
  times: MAX_BODY_BYTES / CHUNK_BYTES - 1,
};

const CALLER_CROWDS: readonly (readonly [string, CrowdScript])[] = [
  [
    '100 bodies that stop short of their end',
    {...SHORT_OF_THE_END, head: chunkedHead(COMPLETIONS, TEAM_KEY)},
  ],
  [
    '10 bodies in chunks of a byte that do not end',
    {
      clients: 10,
      head: chunkedHead(COMPLETIONS, TEAM_KEY),
      piece: SMALL_CHUNK,
      times: BYTES_IN_SINGLE_CHUNKS,
    },
  ],
  [
    '100 bodies without end',
    {
      clients: 100,
      head: chunkedHead(COMPLETIONS, TEAM_KEY),
      piece: LARGE_CHUNK,
      times: Infinity,
    },
  ],
  [
    '100 bodies that are announced with a gigabyte',
    {
      clients: 100,
      head: buildHead(COMPLETIONS, TEAM_KEY, 'Content-Length: 1000000000'),
      piece: LARGE_CHUNK,
      times: Infinity,
    },
  ],
  [
    '100 bodies without end with a wrong key',
    {
      clients: 100,
      head: chunkedHead(COMPLETIONS, 'wrong'),
      piece: LARGE_CHUNK,
      reads: false,
      times: Infinity,
    },
  ],
];

const OPERATOR_CROWDS: readonly (readonly [string, CrowdScript])[] = [
  [
    '100 declarations that stop short of their end',
    {...SHORT_OF_THE_END, head: chunkedHead(DECLARATIONS, OPERATOR_KEY)},
  ],
  [
    '100 declarations without end',
    {
      clients: 100,
      head: chunkedHead(DECLARATIONS, OPERATOR_KEY),
      piece: LARGE_CHUNK,
      times: Infinity,
    },
  ],
  [
    '100 declarations that are announced with a gigabyte',
    {
      clients: 100,
      head: buildHead(DECLARATIONS, OPERATOR_KEY, 'Content-Length: 1000000000'),
      piece: LARGE_CHUNK,
      times: Infinity,
    },
  ],
  [
    '10 declarations in chunks of a byte that do not end',
    {
      clients: 10,
      head: chunkedHead(DECLARATIONS, OPERATOR_KEY),
      piece: SMALL_CHUNK,
      times: BYTES_IN_SINGLE_CHUNKS,
    },
  ],
  [
    '100 declarations without end with a wrong key',
    {
      clients: 100,
      head: chunkedHead(DECLARATIONS, 'wrong'),
      piece: LARGE_CHUNK,
      reads: false,
      times: Infinity,
    },
  ],
];

jest.setTimeout(300_000);

describe('A daemon withstands', () => {
  let daemon: DaemonProcess;

  beforeAll(async () => {
    daemon = await DaemonProcess.open({bodyBytes: MAX_BODY_BYTES});
  });

  beforeEach(() => daemon.restart());

  afterAll(() => daemon[Symbol.asyncDispose]());

  async function sendOrdinary(): Promise<boolean> {
    const statuses = await Promise.all([
      daemon.complete(),
      daemon.readStatus(),
    ]);
    return statuses.every((status) => status === 200);
  }

  function expose(port: number, script: CrowdScript): Promise<CrowdOutcome> {
    const target = {host: '127.0.0.1', port};
    return runCrowdTrial({pid: daemon.pid, script, sendOrdinary, target});
  }

  function expectWithstood(outcome: CrowdOutcome): void {
    const {alive, answered, peakMemoryMb} = outcome;
    expect({alive, answered}).toEqual({alive: true, answered: true});
    expect(peakMemoryMb).toBeLessThanOrEqual(MAX_MEMORY_MB);
  }

  test('a whole body in chunks of a byte, which it serves', async () => {
    // Blanks don't count as a prompt, which would be too long for the context.
    const text = JSON.stringify({
      max_tokens: 2,
      messages: [{content: 'hello', role: 'user'}],
      model: 'model-1',
    }).padEnd(BYTES_IN_SINGLE_CHUNKS);
    const chunks = [...text].map((character) => `1\r\n${character}\r\n`);
    const outcome = await expose(daemon.ports.callers, {
      awaitsResponse: true,
      clients: 1,
      head: chunkedHead(COMPLETIONS, TEAM_KEY),
      tail: `${chunks.join('')}0\r\n\r\n`,
    });
    expectWithstood(outcome);
    expect(outcome.statuses).toEqual([200]);
  });

  test.each(CALLER_CROWDS)('callers: %s', async (_, script) => {
    expectWithstood(await expose(daemon.ports.callers, script));
  });

  test.each(OPERATOR_CROWDS)('operators: %s', async (_, script) => {
    expectWithstood(await expose(daemon.ports.operators, script));
  });
});
