/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Framing of the bytes from an upstream in a tunnel: frames of a length and as many bytes.
 * An empty frame marks the orderly end of the upstream's connection. Without it the end of
 * the tunnel is a failure: the operating system also closes the connections of a process
 * that was killed in an orderly way, which would make a truncated response look complete.
 */

/** Length of the prefix of a frame, bytes. */
const PREFIX_BYTES = 4;

/** The frame that marks the orderly end. */
export const END_FRAME = Buffer.alloc(PREFIX_BYTES);

/** Returns the prefix of a frame of `length` bytes. */
export function framePrefix(length: number): Buffer {
  const prefix = Buffer.allocUnsafe(PREFIX_BYTES);
  prefix.writeUInt32BE(length);
  return prefix;
}

/** Receives the contents of the frames, in order. */
export interface TunnelFrameHandler {
  /** Called for bytes of the upstream, a view that is valid during the call only. */
  onBytes(bytes: Buffer): void;
  /** Called for the orderly end. */
  onEnd(): void;
}

/** Splits the bytes of a tunnel into frames, without waiting for complete ones. */
export class TunnelFrameReader {
  private readonly prefix = Buffer.alloc(PREFIX_BYTES);
  private prefixLength = 0;
  private remainingBytes = 0;

  constructor(private readonly handler: TunnelFrameHandler) {}

  /** Adds bytes as they were received. */
  push(bytes: Buffer): void {
    let offset = 0;
    while (offset < bytes.length) {
      offset =
        this.remainingBytes > 0
          ? this.readContent(bytes, offset)
          : this.readPrefix(bytes, offset);
    }
  }

  private readContent(bytes: Buffer, offset: number): number {
    const end = Math.min(bytes.length, offset + this.remainingBytes);
    this.remainingBytes -= end - offset;
    this.handler.onBytes(bytes.subarray(offset, end));
    return end;
  }

  private readPrefix(bytes: Buffer, offset: number): number {
    this.prefix[this.prefixLength] = bytes[offset] ?? 0;
    this.prefixLength += 1;
    if (this.prefixLength === PREFIX_BYTES) {
      this.prefixLength = 0;
      this.remainingBytes = this.prefix.readUInt32BE();
      if (this.remainingBytes === 0) {
        this.handler.onEnd();
      }
    }
    return offset + 1;
  }
}
