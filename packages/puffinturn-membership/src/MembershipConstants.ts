/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Constants of heartbeats and failure detection. */

/** Interval between heartbeats, ms. */
export const HEARTBEAT_INTERVAL_MS = 300;

/** Lease on starting work, from the last acknowledged heartbeat's send time, ms. */
export const CONFIG_LEASE_MS = 3_000;

/** Lower limit of the adaptive heartbeat timeout, ms. */
export const MIN_FENCING_TIMEOUT_MS = 1_500;

/** Upper limit of the adaptive heartbeat timeout, ms. */
export const MAX_FENCING_TIMEOUT_MS = 10_000;

/** Weight of the mean deviation in the adaptive heartbeat timeout. */
export const TIMEOUT_DEVIATION_FACTOR = 8;

/** Factor on the timeout of a box that the platform reports as gone. */
export const REPORTED_GONE_TIMEOUT_FACTOR = 0.5;

/** Interval between the leader's checks for heartbeat timeouts, ms. */
export const MONITOR_INTERVAL_MS = 200;

/** Timeout of one heartbeat call, ms. */
export const HEARTBEAT_TIMEOUT_MS = 500;
