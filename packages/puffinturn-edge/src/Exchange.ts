/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * One attempt at one upstream, up to the head of its answer. What can't be the
 * upstream's answer to this very request is never passed on.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';
import {request as sendRequest} from 'node:http';
import type {Socket} from 'node:net';

import type {HeaderNames} from './CallerDialect';
import {CONNECT_MS} from './EdgeConstants';
import type {EdgeUpstream} from './EdgeUpstream';
import type {UpstreamConnection} from './UpstreamConnection';
import {connectionOf} from './UpstreamConnection';

/** The head of the upstream's own answer is there. */
export interface AnswerOutcome {
  readonly kind: 'answer';
  readonly answer: IncomingMessage;
  readonly exchange: Exchange;
}

/** How an attempt went. */
export type ExchangeOutcome =
  | AnswerOutcome
  /** The upstream said that it did not run the request. */
  | {readonly kind: 'rejected'; readonly status: number}
  /** No connection came up: nothing was sent. */
  | {readonly kind: 'unsent'; readonly cause: string}
  /** Sent, and nothing usable came back: the request may have run. */
  | {readonly kind: 'broken'; readonly cause: string};

/** What is sent. */
export interface ExchangeParts {
  readonly upstream: EdgeUpstream;
  readonly names: HeaderNames;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** See the module comment. */
export class Exchange {
  /** Resolves once it is known how the attempt went. */
  readonly outcome: Promise<ExchangeOutcome>;
  private readonly request: ClientRequest;
  private connected = false;
  private aborted: string | undefined;
  private harmed = false;
  private connection: UpstreamConnection | undefined;

  constructor(private readonly parts: ExchangeParts) {
    const {body, headers, method, path, upstream} = parts;
    this.request = sendRequest({
      agent: upstream.agent,
      // Node takes a flat list of names and values; its types know only maps.
      headers: headers as never,
      host: upstream.host,
      method,
      path,
      port: upstream.port,
      setHost: false,
    });
    this.outcome = new Promise((resolve) => this.follow(resolve));
    this.request.end(body);
  }

  /**
   * Whether the connection failed after the head. An answer without a length
   * then looks whole to the parser, and is not.
   */
  get broken(): boolean {
    return this.harmed || this.connection?.harmed === true;
  }

  /** Ends the attempt and its connection. */
  abort(cause: string): void {
    this.aborted = cause;
    this.request.destroy();
  }

  private follow(resolve: (outcome: ExchangeOutcome) => void): void {
    const timer = setTimeout(() => {
      if (!this.connected) {
        this.abort('connect-timeout');
      }
    }, CONNECT_MS);
    this.request.on('socket', (socket: Socket) => {
      if (this.request.reusedSocket || !socket.connecting) {
        this.connected = true;
      } else {
        socket.once('connect', () => (this.connected = true));
      }
    });
    this.request.on('error', (error: NodeJS.ErrnoException) => {
      clearTimeout(timer);
      this.harmed = true;
      const cause = this.aborted ?? error.code ?? error.message;
      resolve({cause, kind: this.connected ? 'broken' : 'unsent'});
    });
    this.request.on('response', (answer) => {
      clearTimeout(timer);
      // A break after the head shows on the answer itself.
      answer.on('error', () => (this.harmed = true));
      this.connection = connectionOf(answer.socket);
      resolve(this.judge(answer));
    });
    this.request.on('close', () => {
      clearTimeout(timer);
      const cause = this.aborted ?? 'closed';
      resolve({cause, kind: this.connected ? 'broken' : 'unsent'});
    });
  }

  private judge(answer: IncomingMessage): ExchangeOutcome {
    const {names, requestId} = this.parts;
    const {headers, statusCode: status = 0} = answer;
    const id = headers[names.requestId];
    if (id !== undefined && id !== requestId) {
      return this.spoiled('answer-of-another-request');
    }
    if (headers[names.notRun] !== undefined || status === 421) {
      answer.resume();
      return {kind: 'rejected', status};
    }
    if (headers['content-encoding'] !== undefined) {
      return this.spoiled('encoded-answer');
    }
    const success = status >= 200 && status < 300;
    if (success && headers[names.seal] === undefined) {
      return this.spoiled('no-seal');
    }
    if (success && id === undefined) {
      return this.spoiled('no-id');
    }
    return {answer, exchange: this, kind: 'answer'};
  }

  private spoiled(cause: string): ExchangeOutcome {
    this.request.destroy();
    return {cause, kind: 'broken'};
  }
}
