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
import {EventCutter} from '../connections/EventStream';
import type {UpstreamAnswer} from '../connections/UpstreamAnswer';
import {WHOLE_ANSWER_BYTES} from '../EdgeConstants';
import {CallerBody} from './CallerBody';
import type {CallerRequest} from './CallerRequest';
import {joined, passesOn} from './CallerRequest';

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
  protected readonly body: CallerBody;

  constructor(
    protected readonly caller: CallerRequest,
    private readonly onFirstByte: () => void,
  ) {
    this.body = new CallerBody(caller.response);
  }

  /** The event after which another upstream may go on. */
  get lastEventId(): string | undefined {
    return undefined;
  }

  /** Passes one answer on; one to be retried is read and dropped. */
  abstract pass(answer: UpstreamAnswer, drop: boolean): Promise<RelayEnd>;

  /** Ends passing on, since the request has ended. */
  stop(): void {
    this.stopped = true;
  }

  protected head(answer: UpstreamAnswer, length?: number): void {
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
    this.body.begin(answer.statusCode, kept);
  }
}

/** Checks an answer whole; a long one is passed on as it comes. */
export class WholeRelay extends AnswerRelay {
  override pass(answer: UpstreamAnswer, drop: boolean): Promise<RelayEnd> {
    return new Promise((resolve) => {
      const reader = new WholeReader(answer, this.body, (length) =>
        this.head(answer, length),
      );
      answer.read({
        ended: (whole) => {
          if (this.stopped) {
            resolve(RELAY.stopped);
          } else if (!whole || drop) {
            resolve(RELAY.broken);
          } else {
            reader.finish();
            resolve(RELAY.whole);
          }
        },
        take: (chunk) => reader.take(chunk, !drop && !this.stopped),
      });
    });
  }
}

/** The body of one answer: kept until it is whole or too long for that. */
class WholeReader {
  private chunks: Buffer[] = [];
  private length = 0;
  private flowing = false;

  constructor(
    private readonly answer: UpstreamAnswer,
    private readonly body: CallerBody,
    private readonly sendHead: (length?: number) => void,
  ) {}

  take(chunk: Buffer, mayFlow: boolean): void {
    if (this.flowing) {
      this.body.write(chunk, this.answer);
      return;
    }
    this.length += chunk.length;
    this.chunks.push(chunk);
    if (this.length > WHOLE_ANSWER_BYTES && mayFlow) {
      this.flowing = true;
      this.sendHead();
      this.body.write(Buffer.concat(this.chunks), this.answer);
      this.chunks = [];
    }
  }

  finish(): void {
    if (!this.flowing) {
      this.sendHead(this.length);
    }
    this.body.end(joined(this.chunks));
  }
}

/** Passes whole events on as they come. */
export class StreamRelay extends AnswerRelay {
  private readonly cutter = new EventCutter();
  private headSent = false;

  override get lastEventId(): string | undefined {
    return this.headSent ? this.cutter.lastId : undefined;
  }

  override pass(answer: UpstreamAnswer): Promise<RelayEnd> {
    // Half an event of a former upstream is not for this one to complete.
    this.cutter.takeRest();
    const isStream =
      answer.statusCode === 200 &&
      answer.headers['content-type']?.startsWith('text/event-stream') === true;
    if (!isStream) {
      answer.drop();
      return Promise.resolve(RELAY.broken);
    }
    return new Promise((resolve) => {
      answer.read({
        ended: (whole) => resolve(this.finish(answer, whole)),
        take: (chunk) => this.take(answer, chunk),
      });
    });
  }

  private take(answer: UpstreamAnswer, chunk: Buffer): void {
    if (this.stopped) {
      return;
    }
    const {bytes, events} = this.cutter.push(chunk);
    if (bytes.length === 0) {
      return;
    }
    this.events += events;
    this.sendHead(answer);
    this.body.write(bytes, answer);
  }

  private finish(answer: UpstreamAnswer, whole: boolean): RelayEnd {
    if (this.stopped) {
      return RELAY.stopped;
    }
    if (!whole) {
      return RELAY.broken;
    }
    this.sendHead(answer);
    this.body.end(this.cutter.takeRest());
    return RELAY.whole;
  }

  private sendHead(answer: UpstreamAnswer): void {
    if (!this.headSent) {
      this.headSent = true;
      this.head(answer);
    }
  }
}
