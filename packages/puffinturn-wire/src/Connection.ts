/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** One authenticated connection between two boxes. */
import type {KeyObject} from 'node:crypto';
import type {Socket} from 'node:net';

import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

import type {FrameFailure} from './Frame';
import {encodeFrame, FrameReader} from './Frame';
import {isHello, isProof, makeHello, makeProof, sameProof} from './Handshake';

/** Frames of an open socket, in both directions. */
export class Connection {
  private readonly reader = new FrameReader();
  private readonly waiting: unknown[] = [];
  private readonly chunks: AsyncIterator<Buffer>;
  private corked = false;

  /** The name that the other box proved; empty before the handshake. */
  peer = '';

  constructor(readonly socket: Socket) {
    socket.setNoDelay(true);
    this.chunks = socket[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  }

  /** Bytes that are waiting to be sent. */
  get queuedBytes(): number {
    return this.socket.writableLength;
  }

  /** Queues one frame; frames of one turn leave in one write. */
  send(value: unknown): Result<void, FrameFailure> {
    const frame = encodeFrame(value);
    if (frame.isErr()) {
      return err(frame.error);
    }
    if (!this.corked) {
      this.corked = true;
      this.socket.cork();
      setImmediate(() => {
        this.corked = false;
        this.socket.uncork();
      });
    }
    this.socket.write(frame.value);
    return ok(undefined);
  }

  /** The next frame's value; undefined once the connection has ended. */
  async receive(): Promise<unknown> {
    while (this.waiting.length === 0) {
      const next = await this.chunks
        .next()
        .catch(() => ({done: true as const, value: undefined}));
      if (next.done === true) {
        return undefined;
      }
      const values = this.reader.push(next.value);
      if (values.isErr()) {
        this.socket.destroy();
        return undefined;
      }
      this.waiting.push(...values.value);
    }
    return this.waiting.shift();
  }

  /** Proves the key to the other side and checks its proof. */
  async authenticate(
    box: string,
    key: KeyObject,
    role: 'caller' | 'callee',
  ): Promise<boolean> {
    const mine = makeHello(box);
    this.send(mine);
    const theirs = await this.receive();
    if (!isHello(theirs)) {
      this.socket.destroy();
      return false;
    }
    const otherRole = role === 'caller' ? 'callee' : 'caller';
    this.send(makeProof(key, mine, theirs, role));
    const proof = await this.receive();
    const expected = makeProof(key, theirs, mine, otherRole);
    if (!isProof(proof) || !sameProof(proof, expected)) {
      this.socket.destroy();
      return false;
    }
    this.peer = theirs.box;
    return true;
  }
}
