/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Signals in the response headers of an upstream. */
import {restMsOf} from 'shared';

import type {HeaderNames} from '../callers/CallerDialect';
import type {UpstreamAnswer} from '../connections/UpstreamAnswer';

/** Signals that an upstream sends about its own state. */
export interface UpstreamSignals {
  /** Whether the upstream is draining and accepts no new requests. */
  readonly leaving: boolean;
  /** Back-off requested from this edge, ms; undefined if none. */
  readonly restMs: number | undefined;
  /** Raw header value of the request rate limit for all edges, requests/s. */
  readonly limit: string | undefined;
}

/** Reads the signals from the headers of a response. */
export function statementOf(
  {headers, statusCode}: UpstreamAnswer,
  headerNames: HeaderNames,
): UpstreamSignals {
  return {
    leaving: headers[headerNames.leaving] !== undefined,
    restMs: restMsOf(statusCode, headers[headerNames.retryAfter]),
    limit: headers[headerNames.limit],
  };
}
