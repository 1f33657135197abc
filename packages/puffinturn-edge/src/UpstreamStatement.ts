/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** What an upstream says of itself in the head of an answer. */
import {decimalOf, restMsOf} from 'shared';

import type {HeaderNames} from './CallerDialect';
import type {UpstreamAnswer} from './UpstreamAnswer';

/** See the module comment. */
export interface UpstreamStatement {
  /** Whether it is about to leave and wants no new requests. */
  readonly leaving: boolean;
  /** How long it wants no requests from this edge, ms; undefined where unsaid. */
  readonly restMs: number | undefined;
  /** Whether it limits how many requests a second it takes. */
  readonly isLimited: boolean;
  /**
   * How many it takes from all edges together; undefined where it isn't limited, or
   * names no number.
   */
  readonly limitPerS: number | undefined;
}

/** Reads the head of an answer. */
export function statementOf(
  {headers, statusCode}: UpstreamAnswer,
  names: HeaderNames,
): UpstreamStatement {
  return {
    leaving: headers[names.leaving] !== undefined,
    restMs: restMsOf(statusCode, headers[names.retryAfter]),
    isLimited: headers[names.limit] !== undefined,
    limitPerS: decimalOf(headers[names.limit]),
  };
}
