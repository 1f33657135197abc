/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Collects the votes of one election. */
import type {LogLink} from './LogLink';
import type {ReplicaId, VoteReply, VoteRequest} from './LogMessages';
import {quorumOf} from './MemberChanges';

/** One election or pre-vote. */
export interface Election {
  readonly link: LogLink;
  readonly request: Omit<VoteRequest, 'to'>;
  readonly voters: readonly ReplicaId[];
  readonly callTimeoutMs: number;
  /** Called with the term of each reply. */
  readonly onReplyTerm: (term: number) => void;
}

/**
 * Requests votes from all other voters. Resolves to true as soon as a quorum,
 * including the candidate itself, has granted its vote, and to false once all
 * have replied or failed without a quorum.
 */
export function collectVotes(election: Election): Promise<boolean> {
  const {callTimeoutMs, link, onReplyTerm, request, voters} = election;
  const others = voters.filter((voter) => voter !== request.from);
  const votesNeeded = quorumOf(voters) - 1;
  let pendingReplies = others.length;
  let votesGranted = 0;
  return new Promise((resolve) => {
    const resolveIfDecided = (): void => {
      if (votesGranted >= votesNeeded || pendingReplies === 0) {
        resolve(votesGranted >= votesNeeded);
      }
    };
    const recordReply = (reply: VoteReply | undefined): void => {
      pendingReplies -= 1;
      votesGranted += reply?.granted === true ? 1 : 0;
      if (reply !== undefined) {
        onReplyTerm(reply.term);
      }
      resolveIfDecided();
    };
    resolveIfDecided();
    for (const to of others) {
      void link.call(to, {...request, to}, callTimeoutMs).match(
        (reply) => recordReply(reply as VoteReply),
        () => recordReply(undefined),
      );
    }
  });
}
