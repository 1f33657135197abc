/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Request routing in a box: load balancing, limits, queueing, retries and hedging. */
export type {SelectionContext} from './Choice';
export {
  Choice,
  ExpectedTimeChoice,
  LeastInFlightChoice,
  RandomChoice,
  RoundRobinChoice,
} from './Choice';
export {CircuitBreaker} from './CircuitBreaker';
export {Hedge} from './Hedge';
export type {BoxCount} from './Limit';
export {AdaptiveLimit, Limit, StaticLimit} from './Limit';
export {prefixBlocks, PrefixIndex} from './PrefixIndex';
export type {QueuedRequest} from './RequestQueue';
export {FairQueue, FifoQueue, RequestQueue} from './RequestQueue';
export {
  backoffMs,
  RetryBudget,
  ShareRetryBudget,
  UnlimitedRetryBudget,
} from './RetryBudget';
export type {AcquireFailure, PlaceRequest, RouterParts} from './Router';
export {Place, Router} from './Router';
export type {LoadReport} from './Upstream';
export {Upstream} from './Upstream';
