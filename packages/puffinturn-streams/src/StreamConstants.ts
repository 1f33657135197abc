/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Constants of stream origins. */

/**
 * Boxes that may hold the origin of a stream, in different halls where possible. The box
 * that serves the stream sends it to the first two of the others.
 */
export const REPLICA_CANDIDATES = 3;

/** Copies of an origin at boxes other than the one that serves the stream. */
export const REMOTE_COPIES = 2;

/** Timeout for storing origins at another box, ms. */
export const STORE_TIMEOUT_MS = 1_000;

/** Timeout for the lookup of an origin at another box, ms; a caller waits for it. */
export const FIND_TIMEOUT_MS = 250;

/** Timeout for a second lookup, ms; boxes that were too late once get more time. */
export const SECOND_FIND_TIMEOUT_MS = 500;

/** Minimum time between the starts of two lookups that are shared, ms. */
export const SHARED_LOOKUP_INTERVAL_MS = 250;

/** Maximum number of origins that an edge keeps; the oldest are dropped first. */
export const MAX_ORIGINS = 20_000;

/** Maximum number of origins that a control box keeps, for all edges. */
export const MAX_CONTROL_ORIGINS = 100_000;

/** Copies of an origin at control boxes. With three, one is left after any two have died. */
export const CONTROL_COPIES = 3;

/** Maximum number of origins in one message. */
export const MAX_ORIGINS_PER_MESSAGE = 200;
