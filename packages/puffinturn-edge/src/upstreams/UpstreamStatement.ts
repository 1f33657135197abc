/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** What an upstream says of itself in the head of an answer. */
import {restMsOf} from 'shared';

import type {HeaderNames} from '../callers/CallerDialect';
import type {UpstreamAnswer} from '../connections/UpstreamAnswer';

/** See the module comment. */
export interface UpstreamStatement {
  /** Whether it is about to leave and wants no new requests. */
  readonly leaving: boolean;
  /** How long it wants no requests from this edge, ms; undefined where unsaid. */
  readonly restMs: number | undefined;
  /** How many requests a second it takes from all edges, as it is named. */
  readonly limit: string | undefined;
}

/** Reads the head of an answer. */
export function statementOf(
  {headers, statusCode}: UpstreamAnswer,
  names: HeaderNames,
): UpstreamStatement {
  return {
    leaving: headers[names.leaving] !== undefined,
    restMs: restMsOf(statusCode, headers[names.retryAfter]),
    limit: headers[names.limit],
  };
}
