/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * One replica of the log: elections with pre-vote, replication with group
 * commit, snapshots, and membership changes of one replica at a time. One task
 * runs elections, one flushes to disk, one applies, and a leader has one task
 * for each peer. Everything that must not overlap with a disk write runs under
 * one mutex.
 */
import type {Result} from 'neverthrow';
import {err, ok, okAsync, ResultAsync} from 'neverthrow';
import type {Clock, Failure, Random} from 'shared';
import {
  Condition,
  invariant,
  Mutex,
  sleepUnlessNotified,
  TaskGroup,
} from 'shared';

import {collectVotes} from './Ballot';
import type {Disk} from './Disk';
import {EntryList} from './EntryList';
import type {FoundingParts} from './Founding';
import {tryToTakePart} from './Founding';
import type {ReplicaTiming} from './LogConstants';
import {
  CAUGHT_UP_ENTRIES,
  LOST_AFTER_ELECTIONS,
  MAX_APPEND_BYTES,
  MAX_APPEND_ENTRIES,
  REJOIN_ELECTIONS,
  REPLACE_ELECTIONS,
  SNAPSHOT_EVERY_ENTRIES,
  TRAILING_ENTRIES,
} from './LogConstants';
import type {LogLink, Machine} from './LogLink';
import type {
  AppendReply,
  AppendRequest,
  Entry,
  EntryBody,
  FoundRequest,
  IdentityReply,
  LogRequest,
  Members,
  ProposalFailure,
  ReplicaId,
  SnapshotReply,
  SnapshotRequest,
  VoteReply,
  VoteRequest,
} from './LogMessages';
import {boxOf, replicaIdOf} from './LogMessages';
import type {Snapshot, StorageFailure, StoredLog} from './LogStorage';
import {LogStorage} from './LogStorage';
import type {MemberChange} from './MemberChanges';
import {
  quorumOf,
  withLearner,
  withoutFormerLives,
  withoutReplica,
  withVoter,
} from './MemberChanges';
import {SnapshotAssembly} from './SnapshotAssembly';
import {sendSnapshot} from './SnapshotTransfer';

/** What a replica is at the moment. */
export const ROLE = {
  candidate: 'candidate',
  follower: 'follower',
  leader: 'leader',
} as const;

/** One of ROLE. */
export type Role = (typeof ROLE)[keyof typeof ROLE];

/** What a replica is made of. */
export interface ReplicaParts {
  readonly box: string;
  /** A fresh name for this life of the disk, used when the disk is empty. */
  readonly incarnation: string;
  readonly clock: Clock;
  readonly disk: Disk;
  readonly link: LogLink;
  readonly machine: Machine;
  readonly random: Random;
  readonly timing: ReplicaTiming;
  /** Applied entries between snapshots. */
  readonly snapshotEvery?: number;
  /** Most voters; further replicas stay learners until one is replaced. */
  readonly maxVoters?: number | undefined;
  /** Told of every change of role or leader. */
  readonly onRole?: (role: Role, term: number, leader?: string) => void;
  /** Deliberate breakages; the fuzzer checks that each one is found. */
  readonly breakage?: ReplicaBreakage;
}

/** Faults in the algorithm itself, for showing that the tests can fail. */
export interface ReplicaBreakage {
  /** Votes without comparing logs. */
  readonly voteWithoutLogCheck?: boolean;
  /** Commits as soon as the leader alone has the entry. */
  readonly commitWithoutQuorum?: boolean;
}

interface Peer {
  readonly id: ReplicaId;
  nextIndex: number;
  matchIndex: number;
  /** When the newest message that it answered was sent. */
  ackedAt: number;
  readonly addedAt: number;
}

interface Waiter {
  readonly term: number;
  readonly settle: (outcome: Outcome) => void;
}

type Outcome =
  | {readonly kind: 'applied'; readonly value: unknown}
  | {readonly kind: 'failed'; readonly failure: ProposalFailure};

const NO_MEMBERS: Members = {learners: [], voters: []};

/** A member of a replicated log. Dispose it to stop its tasks. */
export class Replica implements AsyncDisposable {
  /** The id of this replica. */
  readonly id: ReplicaId;
  private role: Role = ROLE.follower;
  private term: number;
  private votedFor: ReplicaId | null;
  private readonly log: EntryList;
  private snapshot: Snapshot | undefined;
  private members: Members = NO_MEMBERS;
  private membersIndex = 0;
  private syncedIndex: number;
  private commitIndex: number;
  private appliedIndex: number;
  private leader: ReplicaId | undefined;
  private heardAt: number;
  private readonly peers = new Map<ReplicaId, Peer>();
  private readonly waiters = new Map<number, Waiter>();
  private readonly mutex = new Mutex();
  /** One member change at a time, each committed before the next. */
  private readonly membersMutex = new Mutex();
  private readonly grown = new Condition();
  private readonly committed = new Condition();
  private readonly acknowledged = new Condition();
  private readonly assembly = new SnapshotAssembly();
  private readonly tasks = new TaskGroup();

  private constructor(
    private readonly parts: ReplicaParts,
    private readonly storage: LogStorage,
    stored: StoredLog,
  ) {
    const {snapshot, entries} = stored;
    this.id =
      stored.state?.replica ?? replicaIdOf(parts.box, parts.incarnation);
    this.term = stored.state?.term ?? 0;
    this.votedFor = stored.state?.votedFor ?? null;
    this.snapshot = snapshot;
    const first = entries[0];
    const beforeEntries =
      first === undefined || first.index === (snapshot?.lastIndex ?? 0) + 1;
    this.log = new EntryList(
      beforeEntries ? (snapshot?.lastIndex ?? 0) : first.index - 1,
      beforeEntries ? (snapshot?.lastTerm ?? 0) : first.term,
      entries,
    );
    this.syncedIndex = this.log.lastIndex;
    this.commitIndex = snapshot?.lastIndex ?? 0;
    this.appliedIndex = this.commitIndex;
    this.heardAt = parts.clock.now();
    if (snapshot !== undefined) {
      parts.machine.restore(snapshot.bytes);
    }
    this.refreshMembers();
  }

  /** Reads the disk and starts the tasks. */
  static open(parts: ReplicaParts): ResultAsync<Replica, StorageFailure> {
    const storage = new LogStorage(parts.disk);
    return storage
      .load()
      .andThen((stored) => {
        const replica = new Replica(parts, storage, stored);
        return stored.state === undefined
          ? storage.writeState(replica.stateToStore()).map(() => replica)
          : okAsync<Replica, StorageFailure>(replica);
      })
      .map((replica) => {
        replica.tasks.start((signal) => replica.runElections(signal));
        replica.tasks.start((signal) => replica.runFlush(signal));
        replica.tasks.start((signal) => replica.runApply(signal));
        replica.tasks.start((signal) => replica.runMembers(signal));
        return replica;
      });
  }

  /** True once this replica knows a member list. */
  get founded(): boolean {
    return this.members.voters.length > 0;
  }

  /** True while this replica believes itself the leader. */
  get isLeader(): boolean {
    return this.role === ROLE.leader;
  }

  /** The box of the current leader, if known. */
  get leaderBox(): string | undefined {
    return this.leader === undefined ? undefined : boxOf(this.leader);
  }

  /**
   * The box of the leader while it is heard from; undefined where this replica
   * may be cut off, and what it has applied may be old.
   */
  get heardLeaderBox(): string | undefined {
    return this.leaderHeardForMs > 0 ? this.leaderBox : undefined;
  }

  /**
   * Time until the leader counts as not heard, without a further word from it, ms;
   * Infinity while this replica leads.
   */
  get leaderHeardForMs(): number {
    const {clock, timing} = this.parts;
    const lostAt = this.heardAt + LOST_AFTER_ELECTIONS * timing.electionMs;
    return this.isLeader ? Infinity : Math.max(0, lostAt - clock.now());
  }

  /** Figures for status pages and metrics. */
  status() {
    return {
      appliedIndex: this.appliedIndex,
      commitIndex: this.commitIndex,
      founded: this.founded,
      lastIndex: this.log.lastIndex,
      leader: this.leader,
      members: this.members,
      replica: this.id,
      role: this.role,
      term: this.term,
    };
  }

  /** Proposes a record; resolves with what `Machine.apply` returned for it. */
  propose(record: unknown): ResultAsync<unknown, ProposalFailure> {
    return this.append({kind: 'record', record});
  }

  /**
   * Waits until this replica has shown, by a round of answers from a quorum
   * sent after the call, that it still leads, and has applied all that was
   * committed before. After it the machine may be read.
   */
  barrier(): ResultAsync<void, ProposalFailure> {
    return new ResultAsync(this.waitBarrier());
  }

  /** Proposes another member list; one replica may differ from the last. */
  changeMembers(members: Members): ResultAsync<unknown, ProposalFailure> {
    return this.append({kind: 'members', members});
  }

  /** Replaces the earlier life of a box, or adds it, as its disk was lost. */
  join(newcomer: ReplicaId): ResultAsync<void, ProposalFailure> {
    return new ResultAsync(
      this.membersMutex.run(() => this.admitReplica(newcomer)),
    );
  }

  /** Hands leadership on by ceasing to lead; the others elect at once. */
  stepDown(): void {
    if (this.role === ROLE.leader) {
      this.becomeFollower(this.term, undefined);
      this.heardAt = this.parts.clock.now() + this.parts.timing.electionMs;
    }
  }

  /** Answers a message from another replica. */
  async handle(request: LogRequest): Promise<unknown> {
    switch (request.kind) {
      case 'vote':
        return this.mutex.run(() => this.handleVote(request));
      case 'append':
        return this.mutex.run(() => this.handleAppend(request));
      case 'snapshot':
        return this.mutex.run(() => this.handleSnapshot(request));
      case 'identity':
        return this.identity();
      case 'found':
        return this.mutex.run(() => this.handleFound(request));
      case 'join':
        return this.join(request.from).match(
          () => ({joined: true}),
          () => ({joined: false}),
        );
    }
  }

  /**
   * Founds a new group when `mayFound` holds and every given box is blank, or
   * asks the leader of an existing one to take this replica in. Goes on for
   * the replica's life, since the group may drop a replica that was away; the
   * first call to end is the one that finds this replica a member.
   */
  async takePart(
    boxes: () => readonly string[],
    mayFound = true,
  ): Promise<void> {
    while (!this.tasks.ended && !this.isMember()) {
      await tryToTakePart(this.foundingParts(), boxes(), mayFound);
      await this.parts.clock.sleep(
        this.parts.timing.electionMs,
        this.tasks.signal,
      );
    }
    this.tasks.start((signal) => this.rejoin(boxes, signal));
  }

  /** Stops all tasks; proposals still waiting fail as `stopped`. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.tasks.abort();
    this.grown.notify();
    this.committed.notify();
    this.acknowledged.notify();
    this.failWaiters({kind: 'stopped', message: 'the replica is stopping'});
    await this.tasks[Symbol.asyncDispose]();
  }

  /** Asks to be taken in again whenever no leader has been heard for long. */
  private async rejoin(
    boxes: () => readonly string[],
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, timing} = this.parts;
    while (!signal.aborted) {
      await clock.sleep(2 * timing.electionMs, signal);
      const silence = clock.now() - this.heardAt;
      if (!this.isLeader && silence > REJOIN_ELECTIONS * timing.electionMs) {
        await tryToTakePart(this.foundingParts(), boxes(), false);
      }
    }
  }

  private identity(): IdentityReply {
    return {
      founded: this.founded,
      replica: this.id,
      voters: this.members.voters,
    };
  }

  private foundingParts(): FoundingParts {
    const {box, link, timing} = this.parts;
    return {
      box,
      found: (request) => this.mutex.run(() => this.handleFound(request)),
      identity: () => this.identity(),
      link,
      timing,
    };
  }

  // Proposals

  private append(body: EntryBody): ResultAsync<unknown, ProposalFailure> {
    if (this.tasks.ended) {
      return new ResultAsync(
        Promise.resolve(err({kind: 'stopped', message: 'stopped'})),
      );
    }
    if (this.role !== ROLE.leader) {
      return new ResultAsync(Promise.resolve(err(this.notLeader())));
    }
    const {index} = this.push(body);
    const settled = new Promise<Outcome>((settle) =>
      this.waiters.set(index, {settle, term: this.term}),
    );
    return new ResultAsync(
      settled.then((outcome) =>
        outcome.kind === 'applied' ? ok(outcome.value) : err(outcome.failure),
      ),
    );
  }

  private push(body: EntryBody): Entry {
    const entry = {body, index: this.log.lastIndex + 1, term: this.term};
    this.log.push(entry);
    if (body.kind === 'members') {
      this.refreshMembers();
    }
    this.grown.notify();
    return entry;
  }

  private notLeader(): ProposalFailure {
    return {
      kind: 'not-leader',
      leader: this.leaderBox,
      message: `${this.parts.box} does not lead`,
    };
  }

  private async waitBarrier() {
    const asked = this.parts.clock.now();
    const {term} = this;
    while (this.isLeader && this.term === term && !this.tasks.ended) {
      const ownTerm = this.log.termAt(this.commitIndex) === term;
      const current = this.appliedIndex === this.commitIndex;
      if (ownTerm && current && this.quorumAckedAt() >= asked) {
        return ok<void, ProposalFailure>(undefined);
      }
      this.grown.notify();
      await this.acknowledged.wait();
    }
    return err<void, ProposalFailure>(this.notLeader());
  }

  private failWaiters(failure: ProposalFailure): void {
    for (const waiter of this.waiters.values()) {
      waiter.settle({failure, kind: 'failed'});
    }
    this.waiters.clear();
  }

  // Disk

  private stateToStore() {
    return {replica: this.id, term: this.term, votedFor: this.votedFor};
  }

  private async saveState(): Promise<boolean> {
    const written = await this.storage.writeState(this.stateToStore());
    return written.isOk();
  }

  /** Syncs all entries not yet synced. Runs under the mutex. */
  private async flush(): Promise<boolean> {
    const pending = this.log.from(this.syncedIndex + 1);
    if (pending.length === 0) {
      return true;
    }
    const written = await this.storage.append(pending);
    if (written.isErr()) {
      return false;
    }
    this.syncedIndex = pending.at(-1)?.index ?? this.syncedIndex;
    return true;
  }

  private async runFlush(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.syncedIndex >= this.log.lastIndex) {
        await this.grown.wait();
        continue;
      }
      const flushed = await this.mutex.run(() => this.flush());
      if (!flushed) {
        // A leader that cannot write must not hold the group up.
        this.stepDown();
        await this.parts.clock.sleep(this.parts.timing.heartbeatMs, signal);
      }
      this.advanceCommit();
    }
  }

  // Applying

  private async runApply(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.appliedIndex >= this.commitIndex) {
        await this.committed.wait();
        continue;
      }
      const entry = this.log.at(this.appliedIndex + 1);
      invariant(entry !== undefined, 'a committed entry is missing');
      this.applyEntry(entry);
      if (this.appliedIndex === this.commitIndex) {
        this.acknowledged.notify();
      }
      if (this.snapshotDue()) {
        await this.mutex.run(() => this.takeSnapshot());
      }
    }
  }

  private applyEntry(entry: Entry): void {
    const value =
      entry.body.kind === 'record'
        ? this.parts.machine.apply(entry.body.record, entry.index)
        : undefined;
    this.appliedIndex = entry.index;
    const waiter = this.waiters.get(entry.index);
    if (waiter === undefined) {
      return;
    }
    this.waiters.delete(entry.index);
    waiter.settle(
      waiter.term === entry.term
        ? {kind: 'applied', value}
        : {failure: leadershipLost(), kind: 'failed'},
    );
  }

  private snapshotDue(): boolean {
    const every = this.parts.snapshotEvery ?? SNAPSHOT_EVERY_ENTRIES;
    return this.appliedIndex - (this.snapshot?.lastIndex ?? 0) >= every;
  }

  private async takeSnapshot(): Promise<void> {
    const lastIndex = this.appliedIndex;
    const lastTerm = this.log.termAt(lastIndex);
    if (lastTerm === undefined) {
      return;
    }
    const bytes = this.parts.machine.snapshot();
    const members = this.membersAt(lastIndex);
    await this.flush();
    const snapshot = {bytes, lastIndex, lastTerm, members};
    const trailing = Math.min(
      TRAILING_ENTRIES,
      this.parts.snapshotEvery ?? TRAILING_ENTRIES,
    );
    const keepAfter = Math.max(this.log.firstBase, lastIndex - trailing);
    const written = await this.storage.compact(
      snapshot,
      this.log.from(keepAfter + 1),
    );
    if (written.isOk()) {
      this.snapshot = snapshot;
      this.log.dropThrough(keepAfter);
    }
  }

  // Members

  private refreshMembers(): void {
    const newest = this.log.newestMembers();
    this.members = newest?.members ?? this.snapshot?.members ?? NO_MEMBERS;
    this.membersIndex = newest?.index ?? this.snapshot?.lastIndex ?? 0;
    if (this.isLeader) {
      this.refreshPeers();
    }
  }

  private membersAt(index: number): Members {
    for (let at = index; at > this.log.firstBase; at -= 1) {
      const body = this.log.at(at)?.body;
      if (body?.kind === 'members') {
        return body.members;
      }
    }
    return this.snapshot?.members ?? NO_MEMBERS;
  }

  private isVoter(): boolean {
    return this.members.voters.includes(this.id);
  }

  private isMember(): boolean {
    return this.isVoter() || this.members.learners.includes(this.id);
  }

  private refreshPeers(): void {
    const wanted = [...this.members.voters, ...this.members.learners];
    for (const id of this.peers.keys()) {
      if (!wanted.includes(id)) {
        this.peers.delete(id);
      }
    }
    for (const id of wanted) {
      if (id !== this.id && !this.peers.has(id)) {
        const peer = {
          ackedAt: -Infinity,
          addedAt: this.parts.clock.now(),
          id,
          matchIndex: 0,
          nextIndex: this.log.lastIndex + 1,
        };
        this.peers.set(id, peer);
        const {term} = this;
        this.tasks.start((signal) => this.runPeer(peer, term, signal));
      }
    }
  }

  private async admitReplica(
    newcomer: ReplicaId,
  ): Promise<Result<void, ProposalFailure>> {
    const asLearner = await this.stepMembers((members) =>
      withLearner(members, newcomer),
    );
    if (asLearner.isErr()) {
      return asLearner;
    }
    const alone = await this.stepMembers((members) =>
      withoutFormerLives(members, newcomer),
    );
    if (alone.isErr() || this.votersFull()) {
      return alone;
    }
    await this.waitCaughtUp(newcomer);
    return this.stepMembers((members) => withVoter(members, newcomer));
  }

  /** One change of members, committed; runs under the members' mutex. */
  private async stepMembers(
    step: MemberChange,
  ): Promise<Result<void, ProposalFailure>> {
    const barrier = await this.barrier();
    if (barrier.isErr()) {
      return err(barrier.error);
    }
    const next = step(this.members);
    if (next === undefined) {
      return ok(undefined);
    }
    const changed = await this.changeMembers(next);
    return changed.map(() => undefined);
  }

  private votersFull(): boolean {
    const {maxVoters} = this.parts;
    return maxVoters !== undefined && this.members.voters.length >= maxVoters;
  }

  private silentFor(id: ReplicaId): number {
    const peer = this.peers.get(id);
    return peer === undefined
      ? 0
      : this.parts.clock.now() - Math.max(peer.ackedAt, peer.addedAt);
  }

  /** While leading, replaces a voter that fell silent by a learner. */
  private async runMembers(signal: AbortSignal): Promise<void> {
    const {clock, timing} = this.parts;
    while (!signal.aborted) {
      await clock.sleep(timing.electionMs, signal);
      if (this.isLeader && !signal.aborted) {
        await this.membersMutex.run(() => this.replaceSilentVoter());
      }
    }
  }

  private async replaceSilentVoter(): Promise<void> {
    const limit = REPLACE_ELECTIONS * this.parts.timing.electionMs;
    const {learners, voters} = this.members;
    const ready = learners.find(
      (id) =>
        this.silentFor(id) < this.parts.timing.electionMs &&
        this.commitIndex - (this.peers.get(id)?.matchIndex ?? 0) <=
          CAUGHT_UP_ENTRIES,
    );
    const silent = voters.find(
      (id) => id !== this.id && this.silentFor(id) > limit,
    );
    if (ready === undefined || (silent === undefined && this.votersFull())) {
      return;
    }
    const added = await this.stepMembers((members) =>
      withVoter(members, ready),
    );
    if (added.isOk() && silent !== undefined && this.votersFull()) {
      await this.stepMembers((members) => withoutReplica(members, silent));
    }
  }

  private async waitCaughtUp(id: ReplicaId): Promise<void> {
    const behind = (): number =>
      this.commitIndex - (this.peers.get(id)?.matchIndex ?? 0);
    const reachable = (): boolean =>
      this.silentFor(id) < 2 * this.parts.timing.electionMs;
    while (
      this.isLeader &&
      !this.tasks.ended &&
      reachable() &&
      behind() > CAUGHT_UP_ENTRIES
    ) {
      await this.acknowledged.wait();
    }
  }

  private async handleFound(request: FoundRequest) {
    if (this.founded || request.to !== this.id) {
      return {founded: false};
    }
    const body = {kind: 'members', members: request.members} as const;
    this.log.push({body, index: 1, term: 0});
    this.refreshMembers();
    return {founded: await this.flush()};
  }

  // Elections

  private async runElections(signal: AbortSignal): Promise<void> {
    const {clock, random, timing} = this.parts;
    while (!signal.aborted) {
      if (this.isLeader) {
        await clock.sleep(timing.heartbeatMs, signal);
        this.checkQuorum();
        continue;
      }
      const patience = random.integer(timing.electionMs, 2 * timing.electionMs);
      await clock.sleep(patience, signal);
      const silent = clock.now() - this.heardAt >= timing.electionMs;
      if (!signal.aborted && !this.isLeader && silent && this.isVoter()) {
        await this.stand();
      }
    }
  }

  /** A leader that a quorum has not answered for a while stops by itself. */
  private checkQuorum(): void {
    const silence = this.parts.clock.now() - this.quorumAckedAt();
    if (this.isLeader && silence > 2 * this.parts.timing.electionMs) {
      this.becomeFollower(this.term, undefined);
    }
  }

  private async stand(): Promise<void> {
    const {term} = this;
    if (!(await this.askForVotes(term + 1, true)) || this.term !== term) {
      return;
    }
    const standing = await this.mutex.run(async () => {
      if (this.term !== term) {
        return false;
      }
      this.term += 1;
      this.votedFor = this.id;
      this.role = ROLE.candidate;
      this.leader = undefined;
      return this.saveState();
    });
    if (standing && (await this.askForVotes(term + 1, false))) {
      this.becomeLeader(term + 1);
    }
  }

  private askForVotes(term: number, preVote: boolean): Promise<boolean> {
    return collectVotes({
      callMs: this.parts.timing.callMs,
      link: this.parts.link,
      onTerm: (answered) => {
        if (answered > this.term && !preVote) {
          void this.mutex.run(() => this.adoptTerm(answered));
        }
      },
      request: {
        from: this.id,
        kind: 'vote',
        lastIndex: this.log.lastIndex,
        lastTerm: this.log.lastTerm,
        preVote,
        term,
      },
      voters: this.members.voters,
    });
  }

  private async handleVote(request: VoteRequest): Promise<VoteReply> {
    const refuse = {granted: false, term: this.term};
    if (request.to !== this.id) {
      return refuse;
    }
    const {clock, timing} = this.parts;
    const heard = clock.now() - this.heardAt < timing.electionMs;
    const served = this.isLeader || (this.leader !== undefined && heard);
    if (request.term < this.term || served) {
      return refuse;
    }
    const upToDate =
      this.parts.breakage?.voteWithoutLogCheck === true ||
      request.lastTerm > this.log.lastTerm ||
      (request.lastTerm === this.log.lastTerm &&
        request.lastIndex >= this.log.lastIndex);
    if (request.preVote) {
      return {granted: upToDate, term: this.term};
    }
    if (request.term > this.term) {
      await this.adoptTerm(request.term);
    }
    const free = this.votedFor === null || this.votedFor === request.from;
    if (!upToDate || !free) {
      return {granted: false, term: this.term};
    }
    this.votedFor = request.from;
    this.heardAt = clock.now();
    return {granted: await this.saveState(), term: this.term};
  }

  /** Takes over a higher term and syncs it. Runs under the mutex. */
  private async adoptTerm(term: number): Promise<void> {
    if (term > this.term) {
      this.votedFor = null;
      this.becomeFollower(term, undefined);
      await this.saveState();
    }
  }

  private becomeLeader(term: number): void {
    if (this.term !== term || this.role !== ROLE.candidate) {
      return;
    }
    this.role = ROLE.leader;
    this.leader = this.id;
    this.peers.clear();
    this.push({kind: 'noop'});
    this.refreshPeers();
    for (const peer of this.peers.values()) {
      peer.ackedAt = this.parts.clock.now();
    }
    this.parts.onRole?.(ROLE.leader, term, this.parts.box);
  }

  private becomeFollower(term: number, leader: ReplicaId | undefined): void {
    const changed = this.isLeader || this.leader !== leader;
    this.term = term;
    this.role = ROLE.follower;
    this.leader = leader;
    this.peers.clear();
    this.failWaiters(leadershipLost());
    this.grown.notify();
    this.acknowledged.notify();
    if (changed) {
      this.parts.onRole?.(ROLE.follower, term, this.leaderBox);
    }
  }

  // Leading

  private leads(peer: Peer, term: number): boolean {
    return (
      this.isLeader && this.term === term && this.peers.get(peer.id) === peer
    );
  }

  private async runPeer(
    peer: Peer,
    term: number,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, timing} = this.parts;
    while (!signal.aborted && this.leads(peer, term)) {
      const sentAt = clock.now();
      const progressed =
        peer.nextIndex <= this.log.firstBase
          ? await this.sendSnapshot(peer, term)
          : await this.sendEntries(peer, term);
      if (!this.leads(peer, term)) {
        return;
      }
      if (progressed) {
        peer.ackedAt = sentAt;
        this.acknowledged.notify();
      } else {
        await clock.sleep(timing.heartbeatMs / 2, signal);
      }
      if (progressed && peer.nextIndex > this.log.lastIndex) {
        await sleepUnlessNotified(
          clock,
          this.grown,
          timing.heartbeatMs,
          signal,
        );
      }
    }
  }

  private async sendEntries(peer: Peer, term: number): Promise<boolean> {
    const previousIndex = peer.nextIndex - 1;
    const previousTerm = this.log.termAt(previousIndex);
    invariant(previousTerm !== undefined, 'entries to send are not held');
    const entries = this.log.batchFrom(
      peer.nextIndex,
      MAX_APPEND_ENTRIES,
      MAX_APPEND_BYTES,
    );
    const request: AppendRequest = {
      commitIndex: this.commitIndex,
      entries,
      from: this.id,
      kind: 'append',
      previousIndex,
      previousTerm,
      term,
      to: peer.id,
    };
    const answer = await this.parts.link.call(
      peer.id,
      request,
      this.parts.timing.callMs,
    );
    if (answer.isErr()) {
      return false;
    }
    const reply = answer.value as AppendReply;
    if (!(await this.acceptsReply(reply.term)) || !this.leads(peer, term)) {
      return false;
    }
    if (!reply.success) {
      peer.nextIndex = Math.max(
        1,
        Math.min(reply.matchIndex + 1, previousIndex),
      );
      return true;
    }
    peer.matchIndex = Math.max(peer.matchIndex, reply.matchIndex);
    peer.nextIndex = peer.matchIndex + 1;
    this.advanceCommit();
    return true;
  }

  private async sendSnapshot(peer: Peer, term: number): Promise<boolean> {
    const {snapshot} = this;
    invariant(snapshot !== undefined, 'entries are gone without a snapshot');
    const installed = await sendSnapshot({
      acceptsTerm: (answered) => this.acceptsReply(answered),
      callMs: this.parts.timing.callMs,
      from: this.id,
      goesOn: () => this.leads(peer, term),
      link: this.parts.link,
      snapshot,
      term,
      to: peer.id,
    });
    if (installed) {
      peer.matchIndex = Math.max(peer.matchIndex, snapshot.lastIndex);
      peer.nextIndex = peer.matchIndex + 1;
    }
    return installed;
  }

  private async acceptsReply(term: number): Promise<boolean> {
    if (term > this.term) {
      await this.mutex.run(() => this.adoptTerm(term));
      return false;
    }
    return term === this.term;
  }

  /** The newest time at which a quorum had been reached. */
  private quorumAckedAt(): number {
    const now = this.parts.clock.now();
    const times = this.members.voters.map((voter) =>
      voter === this.id ? now : (this.peers.get(voter)?.ackedAt ?? -Infinity),
    );
    times.sort((a, b) => b - a);
    return times[quorumOf(this.members.voters) - 1] ?? -Infinity;
  }

  private advanceCommit(): void {
    if (!this.isLeader) {
      return;
    }
    const {voters} = this.members;
    const matches = voters.map((voter) =>
      voter === this.id
        ? this.syncedIndex
        : (this.peers.get(voter)?.matchIndex ?? 0),
    );
    matches.sort((a, b) => b - a);
    const index =
      this.parts.breakage?.commitWithoutQuorum === true
        ? this.syncedIndex
        : (matches[quorumOf(voters) - 1] ?? 0);
    // Entries of former terms count only once one of this term does.
    if (index > this.commitIndex && this.log.termAt(index) === this.term) {
      this.commitIndex = index;
      this.committed.notify();
      this.acknowledged.notify();
      this.leaveIfRemoved();
    }
  }

  private leaveIfRemoved(): void {
    if (!this.isVoter() && this.commitIndex >= this.membersIndex) {
      this.becomeFollower(this.term, undefined);
    }
  }

  // Following

  private async handleAppend(request: AppendRequest): Promise<AppendReply> {
    const refuse = (): AppendReply => ({
      matchIndex: Math.min(
        this.syncedIndex,
        Math.max(
          this.commitIndex,
          this.log.indexBeforeConflict(request.previousIndex),
        ),
      ),
      success: false,
      term: this.term,
    });
    if (request.to !== this.id || request.term < this.term) {
      return refuse();
    }
    await this.follow(request.term, request.from);
    const {previousIndex} = request;
    const term = this.log.termAt(previousIndex);
    if (previousIndex > this.log.firstBase && term !== request.previousTerm) {
      return refuse();
    }
    if (previousIndex <= this.log.firstBase && term === undefined) {
      return this.matched(request, this.log.firstBase);
    }
    this.mergeEntries(request.entries);
    if (!(await this.flush())) {
      return refuse();
    }
    return this.matched(request, previousIndex + request.entries.length);
  }

  private matched(request: AppendRequest, matchIndex: number): AppendReply {
    const commitIndex = Math.min(request.commitIndex, matchIndex);
    if (commitIndex > this.commitIndex) {
      this.commitIndex = commitIndex;
      this.committed.notify();
    }
    return {matchIndex, success: true, term: this.term};
  }

  private mergeEntries(entries: readonly Entry[]): void {
    for (const entry of entries) {
      const held = this.log.termAt(entry.index);
      if (entry.index <= this.log.firstBase || held === entry.term) {
        continue;
      }
      if (held !== undefined) {
        invariant(entry.index > this.commitIndex, 'a committed entry changed');
        this.log.truncateFrom(entry.index);
        this.syncedIndex = Math.min(this.syncedIndex, entry.index - 1);
      }
      this.log.push(entry);
    }
    this.refreshMembers();
  }

  private async follow(term: number, leader: ReplicaId): Promise<void> {
    await this.adoptTerm(term);
    this.heardAt = this.parts.clock.now();
    if (this.leader !== leader || this.role !== ROLE.follower) {
      this.becomeFollower(term, leader);
    }
  }

  private async handleSnapshot(
    request: SnapshotRequest,
  ): Promise<SnapshotReply> {
    if (request.to !== this.id || request.term < this.term) {
      return {nextOffset: 0, term: this.term};
    }
    await this.follow(request.term, request.from);
    const nextOffset = this.assembly.add(request);
    if (request.done && nextOffset === request.offset + request.bytes.length) {
      const installed = await this.install(request, this.assembly.take());
      return {nextOffset: installed ? nextOffset : 0, term: this.term};
    }
    return {nextOffset, term: this.term};
  }

  private async install(
    request: SnapshotRequest,
    bytes: Uint8Array,
  ): Promise<boolean> {
    const {lastIndex, lastTerm, members} = request;
    if (lastIndex <= this.commitIndex) {
      return true;
    }
    const snapshot = {bytes, lastIndex, lastTerm, members};
    const written = await this.storage.compact(snapshot, []);
    if (written.isErr()) {
      return false;
    }
    this.parts.machine.restore(bytes);
    this.snapshot = snapshot;
    this.log.reset(lastIndex, lastTerm);
    this.syncedIndex = lastIndex;
    this.commitIndex = lastIndex;
    this.appliedIndex = lastIndex;
    this.refreshMembers();
    return true;
  }
}

function leadershipLost(): Failure<'leadership-lost'> {
  return {kind: 'leadership-lost', message: 'another replica may lead now'};
}
