/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The prepaid tokens of one request: set aside at its most before it is sent
 * anywhere, and settled at its cost as it ends.
 */
import type {TokenFacts} from 'puffinturn-decisions';

import type {Plan} from '../requests/RequestPlan';
import type {Allowances, ReserveOutcome} from './Allowances';
import {RESERVE} from './Allowances';

/** What is known of a request's cost as it ends. */
export interface RequestCost {
  /** Whether any part of an upstream's answer went on to the caller. */
  readonly passedOn: boolean;
  /** Whether the whole answer was passed on. */
  readonly whole: boolean;
  /** Events passed on. */
  readonly events: number;
}

/** Events an upstream may have made that did not arrive before a break. */
const UNSEEN_EVENTS = 2;

/** See the module comment. */
export class RequestTokens {
  private reserved = 0;
  private refused = false;

  constructor(
    private readonly allowances: Allowances,
    private readonly plan: Plan,
    /** Whether it is among the least urgent requests that need tokens. */
    private readonly isLeastUrgent = false,
  ) {}

  /** What a refusal for tokens rested on; undefined without one. */
  get facts(): TokenFacts | undefined {
    const {team} = this.plan;
    return this.refused && team !== undefined
      ? this.allowances.factsOf(team.name)
      : undefined;
  }

  /** Sets the most aside that the request can cost, if it is to be paid for. */
  async reserve(): Promise<ReserveOutcome> {
    const {service, team, tokens} = this.plan;
    const counted =
      service.engine !== undefined && team?.prepaidTokens !== undefined;
    if (!counted || tokens === undefined) {
      return RESERVE.held;
    }
    const most = tokens.prompt + tokens.most;
    const outcome = await this.allowances.reserve(
      team.name,
      most,
      this.isLeastUrgent,
    );
    if (outcome === RESERVE.held) {
      this.reserved = most;
    } else {
      this.refused = true;
    }
    return outcome;
  }

  /** Ends the reservation; returns the tokens charged. */
  settle(cost: RequestCost): number {
    const {team} = this.plan;
    if (this.reserved === 0 || team === undefined) {
      return 0;
    }
    const charged = Math.min(this.reserved, this.charge(cost));
    this.allowances.settle(team.name, this.reserved, charged);
    return charged;
  }

  /**
   * A team pays for what its callers receive. Where an answer was lost or the
   * caller left before its first word, nothing was received: charged all the same,
   * such requests would use a budget up early and turn later callers away.
   */
  private charge({events, passedOn, whole}: RequestCost): number {
    const {service, tokens} = this.plan;
    if (!passedOn || tokens === undefined) {
      return 0;
    }
    const made = events + (whole ? 0 : UNSEEN_EVENTS);
    const out = made * (service.engine?.tokensPerEvent ?? 1);
    return tokens.prompt + Math.min(tokens.most, out);
  }
}
