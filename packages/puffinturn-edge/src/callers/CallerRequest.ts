/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A caller's request and its response. */
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {Result} from 'neverthrow';
import type {BodyFailure, RequestBody} from 'puffinturn-server';

import type {HeaderNames} from './CallerProtocol';
import {waitForLoopIterations} from './EventLoopIterations';

/**
 * Event loop iterations after which a close that was sent right after the request has
 * been read: the iteration that reads the request, and the next one.
 */
const CLOSE_DETECTION_ITERATIONS = 2;

/** Hop-by-hop headers, in lower case. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** True for an end-to-end header, which is forwarded. */
export function isEndToEndHeader(
  name: string,
  connectionHeader: string | undefined,
): boolean {
  const lowerCaseName = name.toLowerCase();
  if (HOP_BY_HOP_HEADERS.has(lowerCaseName)) {
    return false;
  }
  return (
    connectionHeader === undefined ||
    !connectionHeader
      .toLowerCase()
      .split(',')
      .some((token) => token.trim() === lowerCaseName)
  );
}

/** Times of a request, monotonic ms. */
export interface RequestTimes {
  /** Estimated arrival; under load, earlier than the read. */
  readonly arrivedAt: number;
  readonly readAt: number;
}

/** Gives access to a request's headers and body, and sends error responses. */
export class CallerRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  /** Whether to close the connection after this response. */
  closesConnection = false;

  constructor(
    readonly incoming: IncomingMessage,
    readonly response: ServerResponse,
    private readonly headerNames: HeaderNames,
    readonly times: RequestTimes,
    private readonly body: RequestBody,
  ) {
    this.method = incoming.method ?? 'GET';
    this.path = incoming.url ?? '/';
    this.id = this.header(headerNames.requestId) ?? '';
  }

  /** Returns the first value of a header; `name` is in lower case. */
  header(name: string): string | undefined {
    const value = this.incoming.headers[name];
    return Array.isArray(value) ? value[0] : value;
  }

  /** How long the caller waits, ms; undefined if the request has no valid deadline. */
  get deadlineMs(): number | undefined {
    const value = Number(this.header(this.headerNames.deadline));
    return Number.isFinite(value) && value > 0 ? value : undefined;
  }

  /** ID of the last event of the stream that the caller resumes; undefined if none. */
  get lastEventId(): string | undefined {
    return this.header(this.headerNames.lastEventId) || undefined;
  }

  /** ID of the request that began the stream that the caller resumes. */
  get resumedRequest(): string | undefined {
    return this.header(this.headerNames.resumedRequest) || undefined;
  }

  /** Whether the caller disconnected before the response was complete. */
  get isAborted(): boolean {
    return this.response.destroyed && !this.response.writableFinished;
  }

  /**
   * Whether the caller is still connected after all data that it sent with the request
   * has been read. Prevents forwarding requests whose caller closed the connection
   * while they were queued.
   */
  async isStillConnected(): Promise<boolean> {
    await waitForLoopIterations(CLOSE_DETECTION_ITERATIONS);
    return !this.isAborted && !this.incoming.socket.readableEnded;
  }

  /** Reads the whole body, or fails if it is longer than `maxBytes`. */
  readBody(maxBytes: number): Promise<Result<Buffer, BodyFailure>> {
    return this.body.read(maxBytes);
  }

  /**
   * Closes the connection within a response. To a caller of HTTP/1.0, the end of the
   * connection is that of the response, so the connection is reset.
   */
  abortResponse(): void {
    const {incoming, response} = this;
    if (incoming.httpVersionMajor === 1 && incoming.httpVersionMinor === 0) {
      incoming.socket.resetAndDestroy();
    }
    response.destroy();
  }

  /** Sends an error response, or closes the connection if it is too late for one. */
  sendError(status: number, cause: string, retryAfterS?: number): void {
    const {response} = this;
    if (response.headersSent || response.destroyed) {
      this.abortResponse();
      return;
    }
    const body = JSON.stringify({error: cause});
    response.statusCode = status;
    response.setHeader('Content-Type', 'application/json');
    response.setHeader('Content-Length', Buffer.byteLength(body));
    if (retryAfterS !== undefined) {
      response.setHeader(this.headerNames.retryAfter, String(retryAfterS));
    }
    if (this.id !== '') {
      response.setHeader(this.headerNames.requestId, this.id);
    }
    if (!this.incoming.complete || this.closesConnection) {
      response.setHeader('Connection', 'close');
    }
    response.end(body);
  }
}
