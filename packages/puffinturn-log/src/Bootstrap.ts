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
import type {Result} from 'neverthrow';

import type {DiskFailure} from './Disk';
import type {ReplicaTiming} from './LogConstants';
import type {LogLink} from './LogLink';
import type {
  BootstrapReply,
  BootstrapRequest,
  IdentityReply,
  Members,
} from './LogMessages';
import {boxOf, replicaIdOf} from './LogMessages';
import type {StoredBootstrap} from './LogStorage';

/** What bootstrapping needs from a replica. */
export interface BootstrapParts {
  readonly box: string;
  readonly link: LogLink;
  readonly timing: ReplicaTiming;
  /** The reply of this replica to an identity request. */
  readonly identity: () => IdentityReply;
  /** Initialises this replica with the first member list. */
  readonly bootstrap: (request: BootstrapRequest) => Promise<unknown>;
  /** Stores and syncs what this replica knows of the first start. */
  readonly storeFirstStart: (
    firstStart: StoredBootstrap,
  ) => Promise<Result<void, DiskFailure>>;
}

/** Bootstraps a group or joins one. */
export class Bootstrap {
  /** `firstStart` is undefined if this replica took no part in the first start. */
  constructor(
    private readonly parts: BootstrapParts,
    private firstStart: StoredBootstrap | undefined,
  ) {}

  /** The boxes of the first start, sorted, if this replica took part in it. */
  get firstBoxes(): readonly string[] | undefined {
    return this.firstStart?.boxes;
  }

  /**
   * Makes one attempt; retry until this replica is a member. Only the first box in sort
   * order bootstraps, and only when every box has replied that it has no group and one
   * of them took part in the first start of the same boxes.
   *
   * All others store the member list before the first box does, and no replica without it
   * votes. So a group that has elected a leader includes all boxes that could agree to
   * another one, and the first box never proposes another list: two groups can't form.
   */
  async tryBootstrapOrJoin(
    boxes: readonly string[],
    mayBootstrap: boolean,
  ): Promise<void> {
    const {box, identity} = this.parts;
    const sortedBoxes = [...boxes].sort();
    if (mayBootstrap) {
      await this.rememberFirstStart(sortedBoxes);
    }
    const identities = await requestIdentities(this.parts, boxes);
    const proposed = this.firstStart?.proposed;
    if (proposed !== undefined && !identity().founded) {
      await this.completeBootstrap(proposed, identities);
    }
    const groupMembers = identities.filter(({founded}) => founded);
    if (groupMembers.length > 0) {
      await this.adoptFirstMembers(groupMembers);
      await requestJoin(this.parts, groupMembers);
      return;
    }
    const isFirst = sortedBoxes[0] === box;
    const isAgreed = identities.some((reply) => tookPart(reply, sortedBoxes));
    if (
      isAgreed &&
      isFirst &&
      identities.length === boxes.length &&
      proposed === undefined
    ) {
      await this.propose(sortedBoxes, identities);
    }
  }

  /** Remembers the boxes of the first start until this replica belongs to a group. */
  private async rememberFirstStart(
    sortedBoxes: readonly string[],
  ): Promise<void> {
    const known = this.firstStart;
    const isKnown =
      known?.proposed !== undefined ||
      known?.boxes.join() === sortedBoxes.join();
    if (!isKnown && !this.parts.identity().founded) {
      await this.store({boxes: sortedBoxes});
    }
  }

  private async propose(
    sortedBoxes: readonly string[],
    identities: readonly IdentityReply[],
  ): Promise<void> {
    const voters = identities.map(({replica}) => replica).sort();
    const proposed = {learners: [], voters};
    if (await this.store({boxes: sortedBoxes, proposed})) {
      await this.completeBootstrap(proposed, identities);
    }
  }

  private async store(firstStart: StoredBootstrap): Promise<boolean> {
    const stored = await this.parts.storeFirstStart(firstStart);
    if (stored.isOk()) {
      this.firstStart = firstStart;
    }
    return stored.isOk();
  }

  /**
   * Stores the proposed member list here once all other voters have stored it. A voter
   * whose box runs another replica by now has ended.
   */
  private async completeBootstrap(
    members: Members,
    identities: readonly IdentityReply[],
  ): Promise<void> {
    const {bootstrap, identity, link, timing} = this.parts;
    const {replica: ownId} = identity();
    const others = members.voters.filter((voter) => voter !== ownId);
    const results = await Promise.all(
      others.map(async (to) => {
        const isReplaced = identities.some(
          ({replica}) => boxOf(replica) === boxOf(to) && replica !== to,
        );
        const request = {kind: 'found', members, to} as const;
        const reply = await link.call(to, request, timing.callTimeoutMs);
        const isStored =
          reply.isOk() && (reply.value as BootstrapReply).founded;
        return isStored || isReplaced;
      }),
    );
    if (results.every((isDone) => isDone)) {
      await bootstrap({kind: 'found', members, to: ownId});
    }
  }

  /** Stores the first member list of a group that names this replica. */
  private async adoptFirstMembers(
    groupMembers: readonly IdentityReply[],
  ): Promise<void> {
    const {bootstrap, identity} = this.parts;
    const {founded, replica: ownId} = identity();
    if (founded || this.firstStart?.proposed !== undefined) {
      return;
    }
    const members = groupMembers
      .map(({firstMembers}) => firstMembers)
      .find((first) => first?.voters.includes(ownId));
    if (members !== undefined) {
      await bootstrap({kind: 'found', members, to: ownId});
    }
  }
}

/** Whether a replica took part in the first start of the same boxes. */
function tookPart(
  {bootstrapBoxes = []}: IdentityReply,
  sortedBoxes: readonly string[],
): boolean {
  return bootstrapBoxes.join() === sortedBoxes.join();
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
