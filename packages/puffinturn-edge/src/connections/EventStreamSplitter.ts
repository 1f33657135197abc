/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Splits a stream of server-sent events at event boundaries, so that a broken stream can
 * be resumed at another upstream. Bytes are not modified.
 */

const LINE_FEED = 0x0a;
const ID_FIELD = Buffer.from('id:');
const EMPTY = Buffer.alloc(0);

/** Ends an event in a stream whose lines end with a carriage return alone. */
const BLANK_LINE_AFTER_CR = Buffer.from('\r\r');

/** Bytes of complete events, and their number. */
export interface EventBatch {
  readonly bytes: Buffer;
  readonly eventCount: number;
}

/** Splits one stream into complete events. */
export class EventStreamSplitter {
  /** ID of the last complete event; undefined before the first event with an ID. */
  lastEventId: string | undefined;
  private remainder: Buffer = EMPTY;
  private pendingEventId: string | undefined;

  /** Adds bytes and returns the events that they complete. */
  push(chunk: Buffer): EventBatch {
    const buffer =
      this.remainder.length === 0
        ? chunk
        : Buffer.concat([this.remainder, chunk]);
    let batchEnd = 0;
    let eventCount = 0;
    let lineStart = 0;
    for (
      let lineEnd = buffer.indexOf(LINE_FEED);
      lineEnd >= 0;
      lineEnd = buffer.indexOf(LINE_FEED, lineEnd + 1)
    ) {
      const lineLength = lineEnd - lineStart;
      const isBlank =
        lineLength === 0 || (lineLength === 1 && buffer[lineStart] === 0x0d);
      if (isBlank) {
        eventCount += 1;
        batchEnd = lineEnd + 1;
        this.lastEventId = this.pendingEventId ?? this.lastEventId;
      } else {
        this.parseIdField(buffer, lineStart, lineEnd);
      }
      lineStart = lineEnd + 1;
    }
    this.remainder =
      batchEnd === buffer.length ? EMPTY : buffer.subarray(batchEnd);
    const bytes =
      batchEnd === buffer.length ? buffer : buffer.subarray(0, batchEnd);
    return {bytes, eventCount};
  }

  /** Bytes that are held after the last complete event. */
  get heldBytes(): number {
    return this.remainder.length;
  }

  /** Size of the incomplete event at the end of the bytes so far. */
  get partialEventBytes(): number {
    return endsWithBlankLine(this.remainder) ? 0 : this.remainder.length;
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRemainder(): Buffer {
    const {remainder} = this;
    this.remainder = EMPTY;
    this.pendingEventId = this.lastEventId;
    return remainder;
  }

  private parseIdField(buffer: Buffer, start: number, end: number): void {
    // Compares bytes directly to avoid allocating a view of each line.
    const isId =
      end - start >= ID_FIELD.length &&
      buffer[start] === ID_FIELD[0] &&
      buffer[start + 1] === ID_FIELD[1] &&
      buffer[start + 2] === ID_FIELD[2];
    if (isId) {
      this.pendingEventId = buffer
        .toString('latin1', start + ID_FIELD.length, end)
        .trim();
    }
  }
}

/** Whether bytes in which no line feed ends an event end with a blank line. */
function endsWithBlankLine(bytes: Buffer): boolean {
  return bytes
    .subarray(-BLANK_LINE_AFTER_CR.length)
    .equals(BLANK_LINE_AFTER_CR);
}
