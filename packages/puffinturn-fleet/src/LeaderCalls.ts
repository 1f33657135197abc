/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Operations that need the leader of the log: proposals, barriers and forwarded calls.
 * Each has a timeout, so that none blocks while the quorum is lost.
 */
import type {Result} from 'neverthrow';
import {err, ResultAsync} from 'neverthrow';
import type {ProposalFailure, Replica} from 'puffinturn-log';
import type {Link} from 'puffinturn-wire';
import type {Clock, Failure} from 'shared';
import {resolveWithin} from 'shared';

import type {FleetRecord} from './FleetMachine';

/** Default timeout of proposals, barriers and forwarded calls, ms. */
const LEADER_TIMEOUT_MS = 1_500;

/** Why a proposal or barrier failed. */
export type FleetFailure = Failure<'no-quorum'> | ProposalFailure;

/** Constructor arguments of LeaderCalls. */
export interface LeaderCallsParts {
  readonly self: {readonly box: string};
  readonly clock: Clock;
  readonly link: Link;
  readonly replica: Replica;
}

/** Runs operations that need the leader of the log. */
export class LeaderCalls {
  constructor(private readonly parts: LeaderCallsParts) {}

  /** Proposes a record; resolves with the outcome of applying it. */
  propose<Outcome>(
    record: FleetRecord,
    timeoutMs = LEADER_TIMEOUT_MS,
  ): ResultAsync<Outcome, FleetFailure> {
    const {clock, replica} = this.parts;
    return withTimeout(clock, replica.propose(record), timeoutMs).map(
      (value) => value as Outcome,
    );
  }

  /** Waits for a barrier of the log; true means that the state machine is current. */
  async passBarrier(): Promise<boolean> {
    const {clock, replica} = this.parts;
    const barrier = await withTimeout(
      clock,
      replica.barrier(),
      LEADER_TIMEOUT_MS,
    );
    return barrier.isOk();
  }

  /**
   * Runs an operation on the leader: here if this box leads or knows no leader, else by a
   * call to the leader. Resolves with `fallback` if that call fails.
   */
  runOnLeader<Reply>(
    service: string,
    body: unknown,
    fallback: Reply,
    runLocally: () => Promise<Reply>,
    timeoutMs = LEADER_TIMEOUT_MS,
  ): Promise<Reply> {
    const {isLeader, leaderBox} = this.parts.replica;
    return isLeader || leaderBox === undefined
      ? runLocally()
      : this.callLeader(leaderBox, service, body, fallback, timeoutMs);
  }

  private async callLeader<Reply>(
    leader: string,
    service: string,
    body: unknown,
    fallback: Reply,
    timeoutMs: number,
  ): Promise<Reply> {
    const {link, self} = this.parts;
    if (leader === self.box) {
      return fallback;
    }
    const result = await link.call(leader, service, body, timeoutMs);
    return result.match(
      (reply) => reply as Reply,
      () => fallback,
    );
  }
}

/** Resolves with the result, or with a failure after the timeout. */
function withTimeout<Value>(
  clock: Clock,
  result: ResultAsync<Value, ProposalFailure>,
  timeoutMs: number,
): ResultAsync<Value, FleetFailure> {
  const settled: Promise<Result<Value, FleetFailure>> = resolveWithin(
    clock,
    Promise.resolve(result),
    timeoutMs,
  ).then((outcome) => outcome ?? err(noQuorum()));
  return new ResultAsync(settled);
}

function noQuorum(): FleetFailure {
  return {kind: 'no-quorum', message: 'no quorum answered in time'};
}
