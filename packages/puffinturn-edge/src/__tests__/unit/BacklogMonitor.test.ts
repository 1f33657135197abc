/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against wrong arrival times of requests that wait behind a blocked event loop.
 */
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';

import {SystemClock} from 'shared';

import {NEGLIGIBLE_AGE_MS} from '../../callers/AcceptBacklog';
import type {BacklogMonitor} from '../../callers/BacklogMonitor';
import {waitForLoopIterations} from '../../callers/EventLoopIterations';
import {HttpListener} from '../../callers/HttpListener';
import {makeServerParts} from '../utils/serverParts';

const HOST = '127.0.0.1';

/** Time for which the event loop is blocked, ms; well above NEGLIGIBLE_AGE_MS. */
const BLOCKED_MS = 600;

const CALLER_COUNT = 12;

const clock = new SystemClock();

/** Duration of blocking work in each iteration under load, ms. */
const ITERATION_WORK_MS = 6;

/** Iterations under load; each adds two connections and accepts one. */
const ITERATIONS = 150;

/** Blocks the event loop. */
function blockEventLoop(ms = BLOCKED_MS): void {
  const endsAt = clock.now() + ms;
  while (clock.now() < endsAt) {
    // Busy wait.
  }
}

/** A listener that records the estimated arrival of each request. */
class ObservedServer implements AsyncDisposable {
  readonly arrivedAt = new Map<string, number>();
  readonly sentAt = new Map<string, number>();
  private readonly sockets: Socket[] = [];
  private monitor: BacklogMonitor | undefined;
  private listener: HttpListener | undefined;

  async open(): Promise<void> {
    const opened = await HttpListener.open(
      {host: HOST, port: 0},
      (request, response) => {
        const arrivedAt =
          this.monitor?.estimateArrival(request.socket) ?? clock.now();
        this.arrivedAt.set(request.url ?? '', arrivedAt);
        response.end();
      },
      makeServerParts(clock),
    );
    this.listener = opened._unsafeUnwrap();
    this.monitor = this.listener.monitorBacklog(clock);
  }

  get queueAgeMs(): number {
    return this.monitor?.queueAgeMs ?? Infinity;
  }

  /** Opens a connection and writes a request; resolves before either completes. */
  async send(path: string): Promise<Socket> {
    const {port = 0} = this.listener ?? ({} as Partial<AddressInfo>);
    const socket = connect(port, HOST);
    this.sockets.push(socket);
    this.writeRequest(socket, path);
    // The socket starts to connect in a nextTick callback.
    await Promise.resolve();
    return socket;
  }

  writeRequest(socket: Socket, path: string): void {
    this.sentAt.set(path, clock.now());
    socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
  }

  /** Waits until `count` requests were read. */
  async waitForRequests(count: number): Promise<void> {
    while (this.arrivedAt.size < count) {
      await waitForLoopIterations(1);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.monitor?.[Symbol.dispose]();
    for (const socket of this.sockets) {
      socket.destroy();
    }
    await this.listener?.[Symbol.asyncDispose]();
  }
}

describe('BacklogMonitor', () => {
  test('dates requests on new connections to a blocked iteration', async () => {
    await using server = new ObservedServer();
    await server.open();
    for (let caller = 0; caller < CALLER_COUNT; caller += 1) {
      await server.send(`/${caller}`);
    }
    blockEventLoop();
    const unblockedAt = clock.now();
    await server.waitForRequests(CALLER_COUNT);
    for (const arrivedAt of server.arrivedAt.values()) {
      expect(arrivedAt).toBeLessThan(unblockedAt - BLOCKED_MS / 2);
    }
  });

  test('dates requests on open connections to a blocked iteration', async () => {
    await using server = new ObservedServer();
    await server.open();
    const socket = await server.send('/first');
    await server.waitForRequests(1);
    await waitForLoopIterations(20);
    server.writeRequest(socket, '/second');
    blockEventLoop();
    const unblockedAt = clock.now();
    await server.waitForRequests(2);
    expect(server.arrivedAt.get('/second')).toBeLessThan(
      unblockedAt - BLOCKED_MS / 2,
    );
  });

  test('reports no queue age after the queue was emptied', async () => {
    await using server = new ObservedServer();
    await server.open();
    for (let caller = 0; caller < CALLER_COUNT; caller += 1) {
      await server.send(`/${caller}`);
    }
    blockEventLoop();
    await server.waitForRequests(CALLER_COUNT);
    while (server.queueAgeMs > 0) {
      await waitForLoopIterations(1);
    }
    expect(server.queueAgeMs).toBe(0);
  });

  test('uses probes to bound the age of a queue that is never empty', async () => {
    await using server = new ObservedServer();
    await server.open();
    const startedAt = clock.now();
    for (let iteration = 0; iteration < ITERATIONS; iteration += 1) {
      await server.send(`/${iteration}-a`);
      await server.send(`/${iteration}-b`);
      blockEventLoop(ITERATION_WORK_MS);
      await waitForLoopIterations(1);
    }
    const sendingEndedAt = clock.now();
    while (server.arrivedAt.size < 2 * ITERATIONS) {
      blockEventLoop(ITERATION_WORK_MS);
      await waitForLoopIterations(1);
    }
    // The last requests were sent in the second half of the overload.
    const last = server.arrivedAt.get(`/${ITERATIONS - 1}-b`);
    expect(last).toBeGreaterThan((startedAt + sendingEndedAt) / 2);
    for (const [path, arrivedAt] of server.arrivedAt) {
      const sentAt = server.sentAt.get(path) ?? 0;
      expect(arrivedAt).toBeLessThan(sentAt + NEGLIGIBLE_AGE_MS);
    }
  });
});
