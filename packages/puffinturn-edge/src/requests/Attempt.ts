/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Sends a request to an upstream, records metrics and updates the upstream's state. */
import type {DecisionLog} from 'puffinturn-decisions';
import {RETRY_POLICY} from 'puffinturn-fleet';

import type {CallerProtocol} from '../callers/CallerProtocol';
import type {CallerRequest} from '../callers/CallerRequest';
import type {EndEvidence, ShutdownTiming} from '../connections/EndEvidence';
import {evidenceOfListener, findEndEvidence} from '../connections/EndEvidence';
import type {ExchangeOutcome} from '../connections/Exchange';
import {CONNECT_TIMEOUT, Exchange} from '../connections/Exchange';
import {buildUpstreamHeaders} from '../connections/UpstreamHeaders';
import type {UpstreamResponse} from '../connections/UpstreamResponse';
import {MISDIRECTED_REQUEST_STATUS} from '../EdgeConstants';
import type {EdgeMetrics} from '../EdgeMetrics';
import type {RegionLinkBudget} from '../regions/RegionLinkBudget';
import type {AttemptObserver} from '../rollouts/AttemptObserver';
import type {ExposureController} from '../rollouts/ExposureController';
import type {DirectLinks} from '../tunnels/DirectLinks';
import type {TunnelClient} from '../tunnels/TunnelClient';
import type {BrittleServices} from '../upstreams/BrittleServices';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {LimitReporter} from '../upstreams/LimitReporter';
import type {Placement} from '../upstreams/LoadBalancer';
import {PromptPrefill} from '../upstreams/PromptPrefill';
import type {RecoveryProbes} from '../upstreams/RecoveryProbes';
import type {UpstreamAdmission} from '../upstreams/UpstreamAdmission';
import {parseUpstreamSignals} from '../upstreams/UpstreamSignals';
import type {RequestPlan} from './RequestPlan';

/** Cause of an attempt that was given up because the link to the upstream hangs. */
const LINK_LOST = 'link-lost';

/** Dependencies of an attempt. */
export interface AttemptParts extends ShutdownTiming {
  readonly admission: UpstreamAdmission;
  readonly directLinks: DirectLinks;
  readonly brittleServices: BrittleServices;
  readonly tunnelClient: TunnelClient;
  readonly linkBudget: RegionLinkBudget;
  readonly protocol: CallerProtocol;
  readonly exposureController: ExposureController;
  readonly recoveryProbes: RecoveryProbes;
  readonly limitReporter: Pick<LimitReporter, 'reportChange'>;
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
  readonly plan: RequestPlan;
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
  readonly observer: AttemptObserver;
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
    const {isFailing} = this.upstream;
    this.recordSent(isFailing);
    const prefill = new PromptPrefill(parts.clock, placement, plan.promptParts);
    this.observer = parts.exposureController.recordSent(
      plan,
      this.upstream,
      prefill.tokensToFirstEvent,
    );
    this.exchange = this.startExchange();
    this.outcome = this.trackOutcome(prefill, isFailing);
  }

  /** Aborts the attempt. Closes the connection unless the response is complete. */
  abort(cause: string): void {
    this.exchange.abort(cause);
  }

  /** Whether a direct connection is in use over which the request may have been sent. */
  get dependsOnLink(): boolean {
    const {hasConnected, isDirect} = this.exchange;
    return isDirect && hasConnected;
  }

  /** Aborts the attempt if its request was not sent yet, as the direct link hangs. */
  abortConnecting(): void {
    const {hasConnected, isDirect} = this.exchange;
    if (isDirect && !hasConnected) {
      this.exchange.abort(CONNECT_TIMEOUT);
    }
  }

  /** Aborts the attempt because the direct link hangs and there is another way. */
  abandonLink(): void {
    this.exchange.abort(LINK_LOST);
  }

  private recordSent(isFailing: boolean): void {
    const {linkBudget, recoveryProbes, metrics} = this.parts;
    const {body, plan} = this.params;
    const {upstream} = this;
    upstream.inFlight += 1;
    if (linkBudget.isRemote(upstream.record.hall)) {
      linkBudget.recordSent(plan, body.length);
      metrics.regionRequests.inc({service: plan.service.name});
    }
    if (isFailing) {
      recoveryProbes.recordProbe();
    }
  }

  private startExchange(): Exchange {
    const {directLinks, protocol, tunnelClient} = this.parts;
    const {upstream} = this;
    const {body, caller, remainingMs, placement, plan, lastEventId} =
      this.params;
    return new Exchange({
      body,
      headers: buildUpstreamHeaders({
        bodyLength: body.length,
        caller,
        protocol,
        remainingMs,
        placement,
        plan,
        lastEventId,
      }),
      method: caller.method,
      headerNames: protocol.headers,
      path: caller.path,
      requestId: caller.id,
      tunnel: directLinks.needsTunnel(upstream)
        ? {
            isOnlyWay: directLinks.areLost(upstream.record.service),
            open: () => tunnelClient.open(upstream, caller.id),
          }
        : undefined,
      upstream,
    });
  }

  private async trackOutcome(
    prefill: PromptPrefill,
    isFailing: boolean,
  ): Promise<ExchangeOutcome> {
    const {recoveryProbes, metrics} = this.parts;
    const {upstream} = this;
    const outcome = await this.exchange.outcome;
    const hasResponse = outcome.kind === 'answer';
    prefill.finish(hasResponse);
    if (isFailing && hasResponse) {
      recoveryProbes.recordSuccess();
    }
    this.updateLinks(outcome);
    this.observer.onOutcome(outcome);
    if (!hasResponse) {
      this.parts.admission.endRequest(upstream);
    }
    if (hasResponse || outcome.kind === 'rejected') {
      this.applyUpstreamHeaders(outcome.response);
    }
    if (hasResponse) {
      outcome.response.checkEndWith({
        find: () => this.findEndEvidence(),
        isRepeatable: this.params.plan.route.repetition !== RETRY_POLICY.never,
      });
    }
    const service = this.params.plan.service.name;
    metrics.attempts.inc({outcome: outcome.kind, service});
    return outcome;
  }

  private async findEndEvidence(): Promise<EndEvidence> {
    const {directLinks, tunnelClient} = this.parts;
    const {upstream} = this;
    if (this.exchange.usedTunnel) {
      // The edge that carries the tunnel has seen the upstream listen, but not its headers.
      return evidenceOfListener(upstream, this.sentAt);
    }
    const {service} = upstream.record;
    return findEndEvidence(
      upstream,
      this.sentAt,
      this.parts,
      () => directLinks.areLost(service),
      () => tunnelClient.probe(upstream, this.params.caller.id),
    );
  }

  /** Updates the state of the links from the outcome. */
  private updateLinks(outcome: ExchangeOutcome): void {
    const {directLinks} = this.parts;
    const {upstream} = this;
    if (outcome.kind === 'unsent') {
      directLinks.recordUnsent(upstream, outcome);
    } else if (outcome.kind === 'broken') {
      directLinks.recordFailure(upstream);
    } else if (this.exchange.usedTunnel) {
      directLinks.recordTunnel(upstream);
    }
  }

  /** Applies drain, back-off and rate limit headers of a response to the upstream. */
  private applyUpstreamHeaders(response: UpstreamResponse): void {
    const {statusCode: status} = response;
    if (status === MISDIRECTED_REQUEST_STATUS) {
      // The response comes from another upstream, so its headers don't apply here.
      return;
    }
    const {protocol, log} = this.parts;
    const {caller, configurationVersion} = this.params;
    const {upstream} = this;
    const {sequence, state} = upstream.record;
    const {brittleness, isDraining, rateLimit, retryAfterMs} =
      parseUpstreamSignals(response, protocol.headers);
    this.parts.brittleServices.record({
      headerValue: brittleness,
      sentAt: this.sentAt,
      service: upstream.record.service,
      status,
    });
    const startedDraining = isDraining && upstream.markDraining();
    const startedBackOff =
      retryAfterMs !== undefined && upstream.startBackoff(retryAfterMs);
    const {sentAt} = this;
    const limitChanged = upstream.limits.recordResponse({
      headerValue: rateLimit,
      sentAt,
      status,
    });
    if (startedDraining || startedBackOff || limitChanged) {
      log.note({
        configuration: configurationVersion,
        event: 'upstream-told',
        leaving: isDraining,
        limitPerS: upstream.limits.limit.perSecond,
        request: caller.id,
        restMs: retryAfterMs,
        sequence,
        state,
        status,
        upstream: upstream.id,
      });
    }
    if (limitChanged) {
      this.parts.limitReporter.reportChange(upstream);
    }
  }
}
