/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * A response that may be sent before the body of its request has arrived. It then closes
 * the connection, but not at once: closing while bytes arrive resets the connection, and
 * its client might lose the response.
 */
import type {IncomingMessage} from 'node:http';
import {ServerResponse} from 'node:http';

import {resolveWithin, SystemClock} from 'shared';

import {RequestBody} from './RequestBody';

/** Time in which a client reads an early response and ends its request, ms. */
const CLOSE_DELAY_MS = 1_000;

/** Node.js creates responses, so that they get no clock from elsewhere. */
const clock = new SystemClock();

type EndArguments = [
  chunk?: unknown,
  encoding?: BufferEncoding | (() => void) | undefined,
  callback?: () => void,
];

/** Ends early responses late; all others as they are. */
export class EarlyResponse<
  Request extends IncomingMessage = IncomingMessage,
> extends ServerResponse<Request> {
  /** Called when the response was sent, and waits for the rest of its request. */
  onEarlyEnd: () => void = () => undefined;
  private isEnding = false;

  override writeHead(...args: unknown[]): this {
    if (this.unfinishedBody !== undefined && !this.hasHeader('connection')) {
      this.setHeader('Connection', 'close');
    }
    return super.writeHead(...(args as [number]));
  }

  override end(...args: EndArguments): this {
    const body = this.unfinishedBody;
    if (body === undefined || this.isEnding || this.destroyed) {
      return super.end(...(args as Parameters<ServerResponse['end']>));
    }
    body.discard();
    this.isEnding = true;
    const [chunk] = args;
    const content = toBuffer(chunk);
    if (!this.headersSent) {
      this.setHeader('Content-Length', content.length);
    }
    if (content.length > 0) {
      super.write(content);
    } else {
      this.flushHeaders();
    }
    this.onEarlyEnd();
    void this.endAfter(body);
    return this;
  }

  private get unfinishedBody(): RequestBody | undefined {
    const body = RequestBody.of(this.req);
    return body?.isComplete === false ? body : undefined;
  }

  private async endAfter(body: RequestBody): Promise<void> {
    const {socket} = this;
    await resolveWithin(clock, body.awaitArrival(), CLOSE_DELAY_MS);
    super.end();
    if (!body.isComplete) {
      // Its client has had time to read the response; one that doesn't is not waited for.
      setImmediate(() => socket?.destroy());
    }
  }
}

function toBuffer(chunk: unknown): Buffer {
  if (chunk instanceof Uint8Array) {
    return Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
  }
  return typeof chunk === 'string' ? Buffer.from(chunk) : Buffer.alloc(0);
}
