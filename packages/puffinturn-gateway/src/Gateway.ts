/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Serves the requests of callers: plan, admit, run or follow, answer. */
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

import type {Attempt, Known} from './Admission';
import {Admission} from './Admission';
import {Answer} from './Answer';
import {AnswerExchange} from './AnswerExchange';
import {AnswerStore} from './AnswerStore';
import type {CrashingRequests} from './CrashingRequests';
import {Forwarding} from './Forwarding';
import {FOLLOW_PAUSE_MS} from './GatewayConstants';
import type {GatewayFailure} from './GatewayFailure';
import {gatewayFailure, OUTCOME} from './GatewayFailure';
import type {GatewayMetrics} from './GatewayMetrics';
import type {CallerRequest, PlanParts} from './Plan';
import {planRequest} from './Plan';
import type {Pools} from './Pools';
import type {RunParts} from './Run';
import {Run} from './Run';
import {Settlement} from './Settlement';
import type {UpstreamClient} from './UpstreamClient';
import type {UpstreamPermits} from './UpstreamPermits';

/** What a gateway is made of. */
export interface GatewayParts {
  readonly box: string;
  readonly region: string;
  readonly client: UpstreamClient;
  readonly clock: Clock;
  readonly control: ControlClient;
  readonly crashing: CrashingRequests;
  readonly link: Link;
  /** Boxes of another region that take requests. */
  readonly boxesOf: (region: string) => readonly string[];
  readonly member: BoxMember;
  readonly metrics: GatewayMetrics;
  readonly newKey: () => string;
  readonly permits: UpstreamPermits;
  readonly pools: Pools;
  readonly random: Random;
  readonly timeline: Timeline;
  /** How long answers stay for retries, ms. */
  readonly keepAnswerMs: number;
  /** How long the keys of never-repeated requests stay, ms. */
  readonly keepMarkedMs: number;
}

/** An answer on its way to a caller. */
export interface CallerAnswer {
  /** Names the request in logs and the time line. */
  readonly requestId: string;
  readonly answer: Answer;
}

/** See the module comment. */
export class Gateway implements AsyncDisposable {
  /** Answers of this box. */
  readonly store: AnswerStore;
  private readonly admission: Admission;
  private readonly exchange: AnswerExchange;
  private readonly forwarding: Forwarding;
  private readonly settlement: Settlement;
  private readonly budgets = new Map<string, bigint>();
  private readonly runs = new TaskGroup();
  private readonly planParts: PlanParts;
  private readonly runParts: RunParts;
  private refusing = false;

  constructor(private readonly parts: GatewayParts) {
    const {box, clock, control, link, member, newKey, pools, timeline} = parts;
    this.store = new AnswerStore(clock, parts.keepAnswerMs);
    this.exchange = new AnswerExchange({clock, link, store: this.store});
    const {signal} = this.runs;
    this.settlement = new Settlement({clock, control, signal, timeline});
    this.admission = new Admission({
      box,
      clock,
      control,
      keepMs: (marked) => (marked ? parts.keepMarkedMs : parts.keepAnswerMs),
      member,
      region: parts.region,
      onAvailable: (budget, available) =>
        this.budgets.set(budget, BigInt(available)),
    });
    this.planParts = {
      budgets: this.budgets,
      member,
      newKey,
      pools,
      wallTime: () => clock.wallTime(),
    };
    this.forwarding = new Forwarding({
      boxesOf: parts.boxesOf,
      clock,
      exchange: this.exchange,
      handle: (request) => this.handle(request),
      link,
      member,
      random: parts.random,
      store: this.store,
    });
    this.runParts = {...parts, settlement: this.settlement};
  }

  /** Requests in flight and settlements without an outcome. */
  get busy(): number {
    return this.store.size + this.settlement.pending;
  }

  /** Whether new requests are taken. */
  get isReady(): boolean {
    return !this.refusing && this.parts.member.isReady;
  }

  /** Takes no new requests from now on; those in flight go on. */
  refuseNew(): void {
    this.refusing = true;
  }

  /** Serves one request. */
  async handle(
    request: CallerRequest,
  ): Promise<Result<CallerAnswer, GatewayFailure>> {
    const served = await this.serve(request);
    if (served.isErr()) {
      const {kind, outcome} = served.error;
      this.parts.timeline.note(EVENT_KIND.refused, {
        detail: `${kind}, ${outcome}`,
        team: request.team.name,
      });
    }
    return served;
  }

  private async serve(
    request: CallerRequest,
  ): Promise<Result<CallerAnswer, GatewayFailure>> {
    if (this.refusing) {
      const message = 'this box is stopping; another one will answer';
      return err(gatewayFailure('stopping', message, 1_000));
    }
    const {clock, crashing, member, metrics} = this.parts;
    if (crashing.isQuarantined(request)) {
      const message = 'upstreams crashed whenever they ran this request';
      return err(gatewayFailure('quarantined', message));
    }
    const startedAt = clock.now();
    this.parts.pools.adopt(member.config);
    for (;;) {
      const admitted = await this.admission.admit(
        () => this.plan(request),
        startedAt,
      );
      if (admitted.isErr()) {
        return err(admitted.error);
      }
      if (admitted.value.kind === 'attempt') {
        metrics.admission.observe((clock.now() - startedAt) / 1_000);
        return ok(this.start(admitted.value.attempt));
      }
      if (admitted.value.kind === 'elsewhere') {
        return this.forwarding.forward(
          admitted.value.region,
          admitted.value.plan,
        );
      }
      const {known} = admitted.value;
      const followed = await this.follow(known);
      if (followed !== undefined) {
        return followed;
      }
      const deadline = startedAt + known.plan.decision.deadlineMs;
      if (clock.now() >= deadline) {
        const message = 'the request still runs elsewhere';
        return err(gatewayFailure('still_running', message, 1_000));
      }
      await clock.sleep(FOLLOW_PAUSE_MS);
    }
  }

  /** Figures that change without an event, for `/metrics`. */
  refreshMetrics(): void {
    const {member, metrics, pools} = this.parts;
    metrics.running.set(this.store.size);
    metrics.unsettled.set(this.settlement.pending);
    metrics.configIndex.set(member.config.index);
    metrics.ready.set(this.isReady ? 1 : 0);
    for (const target of member.config.allTargets()) {
      const {waiting} = pools.of(target).router;
      metrics.waiting.set({pool: target.name}, waiting);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.exchange[Symbol.dispose]();
    this.forwarding[Symbol.dispose]();
    this.runs.abort();
    this.store.abandonAll();
    await this.runs[Symbol.asyncDispose]();
  }

  private plan(request: CallerRequest) {
    this.parts.pools.adopt(this.parts.member.config);
    return planRequest(this.planParts, request);
  }

  private start(attempt: Attempt): CallerAnswer {
    const {decision, generatedKey, key, request} = attempt.plan;
    const id = {key, team: request.team.name};
    const answer = new Answer(attempt.attempt, !generatedKey);
    this.store.add(id, answer);
    this.parts.timeline.note(
      attempt.attempt > 1 ? EVENT_KIND.takenOver : EVENT_KIND.admitted,
      {
        budget: decision.budget,
        detail: `attempt ${attempt.attempt} reserves ${attempt.plan.reserve}`,
        request: key,
        team: id.team,
      },
    );
    const run = new Run(this.runParts, attempt, answer);
    this.runs.start(async () => {
      await run.run();
      this.store.finish(id, answer);
      this.count(attempt, answer);
    });
    return {answer, requestId: key};
  }

  private count(attempt: Attempt, {billed = 0, end}: Answer): void {
    const failed = end?.kind === 'failed' ? end.failure : undefined;
    const {metrics} = this.parts;
    const {budget, pool} = attempt.plan.decision;
    metrics.requests.inc({
      code: failed?.kind ?? 'ok',
      outcome: failed?.outcome ?? OUTCOME.ran,
      target: pool,
    });
    metrics.billed.inc({budget}, billed);
  }

  /** The answer that another attempt makes or made; undefined to ask again. */
  private async follow(
    known: Known,
  ): Promise<Result<CallerAnswer, GatewayFailure> | undefined> {
    const {plan, view} = known;
    const requestId = plan.key;
    if (view.answer !== undefined) {
      return ok({answer: keptAnswer(view), requestId});
    }
    const mayHaveRun =
      view.state === REQUEST_STATE.unknown ||
      (view.state === REQUEST_STATE.dispatched && view.ownerGone);
    if (mayHaveRun) {
      const message = 'the request may have run; it will not be run again';
      return err(gatewayFailure('outcome_unknown', message));
    }
    const answer = await this.attach(known);
    if (answer !== undefined) {
      this.parts.metrics.attached.inc();
      this.parts.timeline.note(EVENT_KIND.attached, {
        detail: `to ${view.box}`,
        request: requestId,
        team: plan.request.team.name,
      });
      return ok({answer, requestId});
    }
    if (view.state === REQUEST_STATE.settled) {
      const message = 'the request ran and was billed; its answer is gone';
      return err(gatewayFailure('answer_gone', message));
    }
    return undefined;
  }

  private async attach({plan, view}: Known): Promise<Answer | undefined> {
    const id = {key: plan.key, team: plan.request.team.name};
    const local = this.store.find(id, view.attempt);
    return (
      local ??
      (view.box === this.parts.box || view.ownerGone
        ? undefined
        : await this.exchange.attach(view.box, id, view.attempt))
    );
  }
}

/** An answer that the ledger kept. */
function keptAnswer({answer: kept, attempt, charge}: RequestView): Answer {
  const answer = new Answer(attempt, true);
  if (kept !== undefined) {
    const {body, contentType, status} = kept;
    answer.start({billed: charge, contentType, outcome: OUTCOME.ran, status});
    void answer.append(body);
  }
  answer.finish({kind: 'whole'});
  return answer;
}
