/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Response of an upstream: its head, and its body as a stream. Chunks that arrive
 * before a reader is attached are buffered. This is at most one read of the connection,
 * as the sender attaches a reader in the same turn of the event loop.
 */
import type {Socket} from 'node:net';

import type {EndCheck, EndEvidence} from './EndEvidence';
import {isCompleteEnd} from './EndEvidence';
import type {ResponseHead} from './ResponseParser';

/** How the end of a response body is marked (RFC 9112, section 6.3). */
export const BODY_FRAMING = {
  /** By a `Content-Length` header. */
  length: 'length',
  /** By the last chunk of the chunked transfer coding. */
  chunked: 'chunked',
  /** By the end of the connection. */
  connection: 'connection',
} as const;

/** A value of BODY_FRAMING. */
export type BodyFraming = (typeof BODY_FRAMING)[keyof typeof BODY_FRAMING];

const NO_CONTENT_STATUS = 204;
const NOT_MODIFIED_STATUS = 304;

/** Statuses without a body, also if a length is given (RFC 9112, section 6.3). */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([
  NO_CONTENT_STATUS,
  NOT_MODIFIED_STATUS,
]);

/** Callbacks for the body of a response. */
export interface ResponseReader {
  /** Called for the bytes of the body, once for each read of the connection. */
  onData(chunk: Buffer): void;
  /** Called at the end; `isComplete` is false if the connection failed before it. */
  onEnd(isComplete: boolean): void;
}

/** Limits of a body that nobody waits for. */
export interface BodyLimit {
  readonly maxBytes: number;
  /** Time from the head of the response, ms. */
  readonly maxMs: number;
}

/** The connection that carries a response, with flow control. */
export interface ResponseSource {
  /** Used to count transferred bytes. */
  readonly socket: Socket;
  pause(): void;
  resume(): void;
}

/** A response that is being received. */
export class UpstreamResponse {
  readonly statusCode: number;
  /** Whether its status line is one of HTTP/1 (RFC 9112, section 4). */
  readonly hasValidStatusLine: boolean;
  readonly rawHeaders: readonly string[];
  /** By lower-case name; repeated values are joined with commas. */
  readonly headers: Readonly<Record<string, string | undefined>>;
  /** Whether no body follows the head, whatever length it names. */
  readonly isBodiless: boolean;
  /** Parts in which the body has arrived, such as chunks. */
  pieceCount = 0;
  private reader: ResponseReader | undefined;
  private buffered: Buffer[] = [];
  private isComplete: boolean | undefined;
  private bodyBytes = 0;
  private maxBodyBytes = Infinity;
  private onTooLong: (() => void) | undefined;
  private bodyTimer: NodeJS.Timeout | undefined;
  private endCheck: EndCheck | undefined;
  private isCheckingEnd = false;
  private evidence: EndEvidence | undefined;

  /** `method` is that of the request. */
  constructor(
    head: ResponseHead,
    method: string,
    private readonly source: ResponseSource,
  ) {
    this.statusCode = head.statusCode;
    this.hasValidStatusLine = head.hasValidStatusLine;
    this.isBodiless =
      method === 'HEAD' || BODILESS_STATUSES.has(head.statusCode);
    this.rawHeaders = head.rawHeaders;
    this.headers = headersByName(head.rawHeaders);
  }

  /**
   * Sets a check that runs if the body ends with the connection. The response is complete
   * only if the check says so.
   */
  checkEndWith(check: EndCheck): void {
    this.endCheck = check;
  }

  /** What the check found; undefined if the body did not end with the connection. */
  get endEvidence(): EndEvidence | undefined {
    return this.evidence;
  }

  /** Attaches a reader and passes it the buffered chunks. */
  setReader(reader: ResponseReader): void {
    this.reader = reader;
    for (const chunk of this.buffered) {
      reader.onData(chunk);
    }
    this.buffered = [];
    if (this.isComplete !== undefined) {
      reader.onEnd(this.isComplete);
    }
  }

  /** Calls `onExceeded` once if the body reaches a limit before its end. */
  limitBody({maxBytes, maxMs}: BodyLimit, onExceeded: () => void): void {
    this.onTooLong = onExceeded;
    this.maxBodyBytes = maxBytes;
    this.bodyTimer = setTimeout(() => this.reportTooLong(), maxMs).unref();
    this.checkBodyBytes();
  }

  /** Reads and discards the body, so that the connection can be reused. */
  discardBody(): void {
    this.setReader({onEnd: () => undefined, onData: () => undefined});
  }

  /** The socket that carries the response. */
  get socket(): Socket {
    return this.source.socket;
  }

  /** How the end of the body is marked. */
  get framing(): BodyFraming {
    const {headers} = this;
    if (headers['transfer-encoding'] !== undefined) {
      return BODY_FRAMING.chunked;
    }
    return headers['content-length'] === undefined
      ? BODY_FRAMING.connection
      : BODY_FRAMING.length;
  }

  /**
   * The length to state for a response without a body: what the body for GET would have,
   * if the upstream states it. With 204 none is allowed (RFC 9110, section 8.6).
   */
  get bodilessLength(): number | undefined {
    const length = this.headers['content-length'];
    return length === undefined || this.statusCode === NO_CONTENT_STATUS
      ? undefined
      : Number(length);
  }

  /** Whether the response has ended, complete or not. */
  get hasEnded(): boolean {
    return this.isComplete !== undefined;
  }

  /** Pauses reading from the connection until `resume`. */
  pause(): void {
    if (!this.hasEnded) {
      this.source.pause();
    }
  }

  /** Resumes reading from the connection. */
  resume(): void {
    if (!this.hasEnded) {
      this.source.resume();
    }
  }

  /** Adds a chunk of the body. */
  push(chunk: Buffer): void {
    this.bodyBytes += chunk.length;
    this.checkBodyBytes();
    if (this.reader === undefined) {
      this.buffered.push(chunk);
    } else {
      this.reader.onData(chunk);
    }
  }

  /** Ends the response. Further calls have no effect. */
  end(isComplete: boolean): void {
    if (!this.isCheckingEnd) {
      this.finish(isComplete);
    }
  }

  /** Ends a response whose body ended with its connection, after a check. */
  endWithConnection(): void {
    const {endCheck} = this;
    if (endCheck === undefined) {
      this.end(true);
    } else if (!this.hasEnded && !this.isCheckingEnd) {
      this.isCheckingEnd = true;
      void this.finishAfter(endCheck);
    }
  }

  private async finishAfter({find, isRepeatable}: EndCheck): Promise<void> {
    this.evidence = await find();
    this.finish(isCompleteEnd(this.evidence, isRepeatable));
  }

  private checkBodyBytes(): void {
    if (this.bodyBytes > this.maxBodyBytes) {
      this.reportTooLong();
    }
  }

  private reportTooLong(): void {
    const {onTooLong} = this;
    clearTimeout(this.bodyTimer);
    this.onTooLong = undefined;
    onTooLong?.();
  }

  private finish(isComplete: boolean): void {
    if (this.isComplete === undefined) {
      this.isComplete = isComplete;
      clearTimeout(this.bodyTimer);
      this.onTooLong = undefined;
      this.reader?.onEnd(isComplete);
    }
  }
}

function headersByName(
  rawHeaders: readonly string[],
): Record<string, string | undefined> {
  const headers: Record<string, string | undefined> = Object.create(null);
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? '').toLowerCase();
    const value = rawHeaders[index + 1] ?? '';
    const existing = headers[name];
    headers[name] = existing === undefined ? value : `${existing}, ${value}`;
  }
  return headers;
}
