/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The HTTP server that all stand-ins share. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';

import type {Faults} from './Faults';
import {noFaults} from './Faults';

/** Answers requests on loopback; `/control` changes its faults. */
export abstract class StandInServer implements AsyncDisposable {
  /** Faults at the moment. */
  readonly faults: Faults = noFaults();
  private readonly server = createServer((request, response) => {
    void this.receive(request, response);
  });

  /** Starts to listen; port 0 takes a free one. */
  async listen(port = 0, host = '127.0.0.1'): Promise<this> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return this;
  }

  /** The address for upstream declarations. */
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

  /** Answers a request whose body has been read. */
  protected abstract answer(
    request: IncomingMessage,
    body: string,
    response: ServerResponse,
  ): Promise<void>;

  /** True with the given probability. */
  protected strikes(share: number): boolean {
    return share > 0 && Math.random() < share;
  }

  private async receive(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parts: Buffer[] = [];
    try {
      for await (const part of request) {
        parts.push(part);
      }
    } catch {
      return;
    }
    const body = Buffer.concat(parts).toString();
    if (request.url === '/control') {
      Object.assign(this.faults, JSON.parse(body || '{}'));
      sendJson(response, 200, this.faults);
      return;
    }
    await this.answer(request, body, response);
  }
}

/** Sends a JSON answer. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(value));
}
