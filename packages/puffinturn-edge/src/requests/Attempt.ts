/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Sends a request to an upstream, records metrics and updates the upstream's state. */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Clock} from 'shared';

import type {CallerDialect} from '../callers/CallerDialect';
import type {CallerRequest} from '../callers/CallerRequest';
import type {ExchangeOutcome} from '../connections/Exchange';
import {Exchange} from '../connections/Exchange';
import type {UpstreamAnswer} from '../connections/UpstreamAnswer';
import {buildUpstreamHeaders} from '../connections/UpstreamHeaders';
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

/** Dependencies of an attempt. */
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

/** The request to send and the upstream to send it to. */
export interface AttemptParams {
  readonly body: Buffer;
  readonly caller: CallerRequest;
  /** Version of the configuration that routed the request. */
  readonly configurationVersion: number;
  /** Time until the deadline of the request, ms. */
  readonly remainingMs: number;
  readonly placement: Placement;
  readonly plan: Plan;
  /** ID of the last event the caller received, to resume a stream after it. */
  readonly lastEventId: string | undefined;
}

/**
 * One attempt at one upstream. The constructor sends the request. Response headers may
 * update the drain state, back-off and rate limit of the upstream.
 */
export class Attempt {
  /** Resolves at the head of the response, or when the attempt fails. */
  readonly outcome: Promise<ExchangeOutcome>;
  /** Reports the result to the rollout of the service. */
  readonly observation: Observation;
  private readonly exchange: Exchange;
  private readonly upstream: EdgeUpstream;
  /** Send time, monotonic ms. */
  private readonly sentAt: number;

  constructor(
    private readonly parts: AttemptParts,
    private readonly params: AttemptParams,
  ) {
    const {placement, plan} = params;
    this.upstream = placement.upstream;
    this.sentAt = parts.clock.now();
    const {doubtful} = this.upstream;
    this.recordSent(doubtful);
    const reading = new PromptReading(parts.clock, placement, plan.parts);
    this.observation = parts.exposures.sent(
      plan,
      this.upstream,
      reading.unread,
    );
    this.exchange = this.startExchange();
    this.outcome = this.trackOutcome(reading, doubtful);
  }

  /** Aborts the attempt. Closes the connection unless the response is complete. */
  abort(cause: string): void {
    this.exchange.abort(cause);
  }

  private recordSent(doubtful: boolean): void {
    const {crossing, homeProbes, metrics} = this.parts;
    const {body, plan} = this.params;
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

  private startExchange(): Exchange {
    const {dialect} = this.parts;
    const {body, caller, remainingMs, placement, plan, lastEventId} =
      this.params;
    return new Exchange({
      body,
      headers: buildUpstreamHeaders({
        bodyLength: body.length,
        caller,
        dialect,
        remainingMs,
        placement,
        plan,
        lastEventId,
      }),
      method: caller.method,
      headerNames: dialect.headers,
      path: caller.path,
      requestId: caller.id,
      upstream: this.upstream,
    });
  }

  private async trackOutcome(
    reading: PromptReading,
    doubtful: boolean,
  ): Promise<ExchangeOutcome> {
    const {homeProbes, metrics} = this.parts;
    const {upstream} = this;
    const outcome = await this.exchange.outcome;
    const hasResponse = outcome.kind === 'answer';
    reading.end(hasResponse);
    if (doubtful && hasResponse) {
      homeProbes.answered();
    }
    this.observation.began(outcome);
    if (!hasResponse) {
      upstream.inFlight -= 1;
    }
    if (hasResponse || outcome.kind === 'rejected') {
      this.applyUpstreamHeaders(outcome.answer);
    }
    const service = this.params.plan.service.name;
    metrics.attempts.inc({outcome: outcome.kind, service});
    return outcome;
  }

  /** Applies drain, back-off and rate limit headers of a response to the upstream. */
  private applyUpstreamHeaders(response: UpstreamAnswer): void {
    const {statusCode: status} = response;
    if (status === MISDIRECTED) {
      // The response comes from another upstream, so its headers don't apply here.
      return;
    }
    const {dialect, log} = this.parts;
    const {caller, configurationVersion} = this.params;
    const {upstream} = this;
    const {sequence, state} = upstream.record;
    const {leaving, limit, restMs} = statementOf(response, dialect.headers);
    const startedDraining = leaving && upstream.saysLeaving();
    const startedBackOff = restMs !== undefined && upstream.rests(restMs);
    const {sentAt} = this;
    const limitChanged = upstream.limits.hearAnswer({
      named: limit,
      sentAt,
      status,
    });
    if (startedDraining || startedBackOff || limitChanged) {
      log.note({
        configuration: configurationVersion,
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
    if (limitChanged) {
      this.parts.limitReports.changed(upstream);
    }
  }
}
