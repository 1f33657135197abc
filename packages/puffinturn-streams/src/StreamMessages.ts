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
  readonly key: string;
}

/** The reply to a FindRequest. */
export interface FindReply {
  /** Undefined if the box has none. */
  readonly origin: StreamOrigin | undefined;
  /** Time since the box stored the origin, ms. */
  readonly ageMs: number | undefined;
  /**
   * Whether the box has run for as long as origins are kept. Otherwise it may have lost
   * the origin in a restart.
   */
  readonly isComplete: boolean;
}
