/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Tracks, on one box, the limit that one incarnation of an upstream declares. */
import type {Clock} from 'shared';
import {parseDecimal} from 'shared';

import type {UpstreamRateLimit} from './UpstreamRateLimit';
import {
  isNewerLimit,
  maxRequestsPerSecond,
  NO_LIMIT,
} from './UpstreamRateLimit';

/** Lowest HTTP status code of an error response. */
const MIN_ERROR_STATUS = 400;

/** Rate limit information of one HTTP response. */
export interface LimitResponse {
  readonly status: number;
  /** Value of the rate limit header; undefined if the response has none. */
  readonly headerValue: string | undefined;
  /** When the request was sent, monotonic ms. */
  readonly sentAt: number;
}

/** The current limit of an upstream, updated from its responses and by other boxes. */
export class RateLimitTracker {
  private current = NO_LIMIT;
  /** When the current limit was last received, monotonic ms. */
  private confirmedAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** The current limit. */
  get limit(): UpstreamRateLimit {
    return this.current;
  }

  /**
   * Records the limit in a response. Returns whether the limit changed. A missing header
   * removes the limit only if the response is not an error. An invalid header is ignored.
   */
  recordResponse({headerValue, sentAt, status}: LimitResponse): boolean {
    const perSecond = parseDecimal(headerValue);
    const isInconclusive =
      headerValue === undefined
        ? status >= MIN_ERROR_STATUS
        : perSecond === undefined;
    return !isInconclusive && this.recordLimit(perSecond, sentAt);
  }

  /**
   * Records the limit of a response, or undefined for no limit. Returns whether the limit
   * changed. A lower limit applies immediately. A higher one, or none, applies only if
   * the request was sent after the current limit was last received: otherwise a delayed
   * response could restore an outdated limit.
   */
  recordLimit(perSecond: number | undefined, sentAt: number): boolean {
    const currentRate = maxRequestsPerSecond(this.current);
    const newRate = perSecond ?? Infinity;
    if (newRate > currentRate && sentAt <= this.confirmedAt) {
      return false;
    }
    if (newRate < Infinity) {
      this.confirmedAt = this.clock.now();
    }
    if (newRate === currentRate) {
      return false;
    }
    this.current = {perSecond, revision: this.current.revision + 1};
    return true;
  }

  /** Merges the limit known to another box. Returns whether the limit changed. */
  merge(received: UpstreamRateLimit): boolean {
    if (!isNewerLimit(received, this.current)) {
      return false;
    }
    this.current = received;
    this.confirmedAt = this.clock.now();
    return true;
  }

  /**
   * Copies the limit of the previous incarnation. Its revision is reset, so that any limit
   * of the new incarnation replaces it.
   */
  copyFrom({limit}: RateLimitTracker): void {
    this.current = {...limit, revision: 0};
    this.confirmedAt = this.clock.now();
  }
}
