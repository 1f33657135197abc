/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** What a box knows of a control box that it may poll. */
import type {BoxRecord} from './FleetMessages';

/** A control box that may be polled. */
export interface ControlPeer {
  readonly box: string;
  /** Undefined until the control box appears in a list of boxes. */
  hall: string | undefined;
  /** Boxes that it has reported, by address. */
  readonly boxes: Map<string, BoxRecord>;
  incarnation: string;
  upstreamsRevision: number;
  boxesRevision: number;
  lastReplyAt: number | undefined;
  isReachable: boolean;
  /** Whether it has passed a barrier of the log for a reply. */
  hasCurrentReply: boolean;
  /**
   * Whether the last call failed or its reply named no leader. It may then be partitioned
   * from the quorum, and its data may be stale.
   */
  isUnhealthy: boolean;
  lastPollAt: number;
  /** Number of the latest poll. */
  pollCount: number;
  /** The latest poll whose reply was applied. */
  appliedPoll: number;
  /** Whether the configuration of its last reply is being unpacked. */
  isUnpacking: boolean;
  /** Polls that failed since the last reply. */
  failedPolls: number;
  /** Hash that orders control boxes at the same distance. */
  readonly rank: number;
}

/** A control box that has not been called yet; a higher rank is polled later. */
export function createControlPeer(box: string, rank: number): ControlPeer {
  return {
    appliedPoll: 0,
    box,
    boxes: new Map(),
    boxesRevision: -1,
    failedPolls: 0,
    hall: undefined,
    hasCurrentReply: false,
    incarnation: '',
    isReachable: false,
    isUnhealthy: false,
    isUnpacking: false,
    lastPollAt: -Infinity,
    lastReplyAt: undefined,
    pollCount: 0,
    rank,
    upstreamsRevision: 0,
  };
}
