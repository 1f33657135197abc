/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Serves a hono application by Node's HTTP or HTTPS server. */
import {readFile} from 'node:fs/promises';
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import {createServer as createTlsServer} from 'node:https';

import type {HttpBindings} from '@hono/node-server';
import {getRequestListener} from '@hono/node-server';
import type {Env, Hono} from 'hono';
import type {ResultAsync} from 'neverthrow';
import {errAsync, ResultAsync as Async} from 'neverthrow';
import {CALLER_TIMEOUT_MS} from 'puffinturn-gateway';
import type {TlsSettings} from 'puffinturn-settings';
import {readSecret} from 'puffinturn-settings';
import type {Failure} from 'shared';
import {describeError} from 'shared';

const MAX_HEADER_BYTES = 32 * 1024;
const KEEP_ALIVE_MS = 65_000;

/** The server could not be started. */
export type ServeFailure = Failure<'serve'>;

/** Where to listen. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
  readonly tls?: TlsSettings | undefined;
}

/** Contents of the files for TLS. */
export interface TlsMaterial {
  readonly ca: Buffer | undefined;
  readonly cert: Buffer;
  readonly key: Buffer;
}

function serveFailure(error: unknown): ServeFailure {
  return {kind: 'serve', message: describeError(error)};
}

/** Reads the files for TLS; a key that others may read is refused. */
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
        serveFailure,
      ).map(([cert, ca]) => ({ca, cert, key})),
    );
}

/** A listening server; disposing closes it and its connections. */
export class HttpServer implements AsyncDisposable {
  private constructor(private readonly server: Server) {}

  /** Starts to listen. */
  static open<Environment extends Env & {Bindings: HttpBindings}>(
    app: Hono<Environment>,
    address: ListenAddress,
  ): ResultAsync<HttpServer, ServeFailure> {
    const {tls} = address;
    const listener = getRequestListener((request, bindings) =>
      app.fetch(request, bindings),
    );
    if (tls === undefined) {
      return HttpServer.listen(createServer(serverOptions, listener), address);
    }
    return readTls(tls).andThen((material) => {
      const mutual = material.ca !== undefined;
      const options = {
        ...serverOptions,
        ...material,
        rejectUnauthorized: mutual,
        requestCert: mutual,
      };
      try {
        const server = createTlsServer(options, listener);
        return HttpServer.listen(server, address);
      } catch (error) {
        return errAsync(serveFailure(error));
      }
    });
  }

  /** The port that is listened on. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }

  private static listen(
    server: Server,
    {host, port}: ListenAddress,
  ): ResultAsync<HttpServer, ServeFailure> {
    const listening = new Promise<HttpServer>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => resolve(new HttpServer(server)));
    });
    return Async.fromPromise(listening, serveFailure);
  }
}

const serverOptions = {
  headersTimeout: CALLER_TIMEOUT_MS,
  keepAliveTimeout: KEEP_ALIVE_MS,
  maxHeaderSize: MAX_HEADER_BYTES,
  requestTimeout: CALLER_TIMEOUT_MS,
};
