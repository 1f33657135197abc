/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** One request of a caller: its facts, and the one answer that it gets. */
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Failure} from 'shared';

import type {HeaderNames} from './CallerDialect';
import {eventLoopTurns} from './EventLoopTurns';

/** The body could not be read. */
export type BodyFailure = Failure<'body-broken'> | Failure<'body-too-large'>;

/**
 * Turns of the event loop after which the end of a connection that came together
 * with a request is known: one turn makes one read of a connection, and the first
 * of these is the turn that read the request.
 */
const TURNS_TO_END = 2;

/** Headers that concern one connection only, in lower case. */
const HOP_HEADERS: ReadonlySet<string> = new Set([
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

/** True for a header that is passed on. */
export function passesOn(
  name: string,
  connectionHeader: string | undefined,
): boolean {
  const lower = name.toLowerCase();
  if (HOP_HEADERS.has(lower)) {
    return false;
  }
  return (
    connectionHeader === undefined ||
    !connectionHeader
      .toLowerCase()
      .split(',')
      .some((token) => token.trim() === lower)
  );
}

const NO_BODY = Buffer.alloc(0);

/** See the module comment. */
export class CallerRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query as they came. */
  readonly path: string;
  /** Whether the connection ends with this answer. */
  closing = false;

  constructor(
    readonly incoming: IncomingMessage,
    readonly response: ServerResponse,
    private readonly names: HeaderNames,
    /** When it presumably came, monotonic ms; a busy edge reads it later. */
    readonly startedAt: number,
  ) {
    this.method = incoming.method ?? 'GET';
    this.path = incoming.url ?? '/';
    this.id = this.header(names.requestId) ?? '';
  }

  /** The value of a header, by its name in lower case. */
  header(name: string): string | undefined {
    const value = this.incoming.headers[name];
    return Array.isArray(value) ? value[0] : value;
  }

  /** How long the caller waits, ms; undefined where it does not say. */
  get deadlineMs(): number | undefined {
    const value = Number(this.header(this.names.deadline));
    return Number.isFinite(value) && value > 0 ? value : undefined;
  }

  /** True once the caller has gone without its whole answer. */
  get abandoned(): boolean {
    return this.response.destroyed && !this.response.writableFinished;
  }

  /**
   * Whether the caller still waits, judged once all that it sent together with
   * its request has been read. A busy edge finds a request and its caller's close
   * at once; what is sent on then is work for nobody.
   */
  async stays(): Promise<boolean> {
    await eventLoopTurns(TURNS_TO_END);
    return !this.abandoned && !this.incoming.socket.readableEnded;
  }

  /** Reads the whole body. */
  async readBody(maxBytes: number): Promise<Result<Buffer, BodyFailure>> {
    const {headers} = this.incoming;
    const stated = Number(headers['content-length'] ?? 0);
    if (stated > maxBytes) {
      return err(tooLarge(maxBytes));
    }
    const hasBody = stated > 0 || headers['transfer-encoding'] !== undefined;
    return hasBody ? this.collectBody(maxBytes) : ok(NO_BODY);
  }

  // By handlers, as an iterator over a stream costs more than the whole body.
  private collectBody(maxBytes: number): Promise<Result<Buffer, BodyFailure>> {
    const {incoming} = this;
    const chunks: Buffer[] = [];
    let length = 0;
    return new Promise((resolve) => {
      incoming.on('data', (chunk: Buffer) => {
        length += chunk.length;
        if (length > maxBytes) {
          resolve(err(tooLarge(maxBytes)));
        } else {
          chunks.push(chunk);
        }
      });
      incoming.once('end', () => resolve(ok(joined(chunks))));
      incoming.once('close', () =>
        resolve(err({kind: 'body-broken', message: 'the body broke off'})),
      );
    });
  }

  /** Answers with a failure of the edge's own. */
  refuse(status: number, cause: string, retryAfterS?: number): void {
    const {response} = this;
    if (response.headersSent || response.destroyed) {
      response.destroy();
      return;
    }
    const body = JSON.stringify({error: cause});
    response.statusCode = status;
    response.setHeader('Content-Type', 'application/json');
    response.setHeader('Content-Length', Buffer.byteLength(body));
    if (retryAfterS !== undefined) {
      response.setHeader(this.names.retryAfter, String(retryAfterS));
    }
    if (this.id !== '') {
      response.setHeader(this.names.requestId, this.id);
    }
    if (!this.incoming.complete || this.closing) {
      response.setHeader('Connection', 'close');
    }
    response.end(body);
  }
}

/** All chunks as one; a single one is not copied. */
export function joined(chunks: readonly Buffer[]): Buffer {
  const [first] = chunks;
  return chunks.length === 1 && first ? first : Buffer.concat(chunks);
}

function tooLarge(maxBytes: number): BodyFailure {
  return {
    kind: 'body-too-large',
    message: `a body of more than ${maxBytes} bytes`,
  };
}
