/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Parses HTTP responses with Node's internal parser. Using it without Node's HTTP
 * client avoids the CPU cost of the client's streams and agents.
 */
// An internal, undocumented module of Node.
// @ts-expect-error no types exist
import {HTTPParser} from 'node:_http_common';

import {isField, isReasonPhrase} from 'shared';

import type {PartAfterHead} from './ResponseLines';
import {RESPONSE_PART, ResponseLines} from './ResponseLines';

/** Status and headers of a response. */
export interface ResponseHead {
  readonly statusCode: number;
  /** Whether its status line is one of HTTP/1 (RFC 9112, section 4). */
  readonly hasValidStatusLine: boolean;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
  /** Whether the connection can be reused after this response. */
  readonly keepAlive: boolean;
}

/** Parser callbacks, in the order of the bytes. */
export interface ResponseEvents {
  /** Called at the first byte of a response. */
  onMessageBegin(): void;
  /** Called for the head of a response. Returns true if no body follows. */
  onHeaders(head: ResponseHead): boolean;
  /** Called for each part of the body. The chunk is a copy that the callee may keep. */
  onBody(chunk: Buffer): void;
  /** Called when the response is complete. */
  onMessageComplete(): void;
}

/** The members of Node's parser that are used here. */
interface NodeParser {
  [callback: number]: unknown;
  initialize(kind: number, resource: object): void;
  execute(bytes: Buffer): number | Error;
  finish(): Error | undefined;
  close(): void;
}

/** The only 1xx status that is final: the connection changes to another protocol. */
const SWITCHING_PROTOCOLS = 101;

/** Whether a final response follows this one (RFC 9110, section 15.2). */
function isInterim(statusCode: number): boolean {
  return (
    statusCode >= 100 && statusCode < 200 && statusCode !== SWITCHING_PROTOCOLS
  );
}

/** Major version of the protocol on these connections. */
const HTTP_MAJOR_VERSION = 1;

/** First byte of a status line; the parser also accepts empty lines and other protocols. */
const FIRST_BYTE = 'H'.charCodeAt(0);

/** Interim responses before one final response; more are no sign of progress. */
const MAX_INTERIM_RESPONSES = 16;

/** Only the chunked coding is passed on; others are refused with their head. */
const TRANSFER_ENCODING = 'transfer-encoding';

/** Return values of kOnHeadersComplete: whether the parser skips the body. */
const SKIP_BODY = 1;
const READ_BODY = 0;

/** Parses the responses on one connection. Disposing it frees the native parser. */
export class ResponseParser implements Disposable {
  private readonly parser: NodeParser = new HTTPParser();
  private readonly lines = new ResponseLines();
  private headers: string[] = [];
  private isInterimResponse = false;
  /** Interim responses since the last final one. */
  private interimCount = 0;
  private hasInvalidFields = false;
  private isClosed = false;
  /** Whether no byte has come yet, or none after the last final response. */
  private isAtStart = true;

  constructor(private readonly handler: ResponseEvents) {
    const {parser} = this;
    parser.initialize(HTTPParser.RESPONSE, {});
    parser[HTTPParser.kOnMessageBegin] = () => handler.onMessageBegin();
    parser[HTTPParser.kOnHeaders] = (headers: string[]) =>
      this.addHeaders(headers);
    parser[HTTPParser.kOnHeadersComplete] = (
      majorVersion: number,
      _minor: number,
      headers: string[] | undefined,
      _method: undefined,
      _url: undefined,
      statusCode: number,
      reasonPhrase: string,
      _upgrade: boolean,
      keepAlive: boolean,
    ) =>
      this.handleHeaders(headers, {
        hasValidStatusLine:
          majorVersion === HTTP_MAJOR_VERSION && isReasonPhrase(reasonPhrase),
        keepAlive,
        statusCode,
      });
    parser[HTTPParser.kOnBody] = (chunk: Buffer) => handler.onBody(chunk);
    parser[HTTPParser.kOnMessageComplete] = () => this.handleMessageComplete();
  }

  /** Whether only interim responses have come since the last final one. */
  get isAwaitingFinal(): boolean {
    return this.interimCount > 0;
  }

  /** Whether more interim responses came than a final one may have before it. */
  get hasTooManyInterim(): boolean {
    return this.interimCount > MAX_INTERIM_RESPONSES;
  }

  /**
   * Parses bytes; false if they are not valid HTTP, or too many interim responses. The
   * parser of some versions of Node takes malformed field names and ends of lines, so both
   * are checked here. It gets no byte from the first that makes a line malformed.
   */
  parse(bytes: Buffer): boolean {
    if (this.isAtStart && bytes[0] !== FIRST_BYTE) {
      return false;
    }
    this.isAtStart = false;
    let start = 0;
    while (start < bytes.length) {
      const end = this.lines.follow(bytes, start);
      if (end > start && !this.execute(bytes.subarray(start, end))) {
        return false;
      }
      if (this.lines.isMalformed) {
        return false;
      }
      start = end;
    }
    return true;
  }

  /** Signals the end of input, which completes a response without a length. */
  finish(): boolean {
    return this.parser.finish() === undefined;
  }

  [Symbol.dispose](): void {
    if (!this.isClosed) {
      this.isClosed = true;
      // Deferred, as this may run in a callback of the parser.
      setImmediate(() => this.parser.close());
    }
  }

  /** Parses bytes whose lines are sound; false if the responses in them are not. */
  private execute(bytes: Buffer): boolean {
    if (typeof this.parser.execute(bytes) !== 'number') {
      return false;
    }
    // Otherwise the parser found no end of the head where its lines have one.
    const hasReadHead = !this.lines.isAtHeadEnd;
    return hasReadHead && !this.hasInvalidFields && !this.hasTooManyInterim;
  }

  /** Called for headers beyond the first 32, and for trailers. */
  private addHeaders(headers: string[]): void {
    this.headers.push(...headers);
    this.hasInvalidFields ||= !areFields(headers);
  }

  private handleHeaders(
    headers: string[] | undefined,
    head: Omit<ResponseHead, 'rawHeaders'>,
  ): number {
    const rawHeaders = headers ?? this.headers;
    this.headers = [];
    this.hasInvalidFields ||= !areFields(rawHeaders);
    if (this.hasInvalidFields) {
      return SKIP_BODY;
    }
    const hasBody = this.handleHead({...head, rawHeaders});
    this.lines.continueAfterHead(
      hasBody ? bodyPartOf(rawHeaders) : RESPONSE_PART.head,
    );
    return hasBody ? READ_BODY : SKIP_BODY;
  }

  /** Passes the head of a final response on. Returns whether a body may follow. */
  private handleHead(head: ResponseHead): boolean {
    this.isInterimResponse = isInterim(head.statusCode);
    if (this.isInterimResponse) {
      this.interimCount += 1;
      return false;
    }
    this.interimCount = 0;
    return !this.handler.onHeaders(head);
  }

  private handleMessageComplete(): void {
    this.headers = [];
    this.lines.endPlainBody();
    if (!this.isInterimResponse && !this.hasInvalidFields) {
      this.isAtStart = true;
      this.handler.onMessageComplete();
    }
  }
}

/** The part that a body begins with; a length doesn't count beside a transfer coding. */
function bodyPartOf(rawHeaders: readonly string[]): PartAfterHead {
  const isChunked = rawHeaders.some(
    (name, index) =>
      index % 2 === 0 &&
      name.length === TRANSFER_ENCODING.length &&
      name.toLowerCase() === TRANSFER_ENCODING,
  );
  return isChunked ? RESPONSE_PART.chunkSize : RESPONSE_PART.plainBody;
}

/** Whether alternating names and values are all well-formed. */
function areFields(fields: readonly string[]): boolean {
  return fields.every(
    (name, index) => index % 2 === 1 || isField(name, fields[index + 1] ?? ''),
  );
}
