/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** What a policy may look at. */
import {
  MAX_BODY_DEPTH,
  MAX_LIST_ELEMENTS,
  MAX_TEXT_LENGTH,
} from './PolicyConstants';

/** The request as the gateway gives it. */
export interface PolicyRequest {
  readonly team: string;
  /** Empty for calls of plain services. */
  readonly model: string;
  /** Empty for model requests. */
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** Names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: unknown;
  /** Upper bound of the prompt, tokens; 0 for plain services. */
  readonly promptTokens: number;
  /** Completion tokens asked for; 0 when not given. */
  readonly maxTokens: number;
  /** The caller's own key; empty when there is none. */
  readonly key: string;
}

/** The type `Request` of expressions; integers are bigint there. */
export class RequestView {
  readonly team: string;
  readonly model: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: unknown;
  readonly promptTokens: bigint;
  readonly maxTokens: bigint;
  readonly key: string;

  constructor(request: PolicyRequest) {
    this.team = request.team;
    this.model = request.model;
    this.service = request.service;
    this.method = request.method;
    this.path = request.path;
    this.headers = request.headers;
    this.body = boundedValue(request.body, MAX_BODY_DEPTH);
    this.promptTokens = BigInt(request.promptTokens);
    this.maxTokens = BigInt(request.maxTokens);
    this.key = request.key;
  }
}

/** A copy of a JSON value cut to what expressions may see. */
function boundedValue(value: unknown, depth: number): unknown {
  if (typeof value === 'string') {
    return value.length > MAX_TEXT_LENGTH
      ? value.slice(0, MAX_TEXT_LENGTH)
      : value;
  }
  if (typeof value !== 'object' || value === null) {
    return value;
  }
  if (depth === 0) {
    return null;
  }
  if (Array.isArray(value)) {
    return value
      .slice(0, MAX_LIST_ELEMENTS)
      .map((item) => boundedValue(item, depth - 1));
  }
  const copy: Record<string, unknown> = {};
  for (const [name, item] of Object.entries(value)) {
    copy[name] = boundedValue(item, depth - 1);
  }
  return copy;
}
