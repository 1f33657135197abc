/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Messages that control boxes and edges exchange. */
import type {UpstreamRateLimit} from 'puffinturn-permits';
import type {CrashReport, Quarantine} from 'puffinturn-quarantine';

import type {AllowanceGrant} from './AllowanceLedger';
import type {BoxChanges} from './BoxList';
import type {FleetConfiguration} from './Configuration';
import type {ConfigurationChange} from './ConfigurationChange';
import type {Evacuations} from './Evacuations';
import type {Rollouts} from './Rollouts';
import type {UpstreamIncarnation, UpstreamRecord} from './UpstreamTable';
import type {RegisteredVersions} from './VersionRegistry';

/** Service names on the link between boxes. */
export const FLEET_SERVICE = {
  addVersion: 'fleet-add-version',
  allowance: 'fleet-allowance',
  beginRollout: 'fleet-begin-rollout',
  borrowTokens: 'fleet-borrow',
  changeConfiguration: 'fleet-change',
  confirmState: 'fleet-confirm-state',
  evacuate: 'fleet-evacuate',
  exposure: 'fleet-exposure',
  give: 'fleet-give',
  openTunnel: 'fleet-open-tunnel',
  checkStateNeeded: 'fleet-greet',
  sendState: 'fleet-hand-over',
  readConfiguration: 'fleet-read',
  readRollout: 'fleet-read-rollout',
  recordDeparture: 'fleet-record-departure',
  reportCrashes: 'fleet-report-crashes',
  reportLimits: 'fleet-report-limits',
  requestWithdrawal: 'fleet-step-aside',
  watch: 'fleet-watch',
} as const;

/** Roles of boxes in the fleet. */
export const BOX_ROLE = {control: 'control', edge: 'edge'} as const;

/** A value of BOX_ROLE. */
export type BoxRole = (typeof BOX_ROLE)[keyof typeof BOX_ROLE];

/** A member of the fleet. */
export interface BoxRecord {
  /** Address for calls between boxes, IP:PORT. */
  readonly box: string;
  readonly role: BoxRole;
  readonly hall: string;
  /** The region of the hall; missing in records of older software versions. */
  readonly region?: string | undefined;
  /** Identifies one incarnation of the process; a restart changes it. */
  readonly incarnation: string;
}

/** Returns the identifier of an incarnation of a box, as used in token messages. */
export function incarnationIdOf({
  box,
  incarnation,
}: Pick<BoxRecord, 'box' | 'incarnation'>): string {
  return `${box} ${incarnation}`;
}

/** Requests all updates; the reply is delayed until there are any (long polling). */
export interface WatchRequest {
  readonly from: BoxRecord;
  readonly configurationVersion: number;
  /** The requester's revision of the evacuations. */
  readonly evacuationRevision: number;
  /** The requester's revision of the rollouts; older software versions omit it. */
  readonly rolloutRevision?: number | undefined;
  /** The requester's revision of the quarantine; older software versions omit it. */
  readonly quarantineRevision?: number | undefined;
  /** The requester's revision of the registered versions; older software omits it. */
  readonly versionsRevision?: number | undefined;
  /** The incarnation of the responder to which the box and upstream revisions belong. */
  readonly incarnation: string;
  readonly upstreamsRevision: number;
  readonly boxesRevision: number;
  /** Longest delay of the reply, ms. */
  readonly waitMs: number;
  /** Whether the responder must pass a barrier of the log before it replies. */
  readonly current: boolean;
  /**
   * Whether the requester gets configurations and boxes from another control box. The
   * reply then omits them and only contains the version number of the configuration.
   */
  readonly brief: boolean;
  /**
   * Whether the requester assumes that the responder knows a leader; if that is wrong, the
   * responder replies without delay. Older software versions omit it.
   */
  readonly hearsLeader?: boolean | undefined;
  /**
   * Whether the reply may have `packedUpdate` in place of `configuration` and
   * `configurationChange`. Older software versions omit it.
   */
  readonly acceptsPacked?: boolean | undefined;
}

/** Updates since the last reply. */
export interface WatchReply {
  readonly incarnation: string;
  readonly leader: string | undefined;
  /** A newer configuration; undefined if `configurationChange` is sent instead. */
  readonly configuration: FleetConfiguration | undefined;
  /** The difference between the requester's configuration and a newer one. */
  readonly configurationChange: ConfigurationChange | undefined;
  /** What `packUpdate` returned; only to requesters that accept it. */
  readonly packedUpdate?: Uint8Array | undefined;
  /** Evacuations newer than the requester's revision. */
  readonly evacuations: Evacuations | undefined;
  /** Rollouts newer than the requester's revision. */
  readonly rollouts?: Rollouts | undefined;
  /** A quarantine newer than the requester's revision. */
  readonly quarantine?: Quarantine | undefined;
  /** Registered versions newer than the requester's revision; from boxes that are current. */
  readonly versions?: RegisteredVersions | undefined;
  /** Revision of the responder's registered versions; older software versions omit it. */
  readonly versionsRevision?: number | undefined;
  readonly upstreams: readonly UpstreamRecord[];
  readonly upstreamsRevision: number;
  /** The configuration version of the responder; -Infinity without one. */
  readonly heldVersion: number;
  /**
   * Changes of the live boxes, if any. An edge gets all boxes of the fleet; a control box
   * gets those that watch the responder.
   */
  readonly boxes: BoxChanges | undefined;
  readonly boxesRevision: number;
  /** Whether a requested barrier of the log was passed. */
  readonly current: boolean;
  /**
   * Time since when the state of the responder may lack what a quorum has stored, ms.
   * Undefined if it was never confirmed; older software versions omit it.
   */
  readonly stateAgeMs?: number | undefined;
  /** How long the responder held the request, ms; older software versions omit it. */
  readonly heldMs?: number | undefined;
  /** How long the responder has had `heldVersion`, ms; older software versions omit it. */
  readonly heldVersionMs?: number | undefined;
}

/** Reply to an exchange; undefined grants mean that it failed and may be retried. */
export interface AllowanceReply {
  readonly grants: readonly AllowanceGrant[] | undefined;
}

/** Requests a loan of tokens from another edge. */
export interface BorrowRequest {
  /** The incarnation of the borrower; together with `number` it identifies the loan. */
  readonly borrower: string;
  readonly number: number;
  /** Whether this only queries the outcome of a loan whose reply was lost. */
  readonly outcomeOnly: boolean;
  readonly team: string;
  /** Tokens that a pending request is short of. */
  readonly need: number;
  /** Desired number of tokens; at least `need`. */
  readonly want: number;
  /**
   * The fraction of its target balance that the lender keeps; older software versions omit
   * it, which means 0.
   */
  readonly keepPart?: number | undefined;
  /**
   * Whether the lender, as the token holder of its hall, may request missing tokens from the
   * control boxes and the other halls. It then lends at least `need` or nothing.
   */
  readonly gather: boolean;
}

/** Outcomes of a loan request. */
export const LOAN_OUTCOME = {
  /** The lender lent what it could spare. */
  lent: 'lent',
  /** The whole fleet has too few tokens. */
  exhausted: 'exhausted',
  /** The lender has too few tokens, and some other holder did not reply. */
  unavailable: 'unavailable',
  /** The lender is shutting down; another edge of the hall becomes the holder. */
  closing: 'closing',
} as const;

/** Outcome of a loan request. */
export type LoanOutcome = (typeof LOAN_OUTCOME)[keyof typeof LOAN_OUTCOME];

/** Tokens that the lender has transferred. */
export interface BorrowReply {
  readonly given: number;
  readonly outcome: LoanOutcome;
}

/** Tokens of one team that an edge transfers to another one. */
export interface Gift {
  readonly team: string;
  readonly amount: number;
}

/** Transfers tokens to another edge. */
export interface GiveRequest {
  /** The incarnation of the sender. */
  readonly giver: string;
  /**
   * The only incarnation that may accept the transfer, as a later one can't tell whether it
   * was accepted before. Older software versions omit it.
   */
  readonly receiver?: string | undefined;
  /** Increases with each transfer of the sender; a repeated one is applied once. */
  readonly number: number;
  readonly gifts: readonly Gift[];
}

/**
 * Whether the receiver accepted the tokens. It declines them if it is shutting down or if
 * they are for another incarnation.
 */
export interface GiveReply {
  readonly taken: boolean;
  /** The incarnation of the receiver; older software versions omit it. */
  readonly receiver?: string | undefined;
}

/** Whether an edge needs initial state; the request is empty. */
export interface StateNeededReply {
  /** Whether it has no configuration and has not reached a control box. */
  readonly needsState: boolean;
  /** Whether it understands a PackedEdgeState. Older software versions omit it. */
  readonly acceptsPacked?: boolean | undefined;
}

/**
 * Whether an overloaded edge may stop accepting connections for a while and leave them to
 * the other edges of its hall; the request is empty.
 */
export interface WithdrawalReply {
  readonly agreed: boolean;
}

/** Asks another edge to carry one request to an upstream that it can reach. */
export interface TunnelRequest {
  /** Id of the caller's request, for the log. */
  readonly requestId: string;
  readonly upstreamId: string;
  /** Address of the upstream, IP:PORT, as known to the asking edge. */
  readonly address: string;
}

/** Outcomes of a request for a tunnel. */
export const TUNNEL_OUTCOME = {
  /** The edge is connected to the upstream. */
  open: 'open',
  /** The edge can't connect to the upstream. */
  unreachable: 'unreachable',
  /** The edge does not know the upstream at this address, or knows that it leaves. */
  unknownUpstream: 'unknown-upstream',
  /** The edge has lost its own links. */
  cutOff: 'cut-off',
  overloaded: 'overloaded',
  stopping: 'stopping',
} as const;

/** A value of TUNNEL_OUTCOME. */
export type TunnelOutcome =
  (typeof TUNNEL_OUTCOME)[keyof typeof TUNNEL_OUTCOME];

/** Where to open a tunnel connection, and the ticket to send first. */
export interface TunnelAddress {
  readonly host: string;
  readonly port: number;
  readonly ticket: Uint8Array;
}

/** Reply to a TunnelRequest. */
export interface TunnelReply {
  readonly outcome: TunnelOutcome;
  /** Present if the outcome is `open`. */
  readonly tunnel?: TunnelAddress | undefined;
}

/** The state of an edge, sent to an edge that can't reach a control box. */
export interface EdgeState {
  readonly configuration: FleetConfiguration;
  readonly upstreams: readonly UpstreamRecord[];
  /** Older software versions omit it. */
  readonly evacuations?: Evacuations | undefined;
  /** Older software versions omit it. */
  readonly rollouts?: Rollouts | undefined;
  /** Older software versions omit it. */
  readonly quarantine?: Quarantine | undefined;
  /** Older software versions omit it. */
  readonly versions?: RegisteredVersions | undefined;
  /** All known boxes, including the receiver. */
  readonly boxes: readonly BoxRecord[];
}

/** The state of an edge with a compressed configuration. */
export interface PackedEdgeState extends Omit<EdgeState, 'configuration'> {
  /** What `packUpdate` returned for a whole configuration. */
  readonly packedUpdate: Uint8Array;
}

/** Reports requests that were in flight at crashes; any control box forwards it to the leader. */
export interface CrashReportRequest {
  readonly box: string;
  readonly report: CrashReport;
  /**
   * Start of the quarantine that an operator's release ends, Unix ms; a later quarantine of
   * the entry stays. Missing in other reports, and those of earlier software versions.
   */
  readonly releasedSince?: number | undefined;
}

/** Whether a quorum has stored the report; if not, it may be retried. */
export interface CrashReportReply {
  readonly taken: boolean;
  /** Whether a release names nothing that is quarantined; then it is not stored. */
  readonly isUnknown?: boolean | undefined;
}

/** A limit that an incarnation of an upstream reported in responses to an edge. */
export interface LimitReport {
  readonly id: string;
  readonly bornAt?: number | undefined;
  readonly limit: UpstreamRateLimit;
}

/** Sends limits that upstreams reported to any control box; the reply is empty. */
export interface LimitReportsRequest {
  readonly box: string;
  readonly reports: readonly LimitReport[];
}

/** Requests the leader to register a version of a service. */
export interface AddVersionRequest {
  readonly service: string;
  /** Empty if its upstreams name none. */
  readonly version: string;
}

/** Whether a quorum has stored the version. */
export interface AddVersionReply {
  readonly stored: boolean;
}

/** Requests the leader to replace the configuration with a validated one. */
export interface ConfigurationChangeRequest {
  readonly version: number;
  /** The configuration and its document, encoded by `packConfiguration`. */
  readonly packed: Uint8Array;
}

/** Requests the leader to store the departure of an upstream. */
export interface DepartureRequest {
  readonly id: string;
  /** The incarnation that leaves; undefined for the latest known one. */
  readonly incarnation: UpstreamIncarnation | undefined;
  /** The latest incarnation that the requesting box knows. */
  readonly latestKnown: UpstreamIncarnation | undefined;
}

/** Outcomes of a departure other than those of a failed proposal. */
export const DEPARTURE_OUTCOME = {
  /** A quorum has stored it. */
  acknowledged: 'acknowledged',
  leaderUnreachable: 'leader-unreachable',
  /** Neither the announcement nor a box says which incarnation leaves. */
  unknownUpstream: 'unknown-upstream',
} as const;

/** What came of a departure. */
export interface DepartureReply {
  /** One of DEPARTURE_OUTCOME, or the kind of the failure of the proposal. */
  readonly outcome: string;
}

/** An operator's order to evacuate a hall or to return it to service. */
export interface EvacuationOrder {
  readonly hall: string;
  readonly evacuated: boolean;
}

/** An order as sent to the leader by the control box that received it. */
export interface EvacuateRequest extends EvacuationOrder {
  /**
   * Revision of the evacuations at that box when it received the order; missing in requests
   * of earlier software versions.
   */
  readonly knownRevision?: number | undefined;
}

/** Whether a quorum has stored an evacuation. */
export interface EvacuateReply {
  readonly accepted: boolean;
}

/** Result of a configuration change. */
export interface ConfigurationChangeReply {
  readonly accepted: boolean;
  /** The current version after the request. */
  readonly heldVersion: number | undefined;
}

/** The current configuration document, read after a barrier of the log. */
export interface ConfigurationReadReply {
  /** Whether the barrier was passed; without it there is no document. */
  readonly current: boolean;
  readonly document: string | undefined;
}
