/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against responses assigned to the wrong request, truncated responses taken for
 * complete ones, and unlimited buffering.
 */
import {once} from 'node:events';
import type {AddressInfo, Server, Socket} from 'node:net';
import {createServer} from 'node:net';

import {ManualClock} from 'shared';

import {formatRequestHead} from '../../callers/RequestHead';
import {ConnectionPool} from '../../connections/ConnectionPool';
import type {HttpConnection} from '../../connections/HttpConnection';
import type {UpstreamResponse} from '../../connections/UpstreamResponse';

/** Result of one request. */
interface Outcome {
  readonly isConnected: boolean;
  readonly failureCause: string | undefined;
  readonly status: number;
  readonly body: string;
  readonly isComplete: boolean;
  readonly headers: UpstreamResponse['headers'];
}

const HEAD_OF_2_BYTES = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n';
const CHUNKED_HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const MAX_IDLE = 2;

/** A server that responds to each read with the next script. */
class ScriptedUpstream implements AsyncDisposable {
  readonly sockets: Socket[] = [];
  requests = '';
  private constructor(
    private readonly server: Server,
    private readonly remainingScripts: ((socket: Socket) => void)[],
  ) {
    server.on('connection', (socket) => {
      this.sockets.push(socket);
      socket.on('error', () => undefined);
      socket.on('data', (data: Buffer) => {
        this.requests += data.toString('latin1');
        this.remainingScripts.shift()?.(socket);
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

  /** Resolves once the peer has closed a connection. */
  async closedByPeer(index: number): Promise<void> {
    const socket = this.sockets[index];
    if (socket !== undefined && !socket.closed) {
      await once(socket, 'close');
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => this.server.close(resolve));
  }
}

function createPool(port: number, clock = new ManualClock()): ConnectionPool {
  return new ConnectionPool({
    clock,
    host: '127.0.0.1',
    maxIdle: MAX_IDLE,
    onCostlyReads: () => undefined,
    port,
  });
}

function sendRequest(
  connection: HttpConnection,
  method = 'GET',
  body = '',
): Promise<Outcome> {
  let isConnected = false;
  const head = formatRequestHead(method, '/x', ['Host', 'h']) ?? '';
  return new Promise((resolve) =>
    connection.send(
      {body: Buffer.from(body), head, method},
      {
        onResponse: (response) => {
          let text = '';
          response.setReader({
            onEnd: (isComplete) =>
              resolve({
                body: text,
                isConnected,
                failureCause: undefined,
                headers: response.headers,
                status: response.statusCode,
                isComplete,
              }),
            onData: (chunk) => (text += chunk.toString('latin1')),
          });
        },
        onConnected: () => (isConnected = true),
        onFailure: (cause) =>
          resolve({
            body: '',
            isConnected,
            failureCause: cause,
            headers: {},
            status: 0,
            isComplete: false,
          }),
      },
    ),
  );
}

function delay(ms = 30): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

describe('ConnectionPool', () => {
  test('a connection is reused for the next request', async () => {
    await using upstream = await ScriptedUpstream.open(
      `${HEAD_OF_2_BYTES}ab`,
      `${CHUNKED_HEAD}2\r\ncd\r\n0\r\n\r\n`,
    );
    using pool = createPool(upstream.port);
    const first = await sendRequest(pool.acquire(), 'POST', 'body');
    await delay();
    const second = await sendRequest(pool.acquire());
    expect([first.body, second.body]).toEqual(['ab', 'cd']);
    expect([first.isComplete, second.isComplete]).toEqual([true, true]);
    expect(upstream.sockets).toHaveLength(1);
    expect(upstream.requests).toBe(
      'POST /x HTTP/1.1\r\nHost: h\r\n\r\nbodyGET /x HTTP/1.1\r\nHost: h\r\n\r\n',
    );
  });

  test.each([
    ['bytes after a complete response', `${HEAD_OF_2_BYTES}abHTTP`],
    ['another response after it', `${HEAD_OF_2_BYTES}ab${HEAD_OF_2_BYTES}cd`],
    ['bytes that are not HTTP after it', `${HEAD_OF_2_BYTES}ab\0\0`],
    [
      'Connection: close',
      `${HEAD_OF_2_BYTES.replace('\r\n', '\r\nConnection: close\r\n')}ab`,
    ],
    [
      'a keep-alive timeout of 0',
      `${HEAD_OF_2_BYTES.replace('\r\n', '\r\nKeep-Alive: timeout=0\r\n')}ab`,
    ],
    ['HTTP/1.0', `${HEAD_OF_2_BYTES.replace('1.1', '1.0')}ab`],
  ])(
    '%s: the response is valid, its connection is not reused',
    async (_, script) => {
      await using upstream = await ScriptedUpstream.open(
        script,
        `${HEAD_OF_2_BYTES}zz`,
      );
      using pool = createPool(upstream.port);
      const first = await sendRequest(pool.acquire());
      expect([first.body, first.isComplete]).toEqual(['ab', true]);
      const second = await sendRequest(pool.acquire());
      expect([second.body, second.isComplete]).toEqual(['zz', true]);
      expect(upstream.sockets).toHaveLength(2);
    },
  );

  test('bytes received without an open request close the connection', async () => {
    await using upstream = await ScriptedUpstream.open((socket) => {
      socket.write(`${HEAD_OF_2_BYTES}ab`);
      setTimeout(() => socket.write(`${HEAD_OF_2_BYTES}no`), 10);
    }, `${HEAD_OF_2_BYTES}zz`);
    using pool = createPool(upstream.port);
    await sendRequest(pool.acquire());
    await upstream.closedByPeer(0);
    expect((await sendRequest(pool.acquire())).body).toBe('zz');
    expect(upstream.sockets).toHaveLength(2);
  });

  test('a connection closed by the upstream is not reused', async () => {
    await using upstream = await ScriptedUpstream.open((socket) => {
      socket.end(`${HEAD_OF_2_BYTES}ab`);
    }, `${HEAD_OF_2_BYTES}zz`);
    using pool = createPool(upstream.port);
    await sendRequest(pool.acquire());
    await delay();
    expect((await sendRequest(pool.acquire())).body).toBe('zz');
  });

  test('idle connections expire before the keep-alive timeout of the upstream', async () => {
    const shortKeepAlive = HEAD_OF_2_BYTES.replace(
      '\r\n',
      '\r\nKeep-Alive: timeout=2\r\n',
    );
    await using upstream = await ScriptedUpstream.open(
      `${shortKeepAlive}ab`,
      `${shortKeepAlive}cd`,
      `${shortKeepAlive}ef`,
    );
    const clock = new ManualClock();
    using pool = createPool(upstream.port, clock);
    await sendRequest(pool.acquire());
    await clock.advance(1_700);
    await sendRequest(pool.acquire());
    expect(upstream.sockets).toHaveLength(1);
    await clock.advance(1_900);
    await sendRequest(pool.acquire());
    expect(upstream.sockets).toHaveLength(2);
  });

  test('no more than maxIdle idle connections are kept', async () => {
    const scripts = Array.from({length: 6}, () => `${HEAD_OF_2_BYTES}ab`);
    await using upstream = await ScriptedUpstream.open(...scripts);
    using pool = createPool(upstream.port);
    await Promise.all(
      [pool.acquire(), pool.acquire(), pool.acquire()].map((c) =>
        sendRequest(c),
      ),
    );
    await delay();
    await Promise.all(
      [pool.acquire(), pool.acquire(), pool.acquire()].map((c) =>
        sendRequest(c),
      ),
    );
    expect(upstream.sockets).toHaveLength(3 + 3 - MAX_IDLE);
  });

  test('a draining pool closes idle connections and lets open requests finish', async () => {
    await using upstream = await ScriptedUpstream.open(
      `${HEAD_OF_2_BYTES}ab`,
      (socket) => {
        setTimeout(() => socket.write(`${HEAD_OF_2_BYTES}cd`), 20);
      },
    );
    using pool = createPool(upstream.port);
    const [idle, busy] = [pool.acquire(), pool.acquire()];
    await sendRequest(idle);
    const open = sendRequest(busy);
    await delay(5);
    pool.drain();
    expect(idle.isUsable).toBe(false);
    expect((await open).body).toBe('cd');
    expect(busy.isUsable).toBe(false);
  });

  test('a response without a length is complete only after a normal close', async () => {
    const head = 'HTTP/1.1 200 OK\r\n\r\n';
    await using upstream = await ScriptedUpstream.open(
      (socket) => void socket.end(`${head}all`),
      (socket) =>
        void socket.write(`${head}part`, () => socket.resetAndDestroy()),
    );
    using pool = createPool(upstream.port);
    const first = await sendRequest(pool.acquire());
    expect([first.body, first.isComplete]).toEqual(['all', true]);
    const second = await sendRequest(pool.acquire());
    expect(second.isComplete).toBe(false);
  });

  test.each([
    ['within a chunk', `${CHUNKED_HEAD}5\r\nab`],
    ['between chunks', `${CHUNKED_HEAD}2\r\nab\r\n`],
    ['before the final empty line', `${CHUNKED_HEAD}2\r\nab\r\n0\r\n`],
    ['before its content length', HEAD_OF_2_BYTES],
    ['by bytes that are not HTTP', `${CHUNKED_HEAD}2\r\nab\r\nxyz`],
  ])('a response truncated %s is not complete', async (_, script) => {
    await using upstream = await ScriptedUpstream.open(
      (socket) => void socket.end(script),
    );
    using pool = createPool(upstream.port);
    const outcome = await sendRequest(pool.acquire());
    expect([outcome.status, outcome.isComplete]).toEqual([200, false]);
  });

  test('a response without a body ends with its head', async () => {
    await using upstream = await ScriptedUpstream.open(
      HEAD_OF_2_BYTES,
      'HTTP/1.1 204 No Content\r\n\r\n',
    );
    using pool = createPool(upstream.port);
    expect((await sendRequest(pool.acquire(), 'HEAD')).isComplete).toBe(true);
    await delay();
    expect((await sendRequest(pool.acquire())).isComplete).toBe(true);
    expect(upstream.sockets).toHaveLength(1);
  });

  test('interim responses are skipped and 50 headers are parsed', async () => {
    const manyHeaders = Array.from(
      {length: 50},
      (_, at) => `X-${at}: ${at}\r\n`,
    );
    await using upstream = await ScriptedUpstream.open(
      `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-1: no\r\n\r\n` +
        `HTTP/1.1 200 OK\r\n${manyHeaders.join('')}Content-Length: 2\r\n\r\nab`,
    );
    using pool = createPool(upstream.port);
    const {body, headers, isComplete} = await sendRequest(pool.acquire());
    expect([body, isComplete]).toEqual(['ab', true]);
    expect([headers['x-1'], headers['x-49']]).toEqual(['1', '49']);
  });

  test('an invalid or missing response fails after the request was sent', async () => {
    await using upstream = await ScriptedUpstream.open(
      'no answer at all\r\n\r\n',
      (socket) => void socket.end(),
      (socket) => void socket.resetAndDestroy(),
    );
    using pool = createPool(upstream.port);
    for (const cause of ['not-http', 'closed', 'ECONNRESET']) {
      const {isConnected, failureCause} = await sendRequest(pool.acquire());
      expect([isConnected, failureCause]).toEqual([true, cause]);
    }
  });

  test('a refused connection fails before the request is sent', async () => {
    const upstream = await ScriptedUpstream.open();
    const {port} = upstream;
    await upstream[Symbol.asyncDispose]();
    using pool = createPool(port);
    const {isConnected, failureCause} = await sendRequest(pool.acquire());
    expect([isConnected, failureCause]).toEqual([false, 'ECONNREFUSED']);
  });

  test('pausing a response applies back-pressure to the upstream', async () => {
    const size = 32 * 1024 * 1024;
    await using upstream = await ScriptedUpstream.open((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${size}\r\n\r\n`);
      socket.write(Buffer.alloc(size));
    }, `${HEAD_OF_2_BYTES}ab`);
    using pool = createPool(upstream.port);
    let response: UpstreamResponse | undefined;
    let length = 0;
    const ended = new Promise<boolean>((resolve) => {
      pool.acquire().send(
        {
          body: Buffer.alloc(0),
          head: formatRequestHead('GET', '/x', []) ?? '',
          method: 'GET',
        },
        {
          onResponse: (received) => {
            response = received;
            received.setReader({
              onEnd: resolve,
              onData: (chunk) => {
                length += chunk.length;
                received.pause();
              },
            });
          },
          onConnected: () => undefined,
          onFailure: () => resolve(false),
        },
      );
    });
    await delay(100);
    expect(length).toBeLessThanOrEqual(64 * 1024);
    const unsentBytes = upstream.sockets[0]?.writableLength ?? 0;
    expect(unsentBytes).toBeGreaterThan(0);
    const resumeTimer = setInterval(() => response?.resume(), 0);
    expect(await ended).toBe(true);
    clearInterval(resumeTimer);
    expect(length).toBe(size);
    // The last pause must not affect the next request.
    expect((await sendRequest(pool.acquire())).body).toBe('ab');
    expect(upstream.sockets).toHaveLength(1);
  }, 60_000);
});

test('a header with a line break is rejected', () => {
  expect(formatRequestHead('GET', '/', ['A', 'b\r\nC: d'])).toBeUndefined();
  expect(formatRequestHead('GET', '/', ['A', 'b'])).toBe(
    'GET / HTTP/1.1\r\nA: b\r\n\r\n',
  );
});
