/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Questions for permits between boxes. */
import type {UpstreamLimit} from './UpstreamLimit';

/** Name of the service on the link between boxes. */
export const PERMIT_SERVICE = 'permits';

/** An upstream whose rate is bounded, as boxes name it to each other. */
export interface BoundedUpstream {
  readonly id: string;
  readonly hall: string;
}

/** Asks for permits for requests to one upstream. */
export interface PermitRequest {
  readonly upstream: BoundedUpstream;
  /** What the upstream said of its limit, as the asking box knows it. */
  readonly limit: UpstreamLimit;
  /** Requests a second that it bears while it is cold; undefined once it is warm. */
  readonly coldPerSecond?: number | undefined;
  readonly wanted: number;
  /** Whether they are for requests of the least urgent kind. */
  readonly isLeastUrgent: boolean;
}

/** What was granted, of what was wanted. Permits are to be used at once. */
export interface PermitReply {
  readonly granted: number;
  /** When to ask again, ms; 0 where all was granted. */
  readonly waitMs: number;
  /** What the granter knows of the limit. */
  readonly limit: UpstreamLimit;
}
