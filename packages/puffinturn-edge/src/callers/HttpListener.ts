/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** HTTP servers of an edge: for callers, readiness checks and metrics. */
import type {IncomingMessage, Server} from 'node:http';
import {createServer} from 'node:http';

import type {ResultAsync} from 'neverthrow';
import {ResultAsync as Async} from 'neverthrow';
import type {CallerLimits} from 'puffinturn-fleet';
import type {
  BoundedServerParts,
  RequestHandler,
  ServerUsage,
} from 'puffinturn-server';
import {BOUNDED_SERVER_OPTIONS, BoundedServer} from 'puffinturn-server';
import type {Clock, Failure} from 'shared';
import {describeError} from 'shared';

import {BacklogMonitor} from './BacklogMonitor';
import type {ConnectionShedding} from './ConnectionShedding';

/** An IP address and port. */
export interface HttpAddress {
  readonly host: string;
  readonly port: number;
}

/** The server could not listen on the address. */
export type HttpListenFailure = Failure<'listen'>;

/** Maximum number of connections waiting to be accepted. */
const LISTEN_BACKLOG = 2_048;

/** Above every configurable limit; configured limits are checked for each request. */
const MAX_HEADER_BYTES = 64 * 1024;

/** Interval at which header and request timeouts are checked, ms. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** A listening HTTP server. Disposing it closes all of its connections. */
export class HttpListener implements AsyncDisposable {
  private constructor(
    private readonly server: Server,
    private readonly boundedServer: BoundedServer,
  ) {}

  /** Starts listening; `onRequest` is called for each request. */
  static open(
    {host, port}: HttpAddress,
    onRequest: RequestHandler,
    parts: BoundedServerParts,
  ): ResultAsync<HttpListener, HttpListenFailure> {
    const server = createServer({
      ...BOUNDED_SERVER_OPTIONS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
      noDelay: true,
    });
    const boundedServer = new BoundedServer(server, onRequest, parts);
    const listening = new Promise<HttpListener>((resolve, reject) => {
      server.once('error', reject);
      server.listen({backlog: LISTEN_BACKLOG, host, port}, () =>
        resolve(new HttpListener(server, boundedServer)),
      );
    });
    return Async.fromPromise(listening, (error) => ({
      kind: 'listen',
      message: `${host}:${port}: ${describeError(error)}`,
    }));
  }

  /** The port that the server listens on. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** What the clients hold now. */
  get usage(): ServerUsage {
    return this.boundedServer.usage;
  }

  /** Applies the timeouts of a configuration. */
  applyLimits({headerTimeoutMs, idleTimeoutMs}: CallerLimits): void {
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
    this.server.requestTimeout = 0;
  }

  /**
   * Starts measuring how long connections wait to be accepted. `onQueueAge` is called
   * with the queue age, ms, after each observed event loop iteration. `shedding` decides
   * which connections are closed unread; without it, all are read.
   */
  monitorBacklog(
    clock: Clock,
    onQueueAge: (queueAgeMs: number) => void = () => undefined,
    shedding?: ConnectionShedding,
  ): BacklogMonitor {
    return new BacklogMonitor(this.server, clock, onQueueAge, shedding);
  }

  /** Closes connections that have no open request. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.boundedServer[Symbol.dispose]();
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }
}

/** Approximate size of the request headers, bytes. */
export function headerBytes({rawHeaders}: IncomingMessage): number {
  const separators = 2;
  return rawHeaders.reduce((sum, text) => sum + text.length + separators, 0);
}
