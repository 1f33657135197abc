/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * What an edge needs to know of the protocol between callers, itself and
 * upstreams: names of headers, and facts read from a request. The edge itself
 * knows no name of any platform.
 */

/** Names of headers, in lower case. */
export interface HeaderNames {
  readonly requestId: string;
  readonly deadline: string;
  readonly key: string;
  readonly team: string;
  readonly expectedUpstream: string;
  readonly priority: string;
  readonly lastEvent: string;
  /** Address of an upstream to copy the kept start of the prompt from. */
  readonly prefixSource: string;
  /** The upstream's signature of an answer. */
  readonly seal: string;
  /** Present where an upstream did not run the request. */
  readonly notRun: string;
  readonly retryAfter: string;
  /** Present where the upstream that answers is about to leave. */
  readonly leaving: string;
  /** Requests a second that the upstream takes from all edges together. */
  readonly limit: string;
  /** Further ones that only the edge may set towards upstreams. */
  readonly reserved: readonly string[];
}

/** One part of a prompt. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Tokens of a request as its caller states them. */
export interface TokenBounds {
  readonly prompt: number;
  /** The most tokens that may come out. */
  readonly most: number;
}

/** The protocol as the edge sees it. */
export abstract class CallerDialect {
  abstract readonly headers: HeaderNames;

  /** Tokens in and the most out; undefined where the request names none. */
  abstract tokensOf(
    header: (name: string) => string | undefined,
  ): TokenBounds | undefined;

  /** The parts of the prompt in order; empty where the request names none. */
  abstract partsOf(
    header: (name: string) => string | undefined,
  ): readonly PromptPart[];

  /** The value of the priority header: 0 is the most urgent. */
  abstract priorityOf(team: number, route: number): number;
}
