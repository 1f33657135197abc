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
import type {HeaderNames} from '../callers/CallerDialect';
import {requestHead} from '../callers/RequestHead';
import {CONNECT_MS, MISDIRECTED, REJECTION_BODY_MS} from '../EdgeConstants';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {ConnectionUser, HttpConnection} from './HttpConnection';
import type {UpstreamAnswer} from './UpstreamAnswer';

/** The head of the upstream's own answer is there. */
export interface AnswerOutcome {
  readonly kind: 'answer';
  readonly answer: UpstreamAnswer;
}

/** How an attempt went. */
export type ExchangeOutcome =
  | AnswerOutcome
  /** The upstream said that it did not run the request. */
  | {readonly kind: 'rejected'; readonly answer: UpstreamAnswer}
  /** No connection came up: nothing was sent. */
  | {readonly kind: 'unsent'; readonly cause: string}
  /** Sent, and nothing usable came back: the request may have run. */
  | {readonly kind: 'broken'; readonly cause: string};

/** A header can't be sent on to any upstream: the fault is the request's. */
export const INVALID_HEADER = 'invalid-header';

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
export class Exchange implements ConnectionUser {
  /** Resolves once it is known how the attempt went. */
  readonly outcome: Promise<ExchangeOutcome>;
  private connection: HttpConnection | undefined;
  private isConnected = false;
  private aborted: string | undefined;
  private answer: UpstreamAnswer | undefined;
  private timer: NodeJS.Timeout | undefined;
  private resolve!: (outcome: ExchangeOutcome) => void;

  constructor(private readonly parts: ExchangeParts) {
    const {body, headers, method, path, upstream} = parts;
    this.outcome = new Promise((resolve) => (this.resolve = resolve));
    const head = requestHead(method, path, headers);
    if (head === undefined) {
      this.resolve({cause: INVALID_HEADER, kind: 'broken'});
      return;
    }
    this.connection = upstream.connections.take();
    this.connection.send({body, head, method}, this);
    if (!this.isConnected) {
      this.timer = setTimeout(() => this.abort('connect-timeout'), CONNECT_MS);
    }
  }

  /** Ends the attempt, and its connection unless the answer is whole. */
  abort(cause: string): void {
    this.aborted = cause;
    if (this.answer?.ended !== true) {
      this.connection?.[Symbol.dispose]();
    }
  }

  connected(): void {
    this.isConnected = true;
    clearTimeout(this.timer);
  }

  answered(answer: UpstreamAnswer): void {
    this.answer = answer;
    this.resolve(this.judge(answer));
  }

  failed(cause: string): void {
    clearTimeout(this.timer);
    this.resolve({
      cause: this.aborted ?? cause,
      kind: this.isConnected ? 'broken' : 'unsent',
    });
  }

  private judge(answer: UpstreamAnswer): ExchangeOutcome {
    const {names, requestId} = this.parts;
    const {headers, statusCode: status} = answer;
    if (status < 200) {
      return this.spoiled('no-final-answer');
    }
    const id = headers[names.requestId];
    if (id !== undefined && id !== requestId) {
      return this.spoiled('answer-of-another-request');
    }
    if (headers[names.notRun] !== undefined || status === MISDIRECTED) {
      answer.drop();
      setTimeout(() => this.abort('slow-rejection'), REJECTION_BODY_MS).unref();
      return {answer, kind: 'rejected'};
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
    return {answer, kind: 'answer'};
  }

  private spoiled(cause: string): ExchangeOutcome {
    this.connection?.[Symbol.dispose]();
    return {cause, kind: 'broken'};
  }
}
