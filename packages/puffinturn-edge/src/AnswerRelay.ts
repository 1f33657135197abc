/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Passes an upstream's answer on to the caller. Short answers are checked whole
 * first; streams pass event by event and may go on with another upstream's
 * answer under the head of the first.
 */
import type {IncomingMessage} from 'node:http';

import type {CallerRequest} from './CallerRequest';
import {passesOn} from './CallerRequest';
import {WHOLE_ANSWER_BYTES} from './EdgeConstants';
import {EventCutter} from './EventStream';
import type {Exchange} from './Exchange';

/** How passing an answer on has ended. */
export const RELAY = {
  /** The upstream broke off; nothing that looks complete was sent. */
  broken: 'broken',
  /** The request had ended by other means. */
  stopped: 'stopped',
  /** The whole answer was passed on. */
  whole: 'whole',
} as const;

/** One of RELAY. */
export type RelayEnd = (typeof RELAY)[keyof typeof RELAY];

/** See the module comment. */
export abstract class AnswerRelay {
  /** Events passed on so far. */
  events = 0;
  /** Whether the head of an answer was passed on. */
  begun = false;
  protected stopped = false;

  constructor(
    protected readonly caller: CallerRequest,
    protected readonly onFirstByte: () => void,
  ) {}

  /** The event after which another upstream may go on. */
  get lastEventId(): string | undefined {
    return undefined;
  }

  /** Passes one answer on; one to be retried is read and dropped. */
  abstract pass(
    answer: IncomingMessage,
    exchange: Exchange,
    drop: boolean,
  ): Promise<RelayEnd>;

  /** Ends passing on, since the request has ended. */
  stop(): void {
    this.stopped = true;
  }

  protected head(answer: IncomingMessage, length?: number): void {
    const {rawHeaders, headers} = answer;
    const kept: string[] = [];
    for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
      const name = rawHeaders[at] ?? '';
      const isLength = name.toLowerCase() === 'content-length';
      if (!isLength && passesOn(name, headers.connection)) {
        kept.push(name, rawHeaders[at + 1] ?? '');
      }
    }
    if (length !== undefined) {
      kept.push('Content-Length', String(length));
    }
    if (this.caller.closing) {
      kept.push('Connection', 'close');
    }
    this.begun = true;
    this.onFirstByte();
    this.caller.response.writeHead(answer.statusCode ?? 502, kept as never);
  }
}

/** Checks an answer whole; a long one is passed on as it comes. */
export class WholeRelay extends AnswerRelay {
  override async pass(
    answer: IncomingMessage,
    exchange: Exchange,
    drop: boolean,
  ): Promise<RelayEnd> {
    const chunks: Buffer[] = [];
    let length = 0;
    let flowing = false;
    const {response} = this.caller;
    try {
      for await (const chunk of answer) {
        length += (chunk as Buffer).length;
        if (flowing) {
          if (!response.write(chunk)) {
            await drained(this.caller);
          }
          continue;
        }
        chunks.push(chunk as Buffer);
        if (length > WHOLE_ANSWER_BYTES && !drop && !this.stopped) {
          flowing = true;
          this.head(answer);
          response.write(Buffer.concat(chunks));
        }
      }
    } catch {
      return this.stopped ? RELAY.stopped : RELAY.broken;
    }
    if (this.stopped) {
      return RELAY.stopped;
    }
    if (!answer.complete || exchange.broken || drop) {
      return RELAY.broken;
    }
    if (flowing) {
      response.end();
    } else {
      this.head(answer, length);
      response.end(Buffer.concat(chunks));
    }
    return RELAY.whole;
  }
}

/** Passes whole events on as they come. */
export class StreamRelay extends AnswerRelay {
  private readonly cutter = new EventCutter();
  private headSent = false;

  override get lastEventId(): string | undefined {
    return this.headSent ? this.cutter.lastId : undefined;
  }

  override pass(
    answer: IncomingMessage,
    exchange: Exchange,
  ): Promise<RelayEnd> {
    // Half an event of a former upstream is not for this one to complete.
    this.cutter.takeRest();
    const isStream =
      answer.statusCode === 200 &&
      answer.headers['content-type']?.startsWith('text/event-stream') === true;
    if (!isStream) {
      answer.resume();
      return Promise.resolve(RELAY.broken);
    }
    return new Promise((resolve) => {
      answer.on('data', (chunk: Buffer) => this.take(answer, chunk));
      answer.on('end', () => resolve(this.finish(answer, exchange)));
      answer.on('close', () =>
        resolve(this.stopped ? RELAY.stopped : RELAY.broken),
      );
    });
  }

  private take(answer: IncomingMessage, chunk: Buffer): void {
    if (this.stopped) {
      return;
    }
    const {bytes, events} = this.cutter.push(chunk);
    if (bytes.length === 0) {
      return;
    }
    this.events += events;
    this.sendHead(answer);
    const {response} = this.caller;
    if (!response.write(bytes)) {
      answer.pause();
      response.once('drain', () => answer.resume());
    }
  }

  private finish(answer: IncomingMessage, exchange: Exchange): RelayEnd {
    if (this.stopped) {
      return RELAY.stopped;
    }
    if (!answer.complete || exchange.broken) {
      return RELAY.broken;
    }
    this.sendHead(answer);
    this.caller.response.end(this.cutter.takeRest());
    return RELAY.whole;
  }

  private sendHead(answer: IncomingMessage): void {
    if (!this.headSent) {
      this.headSent = true;
      this.head(answer);
    }
  }
}

function drained({response}: CallerRequest): Promise<void> {
  return new Promise((resolve) => {
    const done = (): void => {
      response.off('drain', done);
      response.off('close', done);
      resolve();
    };
    response.once('drain', done);
    response.once('close', done);
  });
}
