/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Upstreams that take only so many requests a second from all boxes together. */
export type {GrantersParts, GrantingBox} from './Granters';
export {Granters} from './Granters';
export {LimitStatements} from './LimitStatements';
export {LEAST_PER_SECOND} from './PermitConstants';
export type {
  ColdTolerance,
  PermitCount,
  PermitGranterParts,
} from './PermitGranter';
export {boundOf, PermitGranter} from './PermitGranter';
export type {
  BoundedUpstream,
  PermitReply,
  PermitRequest,
} from './PermitMessages';
export {PERMIT_SERVICE} from './PermitMessages';
export type {PermitQuestion, PermitsParts} from './Permits';
export {Permits} from './Permits';
export type {UpstreamLimit} from './UpstreamLimit';
export {laterLimit, NO_LIMIT, rateOf} from './UpstreamLimit';
