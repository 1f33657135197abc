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
  TokenCounts,
} from './callers/CallerProtocol';
export {CallerProtocol} from './callers/CallerProtocol';
export type {HttpAddress, HttpListenFailure} from './callers/HttpListener';
export {HttpListener} from './callers/HttpListener';
export type {EventBatch} from './connections/EventStreamSplitter';
export {EventStreamSplitter} from './connections/EventStreamSplitter';
export type {EdgeParts} from './Edge';
export {Edge} from './Edge';
export type {RetryLimit} from './requests/RetryBudgets';
export {RouteTable} from './requests/RouteTable';
export type {AllowancesParts, ReserveOutcome} from './tokens/Allowances';
export {Allowances, RESERVE_OUTCOME} from './tokens/Allowances';
