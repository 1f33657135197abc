/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Requests as policy expressions see them. */
import {
  MAX_BODY_DEPTH,
  MAX_LIST_ELEMENTS,
  MAX_TEXT_LENGTH,
} from './PolicyConstants';

/** A request that is checked against the policies. */
export interface PolicyRequest {
  readonly team: string;
  /** Empty for service requests. */
  readonly model: string;
  /** Empty for model requests. */
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** Names are in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: unknown;
  /** Upper bound of the prompt length, tokens; 0 for service requests. */
  readonly promptTokens: number;
  /** Requested maximum of completion tokens; 0 if not given. */
  readonly maxTokens: number;
  /** Idempotency key of the caller; empty if there is none. */
  readonly key: string;
}

/** The CEL type `Request`; CEL represents integers as bigint. */
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
    this.body = truncateValue(request.body, MAX_BODY_DEPTH);
    this.promptTokens = BigInt(request.promptTokens);
    this.maxTokens = BigInt(request.maxTokens);
    this.key = request.key;
  }
}

/** Copies a JSON value, truncated to the limits of the request body. */
function truncateValue(value: unknown, depth: number): unknown {
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
      .map((item) => truncateValue(item, depth - 1));
  }
  const copy: Record<string, unknown> = {};
  for (const [name, item] of Object.entries(value)) {
    copy[name] = truncateValue(item, depth - 1);
  }
  return copy;
}
