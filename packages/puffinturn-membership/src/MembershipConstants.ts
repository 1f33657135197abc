/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Periods of heartbeats and suspicion. */

/** A box tells the leader of itself this often, ms. */
export const HEARTBEAT_MS = 300;

/** Without an answer for this long a box starts no new work, ms. */
export const CONFIG_LEASE_MS = 3_000;

/** Silence after which a box may be suspected at the earliest, ms. */
export const MIN_SUSPICION_MS = 1_500;

/** Silence after which a box is suspected at the latest, ms. */
export const MAX_SUSPICION_MS = 10_000;

/** Deviations from the mean interval that count as silence. */
export const SUSPICION_DEVIATIONS = 8;

/** Share of the suspicion time for a box that the platform calls gone. */
export const HINTED_SUSPICION_SHARE = 0.5;

/** How often the leader looks for silent boxes, ms. */
export const MONITOR_EVERY_MS = 200;

/** Limit for one heartbeat, ms. */
export const HEARTBEAT_CALL_MS = 500;
