/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {AddressInfo, Server, Socket} from 'node:net';
import {createServer} from 'node:net';

import {ManualClock} from 'shared';

import {requestHead} from '../../callers/RequestHead';
import {ConnectionPool} from '../../connections/ConnectionPool';
import type {HttpConnection} from '../../connections/HttpConnection';
import type {UpstreamAnswer} from '../../connections/UpstreamAnswer';

/** What came of one request. */
interface Outcome {
  readonly connected: boolean;
  readonly failed: string | undefined;
  readonly status: number;
  readonly body: string;
  readonly whole: boolean;
  readonly headers: UpstreamAnswer['headers'];
}

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n';
const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const MAX_IDLE = 2;

/** An upstream that answers each request with the next script. */
class ScriptedUpstream implements AsyncDisposable {
  readonly sockets: Socket[] = [];
  requests = '';
  private constructor(
    private readonly server: Server,
    private readonly scripts: ((socket: Socket) => void)[],
  ) {
    server.on('connection', (socket) => {
      this.sockets.push(socket);
      socket.on('error', () => undefined);
      socket.on('data', (data: Buffer) => {
        this.requests += data.toString('latin1');
        this.scripts.shift()?.(socket);
      });
    });
  }

  static async open(
    ...scripts: (string | ((socket: Socket) => void))[]
  ): Promise<ScriptedUpstream> {
    const server = createServer({noDelay: true});
    await new Promise<void>((resolve) =>
      server.listen(0, '127.0.0.1', resolve),
    );
    const steps = scripts.map((script) =>
      typeof script === 'string'
        ? (socket: Socket) => void socket.write(script, 'latin1')
        : script,
    );
    return new ScriptedUpstream(server, steps);
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => this.server.close(resolve));
  }
}

function poolOf(port: number, clock = new ManualClock()): ConnectionPool {
  return new ConnectionPool({
    clock,
    host: '127.0.0.1',
    maxIdle: MAX_IDLE,
    port,
  });
}

function ask(
  connection: HttpConnection,
  method = 'GET',
  body = '',
): Promise<Outcome> {
  let connected = false;
  const head = requestHead(method, '/x', ['Host', 'h']) ?? '';
  return new Promise((resolve) =>
    connection.send(
      {body: Buffer.from(body), head, method},
      {
        answered: (answer) => {
          let text = '';
          answer.read({
            ended: (whole) =>
              resolve({
                body: text,
                connected,
                failed: undefined,
                headers: answer.headers,
                status: answer.statusCode,
                whole,
              }),
            take: (chunk) => (text += chunk.toString('latin1')),
          });
        },
        connected: () => (connected = true),
        failed: (cause) =>
          resolve({
            body: '',
            connected,
            failed: cause,
            headers: {},
            status: 0,
            whole: false,
          }),
      },
    ),
  );
}

function pause(ms = 30): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

describe('ConnectionPool', () => {
  test('a connection serves many requests, in their order', async () => {
    await using upstream = await ScriptedUpstream.open(
      `${HEAD}ab`,
      `${CHUNKED}2\r\ncd\r\n0\r\n\r\n`,
    );
    using pool = poolOf(upstream.port);
    const first = await ask(pool.take(), 'POST', 'body');
    await pause();
    const second = await ask(pool.take());
    expect([first.body, second.body]).toEqual(['ab', 'cd']);
    expect([first.whole, second.whole]).toEqual([true, true]);
    expect(upstream.sockets).toHaveLength(1);
    expect(upstream.requests).toBe(
      'POST /x HTTP/1.1\r\nHost: h\r\n\r\nbodyGET /x HTTP/1.1\r\nHost: h\r\n\r\n',
    );
  });

  test.each([
    ['bytes behind a whole answer', `${HEAD}abHTTP`],
    ['another answer behind it', `${HEAD}ab${HEAD}cd`],
    ['no HTTP behind it', `${HEAD}ab\0\0`],
    [
      'an end of the connection',
      `${HEAD.replace('\r\n', '\r\nConnection: close\r\n')}ab`,
    ],
    ['no time', `${HEAD.replace('\r\n', '\r\nKeep-Alive: timeout=0\r\n')}ab`],
    ['an older protocol', `${HEAD.replace('1.1', '1.0')}ab`],
  ])('%s: the answer counts, its connection does not', async (_, script) => {
    await using upstream = await ScriptedUpstream.open(script, `${HEAD}zz`);
    using pool = poolOf(upstream.port);
    const first = await ask(pool.take());
    expect([first.body, first.whole]).toEqual(['ab', true]);
    const second = await ask(pool.take());
    expect([second.body, second.whole]).toEqual(['zz', true]);
    expect(upstream.sockets).toHaveLength(2);
  });

  test('bytes that come while no request is open end a connection', async () => {
    await using upstream = await ScriptedUpstream.open((socket) => {
      socket.write(`${HEAD}ab`);
      setTimeout(() => socket.write(`${HEAD}no`), 10);
    }, `${HEAD}zz`);
    using pool = poolOf(upstream.port);
    await ask(pool.take());
    await pause();
    expect((await ask(pool.take())).body).toBe('zz');
    expect(upstream.sockets).toHaveLength(2);
  });

  test('a connection that the upstream closed is not used again', async () => {
    await using upstream = await ScriptedUpstream.open((socket) => {
      socket.end(`${HEAD}ab`);
    }, `${HEAD}zz`);
    using pool = poolOf(upstream.port);
    await ask(pool.take());
    await pause();
    expect((await ask(pool.take())).body).toBe('zz');
  });

  test('idle connections end before the time that the upstream names', async () => {
    const named = HEAD.replace('\r\n', '\r\nKeep-Alive: timeout=2\r\n');
    await using upstream = await ScriptedUpstream.open(
      `${named}ab`,
      `${named}cd`,
      `${named}ef`,
    );
    const clock = new ManualClock();
    using pool = poolOf(upstream.port, clock);
    await ask(pool.take());
    await clock.advance(1_700);
    await ask(pool.take());
    expect(upstream.sockets).toHaveLength(1);
    await clock.advance(1_900);
    await ask(pool.take());
    expect(upstream.sockets).toHaveLength(2);
  });

  test('no more idle connections stay than were allowed', async () => {
    const scripts = Array.from({length: 6}, () => `${HEAD}ab`);
    await using upstream = await ScriptedUpstream.open(...scripts);
    using pool = poolOf(upstream.port);
    await Promise.all(
      [pool.take(), pool.take(), pool.take()].map((c) => ask(c)),
    );
    await pause();
    await Promise.all(
      [pool.take(), pool.take(), pool.take()].map((c) => ask(c)),
    );
    expect(upstream.sockets).toHaveLength(3 + 3 - MAX_IDLE);
  });

  test('a retired pool ends idle connections and lets open requests end', async () => {
    await using upstream = await ScriptedUpstream.open(
      `${HEAD}ab`,
      (socket) => {
        setTimeout(() => socket.write(`${HEAD}cd`), 20);
      },
    );
    using pool = poolOf(upstream.port);
    const [idle, busy] = [pool.take(), pool.take()];
    await ask(idle);
    const open = ask(busy);
    await pause(5);
    pool.retire();
    expect(idle.usable).toBe(false);
    expect((await open).body).toBe('cd');
    expect(busy.usable).toBe(false);
  });

  test('an answer without a length is whole only where the end is in order', async () => {
    const head = 'HTTP/1.1 200 OK\r\n\r\n';
    await using upstream = await ScriptedUpstream.open(
      (socket) => void socket.end(`${head}all`),
      (socket) =>
        void socket.write(`${head}part`, () => socket.resetAndDestroy()),
    );
    using pool = poolOf(upstream.port);
    const first = await ask(pool.take());
    expect([first.body, first.whole]).toEqual(['all', true]);
    const second = await ask(pool.take());
    expect(second.whole).toBe(false);
  });

  test.each([
    ['within a chunk', `${CHUNKED}5\r\nab`],
    ['between chunks', `${CHUNKED}2\r\nab\r\n`],
    ['before the last line', `${CHUNKED}2\r\nab\r\n0\r\n`],
    ['before the length', HEAD],
    ['by bytes that are not HTTP', `${CHUNKED}2\r\nab\r\nxyz`],
  ])('an answer cut short %s is not whole', async (_, script) => {
    await using upstream = await ScriptedUpstream.open(
      (socket) => void socket.end(script),
    );
    using pool = poolOf(upstream.port);
    const outcome = await ask(pool.take());
    expect([outcome.status, outcome.whole]).toEqual([200, false]);
  });

  test('an answer without a body ends with its head', async () => {
    await using upstream = await ScriptedUpstream.open(
      HEAD,
      'HTTP/1.1 204 No Content\r\n\r\n',
    );
    using pool = poolOf(upstream.port);
    expect((await ask(pool.take(), 'HEAD')).whole).toBe(true);
    await pause();
    expect((await ask(pool.take())).whole).toBe(true);
    expect(upstream.sockets).toHaveLength(1);
  });

  test('interim answers are passed over, and many headers are read', async () => {
    const many = Array.from({length: 50}, (_, at) => `X-${at}: ${at}\r\n`);
    await using upstream = await ScriptedUpstream.open(
      `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-1: no\r\n\r\n` +
        `HTTP/1.1 200 OK\r\n${many.join('')}Content-Length: 2\r\n\r\nab`,
    );
    using pool = poolOf(upstream.port);
    const {body, headers, whole} = await ask(pool.take());
    expect([body, whole]).toEqual(['ab', true]);
    expect([headers['x-1'], headers['x-49']]).toEqual(['1', '49']);
  });

  test('what is no answer, or none at all, fails after it was sent', async () => {
    await using upstream = await ScriptedUpstream.open(
      'no answer at all\r\n\r\n',
      (socket) => void socket.end(),
      (socket) => void socket.resetAndDestroy(),
    );
    using pool = poolOf(upstream.port);
    for (const cause of ['not-http', 'closed', 'ECONNRESET']) {
      const {connected, failed} = await ask(pool.take());
      expect([connected, failed]).toEqual([true, cause]);
    }
  });

  test('where no connection comes up the request was surely not sent', async () => {
    const upstream = await ScriptedUpstream.open();
    const {port} = upstream;
    await upstream[Symbol.asyncDispose]();
    using pool = poolOf(port);
    const {connected, failed} = await ask(pool.take());
    expect([connected, failed]).toEqual([false, 'ECONNREFUSED']);
  });

  test('a reader that holds an answer back holds the upstream back', async () => {
    const size = 32 * 1024 * 1024;
    await using upstream = await ScriptedUpstream.open((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${size}\r\n\r\n`);
      socket.write(Buffer.alloc(size));
    }, `${HEAD}ab`);
    using pool = poolOf(upstream.port);
    let answer: UpstreamAnswer | undefined;
    let length = 0;
    const ended = new Promise<boolean>((resolve) => {
      pool.take().send(
        {
          body: Buffer.alloc(0),
          head: requestHead('GET', '/x', []) ?? '',
          method: 'GET',
        },
        {
          answered: (found) => {
            answer = found;
            found.read({
              ended: resolve,
              take: (chunk) => {
                length += chunk.length;
                found.pause();
              },
            });
          },
          connected: () => undefined,
          failed: () => resolve(false),
        },
      );
    });
    await pause(100);
    expect(length).toBeLessThanOrEqual(64 * 1024);
    const waiting = upstream.sockets[0]?.writableLength ?? 0;
    expect(waiting).toBeGreaterThan(0);
    const resumed = setInterval(() => answer?.resume(), 0);
    expect(await ended).toBe(true);
    clearInterval(resumed);
    expect(length).toBe(size);
    // The reader's last pause is not the next request's.
    expect((await ask(pool.take())).body).toBe('ab');
    expect(upstream.sockets).toHaveLength(1);
  }, 60_000);
});

test('a header with a line break is never sent', () => {
  expect(requestHead('GET', '/', ['A', 'b\r\nC: d'])).toBeUndefined();
  expect(requestHead('GET', '/', ['A', 'b'])).toBe(
    'GET / HTTP/1.1\r\nA: b\r\n\r\n',
  );
});
