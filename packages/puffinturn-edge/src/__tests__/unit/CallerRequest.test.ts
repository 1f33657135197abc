/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';

import {CallerRequest} from '../../callers/CallerRequest';

const NAMES = {
  deadline: 'x-deadline',
  expectedUpstream: 'x-upstream',
  key: 'x-key',
  lastEvent: 'last-event-id',
  leaving: 'x-leaving',
  limit: 'x-limit',
  notRun: 'x-not-run',
  prefixSource: 'x-source',
  priority: 'x-priority',
  requestId: 'x-id',
  reserved: [],
  retryAfter: 'retry-after',
  seal: 'x-seal',
  team: 'x-team',
};

const MAX_BYTES = 10;
const CHUNKED =
  'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n';

/** What was read of a body that a caller sends, and what the caller got. */
async function bodyOf(
  text: string,
  then: (socket: Socket) => void = () => undefined,
): Promise<{readonly read: string; readonly got: string}> {
  let seen: (read: string) => void = () => undefined;
  const read = new Promise<string>((resolve) => (seen = resolve));
  const server = createServer((incoming, response) => {
    incoming.on('error', () => undefined);
    const caller = new CallerRequest(incoming, response, NAMES, 0);
    void caller.readBody(MAX_BYTES).then((body) => {
      const word = body.isOk() ? `body ${body.value}` : body.error.kind;
      seen(word);
      caller.closing = true;
      caller.refuse(body.isOk() ? 200 : 413, word);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  let got = '';
  await new Promise<void>((resolve) => {
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(text);
      then(socket);
    });
    socket.on('data', (chunk: Buffer) => (got += chunk.toString()));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve());
  });
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  return {got, read: await read};
}

describe('CallerRequest', () => {
  test.each([
    ['no body', 'GET / HTTP/1.1\r\nHost: h\r\n\r\n', 'body '],
    [
      'a length',
      'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcd',
      'body abcd',
    ],
    ['chunks', `${CHUNKED}2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n`, 'body abcd'],
  ])('reads a body with %s', async (_, text, read) => {
    expect((await bodyOf(text)).read).toBe(read);
  });

  test.each([
    [
      'a length',
      'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\nabcd',
    ],
    ['chunks', `${CHUNKED}6\r\nabcdef\r\n6\r\nabcdef\r\n`],
  ])('a body that is too long by %s is answered so', async (_, text) => {
    const {got, read} = await bodyOf(text);
    expect(read).toBe('body-too-large');
    expect(got.startsWith('HTTP/1.1 413 ')).toBe(true);
    expect(got).toContain('Connection: close');
  });

  test('a body that breaks off is no body', async () => {
    const {read} = await bodyOf(`${CHUNKED}2\r\nab\r\n`, (socket) =>
      setTimeout(() => socket.destroy(), 20),
    );
    expect(read).toBe('body-broken');
  });
});
