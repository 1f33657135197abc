/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Puts the parts of a snapshot together on the receiving side. */
import type {SnapshotRequest} from './LogMessages';

/** Parts received so far, all from one snapshot of one leader. */
export class SnapshotAssembly {
  private source = '';
  private parts: Uint8Array[] = [];
  private length = 0;

  /** Adds a part that fits; returns the offset that is wanted next. */
  add(request: SnapshotRequest): number {
    const source = `${request.from} ${request.term} ${request.lastIndex}`;
    if (request.offset === 0 || source !== this.source) {
      this.clear();
      this.source = source;
    }
    if (request.offset === this.length) {
      // The part may share memory with a network buffer.
      this.parts.push(Uint8Array.from(request.bytes));
      this.length += request.bytes.length;
    }
    return this.length;
  }

  /** The whole snapshot; the assembly is empty afterwards. */
  take(): Uint8Array {
    const bytes = Buffer.concat(this.parts);
    this.clear();
    return bytes;
  }

  private clear(): void {
    this.source = '';
    this.parts = [];
    this.length = 0;
  }
}
