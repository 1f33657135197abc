/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Buffers the response of one attempt: a head, numbered chunks and an end.
 * Several readers, on this box or others, can read it from any chunk.
 */
import {Condition} from 'shared';

import {RESPONSE_HIGH_WATER_MARK_BYTES} from './GatewayConstants';
import type {GatewayFailure, Outcome} from './GatewayFailure';

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly contentType: string;
  readonly outcome: Outcome;
  /** Billed units, if known before the body. */
  readonly billed: number | undefined;
  readonly retryAfterMs?: number | undefined;
}

/** How a response ended. */
export type ResponseEnd =
  | {readonly kind: 'whole'}
  /** Sent instead of a head, or as the last event of a stream. */
  | {readonly kind: 'failed'; readonly failure: GatewayFailure};

/** A response with one writer and any number of readers. */
export class BufferedResponse {
  /** Set once, before the first chunk. */
  head: ResponseHead | undefined;
  /** Set once, after the last chunk. */
  end: ResponseEnd | undefined;
  /** Aborted when the response is no longer needed. */
  readonly abortController = new AbortController();
  private readonly chunks: (Uint8Array | undefined)[] = [];
  private readonly readers = new Set<ResponseReader>();
  private readonly changed = new Condition();
  private readonly consumed = new Condition();
  private releasedCount = 0;
  /** Size of the chunks that are not released, bytes. */
  private unreadBytes = 0;
  /** Total size of the chunks, bytes. */
  byteLength = 0;
  /** Billed units; undefined until known. */
  billed: number | undefined;

  constructor(
    readonly attempt: number,
    /** Whether all chunks are kept for later readers. */
    readonly isRetained: boolean,
  ) {}

  /** Number of chunks so far. */
  get chunkCount(): number {
    return this.chunks.length;
  }

  /** Sets the head unless it is set already. */
  setHead(head: ResponseHead): void {
    this.head ??= head;
    this.changed.notify();
  }

  /** Adds a chunk; waits while unread chunks exceed the high-water mark. */
  async append(chunk: Uint8Array): Promise<void> {
    this.chunks.push(chunk);
    this.byteLength += chunk.length;
    this.unreadBytes += chunk.length;
    this.changed.notify();
    while (!this.isRetained && this.isAboveHighWaterMark() && !this.isAborted) {
      await this.consumed.wait();
    }
  }

  /** Ends the response; later calls have no effect. */
  finish(end: ResponseEnd): void {
    this.end ??= end;
    this.changed.notify();
  }

  /** The chunk at an index; undefined if it was released. */
  chunkAt(index: number): Uint8Array | undefined {
    return this.chunks[index];
  }

  /** Resolves at the next change. */
  waitForChange(): Promise<void> {
    return this.changed.wait();
  }

  /**
   * Creates a reader. When the last reader is disposed of, a response that is
   * not retained is aborted.
   */
  createReader(position = 0): ResponseReader {
    const reader = new ResponseReader(this, position, () =>
      this.removeReader(reader),
    );
    this.readers.add(reader);
    return reader;
  }

  /** Releases chunks that all readers have read and wakes the writer. */
  releaseConsumedChunks(): void {
    if (!this.isRetained) {
      const minPosition = Math.min(
        ...[...this.readers].map(({position}) => position),
      );
      while (this.releasedCount < Math.min(minPosition, this.chunks.length)) {
        this.unreadBytes -= this.chunks[this.releasedCount]?.length ?? 0;
        this.chunks[this.releasedCount] = undefined;
        this.releasedCount += 1;
      }
    }
    this.consumed.notify();
  }

  private get isAborted(): boolean {
    return this.abortController.signal.aborted;
  }

  private isAboveHighWaterMark(): boolean {
    return this.unreadBytes > RESPONSE_HIGH_WATER_MARK_BYTES;
  }

  private removeReader(reader: ResponseReader): void {
    this.readers.delete(reader);
    if (this.readers.size === 0 && !this.isRetained && this.end === undefined) {
      this.abortController.abort();
    }
    this.consumed.notify();
  }
}

/** Reads a response from a position. */
export class ResponseReader implements Disposable {
  constructor(
    private readonly response: BufferedResponse,
    /** Index of the next chunk. */
    public position: number,
    private readonly onDispose: () => void,
  ) {}

  /** Waits for the head; undefined if the response ended without one. */
  async waitForHead(): Promise<ResponseHead | undefined> {
    const {response} = this;
    while (response.head === undefined && response.end === undefined) {
      await response.waitForChange();
    }
    return response.head;
  }

  /** Waits for at least one chunk and returns all available ones. */
  async readAvailable(): Promise<Uint8Array[]> {
    const {response} = this;
    while (this.position >= response.chunkCount && response.end === undefined) {
      await response.waitForChange();
    }
    const available: Uint8Array[] = [];
    while (this.position < response.chunkCount) {
      const chunk = response.chunkAt(this.position);
      this.position += 1;
      if (chunk !== undefined) {
        available.push(chunk);
      }
    }
    response.releaseConsumedChunks();
    return available;
  }

  [Symbol.dispose](): void {
    this.onDispose();
  }
}
