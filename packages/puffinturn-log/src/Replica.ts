/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * A Raft replica: elections with pre-vote, log replication with group commit,
 * snapshots, and membership changes of one replica at a time. Separate tasks run
 * elections, flush entries to disk and apply committed entries; a leader also
 * runs one task for each peer. Operations that must not overlap with a disk write
 * hold a mutex.
 */
import {err, errAsync, ok, okAsync, ResultAsync} from 'neverthrow';
import type {Clock, Random} from 'shared';
import {Condition, invariant, Mutex, TaskGroup} from 'shared';

import {Bootstrap} from './Bootstrap';
import type {Disk} from './Disk';
import type {DiskChange} from './DurableLog';
import {DurableLog} from './DurableLog';
import type {Role} from './Elections';
import {Elections} from './Elections';
import {EntryList} from './EntryList';
import type {ReplicaTiming} from './LogConstants';
import {
  LEADER_LOST_AFTER_ELECTION_TIMEOUTS,
  MAX_VOTER_WAIT_MS,
  REJOIN_AFTER_ELECTION_TIMEOUTS,
} from './LogConstants';
import type {LogLink, StateMachine} from './LogLink';
import type {
  AppendReply,
  AppendRequest,
  BootstrapReply,
  BootstrapRequest,
  Entry,
  EntryBody,
  IdentityReply,
  LogRequest,
  Members,
  ProposalFailure,
  ReplicaId,
  SnapshotReply,
  SnapshotRequest,
} from './LogMessages';
import {boxOf, replicaIdOf} from './LogMessages';
import type {StorageFailure, StoredBootstrap, StoredLog} from './LogStorage';
import {LogStorage} from './LogStorage';
import {MemberLists} from './MemberLists';
import {Membership} from './Membership';
import {PendingProposals} from './PendingProposals';
import {Replication} from './Replication';
import {Snapshots} from './Snapshots';

/** Dependencies and options of a replica. */
export interface ReplicaParts {
  readonly box: string;
  /** A new unique identifier, used in the replica id if the disk is empty. */
  readonly incarnationId: string;
  readonly clock: Clock;
  readonly disk: Disk;
  readonly link: LogLink;
  readonly stateMachine: StateMachine;
  readonly random: Random;
  readonly timing: ReplicaTiming;
  /** The boxes of the group, if this is the first start of all of them. */
  readonly firstBoxes?: readonly string[] | undefined;
  /** Number of applied entries between two snapshots. */
  readonly snapshotIntervalEntries?: number;
  /** Maximum number of voters. Further replicas remain learners. */
  readonly maxVoters?: number | undefined;
  /**
   * Voters that the group needs before it accepts its first record, so that a majority
   * of them outlasts the disks that may be lost. If some never join, it accepts the record
   * after {@link MAX_VOTER_WAIT_MS}. 1 by default.
   */
  readonly minVoters?: number | undefined;
  /** Called after a change of role or leader. */
  readonly onRoleChange?: (role: Role, term: number, leader?: string) => void;
  /** Called when the disk refuses a write, and when it takes writes again. */
  readonly onDiskChange?: (change: DiskChange) => void;
  /** Bugs to inject, so that the fuzzer can check that it detects them. */
  readonly breakage?: ReplicaBreakage;
}

/** Bugs in the consensus algorithm that can be injected for testing. */
export interface ReplicaBreakage {
  /** Grants votes without comparing logs. */
  readonly voteWithoutLogCheck?: boolean;
  /** Commits an entry as soon as the leader alone has synced it. */
  readonly commitWithoutQuorum?: boolean;
  /** Appends to the same segment after a write that failed. */
  readonly keepFailedSegment?: boolean;
}

/** Proof that a replica led at some time, with what it knew to be committed. */
export interface Leadership {
  /** Time since a quorum confirmed it, ms. */
  readonly ageMs: number;
  readonly commitIndex: number;
}

/** A replica of the log. Dispose it to stop its tasks. */
export class Replica implements AsyncDisposable {
  /** The id of this replica. */
  readonly id: ReplicaId;
  private readonly log: EntryList;
  private readonly durable: DurableLog;
  private readonly snapshots: Snapshots;
  private readonly memberLists: MemberLists;
  private commitIndex: number;
  private appliedIndex: number;
  private readonly elections: Elections;
  private readonly bootstrap: Bootstrap;
  /** Time at which this replica became the leader, ms. */
  private leaderSince = -Infinity;
  private readonly replication: Replication;
  private readonly pendingProposals = new PendingProposals();
  private readonly mutex = new Mutex();
  private readonly membership: Membership;
  /** Wakes the flush task and the replication tasks. */
  private readonly logAppended = new Condition();
  /** Wakes the apply task. */
  private readonly commitAdvanced = new Condition();
  /** Notified when a peer acknowledges or the commit or applied index advances. */
  private readonly progressMade = new Condition();
  private readonly tasks = new TaskGroup();

  private constructor(
    private readonly parts: ReplicaParts,
    private readonly storage: LogStorage,
    stored: StoredLog,
  ) {
    const {snapshot, entries} = stored;
    this.id =
      stored.state?.replica ?? replicaIdOf(parts.box, parts.incarnationId);
    const first = entries[0];
    const startsAfterSnapshot =
      first === undefined || first.index === (snapshot?.lastIndex ?? 0) + 1;
    this.log = new EntryList(
      startsAfterSnapshot ? (snapshot?.lastIndex ?? 0) : first.index - 1,
      startsAfterSnapshot ? (snapshot?.lastTerm ?? 0) : first.term,
      entries,
    );
    this.durable = new DurableLog(storage, this.log, parts.onDiskChange);
    this.snapshots = new Snapshots(
      {
        durable: this.durable,
        intervalEntries: parts.snapshotIntervalEntries,
        log: this.log,
        // The flush task repeats the write of the entries.
        onFailure: () => this.logAppended.notify(),
        stateMachine: parts.stateMachine,
      },
      snapshot,
    );
    this.memberLists = new MemberLists(this.log, this.snapshots);
    this.commitIndex = this.snapshots.lastIndex;
    this.appliedIndex = this.commitIndex;
    this.elections = this.createElections(stored);
    this.bootstrap = this.createBootstrap(stored.bootstrap);
    this.membership = this.createMembership();
    this.replication = this.createReplication();
  }

  /** Loads the stored log and starts the tasks. */
  static open(parts: ReplicaParts): ResultAsync<Replica, StorageFailure> {
    const storage = new LogStorage(
      parts.disk,
      parts.breakage?.keepFailedSegment,
    );
    return storage
      .load()
      .andThen((stored) => rememberFirstStart(storage, stored, parts))
      .andThen((stored) => {
        const replica = new Replica(parts, storage, stored);
        return stored.state === undefined
          ? new ResultAsync(replica.elections.save()).map(() => replica)
          : okAsync<Replica, StorageFailure>(replica);
      })
      .map((replica) => {
        replica.tasks.start((signal) => replica.elections.run(signal));
        replica.tasks.start((signal) => replica.runFlush(signal));
        replica.tasks.start((signal) => replica.runApply(signal));
        replica.tasks.start((signal) => replica.membership.run(signal));
        return replica;
      });
  }

  /** Whether this replica knows the members of its group. */
  get isBootstrapped(): boolean {
    return this.members.voters.length > 0;
  }

  /** Whether this replica considers itself the leader. */
  get isLeader(): boolean {
    return this.elections.isLeader;
  }

  /** The box of the current leader, if known. */
  get leaderBox(): string | undefined {
    const {leader} = this.elections;
    return leader === undefined ? undefined : boxOf(leader);
  }

  /**
   * The box of the leader if it was in contact recently. Undefined if this
   * replica may be partitioned from the leader and its state may be stale.
   */
  get activeLeaderBox(): string | undefined {
    return this.msUntilLeaderLost > 0 ? this.leaderBox : undefined;
  }

  /**
   * Milliseconds until the leader counts as lost if there is no further contact;
   * Infinity if this replica is the leader.
   */
  get msUntilLeaderLost(): number {
    const {electionTimeoutMs} = this.parts.timing;
    const lostAfterMs = LEADER_LOST_AFTER_ELECTION_TIMEOUTS * electionTimeoutMs;
    return this.isLeader
      ? Infinity
      : Math.max(0, lostAfterMs - this.elections.msSinceContact);
  }

  /** Index of the last entry applied to the state machine. */
  get appliedThrough(): number {
    return this.appliedIndex;
  }

  /**
   * The latest proof that this replica leads; undefined if it does not, or has committed no
   * entry of its term yet and so may not know all that is committed.
   */
  get leadership(): Leadership | undefined {
    const {clock} = this.parts;
    const knowsCommitted = this.log.termAt(this.commitIndex) === this.term;
    if (!this.isLeader || !knowsCommitted) {
      return undefined;
    }
    const confirmedAt = this.replication.lastQuorumContactAt(
      this.members.voters,
    );
    return {ageMs: clock.now() - confirmedAt, commitIndex: this.commitIndex};
  }

  /** Returns the current state, for status pages and metrics. */
  status() {
    return {
      appliedIndex: this.appliedIndex,
      commitIndex: this.commitIndex,
      isBootstrapped: this.isBootstrapped,
      lastIndex: this.log.lastIndex,
      leader: this.elections.leader,
      members: this.members,
      replica: this.id,
      role: this.elections.role,
      term: this.term,
    };
  }

  /** Proposes a record. Resolves to the result of applying it. */
  propose(record: unknown): ResultAsync<unknown, ProposalFailure> {
    if (this.isLeader && this.lacksVoters()) {
      return errAsync({
        kind: 'too-few-voters',
        message: `the first record needs ${this.minVoters} voters`,
      });
    }
    return this.append({kind: 'record', record});
  }

  /**
   * Waits until a quorum has confirmed, by replies to requests sent after the
   * call, that this replica is still the leader, and until all entries committed
   * before the call are applied. Reads after it are linearizable.
   */
  barrier(): ResultAsync<void, ProposalFailure> {
    return new ResultAsync(this.runBarrier());
  }

  /**
   * Proposes a new member list. It may differ from the current one by one
   * replica only, so that the quorums of both lists overlap.
   */
  proposeMembers(members: Members): ResultAsync<unknown, ProposalFailure> {
    return this.append({kind: 'members', members});
  }

  /** Adds a replica and removes former incarnations of its box. */
  join(joiningId: ReplicaId): ResultAsync<void, ProposalFailure> {
    return new ResultAsync(this.membership.add(joiningId));
  }

  /** Gives up leadership and delays its own next election. */
  stepDown(): void {
    this.elections.stepDown();
  }

  /** Handles a request from another replica and returns the reply. */
  async handle(request: LogRequest): Promise<unknown> {
    switch (request.kind) {
      case 'vote':
        return this.mutex.run(() => this.elections.handleVote(request));
      case 'append':
        return this.mutex.run(() => this.handleAppend(request));
      case 'snapshot':
        return this.mutex.run(() => this.handleSnapshot(request));
      case 'identity':
        return this.identityReply();
      case 'found':
        return this.mutex.run(() => this.handleBootstrap(request));
      case 'join':
        return this.join(request.from).match(
          () => ({joined: true}),
          () => ({joined: false}),
        );
    }
  }

  /**
   * Bootstraps a new group if `mayBootstrap` is set and no given box belongs to
   * one, otherwise asks to join the existing group. Resolves once this replica is
   * a member. A background task then asks to join again after a long loss of
   * contact, because the group may have removed this replica.
   */
  async bootstrapOrJoin(
    boxes: () => readonly string[],
    mayBootstrap = true,
  ): Promise<void> {
    while (!this.tasks.isAborted && !this.memberLists.isMember(this.id)) {
      await this.bootstrap.tryBootstrapOrJoin(boxes(), mayBootstrap);
      await this.parts.clock.sleep(
        this.parts.timing.electionTimeoutMs,
        this.tasks.signal,
      );
    }
    this.tasks.start((signal) => this.runRejoin(boxes, signal));
  }

  /** Stops all tasks. Pending proposals fail with `stopped`. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.tasks.abort();
    this.logAppended.notify();
    this.commitAdvanced.notify();
    this.progressMade.notify();
    this.pendingProposals.failAll({
      kind: 'stopped',
      message: 'the replica is stopping',
    });
    await this.tasks[Symbol.asyncDispose]();
  }

  /** Asks to join again whenever there was no contact from a leader for long. */
  private async runRejoin(
    boxes: () => readonly string[],
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, timing} = this.parts;
    while (!signal.aborted) {
      await clock.sleep(2 * timing.electionTimeoutMs, signal);
      const {msSinceContact} = this.elections;
      if (
        !this.isLeader &&
        msSinceContact >
          REJOIN_AFTER_ELECTION_TIMEOUTS * timing.electionTimeoutMs
      ) {
        await this.bootstrap.tryBootstrapOrJoin(boxes(), false);
      }
    }
  }

  private identityReply(): IdentityReply {
    return {
      bootstrapBoxes: this.isBootstrapped
        ? undefined
        : this.bootstrap.firstBoxes,
      founded: this.isBootstrapped,
      firstMembers: this.memberLists.first,
      replica: this.id,
      voters: this.members.voters,
    };
  }

  private get term(): number {
    return this.elections.term;
  }

  private createElections({state}: StoredLog): Elections {
    const {box, breakage, clock, link, onRoleChange, random, timing} =
      this.parts;
    return new Elections(
      {
        box,
        clock,
        durable: this.durable,
        lastQuorumContactAt: () =>
          this.replication.lastQuorumContactAt(this.members.voters),
        link,
        log: this.log,
        memberLists: this.memberLists,
        mutex: this.mutex,
        onFollower: () => this.becomeFollower(),
        onLeader: () => this.becomeLeader(),
        onRoleChange,
        ownId: this.id,
        random,
        timing,
        votesWithoutLogCheck: breakage?.voteWithoutLogCheck === true,
      },
      {term: state?.term ?? 0, votedFor: state?.votedFor ?? null},
    );
  }

  private createBootstrap(firstStart: StoredBootstrap | undefined): Bootstrap {
    const {box, link, timing} = this.parts;
    return new Bootstrap(
      {
        box,
        bootstrap: (request) =>
          this.mutex.run(() => this.handleBootstrap(request)),
        identity: () => this.identityReply(),
        link,
        storeFirstStart: (changed) =>
          this.mutex.run(async () => this.storage.writeBootstrap(changed)),
        timing,
      },
      firstStart,
    );
  }

  private createMembership(): Membership {
    const {clock, maxVoters, timing} = this.parts;
    return new Membership({
      barrier: () => this.barrier(),
      clock,
      isActiveLeader: () => this.isLeader && !this.tasks.isAborted,
      lagEntries: (id) => this.commitIndex - this.replication.matchIndexOf(id),
      maxVoters,
      members: () => this.members,
      msSinceContact: (id) => this.replication.msSinceContactWith(id),
      ownId: this.id,
      progressMade: this.progressMade,
      proposeMembers: (members) => this.proposeMembers(members),
      timing,
    });
  }

  private createReplication(): Replication {
    const {clock, link, timing} = this.parts;
    return new Replication({
      checkReplyTerm: (term) => this.elections.checkReplyTerm(term),
      clock,
      commitIndex: () => this.commitIndex,
      leaderTerm: () => (this.isLeader ? this.term : undefined),
      link,
      log: this.log,
      logAppended: this.logAppended,
      onConfirmed: () => this.advanceCommit(),
      ownId: this.id,
      progressMade: this.progressMade,
      snapshot: () => this.snapshots.latest,
      tasks: this.tasks,
      timing,
    });
  }

  // Proposals

  private get minVoters(): number {
    return this.parts.minVoters ?? 1;
  }

  /** Whether the group has no record yet, and too few voters have its log. */
  private lacksVoters(): boolean {
    const leaderMs = this.parts.clock.now() - this.leaderSince;
    if (leaderMs >= MAX_VOTER_WAIT_MS || this.snapshots.latest !== undefined) {
      return false;
    }
    const voters = this.members.voters.filter(
      (id) => id === this.id || this.replication.matchIndexOf(id) > 0,
    );
    return (
      voters.length < this.minVoters &&
      !this.log.entriesFrom(1).some(({body}) => body.kind === 'record')
    );
  }

  private append(body: EntryBody): ResultAsync<unknown, ProposalFailure> {
    if (this.tasks.isAborted) {
      return new ResultAsync(
        Promise.resolve(err({kind: 'stopped', message: 'stopped'})),
      );
    }
    if (!this.isLeader) {
      return new ResultAsync(Promise.resolve(err(this.notLeaderFailure())));
    }
    return this.pendingProposals.add(this.push(body));
  }

  private push(body: EntryBody): Entry {
    const entry = {body, index: this.log.lastIndex + 1, term: this.term};
    this.log.push(entry);
    if (body.kind === 'members') {
      this.refreshMembers();
    }
    this.logAppended.notify();
    return entry;
  }

  private notLeaderFailure(): ProposalFailure {
    return {
      kind: 'not-leader',
      leader: this.leaderBox,
      message: `${this.parts.box} does not lead`,
    };
  }

  private async runBarrier() {
    const startedAt = this.parts.clock.now();
    const {term} = this;
    while (this.isLeader && this.term === term && !this.tasks.isAborted) {
      const hasCommittedInTerm = this.log.termAt(this.commitIndex) === term;
      const isApplied = this.appliedIndex === this.commitIndex;
      if (
        hasCommittedInTerm &&
        isApplied &&
        this.replication.lastQuorumContactAt(this.members.voters) >= startedAt
      ) {
        return ok<void, ProposalFailure>(undefined);
      }
      this.logAppended.notify();
      await this.progressMade.wait();
    }
    return err<void, ProposalFailure>(this.notLeaderFailure());
  }

  // Persistence

  private async runFlush(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.durable.isSynced) {
        await this.logAppended.wait();
        continue;
      }
      const isFlushed = await this.mutex.run(() => this.durable.flush());
      if (!isFlushed) {
        // A leader that cannot write must not block the group.
        this.stepDown();
        await this.parts.clock.sleep(
          this.parts.timing.heartbeatIntervalMs,
          signal,
        );
      }
      this.advanceCommit();
    }
  }

  // State machine

  private async runApply(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.appliedIndex >= this.commitIndex) {
        await this.commitAdvanced.wait();
        continue;
      }
      const entry = this.log.entryAt(this.appliedIndex + 1);
      invariant(
        entry !== undefined,
        'the next committed entry is missing from the log',
      );
      this.applyEntry(entry);
      if (this.appliedIndex === this.commitIndex) {
        this.progressMade.notify();
      }
      if (this.snapshots.isDue(this.appliedIndex)) {
        await this.mutex.run(() => this.takeSnapshot());
      }
    }
  }

  private applyEntry(entry: Entry): void {
    const value =
      entry.body.kind === 'record'
        ? this.parts.stateMachine.apply(entry.body.record, entry.index)
        : undefined;
    this.appliedIndex = entry.index;
    this.pendingProposals.settle(entry, value);
  }

  private takeSnapshot(): Promise<void> {
    const {appliedIndex} = this;
    const members = this.memberLists.at(appliedIndex);
    return this.snapshots.take(appliedIndex, members);
  }

  // Membership

  private get members(): Members {
    return this.memberLists.current;
  }

  private refreshMembers(): void {
    this.memberLists.refresh();
    if (this.isLeader) {
      this.replicateToMembers();
    }
  }

  private replicateToMembers(): void {
    this.replication.setMembers(this.memberLists.all);
  }

  private isVoter(): boolean {
    return this.memberLists.isVoter(this.id);
  }

  private async handleBootstrap(
    request: BootstrapRequest,
  ): Promise<BootstrapReply> {
    if (request.to !== this.id) {
      return {founded: false};
    }
    if (this.isBootstrapped) {
      const voters = this.memberLists.first?.voters.join();
      const isSame = voters === request.members.voters.join();
      return {founded: isSame && (await this.durable.flush())};
    }
    const body = {kind: 'members', members: request.members} as const;
    this.log.push({body, index: 1, term: 0});
    this.refreshMembers();
    return {founded: await this.durable.flush()};
  }

  // Roles

  private becomeLeader(): void {
    this.leaderSince = this.parts.clock.now();
    this.replication.stop();
    this.push({kind: 'noop'});
    this.replicateToMembers();
    this.replication.recordContactWithAll();
  }

  private becomeFollower(): void {
    this.replication.stop();
    this.pendingProposals.failAll();
    this.logAppended.notify();
    this.progressMade.notify();
  }

  // Progress of the leader

  private advanceCommit(): void {
    if (!this.isLeader) {
      return;
    }
    const {syncedIndex} = this.durable;
    const index =
      this.parts.breakage?.commitWithoutQuorum === true
        ? syncedIndex
        : this.replication.quorumIndex(this.members.voters, syncedIndex);
    // Entries of former terms are committed only together with one of this term.
    if (index > this.commitIndex && this.log.termAt(index) === this.term) {
      this.commitIndex = index;
      this.commitAdvanced.notify();
      this.progressMade.notify();
      this.stepDownIfRemoved();
    }
  }

  private stepDownIfRemoved(): void {
    if (!this.isVoter() && this.commitIndex >= this.memberLists.currentIndex) {
      this.elections.resign();
    }
  }

  // Replication to a follower

  private async handleAppend(request: AppendRequest): Promise<AppendReply> {
    const reject = (): AppendReply => ({
      matchIndex: Math.min(
        this.durable.syncedIndex,
        Math.max(
          this.commitIndex,
          this.log.indexBeforeConflict(request.previousIndex),
        ),
      ),
      success: false,
      term: this.term,
    });
    if (request.to !== this.id || request.term < this.term) {
      return reject();
    }
    await this.elections.followLeader(request.term, request.from);
    if (
      (await this.elections.save()).isErr() ||
      !(await this.durable.flush())
    ) {
      return reject();
    }
    const {previousIndex} = request;
    const term = this.log.termAt(previousIndex);
    if (
      previousIndex > this.log.compactedIndex &&
      term !== request.previousTerm
    ) {
      return reject();
    }
    if (previousIndex <= this.log.compactedIndex && term === undefined) {
      return this.acceptAppend(request, this.log.compactedIndex);
    }
    this.mergeEntries(request.entries);
    if (!(await this.durable.flush())) {
      return reject();
    }
    return this.acceptAppend(request, previousIndex + request.entries.length);
  }

  /** Advances the commit index and confirms entries up to `matchIndex`. */
  private acceptAppend(
    request: AppendRequest,
    matchIndex: number,
  ): AppendReply {
    const commitIndex = Math.min(request.commitIndex, matchIndex);
    if (commitIndex > this.commitIndex) {
      this.commitIndex = commitIndex;
      this.commitAdvanced.notify();
    }
    return {matchIndex, success: true, term: this.term};
  }

  private mergeEntries(entries: readonly Entry[]): void {
    for (const entry of entries) {
      const heldTerm = this.log.termAt(entry.index);
      if (entry.index <= this.log.compactedIndex || heldTerm === entry.term) {
        continue;
      }
      if (heldTerm !== undefined) {
        invariant(
          entry.index > this.commitIndex,
          'a committed entry must not be overwritten',
        );
        this.log.truncateFrom(entry.index);
        this.durable.truncateFrom(entry.index);
      }
      this.log.push(entry);
    }
    this.refreshMembers();
  }

  private async handleSnapshot(
    request: SnapshotRequest,
  ): Promise<SnapshotReply> {
    if (request.to !== this.id || request.term < this.term) {
      return {nextOffset: 0, term: this.term};
    }
    await this.elections.followLeader(request.term, request.from);
    if ((await this.elections.save()).isErr()) {
      return {nextOffset: 0, term: this.term};
    }
    const {nextOffset, restoredThrough} = await this.snapshots.receive(
      request,
      this.commitIndex,
    );
    if (restoredThrough !== undefined) {
      this.commitIndex = restoredThrough;
      this.appliedIndex = restoredThrough;
      this.refreshMembers();
    }
    return {nextOffset, term: this.term};
  }
}

/**
 * Stores the boxes of a first start, before anything else: a box that is killed may come
 * back without knowing that it took part, and if none of them knows, no group forms. A
 * failed write is repeated by {@link Bootstrap}.
 */
function rememberFirstStart(
  storage: LogStorage,
  stored: StoredLog,
  {firstBoxes}: ReplicaParts,
): ResultAsync<StoredLog, StorageFailure> {
  const isFirstStart = stored.state === undefined;
  if (firstBoxes === undefined || !isFirstStart || stored.bootstrap) {
    return okAsync(stored);
  }
  const bootstrap = {boxes: [...firstBoxes].sort()};
  return storage
    .writeBootstrap(bootstrap)
    .map(() => ({...stored, bootstrap}))
    .orElse(() => okAsync(stored));
}
