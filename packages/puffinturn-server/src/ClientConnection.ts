/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * One connection to a server. Its requests are handled one after the other, as responses
 * have to be sent in their order anyway: otherwise one connection could begin any number.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import {EarlyResponse} from './EarlyResponse';
import type {RequestBody} from './RequestBody';

/** A request whose body is being collected. */
export interface ReceivedRequest {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: RequestBody;
}

/** Handles a request; the response may end at any time. */
export type RequestHandler = (
  incoming: IncomingMessage,
  response: ServerResponse,
  body: RequestBody,
) => void;

/** Dependencies of a connection. */
export interface ClientConnectionParts {
  readonly maxPipelinedRequests: number;
  readonly onRequest: RequestHandler;
  /** Called when a request begins, and when it has its response. */
  readonly onBusyChange: (isBusy: boolean) => void;
  /** Called once if the client has sent more requests than may wait. */
  readonly onOverrun: () => void;
}

/** Handles the requests of one connection. */
export class ClientConnection {
  private current: ReceivedRequest | undefined;
  /** Bytes that had been read when the current request began. */
  private readAtBegin = 0;
  private readonly waiting: ReceivedRequest[] = [];
  private hasOverrun = false;
  /** Unsent bytes of a complete response at the last check, and since when. */
  private unsentBytes = 0;
  private unsentSince = Infinity;

  constructor(private readonly parts: ClientConnectionParts) {}

  receive(request: ReceivedRequest): void {
    if (this.hasOverrun) {
      request.body.release();
    } else if (this.current === undefined) {
      this.begin(request);
    } else if (this.waiting.length < this.parts.maxPipelinedRequests) {
      this.waiting.push(request);
    } else {
      request.body.release();
      this.stopReceiving(request.incoming.socket);
    }
  }

  /** How long a complete response has not been read by its client, ms. */
  unreadMs(now: number): number {
    const {current} = this;
    const unsentBytes =
      current?.response.writableEnded === true
        ? current.incoming.socket.writableLength
        : 0;
    if (unsentBytes === 0 || unsentBytes !== this.unsentBytes) {
      this.unsentBytes = unsentBytes;
      this.unsentSince = unsentBytes === 0 ? Infinity : now;
    }
    return Math.max(0, now - this.unsentSince);
  }

  /** Drops all requests; their connection has closed. */
  close(): void {
    this.current?.body.release();
    this.dropWaiting();
  }

  private begin(request: ReceivedRequest): void {
    const {body, incoming, response} = request;
    this.current = request;
    this.readAtBegin = incoming.socket.bytesRead;
    this.parts.onBusyChange(true);
    response.on('error', () => undefined);
    response.once('close', () => this.endCurrent());
    if (response instanceof EarlyResponse) {
      response.onEarlyEnd = () => this.parts.onBusyChange(false);
    }
    this.parts.onRequest(incoming, response, body);
  }

  private endCurrent(): void {
    const socket = this.current?.incoming.socket;
    this.current?.body.release();
    this.current = undefined;
    const next = this.waiting.shift();
    // After a response that closes the connection, the socket is no longer writable.
    if (socket?.writable !== true) {
      return;
    }
    if (next !== undefined) {
      this.begin(next);
    } else if (this.hasOverrun) {
      socket.destroySoon();
    } else {
      this.parts.onBusyChange(false);
    }
  }

  /** Ends the connection after the current request, or at once if that came with the rest. */
  private stopReceiving(socket: Socket): void {
    this.hasOverrun = true;
    this.dropWaiting();
    this.parts.onOverrun();
    if (socket.bytesRead === this.readAtBegin) {
      socket.destroy();
    } else {
      socket.pause();
    }
  }

  private dropWaiting(): void {
    for (const {body} of this.waiting.splice(0)) {
      body.release();
    }
  }
}
