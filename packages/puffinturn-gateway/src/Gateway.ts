/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Plans, admits and runs the requests of callers on one box. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {ControlClient, RequestView} from 'puffinturn-ledger';
import {REQUEST_STATE} from 'puffinturn-ledger';
import type {BoxMember} from 'puffinturn-membership';
import type {Timeline} from 'puffinturn-timeline';
import {EVENT_KIND} from 'puffinturn-timeline';
import type {Link} from 'puffinturn-wire';
import type {Clock, Random} from 'shared';
import {TaskGroup} from 'shared';

import type {AdmittedAttempt, KnownRequest} from './Admission';
import {Admission} from './Admission';
import type {AttemptRunnerParts} from './AttemptRunner';
import {AttemptRunner} from './AttemptRunner';
import {AttemptSettler} from './AttemptSettler';
import {BufferedResponse} from './BufferedResponse';
import {POLL_INTERVAL_MS} from './GatewayConstants';
import type {GatewayFailure} from './GatewayFailure';
import {createFailure, OUTCOME} from './GatewayFailure';
import type {GatewayMetrics} from './GatewayMetrics';
import type {PoolRegistry} from './PoolRegistry';
import {RequestForwarder} from './RequestForwarder';
import type {CallerRequest, RequestPlanParts} from './RequestPlan';
import {planRequest} from './RequestPlan';
import type {RequestQuarantine} from './RequestQuarantine';
import {ResponseExchange} from './ResponseExchange';
import {ResponseStore} from './ResponseStore';
import type {UpstreamClient} from './UpstreamClient';
import type {UpstreamPermits} from './UpstreamPermits';

/** Dependencies and settings of a Gateway. */
export interface GatewayParts {
  readonly box: string;
  readonly region: string;
  readonly client: UpstreamClient;
  readonly clock: Clock;
  readonly control: ControlClient;
  readonly requestQuarantine: RequestQuarantine;
  readonly link: Link;
  /** Boxes of a region that accept forwarded requests. */
  readonly boxesInRegion: (region: string) => readonly string[];
  readonly member: BoxMember;
  readonly metrics: GatewayMetrics;
  readonly generateKey: () => string;
  readonly permits: UpstreamPermits;
  readonly pools: PoolRegistry;
  readonly random: Random;
  readonly timeline: Timeline;
  /** How long completed responses are kept for retries, ms. */
  readonly responseRetentionMs: number;
  /** How long the keys of at-most-once requests are kept, ms. */
  readonly atMostOnceRetentionMs: number;
}

/** A response that may still be in progress. */
export interface CallerResponse {
  /** Identifies the request in logs and on the timeline. */
  readonly requestId: string;
  readonly response: BufferedResponse;
}

/**
 * Serves requests of callers. A repeated request is given the response of the
 * attempt that is running or has completed, if that response is available.
 */
export class Gateway implements AsyncDisposable {
  /** Responses that this box produces or retains. */
  readonly responses: ResponseStore;
  private readonly admission: Admission;
  private readonly responseExchange: ResponseExchange;
  private readonly forwarder: RequestForwarder;
  private readonly settler: AttemptSettler;
  private readonly budgets = new Map<string, bigint>();
  private readonly runTasks = new TaskGroup();
  private readonly planParts: RequestPlanParts;
  private readonly runParts: AttemptRunnerParts;
  private isStopping = false;

  constructor(private readonly parts: GatewayParts) {
    const {box, clock, control, link, member, generateKey, pools, timeline} =
      parts;
    this.responses = new ResponseStore(clock, parts.responseRetentionMs);
    this.responseExchange = new ResponseExchange({
      clock,
      link,
      responses: this.responses,
    });
    const {signal} = this.runTasks;
    this.settler = new AttemptSettler({clock, control, signal, timeline});
    this.admission = new Admission({
      box,
      clock,
      control,
      retentionMs: (isAtMostOnce) =>
        isAtMostOnce ? parts.atMostOnceRetentionMs : parts.responseRetentionMs,
      member,
      region: parts.region,
      onBudgetAvailable: (budget, available) =>
        this.budgets.set(budget, BigInt(available)),
    });
    this.planParts = {
      budgets: this.budgets,
      member,
      generateKey,
      pools,
      wallTime: () => clock.wallTime(),
    };
    this.forwarder = new RequestForwarder({
      boxesInRegion: parts.boxesInRegion,
      clock,
      responseExchange: this.responseExchange,
      handle: (request) => this.handle(request),
      link,
      member,
      random: parts.random,
      responses: this.responses,
    });
    this.runParts = {...parts, settler: this.settler};
  }

  /** Number of requests in flight plus settlements without an outcome. */
  get inFlightCount(): number {
    return this.responses.activeCount + this.settler.pendingCount;
  }

  /** Whether new requests are accepted. */
  get isReady(): boolean {
    return !this.isStopping && this.parts.member.isReady;
  }

  /** Rejects new requests from now on; requests in flight continue. */
  rejectNewRequests(): void {
    this.isStopping = true;
  }

  /** Handles one request; rejections are recorded on the timeline. */
  async handle(
    request: CallerRequest,
  ): Promise<Result<CallerResponse, GatewayFailure>> {
    const result = await this.serve(request);
    if (result.isErr()) {
      const {kind, outcome} = result.error;
      this.parts.timeline.note(EVENT_KIND.refused, {
        detail: `${kind}, ${outcome}`,
        team: request.team.name,
      });
    }
    return result;
  }

  private async serve(
    request: CallerRequest,
  ): Promise<Result<CallerResponse, GatewayFailure>> {
    if (this.isStopping) {
      const message = 'this box is stopping; another one will answer';
      return err(createFailure('stopping', message, 1_000));
    }
    const {clock, requestQuarantine, member, metrics} = this.parts;
    if (requestQuarantine.isQuarantined(request)) {
      const message = 'upstreams crashed whenever they ran this request';
      return err(createFailure('quarantined', message));
    }
    const startedAt = clock.now();
    this.parts.pools.applyConfig(member.config);
    for (;;) {
      const admission = await this.admission.admit(
        () => this.createPlan(request),
        startedAt,
      );
      if (admission.isErr()) {
        return err(admission.error);
      }
      if (admission.value.kind === 'attempt') {
        metrics.admissionSeconds.observe((clock.now() - startedAt) / 1_000);
        return ok(this.startRun(admission.value.attempt));
      }
      if (admission.value.kind === 'other-region') {
        return this.forwarder.forward(
          admission.value.region,
          admission.value.plan,
        );
      }
      const {known} = admission.value;
      const response = await this.joinKnownRequest(known);
      if (response !== undefined) {
        return response;
      }
      const deadline = startedAt + known.plan.decision.deadlineMs;
      if (clock.now() >= deadline) {
        const message = 'the request still runs elsewhere';
        return err(createFailure('still_running', message, 1_000));
      }
      await clock.sleep(POLL_INTERVAL_MS);
    }
  }

  /** Updates the gauges before `/metrics` is read. */
  refreshMetrics(): void {
    const {member, metrics, pools} = this.parts;
    metrics.activeResponses.set(this.responses.activeCount);
    metrics.unsettledAttempts.set(this.settler.pendingCount);
    metrics.configIndex.set(member.config.index);
    metrics.ready.set(this.isReady ? 1 : 0);
    for (const target of member.config.allTargets()) {
      const {queuedCount} = pools.getPool(target).router;
      metrics.waitingRequests.set({pool: target.name}, queuedCount);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.responseExchange[Symbol.dispose]();
    this.forwarder[Symbol.dispose]();
    this.runTasks.abort();
    this.responses.abortAll();
    await this.runTasks[Symbol.asyncDispose]();
  }

  private createPlan(request: CallerRequest) {
    this.parts.pools.applyConfig(this.parts.member.config);
    return planRequest(this.planParts, request);
  }

  private startRun(attempt: AdmittedAttempt): CallerResponse {
    const {decision, isKeyGenerated, key, request} = attempt.plan;
    const id = {key, team: request.team.name};
    const response = new BufferedResponse(
      attempt.attemptNumber,
      !isKeyGenerated,
    );
    this.responses.add(id, response);
    this.parts.timeline.note(
      attempt.attemptNumber > 1 ? EVENT_KIND.takenOver : EVENT_KIND.admitted,
      {
        budget: decision.budget,
        detail: `attempt ${attempt.attemptNumber} reserves ${attempt.plan.reserve}`,
        request: key,
        team: id.team,
      },
    );
    const runner = new AttemptRunner(this.runParts, attempt, response);
    this.runTasks.start(async () => {
      await runner.run();
      this.responses.finish(id, response);
      this.recordMetrics(attempt, response);
    });
    return {response, requestId: key};
  }

  private recordMetrics(
    attempt: AdmittedAttempt,
    {billed = 0, end}: BufferedResponse,
  ): void {
    const failure = end?.kind === 'failed' ? end.failure : undefined;
    const {metrics} = this.parts;
    const {budget, pool} = attempt.plan.decision;
    metrics.requests.inc({
      code: failure?.kind ?? 'ok',
      outcome: failure?.outcome ?? OUTCOME.ran,
      target: pool,
    });
    metrics.billedUnits.inc({budget}, billed);
  }

  /**
   * Returns the response of another attempt at the same request; undefined if
   * the state of the request should be queried again.
   */
  private async joinKnownRequest(
    known: KnownRequest,
  ): Promise<Result<CallerResponse, GatewayFailure> | undefined> {
    const {plan, view} = known;
    const requestId = plan.key;
    if (view.answer !== undefined) {
      return ok({requestId, response: createStoredResponse(view)});
    }
    const mayHaveRun =
      view.state === REQUEST_STATE.unknown ||
      (view.state === REQUEST_STATE.dispatched && view.ownerGone);
    if (mayHaveRun) {
      const message = 'the request may have run; it will not be run again';
      return err(createFailure('outcome_unknown', message));
    }
    const response = await this.findResponse(known);
    if (response !== undefined) {
      this.parts.metrics.attachedRequests.inc();
      this.parts.timeline.note(EVENT_KIND.attached, {
        detail: `to ${view.box}`,
        request: requestId,
        team: plan.request.team.name,
      });
      return ok({requestId, response});
    }
    if (view.state === REQUEST_STATE.settled) {
      const message = 'the request ran and was billed; its answer is gone';
      return err(createFailure('answer_gone', message));
    }
    return undefined;
  }

  private async findResponse({
    plan,
    view,
  }: KnownRequest): Promise<BufferedResponse | undefined> {
    const id = {key: plan.key, team: plan.request.team.name};
    const localResponse = this.responses.find(id, view.attempt);
    return (
      localResponse ??
      (view.box === this.parts.box || view.ownerGone
        ? undefined
        : await this.responseExchange.attach(view.box, id, view.attempt))
    );
  }
}

/** Builds a response from the one stored in the ledger. */
function createStoredResponse({
  answer: stored,
  attempt,
  charge,
}: RequestView): BufferedResponse {
  const response = new BufferedResponse(attempt, true);
  if (stored !== undefined) {
    const {body, contentType, status} = stored;
    response.setHead({
      billed: charge,
      contentType,
      outcome: OUTCOME.ran,
      status,
    });
    void response.append(body);
  }
  response.finish({kind: 'whole'});
  return response;
}
