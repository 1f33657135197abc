/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Upstreams over HTTP, by undici. */
import type {ResultAsync} from 'neverthrow';
import {ResultAsync as Async} from 'neverthrow';
import type {ListenerState} from 'puffinturn-quarantine';
import {probeListener} from 'puffinturn-quarantine';
import {describeError} from 'shared';
import type {Dispatcher} from 'undici';
import {Agent} from 'undici';

import {CONNECT_TIMEOUT_MS, IDLE_TIMEOUT_MS} from './GatewayConstants';
import type {
  UpstreamAnswer,
  UpstreamFailure,
  UpstreamRequest,
} from './UpstreamClient';
import {UpstreamClient} from './UpstreamClient';

/** Errors that undici reports before it has written anything. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function failureOf(error: unknown): UpstreamFailure {
  const {code} = error as {code?: string};
  const kind = NOT_SENT_CODES.has(code ?? '') ? 'not-sent' : 'broken';
  return {kind, message: describeError(error)};
}

function headersOf(
  headers: Dispatcher.ResponseData['headers'],
): Record<string, string> {
  const result: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) {
      result[name] = Array.isArray(value) ? value.join(', ') : value;
    }
  }
  return result;
}

/** Ports of URLs that name none. */
const HTTP_PORT = 80;
const HTTPS_PORT = 443;

/** Options for both kinds of connections. */
const AGENT_OPTIONS: Agent.Options = {
  bodyTimeout: IDLE_TIMEOUT_MS,
  connect: {timeout: CONNECT_TIMEOUT_MS},
  headersTimeout: 10 * IDLE_TIMEOUT_MS,
};

/** See the module comment. */
export class HttpUpstreamClient extends UpstreamClient {
  private readonly pooled = new Agent(AGENT_OPTIONS);
  /** A connection for each request: pipelining 0 turns keep-alive off. */
  private readonly single = new Agent({...AGENT_OPTIONS, pipelining: 0});

  override send(
    request: UpstreamRequest,
  ): ResultAsync<UpstreamAnswer, UpstreamFailure> {
    const {body, fresh, headers, method, path, signal, url} = request;
    const agent = fresh ? this.single : this.pooled;
    const sent = agent.request({
      body: body ?? null,
      headers,
      method: method as Dispatcher.HttpMethod,
      origin: url,
      path,
      signal,
    });
    return Async.fromPromise(sent, failureOf).map((answer) => ({
      body: answer.body,
      headers: headersOf(answer.headers),
      status: answer.statusCode,
    }));
  }

  override probe(url: string): Promise<ListenerState> {
    const {hostname, port, protocol} = new URL(url);
    const usual = protocol === 'https:' ? HTTPS_PORT : HTTP_PORT;
    return probeListener(hostname, port === '' ? usual : Number(port));
  }

  override async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([this.pooled.destroy(), this.single.destroy()]);
  }
}
