/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The decisions of a box: which upstream, when, and whether again. */
export type {ChoiceContext} from './Choice';
export {
  Choice,
  ExpectedTimeChoice,
  LeastInFlightChoice,
  RandomChoice,
  RoundRobinChoice,
} from './Choice';
export {Circuit} from './Circuit';
export {Hedge} from './Hedge';
export type {BoxCount} from './Limit';
export {AdaptiveLimit, Limit, StaticLimit} from './Limit';
export {prefixBlocks, PrefixIndex} from './PrefixIndex';
export {
  backoffMs,
  RetryBudget,
  ShareRetryBudget,
  UnlimitedRetryBudget,
} from './RetryBudget';
export type {PlaceFailure, PlaceRequest, RouterParts} from './Router';
export {Place, Router} from './Router';
export type {LoadReport} from './Upstream';
export {Upstream} from './Upstream';
export type {WaitingRequest} from './WaitingQueue';
export {FairQueue, FifoQueue, WaitingQueue} from './WaitingQueue';
