/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Crowds of clients that do not behave: each sends bytes over a connection of its own,
 * keeps it open, and reads only if told to.
 */
import type {Socket} from 'node:net';
import {connect} from 'node:net';

/** Size of the blocks in which small pieces are written, bytes. */
const WRITE_BYTES = 60_000;

/** What every client of a crowd sends. */
export interface CrowdScript {
  /** Number of connections. */
  readonly clients: number;
  /** Sent first, as Latin-1. */
  readonly head: string;
  /** Sent repeatedly after the head; empty to send the head only. */
  readonly piece?: Buffer | undefined;
  /** How often the piece is sent; Infinity to send without end. */
  readonly times?: number | undefined;
  /** Sent last, as Latin-1. */
  readonly tail?: string | undefined;
  /** Whether the clients read what they are sent. */
  readonly reads?: boolean | undefined;
  /** Whether a client has settled only with a response. */
  readonly awaitsResponse?: boolean | undefined;
}

/** Address of the server that a crowd connects to. */
export interface CrowdTarget {
  readonly host: string;
  readonly port: number;
}

/** One client: writes as fast as its peer reads, until all is sent or it is closed. */
class CrowdClient {
  /** Resolves when all bytes are sent, and the response is there if it is awaited. */
  readonly settled: Promise<void>;
  private readonly socket: Socket;
  private received = '';

  constructor({host, port}: CrowdTarget, script: CrowdScript) {
    this.socket = connect({allowHalfOpen: true, host, port});
    this.socket.on('error', () => undefined);
    if (script.reads ?? true) {
      this.socket.on('data', (chunk: Buffer) => {
        this.received += chunk.toString('latin1');
      });
    }
    const closed = new Promise<void>((resolve) =>
      this.socket.once('close', () => resolve()),
    );
    const responded = new Promise<void>((resolve) =>
      this.socket.once('data', () => resolve()),
    );
    const sent = this.write(script);
    const done = script.awaitsResponse === true ? responded : sent;
    this.settled = Promise.race([done, closed]);
  }

  get isOpen(): boolean {
    return !this.socket.destroyed;
  }

  /** Status of the first response; undefined if none was received. */
  get status(): number | undefined {
    const status = /^HTTP\/1\.1 (\d{3}) /.exec(this.received)?.[1];
    return status === undefined ? undefined : Number(status);
  }

  close(): void {
    this.socket.destroy();
  }

  private async write({
    head,
    piece = Buffer.alloc(0),
    tail = '',
    times = 0,
  }: CrowdScript): Promise<void> {
    await this.send(Buffer.from(head, 'latin1'));
    const perWrite = Math.max(1, Math.floor(WRITE_BYTES / (piece.length || 1)));
    const block = Buffer.concat(
      Array.from({length: Math.min(perWrite, times)}, () => piece),
    );
    let left = times;
    while (left > 0 && this.isOpen) {
      const count = Math.min(left, perWrite);
      await this.send(block.subarray(0, count * piece.length));
      left -= count;
    }
    await this.send(Buffer.from(tail, 'latin1'));
  }

  /** Resolves when the kernel has taken the bytes; never if the peer stops reading. */
  private send(bytes: Buffer): Promise<void> {
    return new Promise((resolve) => {
      if (bytes.length === 0 || !this.socket.writable) {
        resolve();
      } else {
        this.socket.write(bytes, () => resolve());
      }
    });
  }
}

/** The clients of one script. Disposing the crowd closes all of its connections. */
export class Crowd implements Disposable {
  private readonly clients: readonly CrowdClient[];

  constructor(target: CrowdTarget, script: CrowdScript) {
    this.clients = Array.from(
      {length: script.clients},
      () => new CrowdClient(target, script),
    );
  }

  /** Resolves when every client has sent all of its bytes or is closed. */
  async awaitSettled(): Promise<void> {
    await Promise.all(this.clients.map(({settled}) => settled));
  }

  /** Number of connections that are still open. */
  get openCount(): number {
    return this.clients.filter(({isOpen}) => isOpen).length;
  }

  /** Statuses of the first responses of the clients that received one. */
  get statuses(): number[] {
    return this.clients.flatMap(({status}) => status ?? []);
  }

  [Symbol.dispose](): void {
    for (const client of this.clients) {
      client.close();
    }
  }
}

/** Bytes of a body in chunked coding: one chunk. */
export function encodeChunk(bytes: number): Buffer {
  const body = Buffer.alloc(bytes, 'x');
  const start = Buffer.from(`${bytes.toString(16)}\r\n`);
  return Buffer.concat([start, body, Buffer.from('\r\n')]);
}
