/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {TokenState} from 'puffinturn-decisions';

import type {RequestPlan} from '../requests/RequestPlan';
import type {Allowances, ReserveOutcome} from './Allowances';
import {RESERVE_OUTCOME} from './Allowances';

/** What a request is charged for at its end. */
export interface RequestCost {
  /** Whether any part of an upstream's response was sent to the caller. */
  readonly hasStarted: boolean;
  /** Whether the complete response was sent to the caller. */
  readonly isComplete: boolean;
  /** Events sent to the caller. */
  readonly events: number;
}

/** Events charged beyond those received when a response breaks off. */
const UNDELIVERED_EVENTS_CHARGED = 2;

/**
 * The prepaid tokens of one request: reserves its maximum cost before it is sent
 * to an upstream, and settles the actual cost at its end.
 */
export class RequestTokens {
  private reservedTokens = 0;
  private isRefused = false;

  constructor(
    private readonly allowances: Allowances,
    private readonly plan: RequestPlan,
    /** Whether it belongs to the lowest priority class that uses tokens. */
    private readonly isLeastUrgent = false,
  ) {}

  /** Token state behind a refused reservation; undefined if none was refused. */
  get refusalState(): TokenState | undefined {
    const {team} = this.plan;
    return this.isRefused && team !== undefined
      ? this.allowances.tokenStateOf(team.name)
      : undefined;
  }

  /** Reserves the maximum cost of the request if it is charged to a budget. */
  async reserve(): Promise<ReserveOutcome> {
    const {service, team, tokenCounts} = this.plan;
    const isMetered =
      service.engine !== undefined && team?.prepaidTokens !== undefined;
    if (!isMetered || tokenCounts === undefined) {
      return RESERVE_OUTCOME.reserved;
    }
    const maxTokens =
      tokenCounts.promptTokens + tokenCounts.maxCompletionTokens;
    const outcome = await this.allowances.reserve(
      team.name,
      maxTokens,
      this.isLeastUrgent,
    );
    if (outcome === RESERVE_OUTCOME.reserved) {
      this.reservedTokens = maxTokens;
    } else {
      this.isRefused = true;
    }
    return outcome;
  }

  /** Ends the reservation and returns the tokens charged. */
  settle(cost: RequestCost): number {
    const {team} = this.plan;
    if (this.reservedTokens === 0 || team === undefined) {
      return 0;
    }
    const charged = Math.min(this.reservedTokens, this.computeCharge(cost));
    this.allowances.settle(team.name, this.reservedTokens, charged);
    return charged;
  }

  /**
   * The cost in tokens. A request whose caller received nothing costs nothing;
   * otherwise lost responses would exhaust the budget early.
   */
  private computeCharge({events, hasStarted, isComplete}: RequestCost): number {
    const {service, tokenCounts} = this.plan;
    if (!hasStarted || tokenCounts === undefined) {
      return 0;
    }
    const producedEvents =
      events + (isComplete ? 0 : UNDELIVERED_EVENTS_CHARGED);
    const outputTokens = producedEvents * (service.engine?.tokensPerEvent ?? 1);
    return (
      tokenCounts.promptTokens +
      Math.min(tokenCounts.maxCompletionTokens, outputTokens)
    );
  }
}
