/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Reassembles a snapshot from the chunks that a leader sends. */
import type {SnapshotRequest} from './LogMessages';

/** Collects the chunks of one snapshot transfer. */
export class SnapshotAssembler {
  private transferId = '';
  private chunks: Uint8Array[] = [];
  private length = 0;

  /**
   * Adds a chunk if it continues the transfer and returns the next expected
   * offset. A chunk of another transfer, or one at offset 0, starts anew.
   */
  addChunk(request: SnapshotRequest): number {
    const transferId = `${request.from} ${request.term} ${request.lastIndex}`;
    if (request.offset === 0 || transferId !== this.transferId) {
      this.clear();
      this.transferId = transferId;
    }
    if (request.offset === this.length) {
      // Copied because the chunk may share memory with a network buffer.
      this.chunks.push(Uint8Array.from(request.bytes));
      this.length += request.bytes.length;
    }
    return this.length;
  }

  /** Returns the whole snapshot and clears the assembler. */
  finish(): Uint8Array {
    const bytes = Buffer.concat(this.chunks);
    this.clear();
    return bytes;
  }

  private clear(): void {
    this.transferId = '';
    this.chunks = [];
    this.length = 0;
  }
}
