/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {
  DecisionLog,
  EndedTokens,
  TeamTokenAmount,
} from 'puffinturn-decisions';
import {selectLargestTeams} from 'puffinturn-decisions';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';

import type {AllowanceOutcome, AllowanceRequest} from './AllowanceLedger';
import type {FleetMachine} from './FleetMachine';
import type {AllowanceReply} from './FleetMessages';
import {FLEET_SERVICE} from './FleetMessages';
import {GrantTotals} from './GrantTotals';
import type {LeaderCalls} from './LeaderCalls';

/** Dependencies of an AllowanceControl. */
export interface AllowanceControlParts {
  readonly clock: Clock;
  readonly leader: LeaderCalls;
  readonly link: Link;
  readonly log: DecisionLog;
  readonly machine: FleetMachine;
}

/**
 * Handles allowance requests of edges at a control box. Followers forward them to
 * the leader, which commits each exchange to the replicated log.
 */
export class AllowanceControl implements AsyncDisposable {
  private readonly grantTotals: GrantTotals;
  private readonly handler: Disposable;

  constructor(private readonly parts: AllowanceControlParts) {
    const {clock, link, log, machine} = parts;
    this.grantTotals = new GrantTotals(clock, log, machine);
    this.handler = link.register(FLEET_SERVICE.allowance, (body) =>
      this.exchange(body as AllowanceRequest),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.handler[Symbol.dispose]();
    await this.grantTotals[Symbol.asyncDispose]();
  }

  private exchange(request: AllowanceRequest): Promise<AllowanceReply> {
    const unavailable = {grants: undefined};
    return this.parts.leader.runOnLeader(
      FLEET_SERVICE.allowance,
      request,
      unavailable,
      () => this.exchangeAsLeader(request),
    );
  }

  private async exchangeAsLeader(
    request: AllowanceRequest,
  ): Promise<AllowanceReply> {
    const outcome = await this.parts.leader.propose<AllowanceOutcome>({
      ...request,
      kind: 'allowance',
    });
    return outcome.match(
      ({grants, reclaimed, writtenOff}) => {
        this.logEnded(request.box, 'tokens-reclaimed', reclaimed ?? []);
        this.logEnded(request.box, 'tokens-written-off', writtenOff ?? []);
        this.grantTotals.recordTeams(request.asks.map(({team}) => team));
        return {grants};
      },
      () => ({grants: undefined}),
    );
  }

  /** Logs tokens of an ended incarnation of an edge. */
  private logEnded(
    edge: string,
    event: EndedTokens['event'],
    amounts: readonly TeamTokenAmount[],
  ): void {
    if (amounts.length > 0) {
      const amount = amounts.reduce((sum, team) => sum + team.amount, 0);
      const teams = selectLargestTeams(amounts, (team) => team.amount);
      this.parts.log.note({amount, edge, event, teams});
    }
  }
}
