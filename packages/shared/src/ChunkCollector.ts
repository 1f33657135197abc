/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Collects the chunks of a body. Small chunks after the first one are copied into blocks, so
 * that the memory of a body is a small multiple of its length, however it is cut.
 */

/** Chunks from this size are kept as they are, bytes. */
const LARGE_CHUNK_BYTES = 1_024;

/** Sizes of the first and of the largest block, bytes. */
const FIRST_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 64 * 1_024;

/** Memory of a chunk or block beside its bytes. */
const OVERHEAD_BYTES = 256;

const EMPTY = Buffer.alloc(0);

/** Concatenates chunks; a single chunk is not copied. */
export function concatChunks(chunks: readonly Buffer[]): Buffer {
  const [first] = chunks;
  return chunks.length === 1 && first ? first : Buffer.concat(chunks);
}

/** Chunks of one body, in order. */
export class ChunkCollector {
  private pieces: Buffer[] = [];
  /** The block that small chunks are copied into; its first `blockLength` bytes are used. */
  private block: Buffer = EMPTY;
  private blockLength = 0;
  private nextBlockBytes = FIRST_BLOCK_BYTES;
  private memory = 0;
  private length = 0;

  /** Memory in use, bytes. */
  get memoryBytes(): number {
    return this.memory;
  }

  /** Bytes collected. */
  get byteLength(): number {
    return this.length;
  }

  /** Adds a chunk, which may be kept as it is. */
  append(chunk: Buffer): void {
    if (chunk.length === 0) {
      return;
    }
    const isFirst = this.length === 0;
    this.length += chunk.length;
    if (isFirst) {
      this.keep(chunk);
      return;
    }
    if (this.blockLength + chunk.length <= this.block.length) {
      this.copyToBlock(chunk);
      return;
    }
    this.endBlock();
    if (chunk.length >= LARGE_CHUNK_BYTES) {
      this.keep(chunk);
      return;
    }
    this.block = Buffer.allocUnsafeSlow(this.nextBlockBytes);
    this.memory += this.nextBlockBytes + OVERHEAD_BYTES;
    this.nextBlockBytes = Math.min(2 * this.nextBlockBytes, MAX_BLOCK_BYTES);
    this.copyToBlock(chunk);
  }

  /** Returns all bytes and drops the chunks. */
  take(): Buffer {
    this.endBlock();
    const body = concatChunks(this.pieces);
    this.clear();
    return body;
  }

  /** Drops all chunks. */
  clear(): void {
    this.pieces = [];
    this.block = EMPTY;
    this.blockLength = 0;
    this.nextBlockBytes = FIRST_BLOCK_BYTES;
    this.memory = 0;
    this.length = 0;
  }

  private keep(chunk: Buffer): void {
    this.pieces.push(chunk);
    this.memory += chunk.length + OVERHEAD_BYTES;
  }

  private copyToBlock(chunk: Buffer): void {
    chunk.copy(this.block, this.blockLength);
    this.blockLength += chunk.length;
  }

  private endBlock(): void {
    if (this.blockLength > 0) {
      this.pieces.push(this.block.subarray(0, this.blockLength));
    }
    this.block = EMPTY;
    this.blockLength = 0;
  }
}

/**
 * Collects a body whole. Returns undefined if it is longer than `maxBytes`, and throws if it
 * breaks off.
 */
export async function collectChunks(
  chunks: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<Buffer | undefined> {
  const body = new ChunkCollector();
  for await (const {buffer, byteLength, byteOffset} of chunks) {
    body.append(Buffer.from(buffer, byteOffset, byteLength));
    if (body.byteLength > maxBytes) {
      return undefined;
    }
  }
  return body.take();
}
