/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The answer of an upstream to one request: its head, and its body as it comes.
 * What comes before anybody reads is kept; it is one read of a connection at most,
 * as whoever asked decides in the same turn of the event loop.
 */
import type {Socket} from 'node:net';

import type {AnswerHead} from './AnswerParser';

/** Takes the body of an answer. */
export interface AnswerReader {
  /** Some bytes of the body. */
  take(chunk: Buffer): void;
  /** The end; `whole` is false where the connection broke off before. */
  ended(whole: boolean): void;
}

/** Holds the bytes of an answer back where its reader can't take more. */
export interface AnswerSource {
  /** The connection that it comes on; for counting what that has carried. */
  readonly socket: Socket;
  pause(): void;
  resume(): void;
}

/** See the module comment. */
export class UpstreamAnswer {
  readonly statusCode: number;
  readonly rawHeaders: readonly string[];
  /** By name in lower case; values of the same name are joined. */
  readonly headers: Readonly<Record<string, string | undefined>>;
  private reader: AnswerReader | undefined;
  private waiting: Buffer[] = [];
  private whole: boolean | undefined;

  constructor(
    head: AnswerHead,
    private readonly source: AnswerSource,
  ) {
    this.statusCode = head.statusCode;
    this.rawHeaders = head.rawHeaders;
    this.headers = headersByName(head.rawHeaders);
  }

  /** Hands the body on to a reader, what has come already included. */
  read(reader: AnswerReader): void {
    this.reader = reader;
    for (const chunk of this.waiting) {
      reader.take(chunk);
    }
    this.waiting = [];
    if (this.whole !== undefined) {
      reader.ended(this.whole);
    }
  }

  /** Reads the body and drops it, so that the connection can be used again. */
  drop(): void {
    this.read({ended: () => undefined, take: () => undefined});
  }

  /** The connection that it came on. */
  get socket(): Socket {
    return this.source.socket;
  }

  /** Whether no more bytes come. */
  get ended(): boolean {
    return this.whole !== undefined;
  }

  /** Holds the rest back until `resume`. */
  pause(): void {
    if (!this.ended) {
      this.source.pause();
    }
  }

  /** Lets the rest come. */
  resume(): void {
    if (!this.ended) {
      this.source.resume();
    }
  }

  /** Some bytes have come. */
  push(chunk: Buffer): void {
    if (this.reader === undefined) {
      this.waiting.push(chunk);
    } else {
      this.reader.take(chunk);
    }
  }

  /** No more bytes come. The first end counts. */
  end(whole: boolean): void {
    if (this.whole === undefined) {
      this.whole = whole;
      this.reader?.ended(whole);
    }
  }
}

function headersByName(
  rawHeaders: readonly string[],
): Record<string, string | undefined> {
  const headers: Record<string, string | undefined> = Object.create(null);
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const name = (rawHeaders[at] ?? '').toLowerCase();
    const value = rawHeaders[at + 1] ?? '';
    const former = headers[name];
    headers[name] = former === undefined ? value : `${former}, ${value}`;
  }
  return headers;
}
