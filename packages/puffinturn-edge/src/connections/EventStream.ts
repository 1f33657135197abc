/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Cuts a stream of events after whole events, so that a stream that breaks in
 * the middle of one can go on at another upstream. Bytes pass unchanged.
 */

const LINE_FEED = 0x0a;
const ID_FIELD = Buffer.from('id:');
const EMPTY = Buffer.alloc(0);

/** Bytes of whole events, and how many they are. */
export interface EventBatch {
  readonly bytes: Buffer;
  readonly events: number;
}

/** The state of one stream. */
export class EventCutter {
  /** The id of the last whole event; undefined before the first with one. */
  lastId: string | undefined;
  private rest: Buffer = EMPTY;
  private pendingId: string | undefined;

  /** Adds bytes; returns the whole events that are now there. */
  push(chunk: Buffer): EventBatch {
    const all =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    let start = 0;
    let events = 0;
    let lineStart = 0;
    for (
      let at = all.indexOf(LINE_FEED);
      at >= 0;
      at = all.indexOf(LINE_FEED, at + 1)
    ) {
      const length = at - lineStart;
      const blank = length === 0 || (length === 1 && all[lineStart] === 0x0d);
      if (blank) {
        events += 1;
        start = at + 1;
        this.lastId = this.pendingId ?? this.lastId;
      } else {
        this.noteId(all, lineStart, at);
      }
      lineStart = at + 1;
    }
    this.rest = start === all.length ? EMPTY : all.subarray(start);
    const bytes = start === all.length ? all : all.subarray(0, start);
    return {bytes, events};
  }

  /** Bytes after the last whole event. */
  takeRest(): Buffer {
    const {rest} = this;
    this.rest = EMPTY;
    return rest;
  }

  private noteId(all: Buffer, from: number, to: number): void {
    // Compared byte by byte, as a view of each line costs more than the rest.
    const isId =
      to - from >= ID_FIELD.length &&
      all[from] === ID_FIELD[0] &&
      all[from + 1] === ID_FIELD[1] &&
      all[from + 2] === ID_FIELD[2];
    if (isId) {
      this.pendingId = all
        .toString('latin1', from + ID_FIELD.length, to)
        .trim();
    }
  }
}
