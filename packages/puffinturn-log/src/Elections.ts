/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The term, vote and role of a replica, and the elections that change them. An election begins
 * with a pre-vote, so that a replica that was cut off doesn't depose a leader.
 */
import type {Result} from 'neverthrow';
import type {Clock, Mutex, Random} from 'shared';

import type {DiskFailure} from './Disk';
import type {DurableLog} from './DurableLog';
import {collectVotes} from './Election';
import type {EntryList} from './EntryList';
import type {ReplicaTiming} from './LogConstants';
import type {LogLink} from './LogLink';
import type {ReplicaId, VoteReply, VoteRequest} from './LogMessages';
import {boxOf} from './LogMessages';
import type {StoredState} from './LogStorage';
import type {MemberLists} from './MemberLists';

/** Roles of a replica. */
export const ROLE = {
  candidate: 'candidate',
  follower: 'follower',
  leader: 'leader',
} as const;

/** One of ROLE. */
export type Role = (typeof ROLE)[keyof typeof ROLE];

/** Dependencies of Elections. */
export interface ElectionsParts {
  readonly box: string;
  readonly ownId: ReplicaId;
  readonly clock: Clock;
  readonly random: Random;
  readonly timing: ReplicaTiming;
  readonly link: LogLink;
  readonly log: EntryList;
  readonly durable: DurableLog;
  readonly memberLists: MemberLists;
  /** Held by whoever writes to the disk. */
  readonly mutex: Mutex;
  /** When a quorum last replied to this leader, monotonic ms. */
  readonly lastQuorumContactAt: () => number;
  /** Called when this replica has won an election. */
  readonly onLeader: () => void;
  /** Called when this replica follows, also if it only follows another leader now. */
  readonly onFollower: () => void;
  /** Called after a change of role or leader. */
  readonly onRoleChange?:
    ((role: Role, term: number, leader?: string) => void) | undefined;
  /** Grants votes without comparing logs: an injected bug. */
  readonly votesWithoutLogCheck: boolean;
}

/** Elects a leader, and follows one. */
export class Elections {
  private currentRole: Role = ROLE.follower;
  private currentTerm: number;
  private votedFor: ReplicaId | null;
  private currentLeader: ReplicaId | undefined;
  /** Last contact from a leader or granted vote; restarts the election timeout. */
  private lastContactAt: number;

  constructor(
    private readonly parts: ElectionsParts,
    {term, votedFor}: Pick<StoredState, 'term' | 'votedFor'>,
  ) {
    this.currentTerm = term;
    this.votedFor = votedFor;
    this.lastContactAt = parts.clock.now();
  }

  get term(): number {
    return this.currentTerm;
  }

  get role(): Role {
    return this.currentRole;
  }

  /** Whether this replica considers itself the leader. */
  get isLeader(): boolean {
    return this.currentRole === ROLE.leader;
  }

  /** The leader of the term; undefined if it is not known. */
  get leader(): ReplicaId | undefined {
    return this.currentLeader;
  }

  /** Time since a leader was in contact or a vote was granted, ms; negative after stepping down. */
  get msSinceContact(): number {
    return this.parts.clock.now() - this.lastContactAt;
  }

  /** Syncs term and vote. */
  save(): Promise<Result<void, DiskFailure>> {
    const {durable, ownId} = this.parts;
    const {currentTerm: term, votedFor} = this;
    return durable.saveState({replica: ownId, term, votedFor});
  }

  /** Starts an election whenever no leader is in contact, until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, memberLists, ownId, random, timing} = this.parts;
    while (!signal.aborted) {
      if (this.isLeader) {
        await clock.sleep(timing.heartbeatIntervalMs, signal);
        this.checkQuorum();
        continue;
      }
      const timeoutMs = random.integer(
        timing.electionTimeoutMs,
        2 * timing.electionTimeoutMs,
      );
      await clock.sleep(timeoutMs, signal);
      const hasTimedOut = this.msSinceContact >= timing.electionTimeoutMs;
      const mayElect =
        !this.isLeader && hasTimedOut && memberLists.isVoter(ownId);
      if (!signal.aborted && mayElect) {
        await this.startElection();
      }
    }
  }

  /** Gives up leadership and delays its own next election. */
  stepDown(): void {
    if (this.isLeader) {
      const {clock, timing} = this.parts;
      this.resign();
      this.lastContactAt = clock.now() + timing.electionTimeoutMs;
    }
  }

  /** Gives up leadership. */
  resign(): void {
    this.becomeFollower(this.term, undefined);
  }

  /** Follows the leader of a term that is not older. The caller holds the mutex. */
  async followLeader(term: number, leader: ReplicaId): Promise<void> {
    await this.adoptTerm(term);
    this.lastContactAt = this.parts.clock.now();
    if (this.leader !== leader || this.role !== ROLE.follower) {
      this.becomeFollower(term, leader);
    }
  }

  /** Adopts a higher term from a reply. Resolves to false if terms differ. */
  async checkReplyTerm(term: number): Promise<boolean> {
    if (term > this.term) {
      await this.parts.mutex.run(() => this.adoptTerm(term));
      return false;
    }
    return term === this.term;
  }

  /** Replies to a candidate. The caller holds the mutex. */
  async handleVote(request: VoteRequest): Promise<VoteReply> {
    const {clock, memberLists, ownId, timing} = this.parts;
    const rejection = {granted: false, term: this.term};
    const isBootstrapped = memberLists.current.voters.length > 0;
    if (request.to !== ownId || !isBootstrapped) {
      return rejection;
    }
    const hasRecentContact = this.msSinceContact < timing.electionTimeoutMs;
    const hasLeader =
      this.isLeader || (this.leader !== undefined && hasRecentContact);
    if (request.term < this.term || hasLeader) {
      return rejection;
    }
    const isLogUpToDate = this.hasUpToDateLog(request);
    if (request.preVote) {
      return {granted: isLogUpToDate, term: this.term};
    }
    if (request.term > this.term) {
      await this.adoptTerm(request.term);
    }
    const canVote = this.votedFor === null || this.votedFor === request.from;
    if (!isLogUpToDate || !canVote) {
      return {granted: false, term: this.term};
    }
    this.votedFor = request.from;
    this.lastContactAt = clock.now();
    const saved = await this.save();
    return {granted: saved.isOk(), term: this.term};
  }

  /** Whether the log of a candidate has all entries of the log of this replica. */
  private hasUpToDateLog({lastIndex, lastTerm}: VoteRequest): boolean {
    const {log, votesWithoutLogCheck} = this.parts;
    return (
      votesWithoutLogCheck ||
      lastTerm > log.lastTerm ||
      (lastTerm === log.lastTerm && lastIndex >= log.lastIndex)
    );
  }

  /** Steps down if a quorum has not replied for two election timeouts. */
  private checkQuorum(): void {
    const {clock, lastQuorumContactAt, timing} = this.parts;
    const silentMs = clock.now() - lastQuorumContactAt();
    if (this.isLeader && silentMs > 2 * timing.electionTimeoutMs) {
      this.resign();
    }
  }

  private async startElection(): Promise<void> {
    const {mutex, ownId} = this.parts;
    const {term} = this;
    if (!(await this.requestVotes(term + 1, true)) || this.term !== term) {
      return;
    }
    const isCandidate = await mutex.run(async () => {
      if (this.term !== term) {
        return false;
      }
      this.currentTerm += 1;
      this.votedFor = ownId;
      this.currentRole = ROLE.candidate;
      this.currentLeader = undefined;
      const saved = await this.save();
      return saved.isOk();
    });
    if (isCandidate && (await this.requestVotes(term + 1, false))) {
      this.becomeLeader(term + 1);
    }
  }

  private requestVotes(term: number, preVote: boolean): Promise<boolean> {
    const {link, log, memberLists, mutex, ownId, timing} = this.parts;
    return collectVotes({
      callTimeoutMs: timing.callTimeoutMs,
      link,
      onReplyTerm: (replyTerm) => {
        if (replyTerm > this.term && !preVote) {
          void mutex.run(() => this.adoptTerm(replyTerm));
        }
      },
      request: {
        from: ownId,
        kind: 'vote',
        lastIndex: log.lastIndex,
        lastTerm: log.lastTerm,
        preVote,
        term,
      },
      voters: memberLists.current.voters,
    });
  }

  /** Adopts and syncs a higher term. The caller holds the mutex. */
  private async adoptTerm(term: number): Promise<void> {
    if (term > this.term) {
      this.votedFor = null;
      this.becomeFollower(term, undefined);
      await this.save();
    }
  }

  private becomeLeader(term: number): void {
    if (this.term !== term || this.role !== ROLE.candidate) {
      return;
    }
    const {box, onLeader, onRoleChange, ownId} = this.parts;
    this.currentRole = ROLE.leader;
    this.currentLeader = ownId;
    onLeader();
    onRoleChange?.(ROLE.leader, term, box);
  }

  private becomeFollower(term: number, leader: ReplicaId | undefined): void {
    const {onFollower, onRoleChange} = this.parts;
    const hasChanged = this.isLeader || this.leader !== leader;
    this.currentTerm = term;
    this.currentRole = ROLE.follower;
    this.currentLeader = leader;
    onFollower();
    if (hasChanged) {
      const leaderBox = leader === undefined ? undefined : boxOf(leader);
      onRoleChange?.(ROLE.follower, term, leaderBox);
    }
  }
}
