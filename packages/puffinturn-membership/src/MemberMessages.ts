/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Membership messages between boxes and the leader. */
import type {DeclarationEntry} from 'puffinturn-ledger';
import type {CrashReport, Quarantine} from 'puffinturn-quarantine';
import type {HybridTimestamp} from 'puffinturn-timeline';

/** Name of the membership service on the link. */
export const MEMBER_SERVICE = 'member';

/** Requests in flight to one upstream. */
export interface InFlightCount {
  readonly pool: string;
  readonly upstream: string;
  readonly count: number;
}

/** A fenced incarnation whose process is still running under a newer one. */
export interface FormerIncarnation {
  readonly incarnation: string;
  /** Lowest serial of an admission that is still open. */
  readonly floor: number;
}

/** What a box reports about requests that crash upstreams. */
export interface CrashUpdate {
  /** Fingerprints of the requests that the box currently rejects. */
  readonly quarantined: readonly string[];
  /** Observations that the leader has not acknowledged yet. */
  readonly report: CrashReport | undefined;
}

/** Periodic state report of a box. */
export interface Heartbeat {
  readonly kind: 'heartbeat';
  readonly box: string;
  readonly incarnation: string;
  readonly configIndex: number;
  /** Lowest serial of an admission that is still open. */
  readonly floor: number;
  /** Fenced incarnations of the same process. */
  readonly former: readonly FormerIncarnation[];
  readonly stopping: boolean;
  readonly inFlight: readonly InFlightCount[];
  /** Upstreams that have announced to this box that they are shutting down. */
  readonly leaving: readonly string[];
  /** Missing in heartbeats of older versions. */
  readonly crashNews?: CrashUpdate | undefined;
  readonly stamp: HybridTimestamp;
}

/** Status of a box as sent to the other boxes. */
export interface BoxStatus {
  readonly box: string;
  readonly incarnation: string;
  readonly stopping: boolean;
}

/** Reply of the leader to a heartbeat. */
export interface HeartbeatReply {
  readonly kind: 'heartbeat';
  /** True if the incarnation is not registered and must register again. */
  readonly fenced: boolean;
  readonly configIndex: number;
  /** Declarations changed since the index in the heartbeat. */
  readonly entries: readonly DeclarationEntry[];
  readonly boxes: readonly BoxStatus[];
  /** Total requests in flight from all other boxes, per upstream. */
  readonly inFlight: readonly InFlightCount[];
  /** Upstreams that any box has reported as shutting down. */
  readonly leaving: readonly string[];
  /** Requests to reject; missing in replies of older versions. */
  readonly quarantine?: Quarantine | undefined;
  readonly stamp: HybridTimestamp;
}

/** Reply of any control box to a heartbeat. */
export type MemberReply =
  | HeartbeatReply
  | {readonly kind: 'not-leader'; readonly leader: string | undefined};
