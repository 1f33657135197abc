/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Sends requests to upstreams over HTTP, with undici. */
import type {Result, ResultAsync} from 'neverthrow';
import {err, ok, ResultAsync as Async} from 'neverthrow';
import type {ListenerState} from 'puffinturn-quarantine';
import {probeListener} from 'puffinturn-quarantine';
import {
  describeError,
  isFinalStatus,
  isKnownTransferCoding,
  isReasonPhrase,
} from 'shared';
import type {Dispatcher} from 'undici';
import {Agent} from 'undici';

import {CONNECT_TIMEOUT_MS, IDLE_TIMEOUT_MS} from './GatewayConstants';
import {limitInterimResponses} from './InterimResponses';
import {ResetDetection} from './ResetDetection';
import type {
  UpstreamFailure,
  UpstreamRequest,
  UpstreamResponse,
} from './UpstreamClient';
import {UpstreamClient} from './UpstreamClient';

/** Error codes of connections that failed before anything was sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function toUpstreamFailure(error: unknown): UpstreamFailure {
  const {code} = error as {code?: string};
  const kind = NOT_SENT_CODES.has(code ?? '') ? 'not-sent' : 'broken';
  return {kind, message: describeError(error)};
}

function joinHeaderValues(
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

/** Says why a head is malformed although undici takes it; undefined if it is sound. */
function findHeadFault(
  {statusCode, statusText}: Dispatcher.ResponseData,
  headers: Readonly<Record<string, string>>,
): string | undefined {
  if (!isFinalStatus(statusCode)) {
    return `the status ${statusCode} is none of HTTP`;
  }
  if (!isReasonPhrase(statusText)) {
    return 'the reason phrase holds a control character';
  }
  const coding = headers['transfer-encoding'];
  return isKnownTransferCoding(coding)
    ? undefined
    : `the transfer coding ${coding} is unknown`;
}

/** Converts a response; discards one whose head is malformed. */
function toUpstreamResponse(
  response: Dispatcher.ResponseData,
): Result<UpstreamResponse, UpstreamFailure> {
  const {body, statusCode: status} = response;
  const headers = joinHeaderValues(response.headers);
  const fault = findHeadFault(response, headers);
  if (fault === undefined) {
    return ok({body, headers, status});
  }
  // An error that nobody listens for would end the process.
  body.on('error', () => undefined).destroy();
  return err({kind: 'broken', message: fault});
}

/** Default ports. */
const HTTP_PORT = 80;
const HTTPS_PORT = 443;

/** Options of pooled and single-use connections. */
const AGENT_OPTIONS: Agent.Options = {
  bodyTimeout: IDLE_TIMEOUT_MS,
  headersTimeout: 10 * IDLE_TIMEOUT_MS,
};

/** An UpstreamClient with pooled and single-use connections. */
export class HttpUpstreamClient extends UpstreamClient {
  private readonly resetDetection = new ResetDetection();
  private readonly pooledAgent = this.createAgent();
  /** Uses a new connection for each request: pipelining 0 disables keep-alive. */
  private readonly singleUseAgent = this.createAgent({pipelining: 0});
  private readonly pooled = this.createDispatcher(this.pooledAgent);
  private readonly singleUse = this.createDispatcher(this.singleUseAgent);

  override send(
    request: UpstreamRequest,
  ): ResultAsync<UpstreamResponse, UpstreamFailure> {
    const {body, useNewConnection, headers, method, path, signal, url} =
      request;
    const dispatcher = useNewConnection ? this.singleUse : this.pooled;
    const responsePromise = dispatcher.request({
      body: body ?? null,
      headers,
      method: method as Dispatcher.HttpMethod,
      origin: url,
      path,
      signal,
    });
    return Async.fromPromise(responsePromise, toUpstreamFailure).andThen(
      toUpstreamResponse,
    );
  }

  override probe(url: string): Promise<ListenerState> {
    const {hostname, port, protocol} = new URL(url);
    const defaultPort = protocol === 'https:' ? HTTPS_PORT : HTTP_PORT;
    return probeListener(hostname, port === '' ? defaultPort : Number(port));
  }

  override async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([
      this.pooledAgent.destroy(),
      this.singleUseAgent.destroy(),
    ]);
  }

  private createDispatcher(agent: Agent): Dispatcher {
    return this.resetDetection.wrap(agent).compose(limitInterimResponses);
  }

  private createAgent(options: Agent.Options = {}): Agent {
    const connect = this.resetDetection.createConnector(CONNECT_TIMEOUT_MS);
    return new Agent({...AGENT_OPTIONS, connect, ...options});
  }
}
