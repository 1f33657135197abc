/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Forwards at-most-once requests to the home region of their budget, the only
 * one that stores their keys. The keys make it safe to send a request again.
 * If the region is unreachable, the outcome is unknown unless no call was sent.
 */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {BoxMember} from 'puffinturn-membership';
import type {Link} from 'puffinturn-wire';
import type {Clock, Random} from 'shared';

import type {CallerResponse} from './Gateway';
import {POLL_INTERVAL_MS} from './GatewayConstants';
import type {GatewayFailure} from './GatewayFailure';
import {createFailure, OUTCOME} from './GatewayFailure';
import type {CallerRequest, RequestPlan} from './RequestPlan';
import type {ResponseExchange} from './ResponseExchange';
import type {ResponseStore} from './ResponseStore';

const FORWARD_SERVICE = 'forward';

/** Timeout of one call, ms; admission may wait for budget. */
const FORWARD_TIMEOUT_MS = 5_000;

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

/** Dependencies of a RequestForwarder. */
export interface RequestForwarderParts {
  readonly boxesInRegion: (region: string) => readonly string[];
  readonly clock: Clock;
  readonly responseExchange: ResponseExchange;
  readonly handle: (
    request: CallerRequest,
  ) => Promise<Result<CallerResponse, GatewayFailure>>;
  readonly link: Link;
  readonly member: BoxMember;
  readonly random: Random;
  readonly responses: ResponseStore;
}

/** Forwards requests to other regions and serves theirs. */
export class RequestForwarder implements Disposable {
  private readonly registration: Disposable;

  constructor(private readonly parts: RequestForwarderParts) {
    this.registration = parts.link.register(FORWARD_SERVICE, (body) =>
      this.handleForward(body as ForwardRequest),
    );
  }

  [Symbol.dispose](): void {
    this.registration[Symbol.dispose]();
  }

  /** Forwards a request to another region and returns its response. */
  async forward(
    region: string,
    plan: RequestPlan,
  ): Promise<Result<CallerResponse, GatewayFailure>> {
    const {boxesInRegion, clock, link, random} = this.parts;
    const {team, ...request} = plan.request;
    const body: ForwardRequest = {request, team: team.name};
    const deadline = clock.now() + plan.decision.deadlineMs;
    let mayHaveArrived = false;
    while (clock.now() < deadline) {
      const box = random.pick(boxesInRegion(region)) ?? '';
      const timeoutMs = Math.min(FORWARD_TIMEOUT_MS, deadline - clock.now());
      const result = await link.call(box, FORWARD_SERVICE, body, timeoutMs);
      const reply = result.isOk() ? (result.value as ForwardReply) : undefined;
      if (reply?.kind === 'refused') {
        // An earlier call may have reached a box that runs the request.
        const isConclusive =
          !mayHaveArrived || reply.failure.outcome !== OUTCOME.notRun;
        if (isConclusive) {
          return err(reply.failure);
        }
      }
      if (reply?.kind === 'taken') {
        const response = await this.attach(box, team.name, reply);
        if (response !== undefined) {
          return ok(response);
        }
      }
      mayHaveArrived ||= result.isOk() || result.error.kind !== 'not-sent';
      await clock.sleep(POLL_INTERVAL_MS);
    }
    return err(createUnreachableFailure(region, mayHaveArrived));
  }

  private async attach(
    box: string,
    team: string,
    {attempt, key}: Extract<ForwardReply, {kind: 'taken'}>,
  ): Promise<CallerResponse | undefined> {
    const id = {key, team};
    const response = await this.parts.responseExchange.attach(box, id, attempt);
    return response && {response, requestId: key};
  }

  private async handleForward(body: ForwardRequest): Promise<ForwardReply> {
    const {handle, member, responses} = this.parts;
    const team = member.config.findTeam(body.team);
    if (team === undefined) {
      const message = 'this box does not know the team yet';
      const failure = createFailure('not_ready', message, 1_000);
      return {failure, kind: 'refused'};
    }
    const result = await handle({...body.request, team});
    if (result.isErr()) {
      return {failure: result.error, kind: 'refused'};
    }
    const {response, requestId: key} = result.value;
    responses.retain({key, team: team.name}, response);
    return {attempt: response.attempt, key, kind: 'taken'};
  }
}

function createUnreachableFailure(
  region: string,
  mayHaveArrived: boolean,
): GatewayFailure {
  return mayHaveArrived
    ? createFailure(
        'outcome_unknown',
        `region ${region} has the request; its answer is not known`,
        2_000,
      )
    : createFailure(
        'region_unreachable',
        `region ${region} decides on this request and cannot be reached`,
        2_000,
      );
}
