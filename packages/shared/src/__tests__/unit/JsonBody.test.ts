/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against bodies without end that fill the memory of those who read them. */
import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:net';
import {Readable} from 'node:stream';

import {jest} from '@jest/globals';
import {request} from 'undici';

import {readJsonBody} from '../../index';

const HOST = '127.0.0.1';
const MAX_BYTES = 64 * 1024;
const HEAD = 'HTTP/1.1 200 OK\r\n';

/** Sends bytes to each request; then `part` again and again until the peer closes. */
async function startServer(bytes: string, part: string) {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      const send = (): void => {
        if (part !== '' && socket.writable) {
          socket.write(part.repeat(1_000), () => setImmediate(send));
        }
      };
      socket.write(bytes, send);
    });
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  return {
    url: `http://${HOST}:${(server.address() as AddressInfo).port}`,
    async [Symbol.asyncDispose]() {
      sockets.forEach((socket) => socket.destroy());
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

async function read(bytes: string, part = ''): Promise<unknown> {
  await using server = await startServer(bytes, part);
  const {body} = await request(server.url, {reset: true});
  const result = await readJsonBody(body, MAX_BYTES);
  return result.match(
    (value) => value,
    ({kind}) => kind,
  );
}

describe('A JSON body', () => {
  // Guards against readers whose memory runs out at a body in chunks of a byte.
  test('is not kept as one buffer for each of its chunks', async () => {
    const text = JSON.stringify('x'.repeat(MAX_BYTES / 2));
    const chunks = [...text].map((byte) => Buffer.from(byte));
    const concat = jest.spyOn(Buffer, 'concat');
    const result = await readJsonBody(Readable.from(chunks), MAX_BYTES);
    const kept = concat.mock.calls.map(([list]) => list.length);
    concat.mockRestore();
    expect(result.isOk()).toBe(true);
    expect(Math.max(0, ...kept)).toBeLessThan(20);
  });

  test('is read', async () => {
    const length = 'Content-Length: 7\r\n';
    expect(await read(`${HEAD}${length}\r\n{"a":1}`)).toEqual({a: 1});
  });

  test.each([
    ['without end', `${HEAD}\r\n`, '['],
    [
      'without end in chunks',
      `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
      '1\r\n[\r\n',
    ],
    ['that is not JSON', `${HEAD}Content-Length: 3\r\n\r\n{"a`, ''],
    [
      'with a malformed chunk',
      `${HEAD}Transfer-Encoding: chunked\r\n\r\n1\r\n[\r\nx`,
      '',
    ],
  ])('is unreadable: %s', async (_, bytes, part) => {
    expect(await read(bytes, part)).toBe('unreadable-body');
  });
});
