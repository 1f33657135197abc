/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Checks the ends of the lines in HTTP responses: a CR alone or an LF alone ends none (RFC
 * 9112, section 2.2). The parser of some versions of Node takes either for the end of a
 * line, and then for the end of a head or of a body.
 */

/** What ends a line, in this order. */
const CR = 0x0d;
const LF = 0x0a;

/** Values of the digits of a chunk's size, by their bytes. */
const HEX_VALUES: ReadonlyMap<number, number> = new Map(
  [...'0123456789abcdefABCDEF'].map((digit) => [
    digit.charCodeAt(0),
    Number.parseInt(digit, 16),
  ]),
);

/** Parts of a response, in the order of their bytes. */
export const RESPONSE_PART = {
  /** The status line and the header fields. */
  head: 'head',
  /** The end of a head, until it is stated what follows. */
  headEnd: 'head-end',
  /** A line with the size of a chunk. */
  chunkSize: 'chunk-size',
  chunkData: 'chunk-data',
  /** The end of a line after the data of a chunk. */
  chunkDataEnd: 'chunk-data-end',
  /** The lines after the last chunk. */
  trailers: 'trailers',
  /** A body that is not chunked; its bytes may be any. */
  plainBody: 'plain-body',
} as const;

/** A value of RESPONSE_PART. */
type ResponsePart = (typeof RESPONSE_PART)[keyof typeof RESPONSE_PART];

/** What may follow a head: a body, or the next head if there is none. */
export type PartAfterHead = 'chunk-size' | 'head' | 'plain-body';

/** Follows the lines in the bytes of one connection. */
export class ResponseLines {
  private part: ResponsePart = RESPONSE_PART.head;
  /** Bytes of the current line, without its end. */
  private lineBytes = 0;
  /** Whether the last byte was a CR. */
  private isAfterCr = false;
  /** Bytes of the current chunk that are still to come, once its line was read. */
  private chunkBytes = 0;
  /** Whether all digits of the size of the current chunk were read. */
  private isSizeRead = false;
  private isSpoilt = false;

  /** Whether a line had no valid end. Later bytes are not followed. */
  get isMalformed(): boolean {
    return this.isSpoilt;
  }

  /** Whether a head has ended and it was not stated yet what follows. */
  get isAtHeadEnd(): boolean {
    return this.part === RESPONSE_PART.headEnd;
  }

  /** States what follows the head that has ended. */
  continueAfterHead(part: PartAfterHead): void {
    this.part = part;
  }

  /** States that the response is complete, which ends a body that is not chunked. */
  endPlainBody(): void {
    if (this.part === RESPONSE_PART.plainBody) {
      this.part = RESPONSE_PART.head;
    }
  }

  /**
   * Follows bytes up to the next end of a head or of a chunked body, the first byte that
   * makes a line malformed, or the last byte. Returns the index after the sound bytes. The
   * end of a plain body is not found here: what comes after it in the same bytes counts as
   * a part of it. It belongs to no response, as none was asked for yet.
   */
  follow(bytes: Buffer, start: number): number {
    let index = start;
    while (index < bytes.length) {
      if (this.part === RESPONSE_PART.plainBody) {
        return bytes.length;
      }
      if (this.part === RESPONSE_PART.chunkData) {
        index += this.skipData(bytes.length - index);
        continue;
      }
      const byte = bytes[index] ?? 0;
      this.isSpoilt ||= !this.mayFollow(byte);
      if (this.isSpoilt) {
        return index;
      }
      index += 1;
      if (byte === LF) {
        if (this.endLine()) {
          return index;
        }
      } else if (byte === CR) {
        this.isAfterCr = true;
      } else {
        this.addToLine(byte);
      }
    }
    return index;
  }

  /** Whether a byte may come next: an LF after each CR and nowhere else. */
  private mayFollow(byte: number): boolean {
    if (this.isAfterCr || byte === LF) {
      return this.isAfterCr && byte === LF;
    }
    return this.part !== RESPONSE_PART.chunkDataEnd || byte === CR;
  }

  private addToLine(byte: number): void {
    this.lineBytes += 1;
    if (this.part !== RESPONSE_PART.chunkSize || this.isSizeRead) {
      return;
    }
    const digit = HEX_VALUES.get(byte);
    if (digit === undefined) {
      this.isSizeRead = true;
    } else {
      this.chunkBytes = this.chunkBytes * 16 + digit;
    }
  }

  /** Ends the current line. Returns whether a head or a chunked body ended with it. */
  private endLine(): boolean {
    const isEmpty = this.lineBytes === 0;
    this.isAfterCr = false;
    this.lineBytes = 0;
    if (this.part === RESPONSE_PART.chunkSize) {
      const isLast = this.chunkBytes === 0;
      this.isSizeRead = false;
      this.part = isLast ? RESPONSE_PART.trailers : RESPONSE_PART.chunkData;
      return false;
    }
    if (this.part === RESPONSE_PART.chunkDataEnd) {
      this.part = RESPONSE_PART.chunkSize;
      return false;
    }
    if (isEmpty) {
      const isHead = this.part === RESPONSE_PART.head;
      this.part = isHead ? RESPONSE_PART.headEnd : RESPONSE_PART.head;
    }
    return isEmpty;
  }

  /** Skips data of the current chunk, up to `available` bytes. Returns how many. */
  private skipData(available: number): number {
    const skipped = Math.min(available, this.chunkBytes);
    this.chunkBytes -= skipped;
    if (this.chunkBytes === 0) {
      this.part = RESPONSE_PART.chunkDataEnd;
    }
    return skipped;
  }
}
