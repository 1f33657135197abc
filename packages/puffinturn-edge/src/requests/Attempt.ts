/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * One request sent to one upstream: its exchange, what the edge counts about it, and
 * what the upstream says of itself along with its answer.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Clock} from 'shared';

import type {CallerDialect} from '../callers/CallerDialect';
import type {CallerRequest} from '../callers/CallerRequest';
import type {ExchangeOutcome} from '../connections/Exchange';
import {Exchange} from '../connections/Exchange';
import type {UpstreamAnswer} from '../connections/UpstreamAnswer';
import {headersFor} from '../connections/UpstreamHeaders';
import {MISDIRECTED} from '../EdgeConstants';
import type {EdgeMetrics} from '../EdgeMetrics';
import type {RegionCrossing} from '../regions/RegionCrossing';
import type {Exposures} from '../rollouts/Exposures';
import type {Observation} from '../rollouts/Observation';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {HomeProbes} from '../upstreams/HomeProbes';
import type {LimitReports} from '../upstreams/LimitReports';
import {PromptReading} from '../upstreams/PromptReading';
import type {Placement} from '../upstreams/UpstreamChoice';
import {statementOf} from '../upstreams/UpstreamStatement';
import type {Plan} from './RequestPlan';

/** What an attempt needs of the edge. */
export interface AttemptParts {
  readonly clock: Clock;
  readonly crossing: RegionCrossing;
  readonly dialect: CallerDialect;
  readonly exposures: Exposures;
  readonly homeProbes: HomeProbes;
  readonly limitReports: Pick<LimitReports, 'changed'>;
  readonly log: DecisionLog;
  readonly metrics: EdgeMetrics;
}

/** What is sent, and where. */
export interface AttemptFacts {
  readonly body: Buffer;
  readonly caller: CallerRequest;
  /** The version of the configuration that the request came under. */
  readonly configuration: number;
  /** Time left for the request, ms. */
  readonly leftMs: number;
  readonly placement: Placement;
  readonly plan: Plan;
  /** The event after which a stream goes on. */
  readonly resumeAt: string | undefined;
}

/** See the module comment. It is sent at once. */
export class Attempt {
  /** Resolves once it is known how the attempt went. */
  readonly outcome: Promise<ExchangeOutcome>;
  /** The attempt as a roll-out of its service sees it. */
  readonly observation: Observation;
  private readonly exchange: Exchange;
  private readonly upstream: EdgeUpstream;
  /** By the edge's steady clock, ms. */
  private readonly sentAt: number;

  constructor(
    private readonly parts: AttemptParts,
    private readonly facts: AttemptFacts,
  ) {
    const {placement, plan} = facts;
    this.upstream = placement.upstream;
    this.sentAt = parts.clock.now();
    const {doubtful} = this.upstream;
    this.count(doubtful);
    const reading = new PromptReading(parts.clock, placement, plan.parts);
    this.observation = parts.exposures.sent(
      plan,
      this.upstream,
      reading.unread,
    );
    this.exchange = this.send();
    this.outcome = this.follow(reading, doubtful);
  }

  /** Ends the attempt, and its connection unless the answer is whole. */
  abort(cause: string): void {
    this.exchange.abort(cause);
  }

  private count(doubtful: boolean): void {
    const {crossing, homeProbes, metrics} = this.parts;
    const {body, plan} = this.facts;
    const {upstream} = this;
    upstream.inFlight += 1;
    if (crossing.isAway(upstream.record.hall)) {
      crossing.sent(plan, body.length);
      metrics.regionRequests.inc({service: plan.service.name});
    }
    if (doubtful) {
      homeProbes.sent();
    }
  }

  private send(): Exchange {
    const {dialect} = this.parts;
    const {body, caller, leftMs, placement, plan, resumeAt} = this.facts;
    return new Exchange({
      body,
      headers: headersFor({
        bodyLength: body.length,
        caller,
        dialect,
        leftMs,
        placement,
        plan,
        resumeAt,
      }),
      method: caller.method,
      names: dialect.headers,
      path: caller.path,
      requestId: caller.id,
      upstream: this.upstream,
    });
  }

  private async follow(
    reading: PromptReading,
    doubtful: boolean,
  ): Promise<ExchangeOutcome> {
    const {homeProbes, metrics} = this.parts;
    const {upstream} = this;
    const outcome = await this.exchange.outcome;
    const isAnswered = outcome.kind === 'answer';
    reading.end(isAnswered);
    if (doubtful && isAnswered) {
      homeProbes.answered();
    }
    this.observation.began(outcome);
    if (!isAnswered) {
      upstream.inFlight -= 1;
    }
    if (isAnswered || outcome.kind === 'rejected') {
      this.hear(outcome.answer);
    }
    const service = this.facts.plan.service.name;
    metrics.attempts.inc({outcome: outcome.kind, service});
    return outcome;
  }

  /** Takes in what the upstream says of itself along with its answer. */
  private hear(answer: UpstreamAnswer): void {
    const {statusCode: status} = answer;
    if (status === MISDIRECTED) {
      // Another upstream answers there, and speaks of itself.
      return;
    }
    const {dialect, log} = this.parts;
    const {caller, configuration} = this.facts;
    const {upstream} = this;
    const {sequence, state} = upstream.record;
    const {leaving, limit, restMs} = statementOf(answer, dialect.headers);
    const leaves = leaving && upstream.saysLeaving();
    const rests = restMs !== undefined && upstream.rests(restMs);
    const {sentAt} = this;
    const limits = upstream.limits.hearAnswer({named: limit, sentAt, status});
    if (leaves || rests || limits) {
      log.note({
        configuration,
        event: 'upstream-told',
        leaving,
        limitPerS: upstream.limits.limit.perSecond,
        request: caller.id,
        restMs,
        sequence,
        state,
        status,
        upstream: upstream.id,
      });
    }
    if (limits) {
      this.parts.limitReports.changed(upstream);
    }
  }
}
