/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Messages that boxes exchange about stream origins. */
import type {KeyedOrigin, StreamOrigin} from './StreamOrigin';

/** Names of the calls on the link between boxes. */
export const STREAM_SERVICE = {
  find: 'stream-find',
  store: 'stream-store',
} as const;

/** Stores origins at another box. */
export interface StoreRequest {
  readonly origins: readonly KeyedOrigin[];
}

/** Asks another box for the origin of a stream. */
export interface FindRequest {
  /** Undefined to ask a control box for the versions of the service only. */
  readonly key?: string | undefined;
  /** The service of the request that resumes the stream; older software versions omit it. */
  readonly service?: string | undefined;
}

/** What a control box that follows the quorum knows of the versions of a service. */
export interface ServiceVersionList {
  /** Versions at which streams can have begun that may still be resumed, the oldest first. */
  readonly versions: readonly string[];
  /** Number of control boxes that may hold origins. */
  readonly controlBoxes: number;
}

/** The reply to a FindRequest. */
export interface FindReply {
  /** Undefined if the box has none. */
  readonly origin: StreamOrigin | undefined;
  /** Time since the box stored the origin, ms. */
  readonly ageMs: number | undefined;
  /**
   * Whether the box has all origins that it was told and that matter. Otherwise it may have
   * lost the origin in a restart.
   */
  readonly isComplete: boolean;
  /** Time for which an edge has all origins that it was told; older versions omit it, ms. */
  readonly completeMs?: number | undefined;
  /** Revision of the registered versions that an edge knows; older versions omit it. */
  readonly versionsRevision?: number | undefined;
  /** Whether an edge may take that list for complete; older versions omit it. */
  readonly hasVersionLease?: boolean | undefined;
  /** Time for which it could without a gap, ms; older versions omit it. */
  readonly versionLeaseMs?: number | undefined;
  /** Sent by a control box that follows the quorum. */
  readonly list?: ServiceVersionList | undefined;
}
