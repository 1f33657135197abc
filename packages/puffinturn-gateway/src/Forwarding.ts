/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Passes never-repeated requests on to the home region of their budget, which
 * alone keeps their keys. Their keys make sending again harmless; a region
 * that cannot be reached means that nothing ran, or that nobody knows.
 */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {BoxMember} from 'puffinturn-membership';
import type {Link} from 'puffinturn-wire';
import type {Clock, Random} from 'shared';

import type {AnswerExchange} from './AnswerExchange';
import type {AnswerStore} from './AnswerStore';
import type {CallerAnswer} from './Gateway';
import {FOLLOW_PAUSE_MS} from './GatewayConstants';
import type {GatewayFailure} from './GatewayFailure';
import {gatewayFailure, OUTCOME} from './GatewayFailure';
import type {CallerRequest, Plan} from './Plan';

const FORWARD_SERVICE = 'forward';

/** Limit for one call, ms; admission may wait for its budget. */
const FORWARD_CALL_MS = 5_000;

interface ForwardRequest {
  readonly team: string;
  readonly request: Omit<CallerRequest, 'team'>;
}

type ForwardReply =
  | {readonly kind: 'refused'; readonly failure: GatewayFailure}
  | {
      readonly kind: 'taken';
      readonly key: string;
      readonly attempt: number;
    };

/** What forwarding needs. */
export interface ForwardingParts {
  readonly boxesOf: (region: string) => readonly string[];
  readonly clock: Clock;
  readonly exchange: AnswerExchange;
  readonly handle: (
    request: CallerRequest,
  ) => Promise<Result<CallerAnswer, GatewayFailure>>;
  readonly link: Link;
  readonly member: BoxMember;
  readonly random: Random;
  readonly store: AnswerStore;
}

/** See the module comment. */
export class Forwarding implements Disposable {
  private readonly registration: Disposable;

  constructor(private readonly parts: ForwardingParts) {
    this.registration = parts.link.register(FORWARD_SERVICE, (body) =>
      this.receive(body as ForwardRequest),
    );
  }

  [Symbol.dispose](): void {
    this.registration[Symbol.dispose]();
  }

  /** Has a request served by another region. */
  async forward(
    region: string,
    plan: Plan,
  ): Promise<Result<CallerAnswer, GatewayFailure>> {
    const {boxesOf, clock, link, random} = this.parts;
    const {team, ...request} = plan.request;
    const body: ForwardRequest = {request, team: team.name};
    const end = clock.now() + plan.decision.deadlineMs;
    let mayHaveArrived = false;
    while (clock.now() < end) {
      const box = random.pick(boxesOf(region)) ?? '';
      const callMs = Math.min(FORWARD_CALL_MS, end - clock.now());
      const answer = await link.call(box, FORWARD_SERVICE, body, callMs);
      const reply = answer.isOk() ? (answer.value as ForwardReply) : undefined;
      if (reply?.kind === 'refused') {
        // An earlier call may still run it, whatever this one says.
        const sure =
          !mayHaveArrived || reply.failure.outcome !== OUTCOME.notRun;
        if (sure) {
          return err(reply.failure);
        }
      }
      if (reply?.kind === 'taken') {
        const taken = await this.attach(box, team.name, reply);
        if (taken !== undefined) {
          return ok(taken);
        }
      }
      mayHaveArrived ||= answer.isOk() || answer.error.kind !== 'not-sent';
      await clock.sleep(FOLLOW_PAUSE_MS);
    }
    return err(unreachable(region, mayHaveArrived));
  }

  private async attach(
    box: string,
    team: string,
    {attempt, key}: Extract<ForwardReply, {kind: 'taken'}>,
  ): Promise<CallerAnswer | undefined> {
    const id = {key, team};
    const answer = await this.parts.exchange.attach(box, id, attempt);
    return answer && {answer, requestId: key};
  }

  private async receive(body: ForwardRequest): Promise<ForwardReply> {
    const {handle, member, store} = this.parts;
    const team = member.config.team(body.team);
    if (team === undefined) {
      const message = 'this box does not know the team yet';
      const failure = gatewayFailure('not_ready', message, 1_000);
      return {failure, kind: 'refused'};
    }
    const handled = await handle({...body.request, team});
    if (handled.isErr()) {
      return {failure: handled.error, kind: 'refused'};
    }
    const {answer, requestId: key} = handled.value;
    store.keep({key, team: team.name}, answer);
    return {attempt: answer.attempt, key, kind: 'taken'};
  }
}

function unreachable(region: string, mayHaveArrived: boolean): GatewayFailure {
  return mayHaveArrived
    ? gatewayFailure(
        'outcome_unknown',
        `region ${region} has the request; its answer is not known`,
        2_000,
      )
    : gatewayFailure(
        'region_unreachable',
        `region ${region} decides on this request and cannot be reached`,
        2_000,
      );
}
