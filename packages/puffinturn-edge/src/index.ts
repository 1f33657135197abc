/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Serving requests at the edge. */
export type {AllowancesParts, ReserveOutcome} from './Allowances';
export {Allowances, RESERVE} from './Allowances';
export type {HeaderNames, PromptPart, TokenBounds} from './CallerDialect';
export {CallerDialect} from './CallerDialect';
export type {EdgeParts} from './Edge';
export {Edge} from './Edge';
export type {HttpAddress, HttpListenFailure} from './EdgeHttp';
export {HttpListener} from './EdgeHttp';
export type {EventBatch} from './EventStream';
export {EventCutter} from './EventStream';
export type {RetryBound} from './RetryBudgets';
export {RouteTable} from './RouteTable';
