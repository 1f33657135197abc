/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Sends a request to an upstream and validates the head of the response. A response that
 * does not belong to the request is discarded.
 */
import type {HeaderNames} from '../callers/CallerProtocol';
import {formatRequestHead} from '../callers/RequestHead';
import {
  CONNECT_TIMEOUT_MS,
  MISDIRECTED_REQUEST_STATUS,
  REJECTION_BODY_TIMEOUT_MS,
} from '../EdgeConstants';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {HttpConnection, ResponseListener} from './HttpConnection';
import type {UpstreamResponse} from './UpstreamResponse';

/** The head of a valid response has arrived. */
export interface ResponseOutcome {
  readonly kind: 'answer';
  readonly response: UpstreamResponse;
}

/** Outcome of an attempt. */
export type ExchangeOutcome =
  | ResponseOutcome
  /** The response states that the upstream did not run the request. */
  | {readonly kind: 'rejected'; readonly response: UpstreamResponse}
  /** The connection failed, so nothing was sent. */
  | {readonly kind: 'unsent'; readonly cause: string}
  /** The request was sent, but no valid response arrived: it may have run. */
  | {readonly kind: 'broken'; readonly cause: string};

/** Cause for a header that can't be sent to any upstream: an error of the request. */
export const INVALID_HEADER = 'invalid-header';

/** The request to send, and its upstream. */
export interface ExchangeParams {
  readonly upstream: EdgeUpstream;
  readonly headerNames: HeaderNames;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** One request and the head of its response. */
export class Exchange implements ResponseListener {
  /** Resolves at the head of the response, or when the attempt fails. */
  readonly outcome: Promise<ExchangeOutcome>;
  private connection: HttpConnection | undefined;
  private isConnected = false;
  private abortCause: string | undefined;
  private response: UpstreamResponse | undefined;
  private timer: NodeJS.Timeout | undefined;
  private resolve!: (outcome: ExchangeOutcome) => void;

  constructor(private readonly params: ExchangeParams) {
    const {body, headers, method, path, upstream} = params;
    this.outcome = new Promise((resolve) => (this.resolve = resolve));
    const head = formatRequestHead(method, path, headers);
    if (head === undefined) {
      this.resolve({cause: INVALID_HEADER, kind: 'broken'});
      return;
    }
    this.connection = upstream.connections.acquire();
    this.connection.send({body, head, method}, this);
    if (!this.isConnected) {
      this.timer = setTimeout(
        () => this.abort('connect-timeout'),
        CONNECT_TIMEOUT_MS,
      );
    }
  }

  /** Aborts the attempt. Closes the connection unless the response is complete. */
  abort(cause: string): void {
    this.abortCause = cause;
    if (this.response?.hasEnded !== true) {
      this.connection?.[Symbol.dispose]();
    }
  }

  onConnected(): void {
    this.isConnected = true;
    clearTimeout(this.timer);
  }

  onResponse(response: UpstreamResponse): void {
    this.response = response;
    this.resolve(this.classifyResponse(response));
  }

  onFailure(cause: string): void {
    clearTimeout(this.timer);
    this.resolve({
      cause: this.abortCause ?? cause,
      kind: this.isConnected ? 'broken' : 'unsent',
    });
  }

  private classifyResponse(response: UpstreamResponse): ExchangeOutcome {
    const {headerNames, requestId} = this.params;
    const {headers, statusCode: status} = response;
    if (status < 200) {
      return this.discardInvalidResponse('no-final-answer');
    }
    const responseRequestId = headers[headerNames.requestId];
    if (responseRequestId !== undefined && responseRequestId !== requestId) {
      return this.discardInvalidResponse('answer-of-another-request');
    }
    if (
      headers[headerNames.notExecuted] !== undefined ||
      status === MISDIRECTED_REQUEST_STATUS
    ) {
      response.discardBody();
      setTimeout(
        () => this.abort('slow-rejection'),
        REJECTION_BODY_TIMEOUT_MS,
      ).unref();
      return {kind: 'rejected', response};
    }
    if (headers['content-encoding'] !== undefined) {
      return this.discardInvalidResponse('encoded-answer');
    }
    const isSuccess = status >= 200 && status < 300;
    if (isSuccess && headers[headerNames.seal] === undefined) {
      return this.discardInvalidResponse('no-seal');
    }
    if (isSuccess && responseRequestId === undefined) {
      return this.discardInvalidResponse('no-id');
    }
    return {response, kind: 'answer'};
  }

  private discardInvalidResponse(cause: string): ExchangeOutcome {
    this.connection?.[Symbol.dispose]();
    return {cause, kind: 'broken'};
  }
}
