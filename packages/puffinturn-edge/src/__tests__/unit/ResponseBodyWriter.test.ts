/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against malformed chunked bodies and unbounded buffering for slow callers.
 */
import type {ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';

import {ResponseBodyWriter} from '../../callers/ResponseBodyWriter';
import {createUpstreamResponse} from '../utils/createUpstreamResponse';

const EVENTS = ['id: 1\ndata: one\n\n', `id: 2\ndata: ${'x'.repeat(300)}\n\n`];

/** Sends a request head to a server and returns all bytes of its response. */
async function receiveResponse(
  requestHead: string,
  respond: (response: ServerResponse) => void,
  onSocket: (socket: Socket) => void = () => undefined,
): Promise<string> {
  const server = createServer((_, response) => respond(response));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const chunks: Buffer[] = [];
  await new Promise<void>((resolve) => {
    const socket = connect(port, '127.0.0.1', () => socket.write(requestHead));
    onSocket(socket);
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve());
  });
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  return Buffer.concat(chunks).toString('latin1');
}

function sendEvents(response: ServerResponse, rest: string): void {
  const body = new ResponseBodyWriter(response);
  body.writeHead(200, ['X-A', 'b']);
  for (const event of EVENTS) {
    body.write(Buffer.from(event), createUpstreamResponse([]));
  }
  body.end(Buffer.from(rest));
}

/** Removes the headers that Node adds. */
function withoutNodeHeaders(bytes: string): string {
  return bytes.replace(/^(Date|Connection|Keep-Alive): .*\r\n/gm, '');
}

describe('ResponseBodyWriter', () => {
  test.each(['', 'rest'])(
    'writes the same chunks as Node, with "%s" as the last bytes',
    async (rest) => {
      const requestHead =
        'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n';
      const actual = await receiveResponse(requestHead, (response) =>
        sendEvents(response, rest),
      );
      const expected = await receiveResponse(requestHead, (response) => {
        response.writeHead(200, ['X-A', 'b'] as never);
        EVENTS.forEach((event) => response.write(event));
        response.end(rest);
      });
      expect(withoutNodeHeaders(actual)).toBe(withoutNodeHeaders(expected));
      expect(actual.endsWith('\r\n0\r\n\r\n')).toBe(true);
    },
  );

  test('writes no chunks to an HTTP/1.0 caller', async () => {
    const bytes = await receiveResponse('GET / HTTP/1.0\r\n\r\n', (response) =>
      sendEvents(response, 'rest'),
    );
    expect(bytes.endsWith(`\r\n\r\n${EVENTS.join('')}rest`)).toBe(true);
  });

  test('writes no chunks for a response with Content-Length', async () => {
    const requestHead =
      'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n';
    const bytes = await receiveResponse(requestHead, (response) => {
      const body = new ResponseBodyWriter(response);
      body.writeHead(200, ['Content-Length', '4']);
      body.end(Buffer.from('rest'));
    });
    expect(withoutNodeHeaders(bytes)).toBe(
      'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrest',
    );
  });

  test('writes no last chunk for an aborted response', async () => {
    const requestHead = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
    const bytes = await receiveResponse(requestHead, (response) => {
      const body = new ResponseBodyWriter(response);
      body.writeHead(200, []);
      body.write(Buffer.from(EVENTS[0] ?? ''), createUpstreamResponse([]));
      setTimeout(() => response.destroy(), 20);
    });
    expect(bytes.endsWith(`\r\n\r\n11\r\n${EVENTS[0]}\r\n`)).toBe(true);
  });

  test('pauses the upstream while the caller does not read', async () => {
    const calls: string[] = [];
    const part = Buffer.alloc(1024 * 1024);
    let caller: Socket | undefined;
    const bytes = await receiveResponse(
      'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n',
      (response) => {
        const body = new ResponseBodyWriter(response);
        const source = createUpstreamResponse(calls);
        body.writeHead(200, []);
        for (let written = 0; written < 16; written += 1) {
          body.write(part, source);
        }
        expect(calls).not.toContain('resume');
        expect(calls).toContain('pause');
        caller?.resume();
        response.once('drain', () => body.end(Buffer.alloc(0)));
      },
      (socket) => {
        caller = socket;
        socket.pause();
      },
    );
    expect(calls.filter((call) => call === 'resume')).toEqual(['resume']);
    expect(bytes.endsWith('\r\n0\r\n\r\n')).toBe(true);
  });
});
