/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** How long streams may be served and resumed. */
import type {Route} from './Configuration';
import {RETRY_POLICY} from './Configuration';

/**
 * How long a stream may be served and resumed, as a multiple of the timeout of its route:
 * the caller may resume it until its own deadline, which is about that timeout.
 */
const STREAM_LIFETIME_TIMEOUTS = 2;

/** Lifetime of streams without a configured timeout, ms. */
export const DEFAULT_STREAM_LIFETIME_MS = 30_000;

/** The longest time for which a stream on one of these routes may be served and resumed, ms. */
export function streamLifetimeMs(routes: readonly Route[]): number {
  const timeouts = routes
    .filter(({repetition}) => repetition === RETRY_POLICY.resumable)
    .map(({timeoutMs}) => timeoutMs * STREAM_LIFETIME_TIMEOUTS);
  return timeouts.length === 0
    ? DEFAULT_STREAM_LIFETIME_MS
    : Math.max(...timeouts);
}
