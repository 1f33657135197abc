/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Quorum size and membership changes of one replica at a time. */
import type {Members, ReplicaId} from './LogMessages';
import {boxOf} from './LogMessages';

/** Returns the number of voters that form a majority. */
export function quorumOf(voters: readonly ReplicaId[]): number {
  return Math.floor(voters.length / 2) + 1;
}

/** Returns the number of voters of which each majority outlasts so many lost disks. */
export function votersToBear(lostDisks: number): number {
  return 2 * lostDisks + 1;
}

/** Returns the changed member list, or undefined if nothing has to change. */
export type MemberChange = (members: Members) => Members | undefined;

/** Adds a replica as a learner. */
export function withLearner(
  members: Members,
  id: ReplicaId,
): Members | undefined {
  return members.learners.includes(id) || members.voters.includes(id)
    ? undefined
    : {...members, learners: [...members.learners, id]};
}

/** Removes former incarnations of the same box, whose disk is lost. */
export function withoutFormerIncarnations(
  members: Members,
  id: ReplicaId,
): Members | undefined {
  const isKept = (other: ReplicaId): boolean =>
    other === id || boxOf(other) !== boxOf(id);
  const voters = members.voters.filter(isKept);
  const learners = members.learners.filter(isKept);
  const isUnchanged =
    voters.length === members.voters.length &&
    learners.length === members.learners.length;
  return isUnchanged || voters.length === 0 ? undefined : {learners, voters};
}

/** Promotes a learner to a voter. */
export function withVoter(
  members: Members,
  id: ReplicaId,
): Members | undefined {
  return members.voters.includes(id)
    ? undefined
    : {
        learners: members.learners.filter((learner) => learner !== id),
        voters: [...members.voters, id],
      };
}

/** Removes a voter. */
export function withoutVoter(
  members: Members,
  id: ReplicaId,
): Members | undefined {
  const isKept = (other: ReplicaId): boolean => other !== id;
  const voters = members.voters.filter(isKept);
  return voters.length === members.voters.length || voters.length === 0
    ? undefined
    : {...members, voters};
}
