/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Makes a replica a member of a group. If no configured box belongs to a group
 * yet, they bootstrap a new one; otherwise the replica asks to join.
 */
import type {ReplicaTiming} from './LogConstants';
import type {LogLink} from './LogLink';
import type {BootstrapRequest, IdentityReply, ReplicaId} from './LogMessages';
import {replicaIdOf} from './LogMessages';

/** What bootstrapping needs from a replica. */
export interface BootstrapParts {
  readonly box: string;
  readonly link: LogLink;
  readonly timing: ReplicaTiming;
  /** The reply of this replica to an identity request. */
  readonly identity: () => IdentityReply;
  /** Initialises this replica with the first member list. */
  readonly bootstrap: (request: BootstrapRequest) => Promise<unknown>;
}

/**
 * Makes one attempt to bootstrap or join a group; retry until this replica is a
 * member. Only the first box in sort order bootstraps, and only when every box
 * has replied, so that two groups cannot form.
 */
export async function tryBootstrapOrJoin(
  parts: BootstrapParts,
  boxes: readonly string[],
  mayBootstrap: boolean,
): Promise<void> {
  const identities = await requestIdentities(parts, boxes);
  const groupMembers = identities.filter(({founded}) => founded);
  if (groupMembers.length > 0) {
    await requestJoin(parts, groupMembers);
    return;
  }
  const isFirst = [...boxes].sort()[0] === parts.box;
  if (mayBootstrap && isFirst && identities.length === boxes.length) {
    await bootstrapGroup(
      parts,
      identities.map(({replica}) => replica),
    );
  }
}

async function requestIdentities(
  {box: ownBox, identity, link, timing}: BootstrapParts,
  boxes: readonly string[],
): Promise<IdentityReply[]> {
  const calls = boxes.map(async (box): Promise<IdentityReply | undefined> => {
    if (box === ownBox) {
      return identity();
    }
    const to = replicaIdOf(box, '');
    const result = await link.call(
      to,
      {kind: 'identity'},
      timing.callTimeoutMs,
    );
    return result.isOk() ? (result.value as IdentityReply) : undefined;
  });
  const replies = await Promise.all(calls);
  return replies.filter((reply) => reply !== undefined);
}

async function bootstrapGroup(
  {bootstrap, identity, link, timing}: BootstrapParts,
  voters: readonly ReplicaId[],
): Promise<void> {
  const {replica: id} = identity();
  const members = {learners: [], voters};
  await bootstrap({kind: 'found', members, to: id});
  const others = voters.filter((voter) => voter !== id);
  await Promise.all(
    others.map((to) =>
      link.call(to, {kind: 'found', members, to}, timing.callTimeoutMs),
    ),
  );
}

/** Asks every replica that may be the leader; only the leader adds members. */
async function requestJoin(
  {identity, link, timing}: BootstrapParts,
  members: readonly IdentityReply[],
): Promise<void> {
  const {replica: id} = identity();
  const recipients = new Set(
    members.flatMap(({replica, voters}) => [replica, ...voters]),
  );
  recipients.delete(id);
  await Promise.all(
    [...recipients].map((to) =>
      link.call(to, {from: id, kind: 'join'}, timing.callTimeoutMs),
    ),
  );
}
