/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Timing and sizes of the replicated log. */

/** Tunable timing of a replica; all in milliseconds of its own clock. */
export interface ReplicaTiming {
  /** A leader sends at least this often to every peer. */
  readonly heartbeatMs: number;
  /** A follower that heard nothing for this long may stand; randomised ×2. */
  readonly electionMs: number;
  /** Limit for one message between replicas. */
  readonly callMs: number;
}

/** For halls up to a few milliseconds apart. */
export const DEFAULT_TIMING: ReplicaTiming = {
  callMs: 400,
  electionMs: 500,
  heartbeatMs: 100,
};

/** Entries sent to a peer in one message at most. */
export const MAX_APPEND_ENTRIES = 2_000;

/**
 * Bytes of entries sent to a peer in one message; a larger one would not arrive
 * within a call's time. One entry alone may be larger.
 */
export const MAX_APPEND_BYTES = 256 * 1024;

/** Applied entries after which a snapshot is taken. */
export const SNAPSHOT_EVERY_ENTRIES = 50_000;

/** Entries kept behind a snapshot for followers that are a little behind. */
export const TRAILING_ENTRIES = 5_000;

/** Bytes in one part of a snapshot. */
export const SNAPSHOT_PART_BYTES = 256 * 1024;

/** A learner this close to the leader's log may become a voter. */
export const CAUGHT_UP_ENTRIES = 100;

/**
 * A voter silent for this many election times gives its place to a learner
 * that is up to date. Short, since a machine that replaces a lost one must
 * carry its share of the group's tolerance within seconds.
 */
export const REPLACE_ELECTIONS = 3;

/** A replica that heard no leader for this many election times asks to join. */
export const REJOIN_ELECTIONS = 4;

/** Election time-outs without a word after which a leader counts as lost. */
export const LOST_AFTER_ELECTIONS = 2;
