/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Length-prefixed CBOR frames. */
import {Decoder, Encoder} from 'cbor-x';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Failure} from 'shared';

import {MAX_FRAME_BYTES} from './WireConstants';

const LENGTH_BYTES = 4;
const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false});

/** Bytes from a peer that are no frame. */
export type FrameFailure = Failure<'bad-frame'>;

function badFrame(message: string): FrameFailure {
  return {kind: 'bad-frame', message};
}

/** One frame holding `value`. */
export function encodeFrame(value: unknown): Result<Buffer, FrameFailure> {
  const body = encoder.encode(value);
  if (body.length > MAX_FRAME_BYTES) {
    return err(badFrame(`${body.length} bytes are too many for a frame`));
  }
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return ok(frame);
}

/** Cuts a stream of bytes into decoded frames. */
export class FrameReader {
  private chunks: Buffer[] = [];
  private length = 0;

  /** Adds bytes; returns the values of all frames that are now whole. */
  push(chunk: Buffer): Result<unknown[], FrameFailure> {
    this.chunks.push(chunk);
    this.length += chunk.length;
    const values: unknown[] = [];
    for (;;) {
      const body = this.takeBody();
      if (body.isErr()) {
        return err(body.error);
      }
      if (body.value === undefined) {
        return ok(values);
      }
      try {
        values.push(decoder.decode(body.value));
      } catch {
        return err(badFrame('not CBOR'));
      }
    }
  }

  private takeBody(): Result<Buffer | undefined, FrameFailure> {
    if (this.length < LENGTH_BYTES) {
      return ok(undefined);
    }
    const head = this.joined(LENGTH_BYTES);
    const size = head.readUInt32BE(0);
    if (size > MAX_FRAME_BYTES || size === 0) {
      return err(badFrame(`a frame of ${size} bytes`));
    }
    if (this.length < LENGTH_BYTES + size) {
      return ok(undefined);
    }
    const all = this.joined(LENGTH_BYTES + size);
    const rest = all.subarray(LENGTH_BYTES + size);
    this.chunks[0] = rest;
    this.length -= LENGTH_BYTES + size;
    return ok(all.subarray(LENGTH_BYTES, LENGTH_BYTES + size));
  }

  /** The first chunk, made at least `size` bytes long. */
  private joined(size: number): Buffer {
    const first = this.chunks[0];
    if (first !== undefined && first.length >= size) {
      return first;
    }
    const all = Buffer.concat(this.chunks);
    this.chunks = [all];
    return all;
  }
}
