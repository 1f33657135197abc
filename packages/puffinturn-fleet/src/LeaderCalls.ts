/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * What needs the leader of the log: records, barriers, and calls that are passed on
 * to it. All end within a bound of their own, whatever becomes of the quorum.
 */
import type {Result} from 'neverthrow';
import {err, ResultAsync} from 'neverthrow';
import type {ProposalFailure, Replica} from 'puffinturn-log';
import type {Link} from 'puffinturn-wire';
import type {Clock, Failure} from 'shared';

import type {FleetRecord} from './FleetMachine';

/** Longest time that a proposal or barrier is waited for, ms. */
const LEADER_CALL_MS = 1_500;

/** Why control could not decide. */
export type FleetFailure = Failure<'no-quorum'> | ProposalFailure;

/** What LeaderCalls are made of. */
export interface LeaderCallsParts {
  readonly self: {readonly box: string};
  readonly clock: Clock;
  readonly link: Link;
  readonly replica: Replica;
}

/** See the module comment. */
export class LeaderCalls {
  constructor(private readonly parts: LeaderCallsParts) {}

  /** Proposes a record; resolves with what applying it did. */
  propose<Outcome>(record: FleetRecord): ResultAsync<Outcome, FleetFailure> {
    const {clock, replica} = this.parts;
    return within(clock, replica.propose(record)).map(
      (value) => value as Outcome,
    );
  }

  /** Whether a barrier of the log was passed, so that the machine may be read. */
  async isCurrent(): Promise<boolean> {
    const {clock, replica} = this.parts;
    const passed = await within(clock, replica.barrier());
    return passed.isOk();
  }

  /** Does what only the leader can do: here, or at the box that leads. */
  atLeader<Reply>(
    service: string,
    body: unknown,
    without: Reply,
    here: () => Promise<Reply>,
  ): Promise<Reply> {
    const {isLeader, leaderBox} = this.parts.replica;
    return isLeader || leaderBox === undefined
      ? here()
      : this.askLeader(leaderBox, service, body, without);
  }

  private async askLeader<Reply>(
    leader: string,
    service: string,
    body: unknown,
    without: Reply,
  ): Promise<Reply> {
    const {link, self} = this.parts;
    if (leader === self.box) {
      return without;
    }
    const answer = await link.call(leader, service, body, LEADER_CALL_MS);
    return answer.match(
      (reply) => reply as Reply,
      () => without,
    );
  }
}

/** The result, or a failure once the leader's time is over. */
function within<Value>(
  clock: Clock,
  result: ResultAsync<Value, ProposalFailure>,
): ResultAsync<Value, FleetFailure> {
  const stop = new AbortController();
  const late = clock
    .sleep(LEADER_CALL_MS, stop.signal)
    .then(() => err<Value, FleetFailure>(noQuorum()));
  const settled = Promise.resolve(result).then((outcome) => {
    stop.abort();
    return outcome as Result<Value, FleetFailure>;
  });
  return new ResultAsync(Promise.race([settled, late]));
}

function noQuorum(): FleetFailure {
  return {kind: 'no-quorum', message: 'no quorum answered in time'};
}
