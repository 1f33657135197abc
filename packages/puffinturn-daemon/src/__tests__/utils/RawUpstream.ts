/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A TCP server that acts as an upstream and sends any bytes. */
import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:net';

const HOST = '127.0.0.1';

/** Sends the same bytes to each request. */
export class RawUpstream implements AsyncDisposable {
  /** Sent in Latin-1. */
  response = '';
  /** Sent after the response again and again until the peer closes, if not empty. */
  endlessPart = '';
  requestCount = 0;
  /** Connections that are closed. */
  closedCount = 0;
  private closedBytes = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server = createServer((socket) => this.accept(socket));

  static async start(): Promise<RawUpstream> {
    const upstream = new RawUpstream();
    upstream.server.listen(0, HOST);
    await once(upstream.server, 'listening');
    return upstream;
  }

  get url(): string {
    return `http://${HOST}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Bytes that the peers have taken. */
  get bytesWritten(): number {
    return [...this.sockets].reduce(
      (sum, socket) => sum + socket.bytesWritten,
      this.closedBytes,
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.sockets.forEach((socket) => socket.destroy());
    await closed;
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.sockets.delete(socket);
      this.closedCount += 1;
      this.closedBytes += socket.bytesWritten;
    });
    socket.on('data', () => {
      this.requestCount += 1;
      socket.write(this.response, 'latin1');
      if (this.endlessPart !== '') {
        sendEndlessly(socket, this.endlessPart);
      }
    });
  }
}

/** Bytes per write of an endless response. */
const WRITE_BYTES = 256 * 1024;

function sendEndlessly(socket: Socket, part: string): void {
  const bytes = part.repeat(Math.ceil(WRITE_BYTES / part.length));
  const send = (): void => {
    if (socket.writable) {
      socket.write(bytes, 'latin1', () => setImmediate(send));
    }
  };
  send();
}
