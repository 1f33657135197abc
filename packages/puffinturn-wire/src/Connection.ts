/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A framed connection between two boxes, with mutual authentication. */
import type {KeyObject} from 'node:crypto';
import type {Socket} from 'node:net';

import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Clock} from 'shared';

import type {FrameFailure} from './Frame';
import {encodeFrame, FrameReader} from './Frame';
import {isHello, isProof, makeHello, makeProof, proofsEqual} from './Handshake';

/** Sends and receives frames over a socket. */
export class Connection {
  private readonly frameReader = new FrameReader();
  private readonly receivedFrames: unknown[] = [];
  private readonly chunks: AsyncIterator<Buffer>;
  private isCorked = false;

  /** Authenticated name of the peer; empty before the handshake. */
  peer = '';

  /** Time at which bytes were last received, ms; at first that of its creation. */
  lastReadAt: number;

  constructor(
    readonly socket: Socket,
    private readonly clock: Clock,
  ) {
    this.lastReadAt = clock.now();
    socket.setNoDelay(true);
    this.chunks = socket[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  }

  /** Bytes in the send buffer of the socket. */
  get queuedBytes(): number {
    return this.socket.writableLength;
  }

  /** Whether the first part of a frame was received, and not yet the rest. */
  get hasPartialFrame(): boolean {
    return this.frameReader.hasPartialFrame;
  }

  /** Queues one frame; frames of one event-loop iteration are sent together. */
  send(value: unknown): Result<void, FrameFailure> {
    const frame = encodeFrame(value);
    if (frame.isErr()) {
      return err(frame.error);
    }
    if (!this.isCorked) {
      this.isCorked = true;
      this.socket.cork();
      setImmediate(() => {
        this.isCorked = false;
        this.socket.uncork();
      });
    }
    this.socket.write(frame.value);
    return ok(undefined);
  }

  /** Returns the next value, or undefined once the connection is closed. */
  async receive(): Promise<unknown> {
    while (this.receivedFrames.length === 0) {
      const next = await this.chunks
        .next()
        .catch(() => ({done: true as const, value: undefined}));
      if (next.done === true) {
        return undefined;
      }
      this.lastReadAt = this.clock.now();
      const values = this.frameReader.push(next.value);
      if (values.isErr()) {
        this.socket.destroy();
        return undefined;
      }
      this.receivedFrames.push(...values.value);
    }
    return this.receivedFrames.shift();
  }

  /** Runs the handshake; destroys the socket and returns false if it fails. */
  async authenticate(
    box: string,
    key: KeyObject,
    role: 'caller' | 'callee',
  ): Promise<boolean> {
    const ownHello = makeHello(box);
    this.send(ownHello);
    const peerHello = await this.receive();
    if (!isHello(peerHello)) {
      this.socket.destroy();
      return false;
    }
    const peerRole = role === 'caller' ? 'callee' : 'caller';
    this.send(makeProof(key, ownHello, peerHello, role));
    const peerProof = await this.receive();
    const expectedProof = makeProof(key, peerHello, ownHello, peerRole);
    if (!isProof(peerProof) || !proofsEqual(peerProof, expectedProof)) {
      this.socket.destroy();
      return false;
    }
    this.peer = peerHello.box;
    return true;
  }
}
