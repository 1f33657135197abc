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
import type {Result} from 'neverthrow';
import {isFinalStatus, isKnownTransferCoding} from 'shared';

import type {HeaderNames} from '../callers/CallerProtocol';
import {formatRequestHead} from '../callers/RequestHead';
import {
  CONNECT_TIMEOUT_MS,
  ERROR_BODY_LIMIT,
  MISDIRECTED_REQUEST_STATUS,
} from '../EdgeConstants';
import type {TunnelFailure} from '../tunnels/TunnelClient';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {
  HttpConnection,
  OutgoingRequest,
  ResponseListener,
} from './HttpConnection';
import type {UpstreamResponse} from './UpstreamResponse';

/** The head of a valid response has arrived. */
export interface ResponseOutcome {
  readonly kind: 'answer';
  readonly response: UpstreamResponse;
}

/** Who is to blame that a request could not be sent. */
export const UNSENT_BLAME = {
  /** The direct link to the upstream, or the upstream itself. */
  link: 'link',
  /** The upstream: another edge can't connect to it either. */
  upstream: 'upstream',
  /** The tunnel, or the edge that carries it. */
  tunnel: 'tunnel',
  /** No other edge carries tunnels, and there is no direct link. */
  noHelper: 'no-helper',
  /** Nobody: the request ended before, or the upstream takes no more. */
  none: 'none',
} as const;

/** Who is to blame if no tunnel was opened. */
const TUNNEL_FAILURE_BLAME = {
  'no-helper': UNSENT_BLAME.noHelper,
  'upstream-unknown': UNSENT_BLAME.none,
  'upstream-unreachable': UNSENT_BLAME.upstream,
} as const;

/** A request that was not sent. */
export interface UnsentOutcome {
  readonly kind: 'unsent';
  readonly cause: string;
  readonly blame: (typeof UNSENT_BLAME)[keyof typeof UNSENT_BLAME];
}

/** Outcome of an attempt. */
export type ExchangeOutcome =
  | ResponseOutcome
  /** The response states that the upstream did not run the request. */
  | {readonly kind: 'rejected'; readonly response: UpstreamResponse}
  /** The connection failed, so nothing was sent. */
  | UnsentOutcome
  /** The request was sent, but no valid response arrived: it may have run. */
  | {readonly kind: 'broken'; readonly cause: string};

/** Cause of a connection attempt that got no reply. */
export const CONNECT_TIMEOUT = 'connect-timeout';

/** Cause of an attempt whose upstream left or began to back off before it was connected. */
export const UPSTREAM_WITHDRAWN = 'upstream-withdrawn';

/** Cause for a header that can't be sent to any upstream: an error of the request. */
export const INVALID_HEADER = 'invalid-header';

/** The way to an upstream through another edge. */
export interface TunnelRoute {
  /** Whether this edge can't connect to the upstream itself. */
  readonly isOnlyWay: boolean;
  open(): Promise<Result<HttpConnection, TunnelFailure>>;
}

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
  /** How to reach the upstream through another edge; undefined to connect directly. */
  readonly tunnel: TunnelRoute | undefined;
}

/** One request and the head of its response. */
export class Exchange implements ResponseListener {
  /** Resolves at the head of the response, or when the attempt fails. */
  readonly outcome: Promise<ExchangeOutcome>;
  private connection: HttpConnection | undefined;
  private isConnected = false;
  private isTunnel = false;
  private abortCause: string | undefined;
  private response: UpstreamResponse | undefined;
  private timer: NodeJS.Timeout | undefined;
  private resolve!: (outcome: ExchangeOutcome) => void;

  constructor(private readonly params: ExchangeParams) {
    const {body, headers, method, path, tunnel, upstream} = params;
    this.outcome = new Promise((resolve) => (this.resolve = resolve));
    const head = formatRequestHead(method, path, headers);
    if (head === undefined) {
      this.resolve({cause: INVALID_HEADER, kind: 'broken'});
      return;
    }
    const request = {body, head, method};
    const {connections} = upstream;
    // An open connection may outlive the link over which new ones are made.
    if (tunnel === undefined || connections.hasIdle) {
      this.send(connections.acquire(), request);
    } else {
      void this.sendByTunnel(tunnel, request);
    }
  }

  /** Whether the request was sent through another edge. */
  get usedTunnel(): boolean {
    return this.isTunnel;
  }

  /** Whether a direct connection to the upstream is in use. */
  get isDirect(): boolean {
    return this.connection !== undefined && !this.isTunnel;
  }

  /** Whether the request may have been sent. */
  get hasConnected(): boolean {
    return this.isConnected;
  }

  /** Aborts the attempt. Closes the connection unless the response is complete. */
  abort(cause: string): void {
    this.abortCause = cause;
    if (this.connection === undefined) {
      this.resolve(this.unsent(cause, UNSENT_BLAME.none));
    }
    if (this.response?.hasEnded !== true) {
      this.connection?.[Symbol.dispose]();
    }
  }

  onConnected(): void {
    if (!this.params.upstream.mayBeSentTo) {
      this.abort(UPSTREAM_WITHDRAWN);
      return;
    }
    this.isConnected = true;
    clearTimeout(this.timer);
  }

  onResponse(response: UpstreamResponse): void {
    this.response = response;
    this.resolve(this.classifyResponse(response));
  }

  onFailure(cause: string): void {
    clearTimeout(this.timer);
    const finalCause = this.abortCause ?? cause;
    this.resolve(
      this.isConnected
        ? {cause: finalCause, kind: 'broken'}
        : this.unsent(finalCause, this.connectFailureBlame()),
    );
  }

  private connectFailureBlame(): UnsentOutcome['blame'] {
    const {abortCause} = this;
    if (abortCause !== undefined && abortCause !== CONNECT_TIMEOUT) {
      return UNSENT_BLAME.none;
    }
    return this.isTunnel ? UNSENT_BLAME.tunnel : UNSENT_BLAME.link;
  }

  private send(connection: HttpConnection, request: OutgoingRequest): void {
    this.connection = connection;
    connection.send(request, this);
    if (!this.isConnected) {
      // If this edge was delayed, a connection that is established is seen only now.
      this.timer = setTimeout(
        () => setImmediate(() => this.onConnectTimeout()),
        CONNECT_TIMEOUT_MS,
      );
    }
  }

  private onConnectTimeout(): void {
    if (!this.isConnected) {
      this.abort(CONNECT_TIMEOUT);
    }
  }

  private async sendByTunnel(
    {isOnlyWay, open}: TunnelRoute,
    request: OutgoingRequest,
  ): Promise<void> {
    const opened = await open();
    if (this.abortCause !== undefined) {
      opened.map((connection) => connection[Symbol.dispose]());
    } else if (opened.isOk()) {
      this.isTunnel = true;
      this.send(opened.value, request);
    } else if (opened.error.kind === 'upstream-unreachable' || isOnlyWay) {
      const {kind} = opened.error;
      this.resolve(this.unsent(kind, TUNNEL_FAILURE_BLAME[kind]));
    } else {
      this.send(this.params.upstream.connections.acquire(), request);
    }
  }

  private unsent(
    cause: string,
    blame: UnsentOutcome['blame'],
  ): ExchangeOutcome {
    return {blame, cause, kind: 'unsent'};
  }

  private classifyResponse(response: UpstreamResponse): ExchangeOutcome {
    const {headerNames, requestId} = this.params;
    const {headers, statusCode: status} = response;
    if (!response.hasValidStatusLine) {
      return this.discardInvalidResponse('invalid-status-line');
    }
    if (!isFinalStatus(status)) {
      return this.discardInvalidResponse('no-final-answer');
    }
    if (!isKnownTransferCoding(headers['transfer-encoding'])) {
      return this.discardInvalidResponse('unknown-transfer-coding');
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
      response.limitBody(ERROR_BODY_LIMIT, () => this.abort('slow-rejection'));
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
