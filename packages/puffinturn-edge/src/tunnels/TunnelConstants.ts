/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Constants of tunnels and of the detection of lost links. */

/** Time for another edge to connect to the upstream and reply, ms. */
export const TUNNEL_OPEN_TIMEOUT_MS = 600;

/** Length of the ticket that a client sends first on a tunnel connection, bytes. */
export const TICKET_BYTES = 16;

/** Time within which the client must use its ticket, ms. */
export const TICKET_LIFETIME_MS = 1_000;

/** Tunnels that one edge carries for others at a time; each takes two descriptors. */
export const MAX_CARRIED_TUNNELS = 256;

/** Age of the queue of callers above which an edge carries no further tunnels, ms. */
export const MAX_HELPER_QUEUE_AGE_MS = 250;

/** Edges that must fail to reach an upstream, or not know it, before no other is asked. */
export const MAX_NEGATIVE_REPLIES = 2;

/** Edges asked for one tunnel before the request fails. */
export const MAX_HELPERS_PER_REQUEST = 3;

/** Time for which an edge that refused is not asked again, ms. */
export const HELPER_BACKOFF_MS = 500;

/** Time for which an edge that did not reply is not asked again, ms. */
export const UNRESPONSIVE_HELPER_BACKOFF_MS = 2_000;

/** Upstreams probed to verify that all links are lost. */
export const VERIFICATION_PROBES = 3;

/** Minimum time between two verifications, ms. */
export const VERIFICATION_INTERVAL_MS = 500;

/**
 * Pause between two probes of lost links, ms. One upstream is probed at a time, so that
 * the load returns step by step.
 */
export const PROBE_INTERVAL_MS = 100;

/**
 * Timeout of a probe in a verification, ms; shorter than that of a connection for a
 * request, as a wrong result is corrected by the next probe.
 */
export const VERIFICATION_TIMEOUT_MS = 250;

/** Minimum time between two searches for a way around links that hang, ms. */
export const BYPASS_CHECK_INTERVAL_MS = 500;

/**
 * Time for the own link to reply while other edges are asked, ms; as long as all that are
 * asked may take together.
 */
export const BYPASS_CHECK_TIMEOUT_MS =
  MAX_HELPERS_PER_REQUEST * TUNNEL_OPEN_TIMEOUT_MS;

/** Interval at which the edge checks whether anything arrives from upstreams, ms. */
export const SILENCE_CHECK_INTERVAL_MS = 50;

/**
 * Longest time between two checks that counts as silence, ms. A check that is later was
 * delayed by this edge itself, which read nothing meanwhile.
 */
export const MAX_SILENCE_STEP_MS = 2 * SILENCE_CHECK_INTERVAL_MS;

/** Requests in flight, and upstreams that have them, from which silence is suspicious. */
export const MIN_SILENT_REQUESTS = 3;
export const MIN_SILENT_UPSTREAMS = 2;

/** Bounds of the time without reads that makes the edge verify its links, ms. */
export const MIN_SILENCE_MS = 150;
export const MAX_SILENCE_MS = 1_000;

/** Multiple of the usual time without reads that is suspicious. */
export const USUAL_SILENCE_FACTOR = 2;

/** Time constant with which the usual time without reads is forgotten, ms. */
export const USUAL_SILENCE_DECAY_MS = 15_000;

/** Time for which no other edge is asked again for an upstream that it can't reach, ms. */
export const UNREACHABLE_BACKOFF_MS = 2_000;
