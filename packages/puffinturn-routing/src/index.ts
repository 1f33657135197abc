/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Request routing in a box: load balancing, limits, queueing, retries and hedging. */
export {CircuitBreaker} from './CircuitBreaker';
export type {BoxCount} from './ConcurrencyLimit';
export {
  AdaptiveConcurrencyLimit,
  ConcurrencyLimit,
  StaticConcurrencyLimit,
} from './ConcurrencyLimit';
export {HedgePolicy} from './HedgePolicy';
export type {SelectionContext} from './LoadBalancer';
export {
  ExpectedLatencyBalancer,
  LeastInFlightBalancer,
  LoadBalancer,
  RandomBalancer,
  RoundRobinBalancer,
} from './LoadBalancer';
export {hashPromptBlocks, PrefixIndex} from './PrefixIndex';
export type {QueuedRequest} from './RequestQueue';
export {FairQueue, FifoQueue, RequestQueue} from './RequestQueue';
export {
  backoffDelayMs,
  RatioRetryBudget,
  RetryBudget,
  UnlimitedRetryBudget,
} from './RetryBudget';
export type {AcquireFailure, AcquireRequest, RouterParts} from './Router';
export {Router, UpstreamSlot} from './Router';
export type {LoadReport} from './Upstream';
export {Upstream} from './Upstream';
