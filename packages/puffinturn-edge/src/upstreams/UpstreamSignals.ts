/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Signals in the response headers of an upstream. */
import {unavailableRetryAfterMs} from 'shared';

import type {HeaderNames} from '../callers/CallerProtocol';
import type {UpstreamResponse} from '../connections/UpstreamResponse';

/** Signals that an upstream sends about its own state. */
export interface UpstreamSignals {
  /** Whether the upstream is draining and accepts no new requests. */
  readonly isDraining: boolean;
  /** Back-off requested from this edge, ms; undefined if none. */
  readonly retryAfterMs: number | undefined;
  /** Raw header value of the rejections a second that the upstream bears. */
  readonly brittleness: string | undefined;
  /** Raw header value of the request rate limit for all edges, requests/s. */
  readonly rateLimit: string | undefined;
}

/** Reads the signals from the headers of a response. */
export function parseUpstreamSignals(
  {headers, statusCode}: UpstreamResponse,
  headerNames: HeaderNames,
): UpstreamSignals {
  return {
    isDraining: headers[headerNames.draining] !== undefined,
    retryAfterMs: unavailableRetryAfterMs(
      statusCode,
      headers[headerNames.retryAfter],
    ),
    brittleness: headers[headerNames.brittleness],
    rateLimit: headers[headerNames.rateLimit],
  };
}
