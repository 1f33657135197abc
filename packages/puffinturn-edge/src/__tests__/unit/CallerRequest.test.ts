/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against forwarding requests with incomplete or oversized bodies.
 */
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';

import {CallerRequest} from '../../callers/CallerRequest';
import {collectBody} from '../utils/serverParts';

const HEADER_NAMES = {
  deadline: 'x-deadline',
  expectedUpstream: 'x-upstream',
  credential: 'x-key',
  lastEventId: 'last-event-id',
  resumedRequest: 'x-resumes',
  draining: 'x-leaving',
  rateLimit: 'x-limit',
  brittleness: 'x-brittle',
  notExecuted: 'x-not-run',
  prefixSource: 'x-source',
  priority: 'x-priority',
  requestId: 'x-id',
  reserved: [],
  retryAfter: 'retry-after',
  seal: 'x-seal',
  team: 'x-team',
};

const MAX_BYTES = 10;
const CHUNKED_HEAD =
  'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n';

/** Sends a request; returns the outcome of reading its body, and the HTTP response. */
async function sendRequest(
  request: string,
  afterSend: (socket: Socket) => void = () => undefined,
): Promise<{readonly read: string; readonly httpResponse: string}> {
  let resolveRead: (read: string) => void = () => undefined;
  const read = new Promise<string>((resolve) => (resolveRead = resolve));
  const server = createServer((incoming, response) => {
    incoming.on('error', () => undefined);
    const times = {arrivedAt: 0, readAt: 0};
    const caller = new CallerRequest(
      incoming,
      response,
      HEADER_NAMES,
      times,
      collectBody(incoming),
    );
    void caller.readBody(MAX_BYTES).then((body) => {
      const outcome = body.isOk() ? `body ${body.value}` : body.error.kind;
      resolveRead(outcome);
      caller.closesConnection = true;
      caller.sendError(body.isOk() ? 200 : 413, outcome);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  let httpResponse = '';
  await new Promise<void>((resolve) => {
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(request);
      afterSend(socket);
    });
    socket.on('data', (chunk: Buffer) => (httpResponse += chunk.toString()));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve());
  });
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  return {httpResponse, read: await read};
}

describe('CallerRequest', () => {
  test.each([
    ['no body', 'GET / HTTP/1.1\r\nHost: h\r\n\r\n', 'body '],
    [
      'a length',
      'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcd',
      'body abcd',
    ],
    ['chunks', `${CHUNKED_HEAD}2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n`, 'body abcd'],
  ])('reads a body with %s', async (_, request, read) => {
    expect((await sendRequest(request)).read).toBe(read);
  });

  test.each([
    [
      'a length',
      'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\nabcd',
    ],
    ['chunks', `${CHUNKED_HEAD}6\r\nabcdef\r\n6\r\nabcdef\r\n`],
  ])('rejects a body that is too long by %s', async (_, request) => {
    const {httpResponse, read} = await sendRequest(request);
    expect(read).toBe('body-too-large');
    expect(httpResponse.startsWith('HTTP/1.1 413 ')).toBe(true);
    expect(httpResponse).toContain('Connection: close');
  });

  test('rejects a body that ends early', async () => {
    const {read} = await sendRequest(`${CHUNKED_HEAD}2\r\nab\r\n`, (socket) =>
      setTimeout(() => socket.destroy(), 20),
    );
    expect(read).toBe('body-broken');
  });
});
