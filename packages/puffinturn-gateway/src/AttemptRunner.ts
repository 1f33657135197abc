/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Runs one admitted attempt: acquires a slot on an upstream, commits the
 * dispatch of an at-most-once request, sends it, retries if that is safe, and
 * closes the attempt.
 */
import type {ControlClient} from 'puffinturn-ledger';
import type {UpstreamSlot} from 'puffinturn-routing';
import {backoffDelayMs, hashPromptBlocks} from 'puffinturn-routing';
import type {Timeline} from 'puffinturn-timeline';
import {EVENT_KIND} from 'puffinturn-timeline';
import type {Clock, Random} from 'shared';
import {resolveWithin} from 'shared';

import type {AdmittedAttempt} from './Admission';
import type {AttemptSettler} from './AttemptSettler';
import {toAttemptId} from './AttemptSettler';
import type {BufferedResponse} from './BufferedResponse';
import {formatContinuationBody, formatUpstreamBody} from './CompletionBody';
import {
  ADMIT_TIMEOUT_MS,
  JSON_CONTENT_TYPE,
  MAX_PERMIT_REFUSALS,
  MAX_UPSTREAM_TRIES,
  SETTLE_WAIT_MS,
} from './GatewayConstants';
import type {GatewayFailure} from './GatewayFailure';
import {createFailure, OUTCOME} from './GatewayFailure';
import type {GatewayMetrics} from './GatewayMetrics';
import type {Pool, PoolRegistry} from './PoolRegistry';
import type {RequestQuarantine} from './RequestQuarantine';
import {ResponseDelivery} from './ResponseDelivery';
import type {
  CallParts,
  CallRequest,
  FailedCall,
  StartedCall,
  UpstreamCall,
} from './UpstreamCall';
import {callUpstream, MIN_SERVER_ERROR_STATUS} from './UpstreamCall';
import type {UpstreamClient} from './UpstreamClient';
import type {UpstreamPermits} from './UpstreamPermits';
import {UsageMeter} from './UsageMeter';

/** Dependencies of an AttemptRunner. */
export interface AttemptRunnerParts {
  readonly client: UpstreamClient;
  readonly clock: Clock;
  readonly control: ControlClient;
  readonly requestQuarantine: RequestQuarantine;
  readonly metrics: GatewayMetrics;
  readonly permits: UpstreamPermits;
  readonly pools: PoolRegistry;
  readonly random: Random;
  readonly settler: AttemptSettler;
  readonly timeline: Timeline;
}

interface NoSlot {
  readonly kind: 'no-slot';
  readonly failure: GatewayFailure;
}

/** The dispatch of an at-most-once request could not be committed. */
interface DispatchNotCommitted {
  readonly kind: 'dispatch-not-committed';
}

type CallOutcome = UpstreamCall | NoSlot | DispatchNotCommitted;

/** Runs one attempt and writes its response. */
export class AttemptRunner {
  private readonly pool: Pool;
  private readonly callParts: CallParts;
  private readonly avoidedUpstreams = new Set<string>();
  /** Whether an upstream may have run the request. */
  private mayHaveRun = false;
  private isDispatchCommitted = false;
  private readonly delivery: ResponseDelivery;
  private readonly usage: UsageMeter;

  constructor(
    private readonly parts: AttemptRunnerParts,
    private readonly attempt: AdmittedAttempt,
    private readonly response: BufferedResponse,
  ) {
    this.pool = parts.pools.getPool(attempt.plan.target);
    this.usage = new UsageMeter(attempt.plan, this.pool.promptTokenBound);
    this.delivery = new ResponseDelivery(
      parts.settler,
      attempt,
      response,
      this.usage,
    );
    this.callParts = {
      client: parts.client,
      clock: parts.clock,
      onLeaving: (pool, upstream) => {
        parts.timeline.note(EVENT_KIND.upstreamLeaving, {upstream});
        parts.pools.recordLeaving(pool, upstream);
      },
      onRateLimitChange: (upstream) => {
        const {perSecond} = upstream.rateLimit.limit;
        const detail =
          perSecond === undefined ? 'no limit' : `${perSecond} a second`;
        const {name} = upstream;
        parts.timeline.note(EVENT_KIND.upstreamLimited, {
          detail,
          upstream: name,
        });
        parts.permits.reportLimit(upstream);
      },
      onRetryAfter: (upstream, restMs) => {
        const detail = `for ${restMs} ms`;
        parts.timeline.note(EVENT_KIND.upstreamResting, {detail, upstream});
      },
    };
  }

  /** Runs until the response has ended and the attempt is closed. */
  async run(): Promise<void> {
    const {decision} = this.attempt.plan;
    this.pool.retryBudget.recordRequest();
    for (let tryIndex = 0; ; tryIndex += 1) {
      const call = await this.tryUpstream(tryIndex);
      if (call.kind === 'started') {
        const mayContinue = await this.deliver(call);
        if (!mayContinue) {
          return;
        }
      } else if (call.kind !== 'failed') {
        return this.giveUp(call);
      } else if (!this.recordFailure(call)) {
        return this.closeFailed(call);
      }
      if (!this.canRetry(tryIndex)) {
        return this.closeFailed(undefined);
      }
      this.parts.metrics.retries.inc({pool: decision.pool});
      this.recordEvent(EVENT_KIND.retried, {detail: `try ${tryIndex + 2}`});
      await this.parts.clock.sleep(backoffDelayMs(tryIndex, this.parts.random));
    }
  }

  private canRetry(tryIndex: number): boolean {
    const {request} = this.attempt.plan;
    return (
      tryIndex + 1 < MAX_UPSTREAM_TRIES &&
      this.parts.requestQuarantine.canRetry(request) &&
      this.pool.retryBudget.tryConsume()
    );
  }

  private async tryUpstream(tryIndex: number): Promise<CallOutcome> {
    const slot = await this.acquirePermittedSlot();
    if ('kind' in slot) {
      return slot;
    }
    if (slot.isDraining) {
      // The upstream started to leave during the commit; nothing was sent.
      slot[Symbol.dispose]();
      const message = 'the upstream is leaving';
      return {
        isConnectionLost: false,
        kind: 'failed',
        mayHaveRun: false,
        message,
        slot,
      };
    }
    this.recordEvent(EVENT_KIND.dispatched, {upstream: slot.upstream.name});
    const call = await this.sendHedged(slot, tryIndex);
    if (call.kind === 'failed') {
      call.slot[Symbol.dispose]();
    }
    return call;
  }

  /**
   * Acquires a slot and a permit to send a request. The permit comes last
   * because it must be used immediately.
   */
  private async acquirePermittedSlot(): Promise<
    UpstreamSlot | NoSlot | DispatchNotCommitted
  > {
    const isLeastUrgent = this.attempt.plan.decision.priority > 0;
    for (let refusals = 0; refusals < MAX_PERMIT_REFUSALS; refusals += 1) {
      const slot = await this.acquireSlot();
      if ('kind' in slot) {
        return slot;
      }
      if (!(await this.commitDispatch(slot))) {
        slot.cancel();
        return {kind: 'dispatch-not-committed'};
      }
      if (await this.parts.permits.tryAcquire(slot, isLeastUrgent)) {
        return slot;
      }
      slot.cancel();
    }
    const message = 'the upstreams take no more requests now';
    const failure = createFailure('overloaded', message, 1_000);
    return {failure, kind: 'no-slot'};
  }

  private async acquireSlot(): Promise<UpstreamSlot | NoSlot> {
    const {response, attempt, avoidedUpstreams} = this;
    const {decision, maxTokens, promptTokens, request} = attempt.plan;
    const result = await this.pool.router.acquire({
      triedUpstreams: avoidedUpstreams,
      cost: promptTokens + maxTokens + 1,
      deadline: attempt.deadline,
      blockHashes: hashPromptBlocks(request.completion?.prompt ?? ''),
      priority: decision.priority,
      signal: response.abortController.signal,
      team: request.team.name,
      weight: request.team.spec.weight,
    });
    if (result.isOk()) {
      return result.value;
    }
    const {error} = result;
    const code = error.kind === 'caller-gone' ? 'caller_gone' : 'overloaded';
    const retryAfterMs = 'retryAfterMs' in error ? error.retryAfterMs : 2_000;
    const failure = createFailure(code, error.message, retryAfterMs);
    return {failure, kind: 'no-slot'};
  }

  /**
   * Commits the dispatch of an at-most-once request to the ledger. The request
   * must not be sent if the outcome of the commit is unknown.
   */
  private async commitDispatch({upstream}: UpstreamSlot): Promise<boolean> {
    const {attempt} = this;
    if (!attempt.plan.decision.runsAtMostOnce || this.isDispatchCommitted) {
      return true;
    }
    const record = {
      ...toAttemptId(attempt),
      kind: 'dispatch',
      upstream: upstream.name,
    } as const;
    const outcome = await this.parts.control.submit(record, {
      timeoutMs: ADMIT_TIMEOUT_MS,
    });
    this.isDispatchCommitted = outcome.isOk() && outcome.value.kind === 'done';
    return this.isDispatchCommitted;
  }

  private async sendHedged(
    slot: UpstreamSlot,
    tryIndex: number,
  ): Promise<UpstreamCall> {
    const {decision} = this.attempt.plan;
    const request = this.createCallRequest();
    const {signal} = this.response.abortController;
    const first = callUpstream(this.callParts, slot, request, signal);
    if (!decision.allowsHedging || decision.runsAtMostOnce || tryIndex > 0) {
      return first;
    }
    const isInTime = await resolveWithin(
      this.parts.clock,
      first.then(() => true),
      Math.min(this.pool.hedge.delayMs, 1e9),
    );
    if (isInTime || !this.pool.hedge.tryConsume()) {
      return first;
    }
    return this.sendSecond(first, slot, request);
  }

  /** Sends the request to a second upstream and returns the first response. */
  private async sendSecond(
    first: Promise<UpstreamCall>,
    firstSlot: UpstreamSlot,
    request: CallRequest,
  ): Promise<UpstreamCall> {
    this.avoidedUpstreams.add(firstSlot.upstream.name);
    const second = await this.acquirePermittedSlot();
    if ('kind' in second) {
      return first;
    }
    this.parts.metrics.hedges.inc({pool: this.attempt.plan.decision.pool});
    const {signal} = this.response.abortController;
    const hedged = callUpstream(this.callParts, second, request, signal);
    const winner = await Promise.race([
      first.then((call) => (call.kind === 'started' ? call : hedged)),
      hedged.then((call) => (call.kind === 'started' ? call : first)),
    ]);
    for (const call of [first, hedged]) {
      void call.then((settled) => cancelLoser(settled, winner));
    }
    return winner;
  }

  private createCallRequest(): CallRequest {
    const {decision, maxTokens, request} = this.attempt.plan;
    const {completion, headers, method, path} = request;
    if (completion === undefined) {
      const body = request.body.length > 0 ? request.body : undefined;
      return {
        body,
        rejectsServerErrors: !decision.runsAtMostOnce,
        useNewConnection: decision.runsAtMostOnce,
        headers,
        method,
        path,
      };
    }
    const {textEventCount, text} = this.usage;
    const remainingTokens = Math.max(1, maxTokens - textEventCount);
    const body =
      textEventCount === 0
        ? formatUpstreamBody(completion, maxTokens, decision.priority)
        : formatContinuationBody(
            completion,
            text,
            remainingTokens,
            decision.priority,
          );
    return {
      body,
      rejectsServerErrors: true,
      useNewConnection: decision.runsAtMostOnce,
      headers: {...headers, 'content-type': JSON_CONTENT_TYPE},
      method,
      path,
    };
  }

  /**
   * Delivers a response. Returns true if it was incomplete and another upstream
   * may continue it.
   */
  private async deliver(call: StartedCall): Promise<boolean> {
    using _slot = call.slot;
    this.mayHaveRun = true;
    const {request} = this.attempt.plan;
    const {completion} = request;
    this.pool.hedge.recordFirstToken(call.firstByteMs);
    if (completion !== undefined) {
      const {name} = call.slot.upstream;
      this.pool.prefixes.recordPrompt(
        name,
        hashPromptBlocks(completion.prompt),
      );
      this.parts.metrics.firstTokenSeconds.observe(
        {pool: this.attempt.plan.decision.pool},
        call.firstByteMs / 1_000,
      );
    }
    if (await this.delivery.deliver(call)) {
      this.recordSuccess(call);
      return false;
    }
    if (this.response.abortController.signal.aborted) {
      await this.closeAbandoned();
      return false;
    }
    call.slot.recordFailure();
    this.parts.requestQuarantine.recordLostConnection(
      call.slot.upstream,
      request,
    );
    this.avoidedUpstreams.add(call.slot.upstream.name);
    if (this.attempt.plan.decision.runsAtMostOnce) {
      await this.closeUnknown();
      return false;
    }
    return true;
  }

  private recordSuccess({response}: StartedCall): void {
    if (response.status < MIN_SERVER_ERROR_STATUS) {
      this.parts.requestQuarantine.recordSuccess(this.attempt.plan.request);
    }
  }

  /** Records a failed call; returns whether a retry is safe. */
  private recordFailure(call: FailedCall): boolean {
    this.mayHaveRun ||= call.mayHaveRun;
    if (call.isConnectionLost) {
      const {request} = this.attempt.plan;
      this.parts.requestQuarantine.recordLostConnection(
        call.slot.upstream,
        request,
      );
    }
    this.avoidedUpstreams.add(call.slot.upstream.name);
    const isCallerGone = this.response.abortController.signal.aborted;
    const {runsAtMostOnce} = this.attempt.plan.decision;
    return !isCallerGone && !(runsAtMostOnce && call.mayHaveRun);
  }

  private async closeFailed(call: FailedCall | undefined): Promise<void> {
    const {decision, isKeyGenerated} = this.attempt.plan;
    if (this.response.abortController.signal.aborted) {
      return this.closeAbandoned();
    }
    if (decision.runsAtMostOnce && this.mayHaveRun) {
      return this.closeUnknown();
    }
    const message = call?.message ?? 'no upstream gave a whole answer';
    if (this.usage.textEventCount > 0) {
      // Without a key from the caller no retry can attach: bill the delivered part.
      await (isKeyGenerated
        ? this.closeAbandoned()
        : this.parts.settler.release(this.attempt));
      return this.fail(createFailure('upstream_broke_off', message, 1_000));
    }
    const failure = createFailure('upstream_failed', message, 1_000);
    const outcome = this.mayHaveRun ? OUTCOME.unknown : OUTCOME.notRun;
    return this.releaseAndFail({...failure, outcome});
  }

  private async giveUp(
    call: Exclude<CallOutcome, UpstreamCall>,
  ): Promise<void> {
    if (call.kind === 'dispatch-not-committed') {
      const message = 'the dispatch could not be committed in time';
      const code = 'control_unavailable';
      return this.releaseAndFail(createFailure(code, message, 1_000));
    }
    if (this.mayHaveRun || this.usage.textEventCount > 0) {
      return this.closeFailed(undefined);
    }
    return this.releaseAndFail(call.failure);
  }

  /**
   * Releases the attempt and fails with the given failure. If the release is
   * not confirmed in time, another attempt may run the request, so the failure
   * is reported as still running instead.
   */
  private async releaseAndFail(failure: GatewayFailure): Promise<void> {
    const released = this.parts.settler.release(this.attempt);
    const outcome = await resolveWithin(
      this.parts.clock,
      released,
      SETTLE_WAIT_MS,
    );
    if (outcome?.kind === 'done') {
      this.fail(failure);
    } else {
      const message = 'another attempt may run this request';
      this.fail(createFailure('still_running', message, 1_000));
    }
    await released;
  }

  private async closeUnknown(): Promise<void> {
    const {reserve} = this.attempt.plan;
    await this.parts.settler.settle(this.attempt, 'unknown', reserve);
    const message = 'the request may have run; it will not be run again';
    return this.fail(createFailure('outcome_unknown', message));
  }

  /** Bills the usage so far; releases the attempt if no upstream can have run it. */
  private async closeAbandoned(): Promise<void> {
    if (this.mayHaveRun) {
      const charge = this.usage.computeCharge();
      await this.parts.settler.settle(this.attempt, 'settled', charge);
    } else {
      await this.parts.settler.release(this.attempt);
    }
    this.fail(createFailure('caller_gone', 'the caller has gone'));
  }

  private fail(failure: GatewayFailure): void {
    this.response.finish({failure, kind: 'failed'});
  }

  private recordEvent(
    kind: (typeof EVENT_KIND)[keyof typeof EVENT_KIND],
    subject: {detail?: string; upstream?: string},
  ): void {
    const {decision, key, request} = this.attempt.plan;
    this.parts.timeline.note(kind, {
      ...subject,
      budget: decision.budget,
      request: key,
      team: request.team.name,
    });
  }
}

function cancelLoser(call: UpstreamCall, winner: UpstreamCall): void {
  if (call === winner) {
    return;
  }
  if (call.kind === 'started') {
    call.abort();
  }
  call.slot[Symbol.dispose]();
}
