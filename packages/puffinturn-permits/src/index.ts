/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Permits that enforce the request rate limit of an upstream across all boxes. */
export type {GranterCandidate} from './GranterSelector';
export type {PermitQuery} from './PermitClient';
export {PermitClient} from './PermitClient';
export type {ColdTolerance} from './PermitGranter';
export {effectiveLimit} from './PermitGranter';
export {RateLimitTracker} from './RateLimitTracker';
export {SlotClient} from './SlotClient';
export type {UpstreamRateLimit} from './UpstreamRateLimit';
export {
  isNewerLimit,
  maxRequestsPerSecond,
  NO_LIMIT,
} from './UpstreamRateLimit';
