/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Asks the voters for their votes. */
import type {LogLink} from './LogLink';
import type {ReplicaId, VoteReply, VoteRequest} from './LogMessages';
import {quorumOf} from './MemberChanges';

/** One ballot or pre-vote. */
export interface Ballot {
  readonly link: LogLink;
  readonly request: Omit<VoteRequest, 'to'>;
  readonly voters: readonly ReplicaId[];
  readonly callMs: number;
  /** Told of every answer's term. */
  readonly onTerm: (term: number) => void;
}

/** Resolves as soon as the ballot is won or lost; the candidate has one vote. */
export function collectVotes(ballot: Ballot): Promise<boolean> {
  const {callMs, link, onTerm, request, voters} = ballot;
  const others = voters.filter((voter) => voter !== request.from);
  const needed = quorumOf(voters) - 1;
  let open = others.length;
  let granted = 0;
  return new Promise((resolve) => {
    const decide = (): void => {
      if (granted >= needed || open === 0) {
        resolve(granted >= needed);
      }
    };
    const count = (reply: VoteReply | undefined): void => {
      open -= 1;
      granted += reply?.granted === true ? 1 : 0;
      if (reply !== undefined) {
        onTerm(reply.term);
      }
      decide();
    };
    decide();
    for (const to of others) {
      void link.call(to, {...request, to}, callMs).match(
        (reply) => count(reply as VoteReply),
        () => count(undefined),
      );
    }
  });
}
