/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The platform's protocol between callers, edges and upstreams: header names and the
 * parsing of request headers. Keeps the edge independent of any one platform.
 */

/** Header names, in lower case. */
export interface HeaderNames {
  readonly requestId: string;
  /** How long the caller waits, ms. */
  readonly deadline: string;
  /** Credential that identifies the team. */
  readonly credential: string;
  readonly team: string;
  /** ID of the upstream that the request is meant for. */
  readonly expectedUpstream: string;
  readonly priority: string;
  /** ID of the last event received, to resume a stream after it. */
  readonly lastEventId: string;
  /** ID of the request that brought the first event of a resumed stream. */
  readonly resumedRequest: string;
  /** Address of an upstream to copy the cached prompt prefix from. */
  readonly prefixSource: string;
  /** Signature of the response by the upstream. */
  readonly seal: string;
  /** Present if the upstream did not execute the request. */
  readonly notExecuted: string;
  readonly retryAfter: string;
  /** Present if the responding upstream is draining. */
  readonly draining: string;
  /** Rate limit of the upstream over all edges, requests per second. */
  readonly rateLimit: string;
  /** States the rejections a second that an upstream bears without crashing. */
  readonly brittleness: string;
  /** Further headers that only the edge may send to upstreams. */
  readonly reserved: readonly string[];
}

/** One part of a prompt, with its length in tokens. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Token counts of a request, as declared by its caller. */
export interface TokenCounts {
  readonly promptTokens: number;
  /** Maximum number of completion tokens. */
  readonly maxCompletionTokens: number;
}

/** Header names and header parsing of a platform's protocol. */
export abstract class CallerProtocol {
  abstract readonly headers: HeaderNames;

  /** Reads the declared token counts; undefined if the request has none. */
  abstract parseTokenCounts(
    header: (name: string) => string | undefined,
  ): TokenCounts | undefined;

  /** Reads the parts of the prompt in order; empty if the request has none. */
  abstract parsePromptParts(
    header: (name: string) => string | undefined,
  ): readonly PromptPart[];

  /** Computes the value of the priority header; 0 is the most urgent. */
  abstract computePriority(team: number, route: number): number;
}
