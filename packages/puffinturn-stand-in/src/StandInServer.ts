/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';

import type {Faults} from './Faults';
import {noFaults} from './Faults';

/** Base class of the stand-ins: an HTTP server; `POST /control` sets its faults. */
export abstract class StandInServer implements AsyncDisposable {
  /** Faults that are currently injected. */
  readonly faults: Faults = noFaults();
  private readonly server = createServer((request, response) => {
    void this.readAndHandle(request, response);
  });

  /** Starts to listen; port 0 selects a free port. */
  async listen(port = 0, host = '127.0.0.1'): Promise<this> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return this;
  }

  /** The base URL on loopback, as upstream declarations need it. */
  get url(): string {
    const address = this.server.address();
    const port = typeof address === 'object' ? address?.port : undefined;
    return `http://127.0.0.1:${port ?? 0}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }

  /** Responds to a request whose body has been read. */
  protected abstract handleRequest(
    request: IncomingMessage,
    body: string,
    response: ServerResponse,
  ): Promise<void>;

  /** Returns true with the given probability. */
  protected shouldInjectFault(probability: number): boolean {
    return probability > 0 && Math.random() < probability;
  }

  private async readAndHandle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of request) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    const body = Buffer.concat(chunks).toString();
    if (request.url === '/control') {
      Object.assign(this.faults, JSON.parse(body || '{}'));
      sendJson(response, 200, this.faults);
      return;
    }
    await this.handleRequest(request, body, response);
  }
}

/** Sends a JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(value));
}
