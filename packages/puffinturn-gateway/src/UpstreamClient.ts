/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The interface through which a box calls upstreams. */
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
  /** Whether to use a new connection: if a reused one breaks, the outcome is unknown. */
  readonly useNewConnection: boolean;
  readonly signal: AbortSignal;
}

/** A response whose body is read as a stream. */
export interface UpstreamResponse {
  readonly status: number;
  /** Header names are in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  /** Throws if the connection is lost before the end. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** Why there is no response. */
export type UpstreamFailure =
  /** Nothing was sent to the upstream. */
  | Failure<'not-sent'>
  /** The upstream may have received the request. */
  | Failure<'broken'>;

/** Sends requests to upstreams. */
export abstract class UpstreamClient implements AsyncDisposable {
  abstract send(
    request: UpstreamRequest,
  ): ResultAsync<UpstreamResponse, UpstreamFailure>;

  /** Checks whether a process listens at the address of a URL. */
  abstract probe(url: string): Promise<ListenerState>;

  abstract [Symbol.asyncDispose](): Promise<void>;
}
