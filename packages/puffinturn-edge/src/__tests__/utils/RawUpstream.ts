/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A TCP server that acts as an upstream and sends any bytes, also without end. */
import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:net';

import type {UpstreamRecord} from 'puffinturn-fleet';

import {makeUpstream} from './EdgeFixture';

const HOST = '127.0.0.1';

/** Bytes per write of an endless response. */
const WRITE_BYTES = 16 * 1024;

/** What an upstream sends: `head` once, then `part` again and again. */
export interface EndlessResponse {
  readonly head: string;
  readonly part: string;
}

/** Sends an endless response to each request, until the peer closes. */
export class RawUpstream implements AsyncDisposable {
  /** Requests received. */
  requestCount = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server = createServer((socket) => this.accept(socket));

  private constructor(
    readonly name: string,
    private readonly response: EndlessResponse,
  ) {}

  static async start(
    name: string,
    response: EndlessResponse,
  ): Promise<RawUpstream> {
    const upstream = new RawUpstream(name, response);
    upstream.server.listen(0, HOST);
    await once(upstream.server, 'listening');
    return upstream;
  }

  /** Bytes written so far; back pressure limits them. */
  get bytesWritten(): number {
    return [...this.sockets].reduce((sum, socket) => {
      return sum + socket.bytesWritten;
    }, 0);
  }

  /** The record of this upstream for the pool. */
  record(): UpstreamRecord {
    const {port} = this.server.address() as AddressInfo;
    return makeUpstream(this.name, {address: `${HOST}:${port}`});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise((resolve) => this.server.close(resolve));
    for (const socket of this.sockets) {
      socket.destroy();
    }
    await closed;
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', (bytes) => {
      this.requestCount += 1;
      const id = /x-request: (\S+)/i.exec(bytes.toString('latin1'))?.[1];
      socket.write(this.response.head.replace('ID', id ?? ''));
      this.sendParts(socket);
    });
  }

  private sendParts(socket: Socket): void {
    const {part} = this.response;
    const bytes = part.repeat(Math.ceil(WRITE_BYTES / part.length));
    const send = (): void => {
      if (socket.writable) {
        socket.write(bytes, () => setImmediate(send));
      }
    };
    send();
  }
}
