/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Constants of the connections between boxes. */

/** Protocol version in the hello; both sides must use the same one. */
export const WIRE_VERSION = 1;

/** Maximum size of a frame body in bytes; a larger one closes the connection. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** Bytes queued to one peer above which calls are rejected. */
export const MAX_QUEUED_BYTES = 64 * 1024 * 1024;

/** Calls in flight to one peer at which further ones are rejected. */
export const MAX_IN_FLIGHT_CALLS = 20_000;

/**
 * Idle timeout while connecting and during the handshake, ms; twice the time after which
 * the system repeats a lost packet. Round trips over a full link may take over a second.
 */
export const CONNECT_TIMEOUT_MS = 2_000;

/**
 * Idle time before the first TCP keep-alive probe, ms. Without probes, the accepting
 * side would never close a connection whose peer has disappeared, and would keep its
 * memory and descriptor.
 */
export const KEEP_ALIVE_DELAY_MS = 10_000;

/**
 * Time without a frame after which a connection on which a call had no reply is replaced,
 * ms; another call may have had its reply just before the connection failed.
 */
export const SUSPECT_AFTER_QUIET_MS = 250;
