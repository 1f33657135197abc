/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Serves a Hono application over HTTP or HTTPS. */
import {readFile} from 'node:fs/promises';
import type {Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import {createServer as createTlsServer} from 'node:https';

import type {HttpBindings} from '@hono/node-server';
import type {Env, Hono} from 'hono';
import type {ResultAsync} from 'neverthrow';
import {errAsync, ResultAsync as Async} from 'neverthrow';
import {CALLER_TIMEOUT_MS} from 'puffinturn-gateway';
import type {BoundedServerParts, ServerUsage} from 'puffinturn-server';
import {
  BOUNDED_SERVER_OPTIONS,
  BoundedServer,
  createHonoHandler,
} from 'puffinturn-server';
import type {TlsSettings} from 'puffinturn-settings';
import {readSecret} from 'puffinturn-settings';
import type {Failure} from 'shared';
import {describeError} from 'shared';

const MAX_HEADER_BYTES = 32 * 1024;
const KEEP_ALIVE_MS = 65_000;

/** Reason why a server failed to start. */
export type ServeFailure = Failure<'serve'>;

/** Address that a server listens on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
  readonly tls?: TlsSettings | undefined;
}

/** Contents of the TLS files. */
export interface TlsMaterial {
  /** CA of client certificates; absent if clients need none. */
  readonly ca: Buffer | undefined;
  readonly cert: Buffer;
  readonly key: Buffer;
}

function toServeFailure(error: unknown): ServeFailure {
  return {kind: 'serve', message: describeError(error)};
}

/** Reads the TLS files; fails if other users may read the private key. */
export function readTls(
  tls: TlsSettings,
): ResultAsync<TlsMaterial, ServeFailure> {
  return readSecret(tls.keyFile)
    .mapErr(({message}): ServeFailure => ({kind: 'serve', message}))
    .andThen((key) =>
      Async.fromPromise(
        Promise.all([
          readFile(tls.certFile),
          tls.caFile === undefined ? undefined : readFile(tls.caFile),
        ]),
        toServeFailure,
      ).map(([cert, ca]) => ({ca, cert, key})),
    );
}

/** A listening server. Disposing it also closes open connections. */
export class HttpServer implements AsyncDisposable {
  private openCount = 0;

  private constructor(
    private readonly server: Server,
    private readonly boundedServer: BoundedServer,
  ) {
    server.on('request', (_, response: ServerResponse) => {
      this.openCount += 1;
      response.once('close', () => (this.openCount -= 1));
    });
  }

  /** Requests whose responses have not been sent completely. */
  get openRequestCount(): number {
    return this.openCount;
  }

  /** What the clients hold now. */
  get usage(): ServerUsage {
    return this.boundedServer.usage;
  }

  /** Starts listening. */
  static open<Environment extends Env & {Bindings: HttpBindings}>(
    app: Hono<Environment>,
    address: ListenAddress,
    parts: BoundedServerParts,
  ): ResultAsync<HttpServer, ServeFailure> {
    const {tls} = address;
    const handler = createHonoHandler((request, bindings) =>
      app.fetch(request, bindings),
    );
    const listen = (server: Server) => {
      const boundedServer = new BoundedServer(server, handler, parts);
      return HttpServer.listen(server, boundedServer, address);
    };
    if (tls === undefined) {
      return listen(createServer(serverOptions));
    }
    return readTls(tls).andThen((material) => {
      const usesMutualTls = material.ca !== undefined;
      const options = {
        ...serverOptions,
        ...material,
        rejectUnauthorized: usesMutualTls,
        requestCert: usesMutualTls,
      };
      try {
        return listen(createTlsServer(options));
      } catch (error) {
        return errAsync(toServeFailure(error));
      }
    });
  }

  /** Port that the server listens on; 0 if it is not listening. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.boundedServer[Symbol.dispose]();
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }

  private static listen(
    server: Server,
    boundedServer: BoundedServer,
    {host, port}: ListenAddress,
  ): ResultAsync<HttpServer, ServeFailure> {
    const listening = new Promise<HttpServer>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () =>
        resolve(new HttpServer(server, boundedServer)),
      );
    });
    return Async.fromPromise(listening, toServeFailure);
  }
}

const serverOptions = {
  ...BOUNDED_SERVER_OPTIONS,
  headersTimeout: CALLER_TIMEOUT_MS,
  keepAliveTimeout: KEEP_ALIVE_MS,
  maxHeaderSize: MAX_HEADER_BYTES,
  requestTimeout: CALLER_TIMEOUT_MS,
};
