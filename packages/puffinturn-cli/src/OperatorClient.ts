/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Calls of the operators' HTTP interface. */
import {readFile} from 'node:fs/promises';

import {err, ok, ResultAsync} from 'neverthrow';
import type {FleetStatus} from 'puffinturn-daemon';
import type {DeclarationEntry, DeclareReply} from 'puffinturn-ledger';
import type {Declaration} from 'puffinturn-settings';
import type {TimelineEvent} from 'puffinturn-timeline';
import type {Failure} from 'shared';
import {describeError} from 'shared';
import {Agent, request} from 'undici';

const TIMEOUT_MS = 30_000;

/** The fleet did not answer as hoped. */
export type ClientFailure =
  Failure<'refused'> | Failure<'unreachable'> | Failure<'usage'>;

/** Where the fleet is and who asks. */
export interface ClientOptions {
  readonly url: string;
  readonly key: string;
  /** Authority of the server's certificate. */
  readonly caFile?: string | undefined;
}

/** Query of a time line. */
export interface TimelineQuery {
  readonly box?: string | undefined;
  readonly budget?: string | undefined;
  readonly request?: string | undefined;
  readonly since?: string | undefined;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

/** See the module comment. */
export class OperatorClient implements AsyncDisposable {
  private constructor(
    private readonly options: ClientOptions,
    private readonly agent: Agent,
  ) {}

  /** Makes a client; reads the authority's certificate if one is named. */
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

  /** Sends one change; a conflict is an answer, not a failure. */
  declare(declaration: Declaration): ResultAsync<DeclareReply, ClientFailure> {
    return this.send('POST', '/v1/declarations', declaration).andThen(
      ({body, status}) =>
        typeof body === 'object' && body !== null && 'outcome' in body
          ? ok(body as DeclareReply)
          : err(refusal(status, body)),
    );
  }

  /** The declarations in force. */
  config(): ResultAsync<readonly DeclarationEntry[], ClientFailure> {
    return this.read<{entries: DeclarationEntry[]}>('/v1/config').map(
      ({entries}) => entries,
    );
  }

  /** Figures of the fleet. */
  status(): ResultAsync<FleetStatus, ClientFailure> {
    return this.read<FleetStatus>('/v1/status');
  }

  /** Events of all boxes. */
  timeline(
    query: TimelineQuery,
  ): ResultAsync<readonly TimelineEvent[], ClientFailure> {
    const search = new URLSearchParams();
    for (const [name, value] of Object.entries(query)) {
      if (value !== undefined) {
        search.set(name, String(value));
      }
    }
    return this.read<{events: TimelineEvent[]}>(
      `/v1/timeline?${search.toString()}`,
    ).map(({events}) => events);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.agent.destroy();
  }

  private read<Value>(path: string): ResultAsync<Value, ClientFailure> {
    return this.send('GET', path).andThen(({body, status}) =>
      status === 200 ? ok(body as Value) : err(refusal(status, body)),
    );
  }

  private send(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): ResultAsync<Answer, ClientFailure> {
    const {key, url} = this.options;
    const sent = request(new URL(path, url), {
      body: body === undefined ? null : JSON.stringify(body),
      bodyTimeout: TIMEOUT_MS,
      dispatcher: this.agent,
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
      },
      headersTimeout: TIMEOUT_MS,
      method,
    }).then(async (answer) => ({
      body: await answer.body.json(),
      status: answer.statusCode,
    }));
    return ResultAsync.fromPromise(sent, (error) => ({
      kind: 'unreachable',
      message: `${url}: ${describeError(error)}`,
    }));
  }
}

function refusal(status: number, body: unknown): ClientFailure {
  const {error} = (body ?? {}) as {error?: {message?: string}};
  const message = error?.message ?? 'no explanation';
  return {kind: 'refused', message: `status ${status}: ${message}`};
}
