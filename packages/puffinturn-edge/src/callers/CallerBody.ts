/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The body of an answer on its way to a caller. While the caller does not read, the
 * upstream is held back. Chunks are framed here in one buffer: Node writes a chunk
 * in three pieces, which cost more than the bytes of an event.
 */
import type {ServerResponse} from 'node:http';

import type {UpstreamAnswer} from '../connections/UpstreamAnswer';

const LINE_END = '\r\n';
const LAST_CHUNK = '0\r\n\r\n';

/** See the module comment. */
export class CallerBody {
  /** The answer that waits for the caller to read. */
  private held: UpstreamAnswer | undefined;
  private isChunked = false;

  constructor(private readonly response: ServerResponse) {}

  /** Sends the head, with names and values in turn. */
  begin(statusCode: number, headers: readonly string[]): void {
    const {response} = this;
    // Node takes a flat list of names and values; its types know only maps.
    response.writeHead(statusCode, headers as never);
    this.isChunked = response.chunkedEncoding;
    response.chunkedEncoding = false;
  }

  /** Sends some bytes of an answer. */
  write(bytes: Buffer, answer: UpstreamAnswer): void {
    const {response} = this;
    if (response.write(this.isChunked ? chunkOf(bytes) : bytes)) {
      return;
    }
    answer.pause();
    if (this.held === undefined) {
      response.once('drain', () => this.resume());
    }
    this.held = answer;
  }

  /** Ends a whole answer. */
  end(bytes: Buffer): void {
    const {isChunked, response} = this;
    if (isChunked && bytes.length > 0) {
      response.write(chunkOf(bytes));
    }
    if (isChunked) {
      response.end(LAST_CHUNK, 'latin1');
    } else {
      response.end(bytes);
    }
  }

  private resume(): void {
    const {held} = this;
    this.held = undefined;
    held?.resume();
  }
}

/** One chunk: its length in hexadecimal, its bytes, each with a line end. */
function chunkOf(bytes: Buffer): Buffer {
  const size = `${bytes.length.toString(16)}${LINE_END}`;
  const chunk = Buffer.allocUnsafe(
    size.length + bytes.length + LINE_END.length,
  );
  chunk.write(size, 'latin1');
  chunk.set(bytes, size.length);
  chunk.write(LINE_END, size.length + bytes.length, 'latin1');
  return chunk;
}
