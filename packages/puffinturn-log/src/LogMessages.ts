/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Entries of the replicated log and the messages between replicas. */
import type {Failure} from 'shared';

/**
 * One replica: a box together with the life of its disk. A box that lost its
 * disk comes back under another replica id and never answers to the old one.
 */
export type ReplicaId = string;

/** Who takes part in the log. Learners receive entries and do not vote. */
export interface Members {
  readonly voters: readonly ReplicaId[];
  readonly learners: readonly ReplicaId[];
}

/** What an entry carries: a record of the application, or new members. */
export type EntryBody =
  | {readonly kind: 'members'; readonly members: Members}
  | {readonly kind: 'noop'}
  | {readonly kind: 'record'; readonly record: unknown};

/** One position of the log. */
export interface Entry {
  readonly index: number;
  readonly term: number;
  readonly body: EntryBody;
}

/** Asks for a vote, or (with `preVote`) whether a vote would be given. */
export interface VoteRequest {
  readonly kind: 'vote';
  readonly to: ReplicaId;
  readonly from: ReplicaId;
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly preVote: boolean;
}

/** Answer to a VoteRequest. */
export interface VoteReply {
  readonly term: number;
  readonly granted: boolean;
}

/** Entries for a follower; without entries it is a heartbeat. */
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

/** Answer to an AppendRequest: up to where the follower's log is synced. */
export interface AppendReply {
  readonly term: number;
  readonly success: boolean;
  /** On success the last synced index that matches; else where to go on. */
  readonly matchIndex: number;
}

/** One part of a snapshot; parts go one at a time, in order. */
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

/** Answer to a SnapshotRequest: the offset that is wanted next. */
export interface SnapshotReply {
  readonly term: number;
  readonly nextOffset: number;
}

/** Asks a box for its replica id and whether it belongs to a group. */
export interface IdentityRequest {
  readonly kind: 'identity';
}

/** Answer to an IdentityRequest. */
export interface IdentityReply {
  readonly replica: ReplicaId;
  readonly founded: boolean;
  /** The voters it knows of; one of them may lead. */
  readonly voters: readonly ReplicaId[];
}

/** Makes a blank replica a founding member. */
export interface FoundRequest {
  readonly kind: 'found';
  readonly to: ReplicaId;
  readonly members: Members;
}

/** Tells the leader of a replica that wants to take part. */
export interface JoinRequest {
  readonly kind: 'join';
  readonly from: ReplicaId;
}

/** Every message between replicas. */
export type LogRequest =
  | AppendRequest
  | FoundRequest
  | IdentityRequest
  | JoinRequest
  | SnapshotRequest
  | VoteRequest;

/** The box of a replica id. */
export function boxOf(replica: ReplicaId): string {
  return replica.slice(0, replica.lastIndexOf('~'));
}

/** The replica id for one life of a box's disk. */
export function replicaIdOf(box: string, incarnation: string): ReplicaId {
  return `${box}~${incarnation}`;
}

/** Why a proposal has no outcome. */
export type ProposalFailure =
  /** Nothing was proposed; ask `leader`, if known. */
  | (Failure<'not-leader'> & {readonly leader: string | undefined})
  /** Proposed, but whether it was committed is not known. */
  | Failure<'leadership-lost'>
  | Failure<'stopped'>;
