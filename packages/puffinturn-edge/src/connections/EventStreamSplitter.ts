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

import {ChunkCollector} from 'shared';

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

const NO_EVENTS: EventBatch = {bytes: EMPTY, eventCount: 0};

/**
 * Splits one stream into complete events. Each byte is searched and copied a few times at
 * most, however the stream is cut into chunks.
 */
export class EventStreamSplitter {
  /** ID of the last complete event; undefined before the first event with an ID. */
  lastEventId: string | undefined;
  /** Complete lines of the incomplete event. */
  private readonly lines = new ChunkCollector();
  /** The incomplete line at the end. */
  private readonly partialLine = new ChunkCollector();
  private pendingEventId: string | undefined;

  /** Adds bytes, which are kept, and returns the events that they complete. */
  push(chunk: Buffer): EventBatch {
    this.partialLine.append(chunk);
    return chunk.includes(LINE_FEED)
      ? this.splitLines(this.partialLine.take())
      : NO_EVENTS;
  }

  /** Bytes that are held after the last complete event. */
  get heldBytes(): number {
    return this.lines.byteLength + this.partialLine.byteLength;
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRemainder(): Buffer {
    this.lines.append(this.partialLine.take());
    this.pendingEventId = this.lastEventId;
    return this.lines.take();
  }

  /** Splits bytes that begin with a line. */
  private splitLines(buffer: Buffer): EventBatch {
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
    const bytes = this.takeEvents(buffer.subarray(0, batchEnd));
    this.lines.append(buffer.subarray(batchEnd, lineStart));
    this.partialLine.append(buffer.subarray(lineStart));
    return {bytes, eventCount};
  }

  /** Returns the complete events, of which `end` are the last bytes. */
  private takeEvents(end: Buffer): Buffer {
    if (end.length === 0) {
      return EMPTY;
    }
    this.lines.append(end);
    return this.lines.take();
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

/**
 * Size of the incomplete event that a stream ended with, bytes. `remainder` is what follows
 * the last line feed that ended an event.
 */
export function partialEventLength(remainder: Buffer): number {
  const endsWithBlankLine = remainder
    .subarray(-BLANK_LINE_AFTER_CR.length)
    .equals(BLANK_LINE_AFTER_CR);
  return endsWithBlankLine ? 0 : remainder.length;
}
