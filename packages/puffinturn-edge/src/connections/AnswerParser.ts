/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Reads the answers on one connection, with the parser that Node's own HTTP
 * client uses. Taken without that client, whose streams and agents cost several
 * times what the reading costs.
 */
// Node exports its parser here for its own modules and documents it nowhere.
// @ts-expect-error no types exist
import {HTTPParser} from 'node:_http_common';

/** The status line and headers of an answer. */
export interface AnswerHead {
  readonly statusCode: number;
  /** Names and values in turn, as they came. */
  readonly rawHeaders: readonly string[];
  /** Whether the connection may serve another request after this answer. */
  readonly keepAlive: boolean;
}

/** What is told of the bytes that are read, in their order. */
export interface AnswerEvents {
  /** The first byte of an answer. */
  begun(): void;
  /** True for an answer that has no body whatever its headers say. */
  headRead(head: AnswerHead): boolean;
  /** A part of the body, which nobody else writes to. */
  bodyRead(chunk: Buffer): void;
  /** The answer is whole. */
  completed(): void;
}

/** Node's parser, as far as it is used here. */
interface NodeParser {
  [callback: number]: unknown;
  initialize(kind: number, resource: object): void;
  execute(bytes: Buffer): number | Error;
  finish(): Error | undefined;
  close(): void;
}

/** The connection goes on with another protocol: no other answer follows. */
const SWITCHING_PROTOCOLS = 101;

/** Whether an answer is followed by the one that counts. */
function isInterim(statusCode: number): boolean {
  return statusCode < 200 && statusCode !== SWITCHING_PROTOCOLS;
}

/** What Node's parser takes for "this answer has no body". */
const SKIP_BODY = 1;
const READ_BODY = 0;

/** See the module comment. Disposing it gives the parser's memory back. */
export class AnswerParser implements Disposable {
  private readonly parser: NodeParser = new HTTPParser();
  private headers: string[] = [];
  private interim = false;
  private closed = false;

  constructor(private readonly events: AnswerEvents) {
    const {parser} = this;
    parser.initialize(HTTPParser.RESPONSE, {});
    parser[HTTPParser.kOnMessageBegin] = () => events.begun();
    parser[HTTPParser.kOnHeaders] = (headers: string[]) =>
      this.addHeaders(headers);
    parser[HTTPParser.kOnHeadersComplete] = (
      _major: number,
      _minor: number,
      headers: string[] | undefined,
      _method: undefined,
      _url: undefined,
      statusCode: number,
      _message: string,
      _upgrade: boolean,
      keepAlive: boolean,
    ) => this.headRead(headers, statusCode, keepAlive);
    parser[HTTPParser.kOnBody] = (chunk: Buffer) => events.bodyRead(chunk);
    parser[HTTPParser.kOnMessageComplete] = () => this.completed();
  }

  /** Reads bytes; false where they are not HTTP. */
  read(bytes: Buffer): boolean {
    return typeof this.parser.execute(bytes) === 'number';
  }

  /** No more bytes come, which completes an answer without a length. */
  end(): boolean {
    return this.parser.finish() === undefined;
  }

  [Symbol.dispose](): void {
    if (!this.closed) {
      this.closed = true;
      // Not at once: it may be the parser that calls.
      setImmediate(() => this.parser.close());
    }
  }

  /** Headers beyond the first 32, and trailers. */
  private addHeaders(headers: string[]): void {
    this.headers.push(...headers);
  }

  private headRead(
    headers: string[] | undefined,
    statusCode: number,
    keepAlive: boolean,
  ): number {
    const rawHeaders = headers ?? this.headers;
    this.headers = [];
    this.interim = isInterim(statusCode);
    if (this.interim) {
      return SKIP_BODY;
    }
    const hasNoBody = this.events.headRead({keepAlive, rawHeaders, statusCode});
    return hasNoBody ? SKIP_BODY : READ_BODY;
  }

  private completed(): void {
    this.headers = [];
    if (!this.interim) {
      this.events.completed();
    }
  }
}
