/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A TCP server that acts as an upstream and breaks off responses after any byte. */
import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:net';

import type {UpstreamRecord} from 'puffinturn-fleet';

import {makeUpstream} from './EdgeFixture';

const HOST = '127.0.0.1';

/** Time for which sent bytes are left to be read before a late break, ms. */
const LATE_BREAK_DELAY_MS = 20;

/** How an upstream breaks off a response. */
export const BREAK = {
  /** It ends the connection in order. */
  end: 'end',
  /** It resets the connection at once, so that sent bytes may be lost. */
  reset: 'reset',
  /** It resets the connection after the sent bytes were read. */
  lateReset: 'late reset',
  /** It ends the connection in order and stops listening, as a crash does. */
  crash: 'crash',
} as const;

/** A value of BREAK. */
export type Break = (typeof BREAK)[keyof typeof BREAK];

/** What an upstream does with one request. */
export interface Reaction {
  /** What it sends, in Latin-1; `ID` stands for the ID of the request. */
  readonly bytes: string;
  /** Size of the parts in which the bytes are sent; undefined to send all at once. */
  readonly partBytes?: number | undefined;
  /** Undefined to keep the connection open. */
  readonly end?: Break | undefined;
  /** Time between the bytes and the end, ms. */
  readonly stallMs?: number | undefined;
}

/** A request as an upstream received it. */
export interface ReceivedRequest {
  readonly id: string;
  readonly lastEventId: string | undefined;
  /** Of the requests before it on the same connection. */
  readonly earlierIds: readonly string[];
}

/** Decides what to do with a request. */
export type Responder = (request: ReceivedRequest) => Reaction;

/** Reacts to the requests of its connections, one after another. */
export class CutUpstream implements AsyncDisposable {
  private readonly sockets = new Set<Socket>();
  private readonly server = createServer((socket) => this.accept(socket));
  private port = 0;

  private constructor(
    readonly name: string,
    private readonly respond: Responder,
  ) {}

  static async start(name: string, respond: Responder): Promise<CutUpstream> {
    const upstream = new CutUpstream(name, respond);
    upstream.server.listen(0, HOST);
    await once(upstream.server, 'listening');
    upstream.port = (upstream.server.address() as AddressInfo).port;
    return upstream;
  }

  /** The record of this upstream for the pool. */
  record(): UpstreamRecord {
    return makeUpstream(this.name, {address: `${HOST}:${this.port}`});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.sockets) {
      socket.destroy();
    }
    if (this.server.listening) {
      await new Promise((resolve) => this.server.close(resolve));
    }
  }

  private accept(socket: Socket): void {
    const ids: string[] = [];
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      const head = bytes.toString('latin1');
      const id = /x-request: (\S+)/i.exec(head)?.[1] ?? '';
      const lastEventId = /x-last-event: (\S+)/i.exec(head)?.[1];
      const reaction = this.respond({earlierIds: [...ids], id, lastEventId});
      ids.push(id);
      void this.react(socket, id, reaction);
    });
  }

  private async react(
    socket: Socket,
    id: string,
    {bytes, end, partBytes, stallMs = 0}: Reaction,
  ): Promise<void> {
    await writeParts(socket, bytes.replaceAll('ID', id), partBytes);
    const delayMs =
      stallMs + (end === BREAK.lateReset ? LATE_BREAK_DELAY_MS : 0);
    if (end !== undefined && delayMs > 0) {
      setTimeout(() => this.breakOff(socket, end), delayMs);
    } else if (end !== undefined) {
      this.breakOff(socket, end);
    }
  }

  private breakOff(socket: Socket, end: Break): void {
    if (end === BREAK.reset || end === BREAK.lateReset) {
      socket.resetAndDestroy();
      return;
    }
    if (end === BREAK.crash) {
      this.server.close();
      this.sockets.forEach((one) => one.end());
    }
    socket.end();
  }
}

/** Writes bytes in parts, each of which the peer may read by itself. */
async function writeParts(
  socket: Socket,
  bytes: string,
  partBytes = bytes.length,
): Promise<void> {
  for (let start = 0; start < bytes.length; start += partBytes) {
    const part = bytes.slice(start, start + partBytes);
    await new Promise((resolve) => socket.write(part, 'latin1', resolve));
    await new Promise((resolve) => setImmediate(resolve));
  }
}
