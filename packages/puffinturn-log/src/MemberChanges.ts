/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Member lists: quorums, and changes of one replica at a time. */
import type {Members, ReplicaId} from './LogMessages';
import {boxOf} from './LogMessages';

/** The number of voters that make a quorum. */
export function quorumOf(voters: readonly ReplicaId[]): number {
  return Math.floor(voters.length / 2) + 1;
}

/** One step of taking a replica in; undefined when nothing is to change. */
export type MemberChange = (members: Members) => Members | undefined;

/** Adds a replica that receives entries and does not vote. */
export function withLearner(
  members: Members,
  id: ReplicaId,
): Members | undefined {
  return members.learners.includes(id) || members.voters.includes(id)
    ? undefined
    : {...members, learners: [...members.learners, id]};
}

/** Drops earlier lives of the same box: their disk is gone for good. */
export function withoutFormerLives(
  members: Members,
  id: ReplicaId,
): Members | undefined {
  const stays = (other: ReplicaId): boolean =>
    other === id || boxOf(other) !== boxOf(id);
  const voters = members.voters.filter(stays);
  const learners = members.learners.filter(stays);
  const same =
    voters.length === members.voters.length &&
    learners.length === members.learners.length;
  return same || voters.length === 0 ? undefined : {learners, voters};
}

/** Lets a learner vote. */
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

/** Drops one replica. */
export function withoutReplica(
  members: Members,
  id: ReplicaId,
): Members | undefined {
  const stays = (other: ReplicaId): boolean => other !== id;
  const voters = members.voters.filter(stays);
  return voters.length === members.voters.length || voters.length === 0
    ? undefined
    : {...members, voters};
}
