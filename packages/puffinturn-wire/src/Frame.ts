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

const LENGTH_PREFIX_BYTES = 4;
const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false});

/** A frame that is too large, empty or not valid CBOR. */
export type FrameFailure = Failure<'bad-frame'>;

function frameFailure(message: string): FrameFailure {
  return {kind: 'bad-frame', message};
}

/** Encodes `value` as one frame; fails if it is too large. */
export function encodeFrame(value: unknown): Result<Buffer, FrameFailure> {
  const body = encoder.encode(value);
  if (body.length > MAX_FRAME_BYTES) {
    return err(frameFailure(`${body.length} bytes are too many for a frame`));
  }
  const frame = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_PREFIX_BYTES);
  return ok(frame);
}

/** Splits a byte stream into frames and decodes them. */
export class FrameReader {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;

  /** Whether bytes of an incomplete frame are held. */
  get hasPartialFrame(): boolean {
    return this.bufferedBytes > 0;
  }

  /** Adds bytes and returns the values of all frames that are now complete. */
  push(chunk: Buffer): Result<unknown[], FrameFailure> {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    const values: unknown[] = [];
    for (;;) {
      const body = this.readBody();
      if (body.isErr()) {
        return err(body.error);
      }
      if (body.value === undefined) {
        return ok(values);
      }
      try {
        values.push(decoder.decode(body.value));
      } catch {
        return err(frameFailure('frame body is not valid CBOR'));
      }
    }
  }

  private readBody(): Result<Buffer | undefined, FrameFailure> {
    if (this.bufferedBytes < LENGTH_PREFIX_BYTES) {
      return ok(undefined);
    }
    const prefix = this.joinChunks(LENGTH_PREFIX_BYTES);
    const bodyBytes = prefix.readUInt32BE(0);
    if (bodyBytes > MAX_FRAME_BYTES || bodyBytes === 0) {
      return err(frameFailure(`frame length ${bodyBytes} is invalid`));
    }
    if (this.bufferedBytes < LENGTH_PREFIX_BYTES + bodyBytes) {
      return ok(undefined);
    }
    const buffer = this.joinChunks(LENGTH_PREFIX_BYTES + bodyBytes);
    const rest = buffer.subarray(LENGTH_PREFIX_BYTES + bodyBytes);
    this.chunks[0] = rest;
    this.bufferedBytes -= LENGTH_PREFIX_BYTES + bodyBytes;
    return ok(
      buffer.subarray(LENGTH_PREFIX_BYTES, LENGTH_PREFIX_BYTES + bodyBytes),
    );
  }

  /** Joins the chunks if the first one has fewer than `minBytes` bytes. */
  private joinChunks(minBytes: number): Buffer {
    const firstChunk = this.chunks[0];
    if (firstChunk !== undefined && firstChunk.length >= minBytes) {
      return firstChunk;
    }
    const joined = Buffer.concat(this.chunks);
    this.chunks = [joined];
    return joined;
  }
}
