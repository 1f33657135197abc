/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against responses with a malformed head that the gateway takes for answers. */
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:net';

import {HttpUpstreamClient} from '../../HttpUpstreamClient';
import {readWhole} from '../utils/readWhole';

const HOST = '127.0.0.1';
const BODY = 'the whole body';
const LENGTH = `Content-Length: ${BODY.length}`;
const CHUNKS = `e\r\n${BODY}\r\n0\r\n\r\n`;
const OK = 'HTTP/1.1 200 OK';

/** Bytes that no field name may hold (RFC 9110, section 5.1). */
const INVALID_NAME_BYTES = [...' \t\0\x01\x1b\x7f\x80\xff(@{/"\r\n'];

const STATUSES = ['000', '001', '042', '099', '600', '700', '999'];
const STATUS_LINES = [
  ...STATUSES.map((status) => `HTTP/1.1 ${status} Odd`),
  'HTTP/1.1 100 Continue',
  'HTTP/1.1 101 Switching Protocols',
  'HTTP/1.1 20 OK',
  'HTTP/1.1 1000 OK',
  'HTTP/1.1 2x0 OK',
  'HTTP/1.1 200 O\0K',
  'HTTP/1.1 200 O\x01K',
  'HTTP/1.1 200 O\x7fK',
];
const NAMES = INVALID_NAME_BYTES.flatMap((byte) =>
  ['x-more', 'Content-Length', 'Transfer-Encoding'].flatMap((name) => [
    `${byte}${name}`,
    `${name.slice(0, 3)}${byte}${name.slice(3)}`,
    `${name}${byte}`,
  ]),
);
const CODINGS = [
  'xchunked',
  'chunked, gzip',
  'gzip, chunked',
  'chunked, chunked',
  'identity',
  '',
];

/** The most interim responses that a final one may have before it. */
const INTERIM = 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(16);

const HEADS = [
  ...STATUS_LINES.map((line) => `${line}\r\n${LENGTH}\r\n\r\n${BODY}`),
  ...STATUSES.map((status) => `HTTP/1.1 ${status} Odd\r\n\r\n`),
  ...NAMES.map((name) => `${OK}\r\n${name}: 1\r\n${LENGTH}\r\n\r\n${BODY}`),
  ...CODINGS.map(
    (coding) => `${OK}\r\nTransfer-Encoding: ${coding}\r\n\r\n${CHUNKS}`,
  ),
  `${OK}\r\n${LENGTH}\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNKS}`,
  `${OK}\r\n${LENGTH}\r\nContent-Length: 3\r\n\r\n${BODY}`,
  // Guards against requests that wait for minutes on interim responses without end.
  `HTTP/1.1 103 Early Hints\r\n\r\n${INTERIM}${OK}\r\n${LENGTH}\r\n\r\n${BODY}`,
];

const SOUND_HEADS = [
  `${OK}\r\n${LENGTH}\r\n\r\n${BODY}`,
  `${OK}\r\nTransfer-Encoding: Chunked\r\n\r\n${CHUNKS}`,
  `HTTP/1.1 103 Early Hints\r\n\r\n${OK}\r\n${LENGTH}\r\n\r\n${BODY}`,
  `${INTERIM}${OK}\r\n${LENGTH}\r\n\r\n${BODY}`,
  `HTTP/1.1 599 Odd\r\n${LENGTH}\r\n\r\n${BODY}`,
];

/** Sends bytes to each request, and ends the connection a moment after. */
async function startServer(bytes: string, partBytes: number) {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.setNoDelay(true);
    socket.once('data', async () => {
      for (let start = 0; start < bytes.length; start += partBytes) {
        const part = bytes.slice(start, start + partBytes);
        await new Promise((resolve) => socket.write(part, 'latin1', resolve));
      }
      socket.end();
    });
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  return {
    url: `http://${HOST}:${(server.address() as AddressInfo).port}`,
    async [Symbol.asyncDispose]() {
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

/** Reads the response to a request; undefined if the client says that there is none. */
async function receive(
  bytes: string,
  method: string,
  partBytes = bytes.length,
): Promise<string | undefined> {
  await using server = await startServer(bytes, partBytes);
  await using client = new HttpUpstreamClient();
  const response = await client.send({
    body: undefined,
    headers: {},
    method,
    path: '/',
    signal: new AbortController().signal,
    url: server.url,
    useNewConnection: method === 'POST',
  });
  if (response.isErr()) {
    expect(response.error.kind).toBe('broken');
    return undefined;
  }
  return await readWhole(response.value.body);
}

describe('The head of a response at the gateway', () => {
  test.each(HEADS)('is malformed, so that there is none: %j', async (bytes) => {
    for (const method of ['GET', 'POST']) {
      expect(await receive(bytes, method)).toBeUndefined();
      expect(await receive(bytes, method, 1)).toBeUndefined();
    }
  });

  test.each(SOUND_HEADS)('is sound: %j', async (bytes) => {
    for (const method of ['GET', 'POST']) {
      expect(await receive(bytes, method)).toBe(BODY);
      expect(await receive(bytes, method, 1)).toBe(BODY);
    }
  });
});
