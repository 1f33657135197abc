/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Client for the operators' HTTP API. */
import {readFile} from 'node:fs/promises';

import {err, ok, ResultAsync} from 'neverthrow';
import type {FleetStatus} from 'puffinturn-daemon';
import type {DeclarationEntry, DeclareReply} from 'puffinturn-ledger';
import type {Declaration} from 'puffinturn-settings';
import type {TimelineEvent} from 'puffinturn-timeline';
import type {Failure} from 'shared';
import {describeError, readJsonBody} from 'shared';
import {Agent, request} from 'undici';

const TIMEOUT_MS = 30_000;

/** Maximum size of a reply; timelines of all boxes are the longest. */
const MAX_REPLY_BYTES = 256 * 1024 * 1024;

/** Reason why a call failed. */
export type ClientFailure =
  Failure<'refused'> | Failure<'unreachable'> | Failure<'usage'>;

/** Address and credentials for the API. */
export interface ClientOptions {
  readonly url: string;
  readonly key: string;
  /** File with the CA of the server's certificate. */
  readonly caFile?: string | undefined;
}

/** Filter for timeline events. */
export interface TimelineQuery {
  readonly box?: string | undefined;
  readonly budget?: string | undefined;
  readonly request?: string | undefined;
  readonly since?: string | undefined;
}

interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Calls the operators' HTTP API of one box. */
export class OperatorClient implements AsyncDisposable {
  private constructor(
    private readonly options: ClientOptions,
    private readonly agent: Agent,
  ) {}

  /** Creates a client; reads the CA certificate if `caFile` is set. */
  static open(
    options: ClientOptions,
  ): ResultAsync<OperatorClient, ClientFailure> {
    const {caFile} = options;
    const ca =
      caFile === undefined ? Promise.resolve(undefined) : readFile(caFile);
    return ResultAsync.fromPromise(ca, (error): ClientFailure => ({
      kind: 'usage',
      message: describeError(error),
    })).map(
      (content) =>
        new OperatorClient(
          options,
          new Agent({connect: content === undefined ? {} : {ca: content}}),
        ),
    );
  }

  /** Sends a declaration. A conflict is returned as a reply, not as a failure. */
  declare(declaration: Declaration): ResultAsync<DeclareReply, ClientFailure> {
    return this.send('POST', '/v1/declarations', declaration).andThen(
      ({body, status}) =>
        typeof body === 'object' && body !== null && 'outcome' in body
          ? ok(body as DeclareReply)
          : err(toRefusedFailure(status, body)),
    );
  }

  /** Reads the declarations in force. */
  config(): ResultAsync<readonly DeclarationEntry[], ClientFailure> {
    return this.get<{entries: DeclarationEntry[]}>('/v1/config').map(
      ({entries}) => entries,
    );
  }

  /** Reads the status of the fleet. */
  status(): ResultAsync<FleetStatus, ClientFailure> {
    return this.get<FleetStatus>('/v1/status');
  }

  /** Reads the timeline events of all boxes. */
  timeline(
    query: TimelineQuery,
  ): ResultAsync<readonly TimelineEvent[], ClientFailure> {
    const params = new URLSearchParams();
    for (const [name, value] of Object.entries(query)) {
      if (value !== undefined) {
        params.set(name, String(value));
      }
    }
    return this.get<{events: TimelineEvent[]}>(
      `/v1/timeline?${params.toString()}`,
    ).map(({events}) => events);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.agent.destroy();
  }

  private get<Value>(path: string): ResultAsync<Value, ClientFailure> {
    return this.send('GET', path).andThen(({body, status}) =>
      status === 200 ? ok(body as Value) : err(toRefusedFailure(status, body)),
    );
  }

  private send(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): ResultAsync<HttpResponse, ClientFailure> {
    const {key, url} = this.options;
    const response = request(new URL(path, url), {
      body: body === undefined ? null : JSON.stringify(body),
      bodyTimeout: TIMEOUT_MS,
      dispatcher: this.agent,
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
      },
      headersTimeout: TIMEOUT_MS,
      method,
    });
    const toFailure = (message: string): ClientFailure => ({
      kind: 'unreachable',
      message: `${url}: ${message}`,
    });
    return ResultAsync.fromPromise(response, (error) =>
      toFailure(describeError(error)),
    ).andThen((httpResponse) =>
      readJsonBody(httpResponse.body, MAX_REPLY_BYTES)
        .map((content) => ({body: content, status: httpResponse.statusCode}))
        .mapErr(({message}) => toFailure(message)),
    );
  }
}

function toRefusedFailure(status: number, body: unknown): ClientFailure {
  const {error} = (body ?? {}) as {error?: {message?: string}};
  const message = error?.message ?? 'no explanation';
  return {kind: 'refused', message: `status ${status}: ${message}`};
}
