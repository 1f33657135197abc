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

import type {Allowances, ReserveOutcome} from './Allowances';
import {RESERVE} from './Allowances';
import type {Plan} from './RequestPlan';

/** What is known of a request's cost as it ends. */
export interface RequestCost {
  /** Attempts on which an upstream may have begun work. */
  readonly runs: number;
  /** Whether the whole answer of the last one was passed on. */
  readonly whole: boolean;
  /** Events passed on. */
  readonly events: number;
}

/** See the module comment. */
export class RequestTokens {
  private reserved = 0;
  private refused = false;

  constructor(
    private readonly allowances: Allowances,
    private readonly plan: Plan,
    /** Whether it is among the least urgent requests that need tokens. */
    private readonly givesWay = false,
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
    return this.setAside(team.name, tokens.prompt + tokens.most);
  }

  /**
   * Sets aside what so many runs can put out: one that broke off may have put out
   * all that it may, unseen. The prompt counts once, and the first run is covered.
   */
  async reserveRuns(runs: number): Promise<ReserveOutcome> {
    const {team, tokens} = this.plan;
    if (this.reserved === 0 || team === undefined || tokens === undefined) {
      return RESERVE.held;
    }
    const lacking = tokens.prompt + runs * tokens.most - this.reserved;
    return lacking > 0 ? this.setAside(team.name, lacking) : RESERVE.held;
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

  private async setAside(team: string, most: number): Promise<ReserveOutcome> {
    const outcome = await this.allowances.reserve(team, most, this.givesWay);
    if (outcome === RESERVE.held) {
      this.reserved += most;
    } else {
      this.refused = true;
    }
    return outcome;
  }

  private charge({events, runs, whole}: RequestCost): number {
    const {service, tokens} = this.plan;
    if (runs === 0 || tokens === undefined) {
      return 0;
    }
    // What a run made before it broke off, or its answer was lost, can't be told
    // from what was seen of it; charged less, a team got more than it had paid for.
    const broken = whole ? runs - 1 : runs;
    const seen = whole ? events * (service.engine?.tokensPerEvent ?? 1) : 0;
    return tokens.prompt + broken * tokens.most + Math.min(tokens.most, seen);
  }
}
