/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Writes response bodies to callers, with backpressure on the upstream. Chunks are
 * encoded here into a single buffer, because Node writes each chunk in three parts.
 */
import type {ServerResponse} from 'node:http';

import type {UpstreamResponse} from '../connections/UpstreamResponse';

const CRLF = '\r\n';
const LAST_CHUNK = '0\r\n\r\n';

/** Writes the head and body of one response. */
export class ResponseBodyWriter {
  /** Upstream response that is paused until the caller's connection drains. */
  private pausedSource: UpstreamResponse | undefined;
  private isChunked = false;

  constructor(private readonly response: ServerResponse) {}

  /** Sends the head; `headers` alternates names and values. */
  writeHead(statusCode: number, headers: readonly string[]): void {
    const {response} = this;
    // Node accepts a flat list of names and values, but its types do not.
    response.writeHead(statusCode, headers as never);
    this.isChunked = response.chunkedEncoding;
    response.chunkedEncoding = false;
  }

  /** Sends body bytes and pauses `source` while the caller does not read. */
  write(bytes: Buffer, source: UpstreamResponse): void {
    const {response} = this;
    if (response.write(this.isChunked ? encodeChunk(bytes) : bytes)) {
      return;
    }
    source.pause();
    if (this.pausedSource === undefined) {
      response.once('drain', () => this.resume());
    }
    this.pausedSource = source;
  }

  /** Sends the last bytes and ends the response. */
  end(bytes: Buffer): void {
    const {isChunked, response} = this;
    if (isChunked && bytes.length > 0) {
      response.write(encodeChunk(bytes));
    }
    if (isChunked) {
      response.end(LAST_CHUNK, 'latin1');
    } else {
      response.end(bytes);
    }
  }

  private resume(): void {
    const {pausedSource} = this;
    this.pausedSource = undefined;
    pausedSource?.resume();
  }
}

/** Encodes a chunk of the chunked transfer coding (RFC 9112, section 7.1). */
function encodeChunk(bytes: Buffer): Buffer {
  const size = `${bytes.length.toString(16)}${CRLF}`;
  const chunk = Buffer.allocUnsafe(size.length + bytes.length + CRLF.length);
  chunk.write(size, 'latin1');
  chunk.set(bytes, size.length);
  chunk.write(CRLF, size.length + bytes.length, 'latin1');
  return chunk;
}
