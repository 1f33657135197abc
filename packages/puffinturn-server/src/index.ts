/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Limits on what clients of HTTP servers may take up, the same for every server. */
export {BodyBudget} from './BodyBudget';
export type {BoundedServerParts} from './BoundedServer';
export {BOUNDED_SERVER_OPTIONS, BoundedServer} from './BoundedServer';
export type {RequestHandler} from './ClientConnection';
export {createHonoHandler} from './honoHandler';
export type {ServerUsage} from './LimitCounter';
export {readBody} from './readBody';
export type {BodyFailure} from './RequestBody';
export {BODY_REFUSALS, RequestBody} from './RequestBody';
export type {ServerLimits, ServerShares} from './ServerLimits';
export {
  CHECK_LIMITS,
  ClientLimitsSchema,
  deriveServerLimits,
  DOCUMENT_SHARES,
  FORWARDING_SHARES,
} from './ServerLimits';
