/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {TunnelRoute} from '../../connections/Exchange';
import {Exchange} from '../../connections/Exchange';
import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {TestProtocol} from './ForwardingFixture';

/** Sends a request without a body to an upstream. */
export function createExchange(
  upstream: EdgeUpstream,
  tunnel?: TunnelRoute,
): Exchange {
  return new Exchange({
    body: Buffer.alloc(0),
    headerNames: new TestProtocol().headers,
    headers: [],
    method: 'GET',
    path: '/',
    requestId: 'r-1',
    tunnel,
    upstream,
  });
}
