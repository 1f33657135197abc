/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Changes of the member list by the leader: replicas that join become learners, then voters
 * once they have caught up, and voters that no longer reply are replaced.
 */
import type {Result, ResultAsync} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Clock, Condition} from 'shared';
import {Mutex} from 'shared';

import type {ReplicaTiming} from './LogConstants';
import {
  MAX_LEARNER_LAG_ENTRIES,
  REPLACE_AFTER_ELECTION_TIMEOUTS,
} from './LogConstants';
import type {Members, ProposalFailure, ReplicaId} from './LogMessages';
import type {MemberChange} from './MemberChanges';
import {
  withLearner,
  withoutFormerIncarnations,
  withoutVoter,
  withVoter,
} from './MemberChanges';

/** What membership changes need from a replica. */
export interface MembershipParts {
  readonly clock: Clock;
  readonly timing: ReplicaTiming;
  /** Maximum number of voters. Further replicas remain learners. */
  readonly maxVoters: number | undefined;
  readonly ownId: ReplicaId;
  /** Whether this replica leads and isn't stopping. */
  readonly isActiveLeader: () => boolean;
  readonly members: () => Members;
  readonly proposeMembers: (
    members: Members,
  ) => ResultAsync<unknown, ProposalFailure>;
  readonly barrier: () => ResultAsync<void, ProposalFailure>;
  /** Committed entries that a replica has not confirmed. */
  readonly lagEntries: (id: ReplicaId) => number;
  /** Milliseconds since the latest request with a reply was sent or the peer was added. */
  readonly msSinceContact: (id: ReplicaId) => number;
  /** Notified when a peer acknowledges or the commit index advances. */
  readonly progressMade: Condition;
}

/** Commits membership changes, each before the next. */
export class Membership {
  private readonly mutex = new Mutex();

  constructor(private readonly parts: MembershipParts) {}

  /** Adds a replica and removes former incarnations of its box. */
  add(joiningId: ReplicaId): Promise<Result<void, ProposalFailure>> {
    return this.mutex.run(() => this.addReplica(joiningId));
  }

  /** As leader, replaces voters that no longer reply by learners, until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, isActiveLeader, timing} = this.parts;
    while (!signal.aborted) {
      await clock.sleep(timing.electionTimeoutMs, signal);
      if (isActiveLeader()) {
        await this.mutex.run(() => this.replaceUnresponsiveVoter());
      }
    }
  }

  private async addReplica(
    joiningId: ReplicaId,
  ): Promise<Result<void, ProposalFailure>> {
    const learnerAdded = await this.apply((members) =>
      withLearner(members, joiningId),
    );
    if (learnerAdded.isErr()) {
      return learnerAdded;
    }
    const formerRemoved = await this.apply((members) =>
      withoutFormerIncarnations(members, joiningId),
    );
    if (formerRemoved.isErr() || this.hasMaxVoters()) {
      return formerRemoved;
    }
    await this.waitUntilCaughtUp(joiningId);
    return this.apply((members) => withVoter(members, joiningId));
  }

  /** Commits one membership change. The caller holds the mutex. */
  private async apply(
    change: MemberChange,
  ): Promise<Result<void, ProposalFailure>> {
    const {barrier, members, proposeMembers} = this.parts;
    const confirmed = await barrier();
    if (confirmed.isErr()) {
      return err(confirmed.error);
    }
    const next = change(members());
    if (next === undefined) {
      return ok(undefined);
    }
    const changed = await proposeMembers(next);
    return changed.map(() => undefined);
  }

  private hasMaxVoters(): boolean {
    const {maxVoters, members} = this.parts;
    return maxVoters !== undefined && members().voters.length >= maxVoters;
  }

  private async replaceUnresponsiveVoter(): Promise<void> {
    const {lagEntries, members, msSinceContact, ownId, timing} = this.parts;
    const contactTimeoutMs =
      REPLACE_AFTER_ELECTION_TIMEOUTS * timing.electionTimeoutMs;
    const {learners, voters} = members();
    const caughtUpLearner = learners.find(
      (id) =>
        msSinceContact(id) < timing.electionTimeoutMs &&
        lagEntries(id) <= MAX_LEARNER_LAG_ENTRIES,
    );
    const unresponsiveVoter = voters.find(
      (id) => id !== ownId && msSinceContact(id) > contactTimeoutMs,
    );
    if (
      caughtUpLearner === undefined ||
      (unresponsiveVoter === undefined && this.hasMaxVoters())
    ) {
      return;
    }
    const added = await this.apply((list) => withVoter(list, caughtUpLearner));
    if (
      added.isOk() &&
      unresponsiveVoter !== undefined &&
      this.hasMaxVoters()
    ) {
      await this.apply((list) => withoutVoter(list, unresponsiveVoter));
    }
  }

  private async waitUntilCaughtUp(id: ReplicaId): Promise<void> {
    const {isActiveLeader, lagEntries, msSinceContact, progressMade, timing} =
      this.parts;
    while (
      isActiveLeader() &&
      msSinceContact(id) < 2 * timing.electionTimeoutMs &&
      lagEntries(id) > MAX_LEARNER_LAG_ENTRIES
    ) {
      await progressMade.wait();
    }
  }
}
