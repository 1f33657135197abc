/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Replication of the log by the leader: one task sends entries or a snapshot to each peer. */
import type {Clock, Condition, TaskGroup} from 'shared';
import {invariant, sleepUnlessNotified} from 'shared';

import type {EntryList} from './EntryList';
import type {ReplicaTiming} from './LogConstants';
import {MAX_APPEND_BYTES, MAX_APPEND_ENTRIES} from './LogConstants';
import type {LogLink} from './LogLink';
import type {AppendReply, AppendRequest, ReplicaId} from './LogMessages';
import type {Snapshot} from './LogStorage';
import {quorumOf} from './MemberChanges';
import {sendSnapshot} from './SnapshotTransfer';

/** What replication needs from a replica. */
export interface ReplicationParts {
  readonly clock: Clock;
  readonly timing: ReplicaTiming;
  readonly link: LogLink;
  readonly log: EntryList;
  readonly ownId: ReplicaId;
  readonly tasks: TaskGroup;
  /** Wakes the tasks. */
  readonly logAppended: Condition;
  /** Notified when a peer acknowledges. */
  readonly progressMade: Condition;
  /** The term in which this replica leads; undefined if it doesn't. */
  readonly leaderTerm: () => number | undefined;
  readonly commitIndex: () => number;
  readonly snapshot: () => Snapshot | undefined;
  /** Adopts a higher term from a reply. Resolves to false if terms differ. */
  readonly checkReplyTerm: (term: number) => Promise<boolean>;
  /** Called when a peer has confirmed entries. */
  readonly onConfirmed: () => void;
}

/** Replication progress of another replica. */
interface Peer {
  readonly id: ReplicaId;
  nextIndex: number;
  matchIndex: number;
  /** Send time of the latest request with a reply, or start of the leadership, ms. */
  ackedAt: number;
  readonly addedAt: number;
}

/** Sends the log to all other members, and knows what they have confirmed. */
export class Replication {
  private readonly peers = new Map<ReplicaId, Peer>();

  constructor(private readonly parts: ReplicationParts) {}

  /** Starts to replicate to these members and ends it to all others. */
  setMembers(memberIds: readonly ReplicaId[]): void {
    for (const id of this.peers.keys()) {
      if (!memberIds.includes(id)) {
        this.peers.delete(id);
      }
    }
    for (const id of memberIds) {
      if (id !== this.parts.ownId && !this.peers.has(id)) {
        this.addPeer(id);
      }
    }
  }

  /** Counts this moment as a contact with all peers, as at the start of a leadership. */
  recordContactWithAll(): void {
    const now = this.parts.clock.now();
    for (const peer of this.peers.values()) {
      peer.ackedAt = now;
    }
  }

  /** Ends the replication to all peers. */
  stop(): void {
    this.peers.clear();
  }

  /** The last index that a peer has confirmed, or 0. */
  matchIndexOf(id: ReplicaId): number {
    return this.peers.get(id)?.matchIndex ?? 0;
  }

  /** Milliseconds since the latest request with a reply was sent or the peer was added. */
  msSinceContactWith(id: ReplicaId): number {
    const peer = this.peers.get(id);
    return peer === undefined
      ? 0
      : this.parts.clock.now() - Math.max(peer.ackedAt, peer.addedAt);
  }

  /** The latest time such that a quorum has replied to requests sent since then. */
  lastQuorumContactAt(voters: readonly ReplicaId[]): number {
    const {clock, ownId} = this.parts;
    const ackTimes = voters.map((voter) =>
      voter === ownId
        ? clock.now()
        : (this.peers.get(voter)?.ackedAt ?? -Infinity),
    );
    return highestOfQuorum(ackTimes, voters) ?? -Infinity;
  }

  /** The last index that a quorum has, if this replica has synced up to `ownIndex`. */
  quorumIndex(voters: readonly ReplicaId[], ownIndex: number): number {
    const matchIndexes = voters.map((voter) =>
      voter === this.parts.ownId ? ownIndex : this.matchIndexOf(voter),
    );
    return highestOfQuorum(matchIndexes, voters) ?? 0;
  }

  private addPeer(id: ReplicaId): void {
    const {clock, leaderTerm, log, tasks} = this.parts;
    const peer = {
      ackedAt: -Infinity,
      addedAt: clock.now(),
      id,
      matchIndex: 0,
      nextIndex: log.lastIndex + 1,
    };
    this.peers.set(id, peer);
    const term = leaderTerm();
    invariant(term !== undefined, `${id} was added by a replica without lead`);
    tasks.start((signal) => this.replicate(peer, term, signal));
  }

  /** Whether this replica still replicates to the peer as leader of the term. */
  private isReplicatingTo(peer: Peer, term: number): boolean {
    return this.parts.leaderTerm() === term && this.peers.get(peer.id) === peer;
  }

  private async replicate(
    peer: Peer,
    term: number,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, log, logAppended, progressMade, timing} = this.parts;
    while (!signal.aborted && this.isReplicatingTo(peer, term)) {
      const sentAt = clock.now();
      const isAcknowledged =
        peer.nextIndex <= log.compactedIndex
          ? await this.sendSnapshot(peer, term)
          : await this.sendEntries(peer, term);
      if (!this.isReplicatingTo(peer, term)) {
        return;
      }
      if (isAcknowledged) {
        peer.ackedAt = sentAt;
        progressMade.notify();
      } else {
        await clock.sleep(timing.heartbeatIntervalMs / 2, signal);
      }
      if (isAcknowledged && peer.nextIndex > log.lastIndex) {
        await sleepUnlessNotified(
          clock,
          logAppended,
          timing.heartbeatIntervalMs,
          signal,
        );
      }
    }
  }

  private async sendEntries(peer: Peer, term: number): Promise<boolean> {
    const {checkReplyTerm, link, onConfirmed, timing} = this.parts;
    const request = this.createAppendRequest(peer, term);
    const result = await link.call(peer.id, request, timing.callTimeoutMs);
    if (result.isErr()) {
      return false;
    }
    const reply = result.value as AppendReply;
    if (
      !(await checkReplyTerm(reply.term)) ||
      !this.isReplicatingTo(peer, term)
    ) {
      return false;
    }
    if (!reply.success) {
      const {previousIndex} = request;
      peer.nextIndex = Math.max(
        1,
        Math.min(reply.matchIndex + 1, previousIndex),
      );
      return true;
    }
    confirm(peer, reply.matchIndex);
    onConfirmed();
    return true;
  }

  private createAppendRequest(peer: Peer, term: number): AppendRequest {
    const {commitIndex, log, ownId} = this.parts;
    const previousIndex = peer.nextIndex - 1;
    const previousTerm = log.termAt(previousIndex);
    invariant(
      previousTerm !== undefined,
      `entry ${previousIndex}, before the next one for ${peer.id}, is not in the log`,
    );
    return {
      commitIndex: commitIndex(),
      entries: log.batchFrom(
        peer.nextIndex,
        MAX_APPEND_ENTRIES,
        MAX_APPEND_BYTES,
      ),
      from: ownId,
      kind: 'append',
      previousIndex,
      previousTerm,
      term,
      to: peer.id,
    };
  }

  private async sendSnapshot(peer: Peer, term: number): Promise<boolean> {
    const {checkReplyTerm, link, ownId, timing} = this.parts;
    const snapshot = this.parts.snapshot();
    invariant(
      snapshot !== undefined,
      'the log was compacted without a snapshot',
    );
    const isInstalled = await sendSnapshot({
      callTimeoutMs: timing.callTimeoutMs,
      checkReplyTerm,
      from: ownId,
      isStillLeader: () => this.isReplicatingTo(peer, term),
      link,
      snapshot,
      term,
      to: peer.id,
    });
    if (isInstalled) {
      confirm(peer, snapshot.lastIndex);
    }
    return isInstalled;
  }
}

/** Records that a peer has all entries up to an index. */
function confirm(peer: Peer, index: number): void {
  peer.matchIndex = Math.max(peer.matchIndex, index);
  peer.nextIndex = peer.matchIndex + 1;
}

/** The highest value that a quorum of the voters reaches. */
function highestOfQuorum(
  values: readonly number[],
  voters: readonly ReplicaId[],
): number | undefined {
  return [...values].sort((a, b) => b - a)[quorumOf(voters) - 1];
}
