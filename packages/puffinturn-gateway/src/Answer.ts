/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The answer to one attempt while it is made and afterwards: a head, numbered
 * chunks and an end. Any number of readers, on this box or others, follow it
 * from any chunk on.
 */
import {Condition} from 'shared';

import {ANSWER_HIGH_WATER_BYTES} from './GatewayConstants';
import type {GatewayFailure, Outcome} from './GatewayFailure';

/** Status and headers of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly contentType: string;
  readonly outcome: Outcome;
  /** Units billed, when known before the body. */
  readonly billed: number | undefined;
  readonly retryAfterMs?: number | undefined;
}

/** How an answer ended. */
export type AnswerEnd =
  | {readonly kind: 'whole'}
  /** Refused; before the head, or as the last event of a stream. */
  | {readonly kind: 'failed'; readonly failure: GatewayFailure};

/** See the module comment. */
export class Answer {
  /** Set once; chunks come after it. */
  head: AnswerHead | undefined;
  /** Set once, last. */
  end: AnswerEnd | undefined;
  /** Aborted when nobody wants the answer any more. */
  readonly abandoned = new AbortController();
  private readonly chunks: (Uint8Array | undefined)[] = [];
  private readonly readers = new Set<AnswerReader>();
  private readonly changed = new Condition();
  private readonly consumed = new Condition();
  private dropped = 0;
  /** Bytes in all. */
  bytes = 0;
  /** Units billed; undefined while not known. */
  billed: number | undefined;

  constructor(
    readonly attempt: number,
    /** Keeps every chunk for readers that come later. */
    readonly keeps: boolean,
  ) {}

  /** Chunks so far. */
  get length(): number {
    return this.chunks.length;
  }

  /** Sets the head. */
  start(head: AnswerHead): void {
    this.head ??= head;
    this.changed.notify();
  }

  /** Adds a chunk; resolves once slow readers have caught up enough. */
  async append(chunk: Uint8Array): Promise<void> {
    this.chunks.push(chunk);
    this.bytes += chunk.length;
    this.changed.notify();
    while (!this.keeps && this.isBehind() && !this.isAbandoned) {
      await this.consumed.wait();
    }
  }

  /** Ends the answer; later ends change nothing. */
  finish(end: AnswerEnd): void {
    this.end ??= end;
    this.changed.notify();
  }

  /** The chunk at a position, unless it was dropped. */
  chunk(position: number): Uint8Array | undefined {
    return this.chunks[position];
  }

  /** Resolves at the next change. */
  wait(): Promise<void> {
    return this.changed.wait();
  }

  /** Starts to read; the last reader that leaves abandons the answer. */
  read(from = 0): AnswerReader {
    const reader = new AnswerReader(this, from, () => this.leave(reader));
    this.readers.add(reader);
    return reader;
  }

  /** Frees chunks that all readers have, and lets the writer go on. */
  progress(): void {
    if (!this.keeps) {
      const lowest = Math.min(...[...this.readers].map(({next}) => next));
      while (this.dropped < Math.min(lowest, this.chunks.length)) {
        this.chunks[this.dropped] = undefined;
        this.dropped += 1;
      }
    }
    this.consumed.notify();
  }

  private get isAbandoned(): boolean {
    return this.abandoned.signal.aborted;
  }

  private isBehind(): boolean {
    let waiting = 0;
    for (let at = this.dropped; at < this.chunks.length; at += 1) {
      waiting += this.chunks[at]?.length ?? 0;
    }
    return waiting > ANSWER_HIGH_WATER_BYTES;
  }

  private leave(reader: AnswerReader): void {
    this.readers.delete(reader);
    if (this.readers.size === 0 && !this.keeps && this.end === undefined) {
      this.abandoned.abort();
    }
    this.consumed.notify();
  }
}

/** One reader's place in an answer. */
export class AnswerReader implements Disposable {
  constructor(
    private readonly answer: Answer,
    /** The next chunk to read. */
    public next: number,
    private readonly onLeave: () => void,
  ) {}

  /** Waits for the head, or an end before it. */
  async head(): Promise<AnswerHead | undefined> {
    const {answer} = this;
    while (answer.head === undefined && answer.end === undefined) {
      await answer.wait();
    }
    return answer.head;
  }

  /** All chunks that are there, after a wait for at least one. */
  async chunks(): Promise<Uint8Array[]> {
    const {answer} = this;
    while (this.next >= answer.length && answer.end === undefined) {
      await answer.wait();
    }
    const found: Uint8Array[] = [];
    while (this.next < answer.length) {
      const chunk = answer.chunk(this.next);
      this.next += 1;
      if (chunk !== undefined) {
        found.push(chunk);
      }
    }
    answer.progress();
    return found;
  }

  [Symbol.dispose](): void {
    this.onLeave();
  }
}
