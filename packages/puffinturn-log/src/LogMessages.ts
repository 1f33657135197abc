/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Log entries and the messages between replicas. */
import type {Failure} from 'shared';

/**
 * Identifies a replica by its box and the incarnation of its disk. A box that
 * lost its disk gets a new replica id and ignores messages to the former one,
 * because it no longer knows its former votes and acknowledgements.
 */
export type ReplicaId = string;

/** Members of the group. Learners receive entries but do not vote. */
export interface Members {
  readonly voters: readonly ReplicaId[];
  readonly learners: readonly ReplicaId[];
}

/** Content of an entry: an application record, a member list or nothing. */
export type EntryBody =
  | {readonly kind: 'members'; readonly members: Members}
  | {readonly kind: 'noop'}
  | {readonly kind: 'record'; readonly record: unknown};

/** One entry of the log. */
export interface Entry {
  readonly index: number;
  readonly term: number;
  readonly body: EntryBody;
}

/**
 * Requests a vote. With `preVote`, asks whether a vote would be granted, without
 * changing the term or the vote of the receiver.
 */
export interface VoteRequest {
  readonly kind: 'vote';
  readonly to: ReplicaId;
  readonly from: ReplicaId;
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly preVote: boolean;
}

/** Reply to a VoteRequest. */
export interface VoteReply {
  readonly term: number;
  readonly granted: boolean;
}

/** Sends entries to a follower. Without entries it is a heartbeat. */
export interface AppendRequest {
  readonly kind: 'append';
  readonly to: ReplicaId;
  readonly from: ReplicaId;
  readonly term: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly Entry[];
  readonly commitIndex: number;
}

/** Reply to an AppendRequest. */
export interface AppendReply {
  readonly term: number;
  readonly success: boolean;
  /**
   * On success, the last synced index that matches the leader's log. Otherwise,
   * the index after which the leader should continue.
   */
  readonly matchIndex: number;
}

/** One chunk of a snapshot. Chunks are sent one at a time, in order. */
export interface SnapshotRequest {
  readonly kind: 'snapshot';
  readonly to: ReplicaId;
  readonly from: ReplicaId;
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly members: Members;
  readonly offset: number;
  readonly bytes: Uint8Array;
  readonly done: boolean;
}

/** Reply to a SnapshotRequest, with the offset of the next chunk to send. */
export interface SnapshotReply {
  readonly term: number;
  readonly nextOffset: number;
}

/** Asks a box for its replica id and whether it has joined a group. */
export interface IdentityRequest {
  readonly kind: 'identity';
}

/** Reply to an IdentityRequest. */
export interface IdentityReply {
  readonly replica: ReplicaId;
  /** Whether the replica belongs to a group. */
  readonly founded: boolean;
  /** Voters known to the replica; one of them may be the leader. */
  readonly voters: readonly ReplicaId[];
  /** The first member list of the group, if the replica still stores it. */
  readonly firstMembers?: Members | undefined;
  /**
   * The configured boxes, sorted, of a replica without a group in the first start of all
   * boxes; missing in replies of earlier software versions.
   */
  readonly bootstrapBoxes?: readonly string[] | undefined;
}

/** Initialises an empty replica with the first member list of a group. */
export interface BootstrapRequest {
  readonly kind: 'found';
  readonly to: ReplicaId;
  readonly members: Members;
}

/** Reply to a BootstrapRequest. */
export interface BootstrapReply {
  /** Whether the replica has stored this member list as the first one of its group. */
  readonly founded: boolean;
}

/** Asks the leader to add the sending replica to the group. */
export interface JoinRequest {
  readonly kind: 'join';
  readonly from: ReplicaId;
}

/** Any request between replicas. */
export type LogRequest =
  | AppendRequest
  | BootstrapRequest
  | IdentityRequest
  | JoinRequest
  | SnapshotRequest
  | VoteRequest;

/** Returns the box of a replica id. */
export function boxOf(replica: ReplicaId): string {
  return replica.slice(0, replica.lastIndexOf('~'));
}

/** Returns the replica id for one incarnation of a box's disk. */
export function replicaIdOf(box: string, incarnationId: string): ReplicaId {
  return `${box}~${incarnationId}`;
}

/** Why a proposal has no known result. */
export type ProposalFailure =
  /** Nothing was appended; retry at the box `leader`, if known. */
  | (Failure<'not-leader'> & {readonly leader: string | undefined})
  /** Appended, but possibly not committed. */
  | Failure<'leadership-lost'>
  /** Nothing was appended; retry once more replicas have joined. */
  | Failure<'too-few-voters'>
  | Failure<'stopped'>;
