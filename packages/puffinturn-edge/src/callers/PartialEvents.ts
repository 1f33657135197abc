/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Bytes that an edge holds of events that are not complete yet, with their limits. */

/** Maximum size of one event, bytes: some hundred times the largest that engines send. */
const MAX_EVENT_BYTES = 256 * 1024;

/** Maximum size of the incomplete events of all streams, bytes: a tenth of the memory. */
const MAX_TOTAL_BYTES = 16 * 1024 * 1024;

/** Size up to which an event may grow while all streams together hold too much, bytes. */
const MIN_EVENT_BYTES = 16 * 1024;

/**
 * Maximum number of pieces of one event, so that even an event of MIN_EVENT_BYTES may come
 * byte by byte.
 */
const MAX_EVENT_PIECES = 16 * 1024;

/** Counts the bytes of the incomplete events of all streams of an edge. */
export class PartialEvents {
  private total = 0;

  /** Bytes held for all streams. */
  get totalBytes(): number {
    return this.total;
  }

  /** Records that the incomplete event of one stream has changed its size. */
  recordSize(formerBytes: number, bytes: number): void {
    this.total += bytes - formerBytes;
  }

  /**
   * Whether an incomplete event must not grow further, given its size and the number of
   * pieces that it came in.
   */
  isTooLong(bytes: number, pieces: number): boolean {
    return (
      bytes > MAX_EVENT_BYTES ||
      pieces > MAX_EVENT_PIECES ||
      (this.total > MAX_TOTAL_BYTES && bytes > MIN_EVENT_BYTES)
    );
  }
}
