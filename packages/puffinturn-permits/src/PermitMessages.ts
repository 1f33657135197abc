/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Messages that boxes exchange to request permits. */
import type {UpstreamRateLimit} from './UpstreamRateLimit';

/** Service name of permit requests on the link between boxes. */
export const PERMIT_SERVICE = 'permits';

/** Identifies a rate-limited upstream in messages between boxes. */
export interface RateLimitedUpstream {
  readonly id: string;
  readonly hall: string;
}

/** Requests permits for one upstream. */
export interface PermitRequest {
  readonly upstream: RateLimitedUpstream;
  /** The limit of the upstream as known to the requesting box. */
  readonly limit: UpstreamRateLimit;
  /** Requests per second allowed during warm-up; undefined after it. */
  readonly coldPerSecond?: number | undefined;
  /** Number of permits requested; 0 only reports the limit. */
  readonly wanted: number;
  /** Whether the permits are for requests of the lowest urgency. */
  readonly isLeastUrgent: boolean;
}

/** The reply to a permit request. Permits must be used immediately. */
export interface PermitReply {
  readonly granted: number;
  /** How long to wait before the next request, ms; 0 if all permits were granted. */
  readonly waitMs: number;
  /** The limit of the upstream as known to the granter. */
  readonly limit: UpstreamRateLimit;
}
