/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Messages between boxes and the leader about membership. */
import type {DeclarationEntry} from 'puffinturn-ledger';
import type {CrashReport, Quarantine} from 'puffinturn-quarantine';
import type {Stamp} from 'puffinturn-timeline';

/** The service name on the link. */
export const MEMBER_SERVICE = 'member';

/** Requests in flight to one upstream. */
export interface UpstreamCount {
  readonly pool: string;
  readonly upstream: string;
  readonly count: number;
}

/** A fenced incarnation whose process goes on under another name. */
export interface FormerIncarnation {
  readonly incarnation: string;
  /** Lowest serial of an admission that is still open. */
  readonly floor: number;
}

/** What a box knows of requests that crash upstreams. */
export interface CrashNews {
  /** Fingerprints of requests that it was told to refuse. */
  readonly quarantined: readonly string[];
  /** What it has seen and not told yet. */
  readonly report: CrashReport | undefined;
}

/** What a box tells of itself. */
export interface Heartbeat {
  readonly kind: 'heartbeat';
  readonly box: string;
  readonly incarnation: string;
  readonly configIndex: number;
  /** Lowest serial of an admission that is still open. */
  readonly floor: number;
  /** Earlier incarnations of the same process, which were fenced. */
  readonly former: readonly FormerIncarnation[];
  readonly stopping: boolean;
  readonly inFlight: readonly UpstreamCount[];
  /** Upstreams that told this box that they are leaving. */
  readonly leaving: readonly string[];
  /** Missing in heartbeats of a former version. */
  readonly crashNews?: CrashNews | undefined;
  readonly stamp: Stamp;
}

/** A box as the others see it. */
export interface BoxNews {
  readonly box: string;
  readonly incarnation: string;
  readonly stopping: boolean;
}

/** What the leader answers. */
export interface HeartbeatReply {
  readonly kind: 'heartbeat';
  /** True when this process is fenced and must register anew. */
  readonly fenced: boolean;
  readonly configIndex: number;
  /** Changes after the index that the box has. */
  readonly entries: readonly DeclarationEntry[];
  readonly boxes: readonly BoxNews[];
  /** In flight from all other boxes. */
  readonly inFlight: readonly UpstreamCount[];
  /** Upstreams that any box knows to be leaving. */
  readonly leaving: readonly string[];
  /** Requests to refuse; missing in answers of a former version. */
  readonly quarantine?: Quarantine | undefined;
  readonly stamp: Stamp;
}

/** Every answer to a heartbeat. */
export type MemberReply =
  | HeartbeatReply
  | {readonly kind: 'not-leader'; readonly leader: string | undefined};
