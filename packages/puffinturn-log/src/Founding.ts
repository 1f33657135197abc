/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * How a replica comes to be a member: all boxes of the settings found a group
 * when every one of them is blank; otherwise a replica asks to join.
 */
import type {ReplicaTiming} from './LogConstants';
import type {LogLink} from './LogLink';
import type {FoundRequest, IdentityReply, ReplicaId} from './LogMessages';
import {replicaIdOf} from './LogMessages';

/** What founding needs of a replica. */
export interface FoundingParts {
  readonly box: string;
  readonly link: LogLink;
  readonly timing: ReplicaTiming;
  /** What this replica would answer to an identity request. */
  readonly identity: () => IdentityReply;
  /** Makes this replica itself a founding member. */
  readonly found: (request: FoundRequest) => Promise<unknown>;
}

/** One try; call it again until this replica is a member. */
export async function tryToTakePart(
  parts: FoundingParts,
  boxes: readonly string[],
  mayFound: boolean,
): Promise<void> {
  const identities = await askIdentities(parts, boxes);
  const members = identities.filter(({founded}) => founded);
  if (members.length > 0) {
    await askToJoin(parts, members);
    return;
  }
  const isFirst = [...boxes].sort()[0] === parts.box;
  if (mayFound && isFirst && identities.length === boxes.length) {
    await foundGroup(
      parts,
      identities.map(({replica}) => replica),
    );
  }
}

async function askIdentities(
  {box: own, identity, link, timing}: FoundingParts,
  boxes: readonly string[],
): Promise<IdentityReply[]> {
  const calls = boxes.map(async (box): Promise<IdentityReply | undefined> => {
    if (box === own) {
      return identity();
    }
    const to = replicaIdOf(box, '');
    const answer = await link.call(to, {kind: 'identity'}, timing.callMs);
    return answer.isOk() ? (answer.value as IdentityReply) : undefined;
  });
  const replies = await Promise.all(calls);
  return replies.filter((reply) => reply !== undefined);
}

async function foundGroup(
  {found, identity, link, timing}: FoundingParts,
  voters: readonly ReplicaId[],
): Promise<void> {
  const {replica: id} = identity();
  const members = {learners: [], voters};
  await found({kind: 'found', members, to: id});
  const others = voters.filter((voter) => voter !== id);
  await Promise.all(
    others.map((to) =>
      link.call(to, {kind: 'found', members, to}, timing.callMs),
    ),
  );
}

/** Asks all who may lead; only the leader takes a replica in. */
async function askToJoin(
  {identity, link, timing}: FoundingParts,
  members: readonly IdentityReply[],
): Promise<void> {
  const {replica: id} = identity();
  const asked = new Set(
    members.flatMap(({replica, voters}) => [replica, ...voters]),
  );
  asked.delete(id);
  await Promise.all(
    [...asked].map((to) =>
      link.call(to, {from: id, kind: 'join'}, timing.callMs),
    ),
  );
}
