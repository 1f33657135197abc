/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * One connection to an upstream, for one request at a time. Bytes that come while
 * no request is open, or after a whole answer, belong to nobody: they end it.
 */
import type {Socket} from 'node:net';
import {connect} from 'node:net';

import type {AnswerEvents, AnswerHead} from './AnswerParser';
import {AnswerParser} from './AnswerParser';
import type {AnswerSource} from './UpstreamAnswer';
import {UpstreamAnswer} from './UpstreamAnswer';
import type {UpstreamConnection} from './UpstreamConnection';
import {connectionOf} from './UpstreamConnection';

/** What is sent in one go. */
export interface OutgoingRequest {
  readonly method: string;
  /** Request line and headers with the empty line behind them. */
  readonly head: string;
  readonly body: Buffer;
}

/** Whoever has sent a request on a connection. */
export interface ConnectionUser {
  /** The connection is up: from now on the request may arrive. */
  connected(): void;
  /** The head of an answer has come. */
  answered(answer: UpstreamAnswer): void;
  /** The connection has ended before any head. */
  failed(cause: string): void;
}

/** Whoever keeps a connection between requests. */
export interface ConnectionKeeper {
  /**
   * Takes a connection back; `idleMs` is how long the upstream says that it keeps
   * it open, undefined where it does not say. False where it is not wanted.
   */
  takeBack(connection: HttpConnection, idleMs: number | undefined): boolean;
  /** The connection has ended. */
  forget(connection: HttpConnection): void;
}

/** Bytes that are read at a time from any connection. */
const READ_BYTES = 64 * 1024;

/**
 * What was read last, for all connections: each read is parsed before the next
 * one, and the parser copies what it hands on. Saves an allocation a read.
 */
const readBuffer = Buffer.allocUnsafeSlow(READ_BYTES);

/** See the module comment. Disposing it ends it at once. */
export class HttpConnection implements AnswerEvents, AnswerSource, Disposable {
  readonly socket: Socket;
  private readonly state: UpstreamConnection;
  private readonly parser = new AnswerParser(this);
  private user: ConnectionUser | undefined;
  private method = '';
  private answer: UpstreamAnswer | undefined;
  private idleMs: number | undefined;
  /** Whether the open answer is whole. */
  private complete = false;
  /** Whether it may serve no request after this one. */
  private last = false;
  private isUp = false;
  private cause = 'closed';

  constructor(
    host: string,
    port: number,
    private readonly keeper: ConnectionKeeper,
  ) {
    this.socket = connect({
      host,
      keepAlive: true,
      noDelay: true,
      onread: {
        buffer: readBuffer,
        callback: (length) => {
          this.read(readBuffer.subarray(0, length));
          return true;
        },
      },
      port,
    });
    this.state = connectionOf(this.socket);
    this.socket.on('connect', () => this.cameUp());
    this.socket.on('error', (error: NodeJS.ErrnoException) => {
      this.cause = error.code ?? error.message;
    });
    this.socket.on('end', () => this.endRead());
    this.socket.on('close', () => this.closed());
  }

  /** Whether a request may be sent. */
  get usable(): boolean {
    return !this.last && !this.socket.destroyed;
  }

  /** Sends a request; the connection is its user's until the answer is whole. */
  send({body, head, method}: OutgoingRequest, user: ConnectionUser): void {
    this.user = user;
    this.method = method;
    this.complete = false;
    if (this.isUp) {
      user.connected();
    }
    const {socket} = this;
    if (body.length === 0) {
      socket.write(head, 'latin1');
      return;
    }
    socket.cork();
    socket.write(head, 'latin1');
    socket.write(body);
    socket.uncork();
  }

  pause(): void {
    this.socket.pause();
  }

  resume(): void {
    this.socket.resume();
  }

  [Symbol.dispose](): void {
    this.last = true;
    this.socket.destroy();
  }

  begun(): void {
    this.last ||= this.user === undefined || this.complete;
  }

  headRead(head: AnswerHead): boolean {
    if (this.user === undefined || this.complete) {
      return false;
    }
    this.answer = new UpstreamAnswer(head, this);
    this.last ||= !head.keepAlive;
    this.idleMs = idleTimeOf(this.answer);
    this.user.answered(this.answer);
    return this.method === 'HEAD';
  }

  bodyRead(chunk: Buffer): void {
    if (!this.complete) {
      this.answer?.push(chunk);
    }
  }

  completed(): void {
    if (this.answer !== undefined && !this.complete) {
      this.complete = true;
      this.answer.end(!this.state.harmed);
    }
  }

  private cameUp(): void {
    this.isUp = true;
    this.user?.connected();
  }

  private read(bytes: Buffer): void {
    const {socket} = this;
    if (this.user === undefined) {
      socket.destroy();
      return;
    }
    if (!this.parser.read(bytes)) {
      this.last = true;
      this.cause = 'not-http';
      if (!this.complete) {
        socket.destroy();
      }
    }
    if (this.complete) {
      this.release();
    }
  }

  /** The upstream sends no more: an answer without a length is whole now. */
  private endRead(): void {
    this.last = true;
    if (this.user !== undefined) {
      this.parser.end();
    }
  }

  /** The answer is whole: hands the connection back where it is as it was. */
  private release(): void {
    const {idleMs, socket} = this;
    this.user = undefined;
    this.answer = undefined;
    // A request that is not all sent yet goes out before the connection ends.
    const isSent = socket.writableLength === 0;
    // The reader of the answer may have held it back.
    if (socket.isPaused()) {
      socket.resume();
    }
    if (!this.usable || !isSent || !this.keeper.takeBack(this, idleMs)) {
      this.last = true;
      socket.destroySoon();
    }
  }

  private closed(): void {
    const {answer, cause, user} = this;
    this.user = undefined;
    this.answer = undefined;
    this.keeper.forget(this);
    this.parser[Symbol.dispose]();
    if (answer === undefined) {
      user?.failed(cause);
    } else {
      answer.end(false);
    }
  }
}

/** The time in `Keep-Alive`, ms. */
function idleTimeOf({headers}: UpstreamAnswer): number | undefined {
  const seconds = /(?:^|[\s,;])timeout=(\d+)/i.exec(
    headers['keep-alive'] ?? '',
  )?.[1];
  return seconds === undefined ? undefined : Number(seconds) * 1_000;
}
