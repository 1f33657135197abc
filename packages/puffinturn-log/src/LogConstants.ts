/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Constants of the replicated log. */

/** Timeouts and intervals of a replica, in milliseconds. */
export interface ReplicaTiming {
  /** Longest time between two messages from the leader to each peer. */
  readonly heartbeatIntervalMs: number;
  /**
   * A follower starts an election after this long without contact from a
   * leader. Randomised between one and two times this value.
   */
  readonly electionTimeoutMs: number;
  /** Timeout for one request to another replica. */
  readonly callTimeoutMs: number;
}

/** Default timing, for halls with a round trip of a few milliseconds. */
export const DEFAULT_TIMING: ReplicaTiming = {
  callTimeoutMs: 400,
  electionTimeoutMs: 500,
  heartbeatIntervalMs: 100,
};

/** Maximum number of entries in one append request. */
export const MAX_APPEND_ENTRIES = 2_000;

/**
 * Maximum size of the entries in one append request, bytes, so that it arrives within
 * the call timeout. A single entry may be larger.
 */
export const MAX_APPEND_BYTES = 256 * 1024;

/** Number of applied entries between two snapshots. */
export const SNAPSHOT_INTERVAL_ENTRIES = 50_000;

/**
 * Entries kept from before a snapshot, so that a follower that lags slightly
 * does not need the whole snapshot.
 */
export const TRAILING_ENTRIES = 5_000;

/** Size of one chunk of a snapshot transfer, bytes. */
export const SNAPSHOT_CHUNK_BYTES = 256 * 1024;

/** Maximum lag at which a learner may be promoted to a voter. */
export const MAX_LEARNER_LAG_ENTRIES = 100;

/**
 * A voter that has not replied for this many election timeouts is replaced by
 * a learner that has caught up. Kept short so that the group regains its fault
 * tolerance within seconds.
 */
export const REPLACE_AFTER_ELECTION_TIMEOUTS = 3;

/**
 * A replica without contact from a leader for this many election timeouts asks
 * to join the group again.
 */
export const REJOIN_AFTER_ELECTION_TIMEOUTS = 4;

/** A leader counts as lost after this many election timeouts without contact. */
export const LEADER_LOST_AFTER_ELECTION_TIMEOUTS = 2;

/**
 * Maximum time for which a new leader waits for enough voters before the first record,
 * ms. Boxes that start together join within 3 s.
 */
export const MAX_VOTER_WAIT_MS = 6_000;
