/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Permits that enforce the request rate limit of an upstream across all boxes. */
export type {GrantingBox} from './Granters';
export {LimitStatements} from './LimitStatements';
export type {ColdTolerance} from './PermitGranter';
export {boundOf} from './PermitGranter';
export type {PermitQuestion} from './Permits';
export {Permits} from './Permits';
export type {UpstreamLimit} from './UpstreamLimit';
export {isLaterLimit, NO_LIMIT, rateOf} from './UpstreamLimit';
