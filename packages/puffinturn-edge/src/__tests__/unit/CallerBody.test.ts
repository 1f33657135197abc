/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {connect, Socket} from 'node:net';

import {CallerBody} from '../../callers/CallerBody';
import {UpstreamAnswer} from '../../connections/UpstreamAnswer';

const EVENTS = ['id: 1\ndata: one\n\n', `id: 2\ndata: ${'x'.repeat(300)}\n\n`];

/** An answer whose source notes what it is told. */
function answerOf(told: string[]): UpstreamAnswer {
  return new UpstreamAnswer(
    {keepAlive: true, rawHeaders: [], statusCode: 200},
    {
      pause: () => told.push('pause'),
      resume: () => told.push('resume'),
      socket: new Socket(),
    },
  );
}

/** All bytes that a caller gets for a head, from a server that answers so. */
async function bytesOf(
  head: string,
  answer: (response: ServerResponse) => void,
  onSocket: (socket: Socket) => void = () => undefined,
): Promise<string> {
  const server = createServer((_, response) => answer(response));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const chunks: Buffer[] = [];
  await new Promise<void>((resolve) => {
    const socket = connect(port, '127.0.0.1', () => socket.write(head));
    onSocket(socket);
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve());
  });
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  return Buffer.concat(chunks).toString('latin1');
}

function stream(response: ServerResponse, rest: string): void {
  const body = new CallerBody(response);
  body.begin(200, ['X-A', 'b']);
  for (const event of EVENTS) {
    body.write(Buffer.from(event), answerOf([]));
  }
  body.end(Buffer.from(rest));
}

/** Bytes without the header lines that Node adds. */
function withoutNodeHeaders(bytes: string): string {
  return bytes.replace(/^(Date|Connection|Keep-Alive): .*\r\n/gm, '');
}

describe('CallerBody', () => {
  test.each(['', 'rest'])(
    'chunks are those that Node writes, ending in "%s"',
    async (rest) => {
      const head = 'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n';
      const ours = await bytesOf(head, (response) => stream(response, rest));
      const nodes = await bytesOf(head, (response) => {
        response.writeHead(200, ['X-A', 'b'] as never);
        EVENTS.forEach((event) => response.write(event));
        response.end(rest);
      });
      expect(withoutNodeHeaders(ours)).toBe(withoutNodeHeaders(nodes));
      expect(ours.endsWith('\r\n0\r\n\r\n')).toBe(true);
    },
  );

  test('an older caller gets no chunks', async () => {
    const bytes = await bytesOf('GET / HTTP/1.0\r\n\r\n', (response) =>
      stream(response, 'rest'),
    );
    expect(bytes.endsWith(`\r\n\r\n${EVENTS.join('')}rest`)).toBe(true);
  });

  test('an answer with a length gets no chunks', async () => {
    const head = 'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n';
    const bytes = await bytesOf(head, (response) => {
      const body = new CallerBody(response);
      body.begin(200, ['Content-Length', '4']);
      body.end(Buffer.from('rest'));
    });
    expect(withoutNodeHeaders(bytes)).toBe(
      'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrest',
    );
  });

  test('an answer that breaks off has no last chunk', async () => {
    const head = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
    const bytes = await bytesOf(head, (response) => {
      const body = new CallerBody(response);
      body.begin(200, []);
      body.write(Buffer.from(EVENTS[0] ?? ''), answerOf([]));
      setTimeout(() => response.destroy(), 20);
    });
    expect(bytes.endsWith(`\r\n\r\n11\r\n${EVENTS[0]}\r\n`)).toBe(true);
  });

  test('the upstream is held back while the caller does not read', async () => {
    const told: string[] = [];
    const part = Buffer.alloc(1024 * 1024);
    let caller: Socket | undefined;
    const bytes = await bytesOf(
      'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n',
      (response) => {
        const body = new CallerBody(response);
        const answer = answerOf(told);
        body.begin(200, []);
        for (let written = 0; written < 16; written += 1) {
          body.write(part, answer);
        }
        expect(told).not.toContain('resume');
        expect(told).toContain('pause');
        caller?.resume();
        response.once('drain', () => body.end(Buffer.alloc(0)));
      },
      (socket) => {
        caller = socket;
        socket.pause();
      },
    );
    expect(told.filter((word) => word === 'resume')).toEqual(['resume']);
    expect(bytes.endsWith('\r\n0\r\n\r\n')).toBe(true);
  });
});
