/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';

import {SystemClock} from 'shared';

import {NEGLIGIBLE_AGE_MS} from '../../callers/AcceptBacklog';
import type {BacklogWatch} from '../../callers/BacklogWatch';
import {HttpListener} from '../../callers/EdgeHttp';
import {eventLoopTurns} from '../../callers/EventLoopTurns';

const HOST = '127.0.0.1';

/** Time for which the loop is kept busy, ms; far more than counts as nothing. */
const BUSY_MS = 600;

const CALLERS = 12;

const clock = new SystemClock();

/** Time of work in a turn of a busy loop, ms. */
const TURN_MS = 6;

/** Turns that accept one of two new callers each. */
const TURNS = 150;

/** Keeps the event loop from turning. */
function beBusy(ms = BUSY_MS): void {
  const until = clock.now() + ms;
  while (clock.now() < until) {
    // Nothing else runs meanwhile.
  }
}

/** A listener that notes when each request is taken to have come. */
class Site implements AsyncDisposable {
  readonly cameAt = new Map<string, number>();
  readonly sentAt = new Map<string, number>();
  private readonly sockets: Socket[] = [];
  private watch: BacklogWatch | undefined;
  private listener: HttpListener | undefined;

  async open(): Promise<void> {
    const opened = await HttpListener.open(
      {host: HOST, port: 0},
      (request, response) => {
        const came = this.watch?.arrivalOf(request.socket) ?? clock.now();
        this.cameAt.set(request.url ?? '', came);
        response.end();
      },
    );
    this.listener = opened._unsafeUnwrap();
    this.watch = this.listener.watchBacklog(clock);
  }

  get ageMs(): number {
    return this.watch?.ageMs ?? Infinity;
  }

  /** Connects and sends a request; both are under way as this returns. */
  async send(path: string): Promise<Socket> {
    const {port = 0} = this.listener ?? ({} as Partial<AddressInfo>);
    const socket = connect(port, HOST);
    this.sockets.push(socket);
    this.ask(socket, path);
    // The connection is asked for in the next tick.
    await Promise.resolve();
    return socket;
  }

  ask(socket: Socket, path: string): void {
    this.sentAt.set(path, clock.now());
    socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
  }

  /** Resolves once the requests of all paths were read. */
  async read(count: number): Promise<void> {
    while (this.cameAt.size < count) {
      await eventLoopTurns(1);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.watch?.[Symbol.dispose]();
    for (const socket of this.sockets) {
      socket.destroy();
    }
    await this.listener?.[Symbol.asyncDispose]();
  }
}

describe('BacklogWatch', () => {
  test('requests that came while the loop was busy are not taken for new', async () => {
    await using site = new Site();
    await site.open();
    for (let at = 0; at < CALLERS; at += 1) {
      await site.send(`/${at}`);
    }
    beBusy();
    const readableAt = clock.now();
    await site.read(CALLERS);
    for (const came of site.cameAt.values()) {
      expect(came).toBeLessThan(readableAt - BUSY_MS / 2);
    }
  });

  test('a request on a kept connection that came meanwhile is not either', async () => {
    await using site = new Site();
    await site.open();
    const socket = await site.send('/first');
    await site.read(1);
    await eventLoopTurns(20);
    site.ask(socket, '/second');
    beBusy();
    const readableAt = clock.now();
    await site.read(2);
    expect(site.cameAt.get('/second')).toBeLessThan(readableAt - BUSY_MS / 2);
  });

  test('an edge that has caught up knows it', async () => {
    await using site = new Site();
    await site.open();
    for (let at = 0; at < CALLERS; at += 1) {
      await site.send(`/${at}`);
    }
    beBusy();
    await site.read(CALLERS);
    while (site.ageMs > 0) {
      await eventLoopTurns(1);
    }
    expect(site.ageMs).toBe(0);
  });

  test('marks bound the age of a queue that is never empty', async () => {
    await using site = new Site();
    await site.open();
    const began = clock.now();
    for (let turn = 0; turn < TURNS; turn += 1) {
      await site.send(`/${turn}-a`);
      await site.send(`/${turn}-b`);
      beBusy(TURN_MS);
      await eventLoopTurns(1);
    }
    const sendingEndedAt = clock.now();
    while (site.cameAt.size < 2 * TURNS) {
      beBusy(TURN_MS);
      await eventLoopTurns(1);
    }
    // The last ones came late in the time in which the queue was never empty.
    const last = site.cameAt.get(`/${TURNS - 1}-b`);
    expect(last).toBeGreaterThan((began + sendingEndedAt) / 2);
    for (const [path, came] of site.cameAt) {
      const sentAt = site.sentAt.get(path) ?? 0;
      expect(came).toBeLessThan(sentAt + NEGLIGIBLE_AGE_MS);
    }
  });
});
