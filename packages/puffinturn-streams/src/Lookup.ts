/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** What a lookup of a stream's origin found. */
import type {StreamOrigin} from './StreamOrigin';

/** Results of a lookup. */
export const LOOKUP = {
  /** Enough boxes replied to be sure that the stream, which is named, was not recorded. */
  absent: 'absent',
  found: 'found',
  /** Some boxes replied, but none has the origin. */
  unknown: 'unknown',
  /** No other box replied. */
  unreachable: 'unreachable',
} as const;

/** A lookup that found the origin. */
export interface FoundOrigin {
  readonly kind: typeof LOOKUP.found;
  readonly origin: StreamOrigin;
  readonly ageMs: number;
  /** Box that had the origin. */
  readonly source: string;
}

/** A lookup that did not find it. */
export interface MissedOrigin {
  readonly kind: Exclude<
    (typeof LOOKUP)[keyof typeof LOOKUP],
    typeof LOOKUP.found
  >;
  /**
   * Whether enough of the boxes that miss it have missed no copies: control boxes, or edges whose
   * lease on the list of versions has not run out for the lifetime of origins.
   */
  readonly hasNoGap?: boolean | undefined;
  /**
   * The versions at which the stream can have begun, the oldest first, as a control box that
   * follows the quorum has replied; undefined if none did.
   */
  readonly versions?: readonly string[] | undefined;
  /** The newest revision of the registered versions that any edge replied with. */
  readonly versionsRevision?: number | undefined;
  /** Whether an edge replied that may take its list of versions for complete. */
  readonly hasLease?: boolean | undefined;
  /**
   * Share of the known edges, this one included, that replied with their list of versions.
   * Only for streams without a key.
   */
  readonly listShare?: number | undefined;
}

/** The result of the lookup of an origin. */
export type Lookup = FoundOrigin | MissedOrigin;

/** What is looked up. */
export interface OriginQuery {
  /** Undefined if the caller does not name its stream. */
  readonly key: string | undefined;
  /** The service of the request that resumes the stream. */
  readonly service: string;
  /**
   * A stream that began earlier than this is known to have begun at the only version, ms;
   * Infinity if none is.
   */
  readonly unsureMs: number;
  /**
   * Share of the edges whose lists of versions are needed for a stream without a key, 1 by
   * default. Fewer replies are asked for again.
   */
  readonly neededListShare?: number | undefined;
}

/** A query to other boxes. */
export interface OriginLookup extends OriginQuery {
  /** How long to wait for replies, ms. */
  readonly timeoutMs: number;
}
