/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** How a box talks to upstreams. */
import type {ResultAsync} from 'neverthrow';
import type {ListenerState} from 'puffinturn-quarantine';
import type {Failure} from 'shared';

/** A request to one upstream. */
export interface UpstreamRequest {
  readonly url: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Uint8Array | undefined;
  /** Uses a new connection, so that a stale one cannot blur the outcome. */
  readonly fresh: boolean;
  readonly signal: AbortSignal;
}

/** An answer whose body is still coming. */
export interface UpstreamAnswer {
  readonly status: number;
  /** Names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  /** Throws when the body breaks off. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** Why there is no answer. */
export type UpstreamFailure =
  /** No byte left this box. */
  | Failure<'not-sent'>
  /** Something may have arrived there. */
  | Failure<'broken'>;

/** Sends requests to upstreams. */
export abstract class UpstreamClient implements AsyncDisposable {
  abstract send(
    request: UpstreamRequest,
  ): ResultAsync<UpstreamAnswer, UpstreamFailure>;

  /** Whether anything listens at a URL's address. */
  abstract probe(url: string): Promise<ListenerState>;

  abstract [Symbol.asyncDispose](): Promise<void>;
}
