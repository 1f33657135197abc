/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The HTTP servers of an edge: callers, readiness and metrics. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';

import type {ResultAsync} from 'neverthrow';
import {ResultAsync as Async} from 'neverthrow';
import type {CallerLimits} from 'puffinturn-fleet';
import type {Clock, Failure} from 'shared';
import {describeError} from 'shared';

import {BacklogWatch} from './BacklogWatch';

/** An IP address and port. */
export interface HttpAddress {
  readonly host: string;
  readonly port: number;
}

/** The address could not be had. */
export type HttpListenFailure = Failure<'listen'>;

/** Longest queue of connections that were not accepted yet. */
const BACKLOG = 2_048;

/** More than any limit of a configuration; those are checked by request. */
const MAX_HEADER_BYTES = 64 * 1024;

/** How often slow senders are looked for, ms. */
const CHECK_MS = 1_000;

/** A listening server. Disposing it closes it with all connections. */
export class HttpListener implements AsyncDisposable {
  private constructor(private readonly server: Server) {}

  /** Listens; `handle` answers each request. */
  static open(
    {host, port}: HttpAddress,
    handle: (request: IncomingMessage, response: ServerResponse) => void,
  ): ResultAsync<HttpListener, HttpListenFailure> {
    const server = createServer(
      {
        connectionsCheckingInterval: CHECK_MS,
        maxHeaderSize: MAX_HEADER_BYTES,
        noDelay: true,
      },
      handle,
    );
    const listening = new Promise<HttpListener>((resolve, reject) => {
      server.once('error', reject);
      server.listen({backlog: BACKLOG, host, port}, () =>
        resolve(new HttpListener(server)),
      );
    });
    return Async.fromPromise(listening, (error) => ({
      kind: 'listen',
      message: `${host}:${port}: ${describeError(error)}`,
    }));
  }

  /** The port that is listened on. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Takes over the times that a configuration allows. */
  limit({headerTimeoutMs, idleTimeoutMs}: CallerLimits): void {
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
    this.server.requestTimeout = 0;
  }

  /**
   * Follows how long connections wait here before they are accepted; `observe`
   * is told the age of the oldest after each turn that is looked at.
   */
  watchBacklog(
    clock: Clock,
    observe: (ageMs: number) => void = () => undefined,
  ): BacklogWatch {
    return new BacklogWatch(this.server, clock, observe);
  }

  /** Ends connections on which no request is open. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }
}

/** Bytes of a request's head, near enough for a limit. */
export function headerBytes({rawHeaders}: IncomingMessage): number {
  const separators = 2;
  return rawHeaders.reduce((sum, text) => sum + text.length + separators, 0);
}
