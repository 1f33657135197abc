/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The edge: accepts requests of callers and forwards them to upstreams. */
export type {
  HeaderNames,
  PromptPart,
  TokenBounds,
} from './callers/CallerDialect';
export {CallerDialect} from './callers/CallerDialect';
export type {HttpAddress, HttpListenFailure} from './callers/EdgeHttp';
export {HttpListener} from './callers/EdgeHttp';
export type {EventBatch} from './connections/EventStream';
export {EventCutter} from './connections/EventStream';
export type {EdgeParts} from './Edge';
export {Edge} from './Edge';
export type {RetryBound} from './requests/RetryBudgets';
export {RouteTable} from './requests/RouteTable';
export type {AllowancesParts, ReserveOutcome} from './tokens/Allowances';
export {Allowances, RESERVE} from './tokens/Allowances';
