/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Serves one request: resolves route, team and service, reserves tokens and tries
 * upstreams until one responds or no retry is allowed. A request that is not repeatable
 * is retried only if the upstream did not run it.
 */
import type {TokenFacts} from 'puffinturn-decisions';
import type {Route} from 'puffinturn-fleet';
import {REPETITION} from 'puffinturn-fleet';
import {fingerprintOf} from 'puffinturn-quarantine';

import type {AnswerRelay} from '../callers/AnswerRelay';
import {RELAY, StreamRelay, WholeRelay} from '../callers/AnswerRelay';
import type {CallerRequest} from '../callers/CallerRequest';
import {FinalAnswer} from '../callers/FinalAnswer';
import {isReadLate} from '../callers/ReadLateness';
import type {ExchangeOutcome, ResponseOutcome} from '../connections/Exchange';
import {INVALID_HEADER} from '../connections/Exchange';
import type {UpstreamAnswer} from '../connections/UpstreamAnswer';
import {
  CALLER_LEFT,
  FIRST_ERROR_STATUS,
  MAX_UNSENT,
  MISDIRECTED,
  RETRY_AFTER_READ_LATE_S,
  RETRY_AFTER_TOKENS_S,
} from '../EdgeConstants';
import type {RegionTraffic} from '../regions/RegionTraffic';
import type {Allowances, ReserveOutcome} from '../tokens/Allowances';
import {RESERVE} from '../tokens/Allowances';
import {RequestTokens} from '../tokens/RequestTokens';
import type {Totals} from '../Totals';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {Placement} from '../upstreams/UpstreamChoice';
import type {RequestSize, SelectionParts} from '../upstreams/UpstreamSelection';
import {
  admissionFacts,
  lackOf,
  selectUpstream,
} from '../upstreams/UpstreamSelection';
import type {AttemptParts} from './Attempt';
import {Attempt} from './Attempt';
import type {CrashingRequests} from './CrashingRequests';
import type {Plan} from './RequestPlan';
import {planRequest} from './RequestPlan';
import type {RetryBudgets} from './RetryBudgets';
import type {RouteTable} from './RouteTable';

/** Dependencies for forwarding a request. */
export interface ForwardingParts extends AttemptParts, SelectionParts {
  readonly totals: Totals;
  readonly allowances: Allowances;
  readonly retryBudgets: RetryBudgets;
  readonly crashing: CrashingRequests;
  readonly regionTraffic: RegionTraffic;
}

/** Cause of the error response for a quarantined request. */
const QUARANTINED = 'quarantined';

/** Delay of the timeout response after the deadline, ms. */
const DEADLINE_GRACE_MS = 20;

/** Maximum number of upstreams without a permit in one log line. */
const MAX_LOGGED_UPSTREAMS = 4;

/** Minimum time before the deadline for one more attempt, ms. */
const MIN_REMAINING_MS = 10;

/** Forwards one request, with retries. */
export class Forwarding {
  private plan: Plan | undefined;
  private body: Buffer = Buffer.alloc(0);
  private currentAttempt: Attempt | undefined;
  private relay: AnswerRelay | undefined;
  private lastUpstream: EdgeUpstream | undefined;
  private readonly triedUpstreams = new Set<EdgeUpstream>();
  /** Upstreams that granted no permit for this request. */
  private readonly deniedUpstreams = new Set<EdgeUpstream>();
  private attemptCount = 0;
  private unsentCount = 0;
  private mayHaveRun = false;
  private cachedFingerprint: string | undefined;
  private readonly finalResponse: FinalAnswer;

  constructor(
    private readonly parts: ForwardingParts,
    private readonly table: RouteTable,
    private readonly caller: CallerRequest,
  ) {
    this.finalResponse = new FinalAnswer(caller);
  }

  /** Serves the request and resolves when it has ended. */
  async run(): Promise<void> {
    const plan = this.createPlan();
    if (plan === undefined) {
      this.caller.incoming.resume();
      this.recordEnd();
      return;
    }
    const isLeastUrgent = this.table.isLeastUrgent(plan.route);
    const tokens = new RequestTokens(
      this.parts.allowances,
      plan,
      isLeastUrgent,
    );
    this.caller.response.once('close', () => this.onCallerClosed());
    const timer = setTimeout(
      () => this.onDeadline(),
      this.remainingMs(plan.route) + DEADLINE_GRACE_MS,
    );
    try {
      const isReady =
        (await this.readBody()) && (await this.isCallerConnected());
      if (
        isReady &&
        this.passesQuarantine(plan) &&
        (await this.reserveTokens(tokens))
      ) {
        await this.forward(plan);
      }
    } finally {
      clearTimeout(timer);
      const charged = tokens.settle({
        events: this.relay?.events ?? 0,
        passedOn: this.relay?.begun ?? false,
        whole: this.finalResponse.cause === 'served',
      });
      this.recordEnd(charged, tokens.facts);
    }
  }

  private createPlan(): Plan | undefined {
    const {dialect, random} = this.parts;
    const fraction = random.fraction();
    const plan = planRequest(this.caller, this.table, dialect, fraction);
    if (plan.isErr()) {
      const {cause, retryAfterS, status} = plan.error;
      this.finalResponse.refuse(status, cause, retryAfterS);
      return undefined;
    }
    this.plan = plan.value;
    if (this.isReadLate(plan.value.route)) {
      this.caller.closing = true;
      this.finalResponse.refuse(503, 'read-late', RETRY_AFTER_READ_LATE_S);
      return undefined;
    }
    return plan.value;
  }

  /** Whether too much of the timeout had passed when the request was read. */
  private isReadLate(route: Route): boolean {
    const timeoutMs = this.timeoutMs(route);
    return isReadLate(timeoutMs - this.remainingMs(route), timeoutMs, route);
  }

  private remainingMs(route: Route): number {
    const elapsedMs = this.parts.clock.now() - this.caller.startedAt;
    return this.timeoutMs(route) - elapsedMs;
  }

  private timeoutMs({timeoutMs}: Route): number {
    return Math.min(timeoutMs, this.caller.deadlineMs ?? Infinity);
  }

  private async readBody(): Promise<boolean> {
    const {maxBodyBytes} = this.table.configuration.limits;
    const body = await this.caller.readBody(maxBodyBytes);
    if (body.isErr()) {
      if (body.error.kind === 'body-too-large') {
        this.finalResponse.refuse(413, body.error.kind);
      } else {
        this.finalResponse.end(body.error.kind);
        this.caller.response.destroy();
      }
      return false;
    }
    this.body = body.value;
    return !this.finalResponse.ended;
  }

  private async isCallerConnected(): Promise<boolean> {
    if (!(await this.caller.stays())) {
      this.finalResponse.end(CALLER_LEFT);
    }
    return !this.finalResponse.ended;
  }

  // Tokens

  private async reserveTokens(tokens: RequestTokens): Promise<boolean> {
    const outcome = await tokens.reserve();
    if (!this.finalResponse.ended && outcome !== RESERVE.held) {
      this.rejectWithoutTokens(outcome);
    }
    return !this.finalResponse.ended;
  }

  private rejectWithoutTokens(
    outcome: Exclude<ReserveOutcome, typeof RESERVE.held>,
  ): void {
    switch (outcome) {
      case RESERVE.exhausted:
        this.finalResponse.refuse(402, 'budget-exhausted');
        return;
      case RESERVE.unavailable:
        this.finalResponse.refuse(
          503,
          'budget-unreachable',
          RETRY_AFTER_TOKENS_S,
        );
    }
  }

  // Attempts

  /**
   * Rejects a quarantined request and returns false. Each retry would crash another
   * upstream, together with all requests in flight there.
   */
  private passesQuarantine(plan: Plan): boolean {
    const {crashing} = this.parts;
    if (
      crashing.isEmpty ||
      !crashing.isQuarantined(this.getFingerprint(plan))
    ) {
      return true;
    }
    if (this.mayHaveRun) {
      this.finalResponse.giveUp(QUARANTINED, true);
    } else {
      this.finalResponse.refuse(400, QUARANTINED);
    }
    return false;
  }

  private async forward(plan: Plan): Promise<void> {
    const {parts, triedUpstreams} = this;
    const requestSize: RequestSize = {
      bodyBytes: this.body.length,
      heldBack: this.deniedUpstreams,
      isLeastUrgent: this.table.isLeastUrgent(plan.route),
    };
    while (!this.finalResponse.ended && this.passesQuarantine(plan)) {
      const placement = selectUpstream(
        parts,
        plan,
        triedUpstreams,
        requestSize,
      );
      if (placement === undefined) {
        const {cause, retryAfterS} = lackOf(parts, plan, requestSize);
        this.finalResponse.giveUp(cause, this.mayHaveRun, retryAfterS);
        return;
      }
      if (this.remainingMs(plan.route) < MIN_REMAINING_MS) {
        this.finalResponse.giveUp('no-time-left', this.mayHaveRun);
        return;
      }
      if (!(await this.acquirePermit(plan, placement.upstream, requestSize))) {
        continue;
      }
      if (!this.consumeRetryBudget(plan)) {
        this.finalResponse.giveUp('retry-budget', this.mayHaveRun);
        return;
      }
      const outcome = await this.startAttempt(plan, placement);
      const hasEnded = await this.handleOutcome(
        plan,
        placement.upstream,
        outcome,
      );
      if (hasEnded) {
        return;
      }
    }
  }

  /**
   * Acquires a permit before each attempt, retries included. The rate limit of an
   * upstream applies to all edges together, so no edge can enforce it alone.
   */
  private async acquirePermit(
    plan: Plan,
    upstream: EdgeUpstream,
    requestSize: RequestSize,
  ): Promise<boolean> {
    const admission = admissionFacts(plan, requestSize);
    const admitted = this.parts.admission.admit(upstream, admission);
    if (admitted === true) {
      return true;
    }
    const isGranted = await admitted;
    // The upstream may have started to drain or back off during the wait.
    const isAdmitted =
      isGranted && upstream.serves && upstream.restLeftMs === 0;
    if (!isAdmitted) {
      this.deniedUpstreams.add(upstream);
    }
    this.parts.metrics.permits.inc({
      outcome: isGranted ? 'granted' : 'refused',
      service: plan.service.name,
    });
    return isAdmitted && !this.finalResponse.ended;
  }

  /** Takes a retry from the budget of the service, except for the first attempt. */
  private consumeRetryBudget({service}: Plan): boolean {
    const {retryBudgets} = this.parts;
    if (this.attemptCount === 0) {
      if (this.unsentCount === 0) {
        retryBudgets.recordRequest(service.name);
      }
      return true;
    }
    return retryBudgets.tryConsume(service.name);
  }

  private startAttempt(
    plan: Plan,
    placement: Placement,
  ): Promise<ExchangeOutcome> {
    const {body, caller, relay, table} = this;
    const {upstream} = placement;
    this.lastUpstream = upstream;
    this.triedUpstreams.add(upstream);
    this.attemptCount += 1;
    this.currentAttempt = new Attempt(this.parts, {
      body,
      caller,
      configurationVersion: table.version,
      remainingMs: this.remainingMs(plan.route),
      placement,
      plan,
      lastEventId: relay?.lastEventId,
    });
    return this.currentAttempt.outcome;
  }

  /** Handles the outcome of an attempt. Returns true when the request has ended. */
  private async handleOutcome(
    plan: Plan,
    upstream: EdgeUpstream,
    outcome: ExchangeOutcome,
  ): Promise<boolean> {
    switch (outcome.kind) {
      case 'answer':
        this.mayHaveRun = true;
        return this.relayResponse(plan, upstream, outcome);
      case 'rejected': {
        const {statusCode} = outcome.answer;
        if (statusCode === MISDIRECTED) {
          // Another upstream has this address now, so the request did not run.
          this.attemptCount -= 1;
          this.unsentCount += 1;
          upstream.isReplaced();
        } else {
          upstream.full();
        }
        return this.retryOrGiveUp(
          plan,
          upstream,
          `rejected-${statusCode}`,
          true,
        );
      }
      case 'unsent':
        this.attemptCount -= 1;
        this.unsentCount += 1;
        if (!this.finalResponse.ended) {
          upstream.unreachable();
        }
        return this.retryOrGiveUp(plan, upstream, outcome.cause, true);
      case 'broken':
        this.mayHaveRun = true;
        if (!this.finalResponse.ended && outcome.cause !== INVALID_HEADER) {
          this.recordBrokenResponse(plan, upstream, outcome.cause);
        }
        return this.retryOrGiveUp(plan, upstream, outcome.cause, false);
    }
  }

  private recordSuccess(plan: Plan, status: number): void {
    if (status < FIRST_ERROR_STATUS) {
      this.parts.crashing.recordSuccess(this.getFingerprint(plan));
    }
  }

  private recordBrokenResponse(
    plan: Plan,
    upstream: EdgeUpstream,
    cause: string,
  ): void {
    upstream.broke(cause);
    this.parts.crashing.recordBrokenRequest(
      upstream,
      this.getFingerprint(plan),
    );
  }

  private getFingerprint({team}: Plan): string {
    const {body, caller} = this;
    this.cachedFingerprint ??= fingerprintOf({
      body,
      caller: team?.name ?? '',
      host: caller.header('host') ?? '',
      method: caller.method,
      path: caller.path,
    });
    return this.cachedFingerprint;
  }

  /**
   * Decides whether to retry a failed attempt. Returns true when the request has ended,
   * after an error response if it had none.
   */
  private retryOrGiveUp(
    plan: Plan,
    upstream: EdgeUpstream,
    cause: string,
    wasNotRun: boolean,
  ): boolean {
    const {route} = plan;
    const isRepeatable = wasNotRun || route.repetition !== REPETITION.never;
    const willRetry =
      !this.finalResponse.ended &&
      isRepeatable &&
      this.canContinueResponse(route) &&
      this.attemptCount < route.maxAttempts &&
      this.unsentCount < MAX_UNSENT &&
      // If one more crash would quarantine the request, a retry could crash an upstream.
      (wasNotRun ||
        !this.parts.crashing.isOneCrashFromQuarantine(
          this.getFingerprint(plan),
        ));
    this.parts.log.note({
      cause,
      configuration: this.table.version,
      event: 'attempt-failed',
      fingerprint: wasNotRun ? undefined : this.getFingerprint(plan),
      inFlight: upstream.inFlight,
      mayHaveRun: !wasNotRun,
      request: this.caller.id,
      retry: willRetry,
      upstream: upstream.id,
    });
    if (!willRetry && !this.finalResponse.ended) {
      this.finalResponse.giveUp(cause, this.mayHaveRun);
    }
    return !willRetry;
  }

  /** Whether another upstream can continue the response that the caller has so far. */
  private canContinueResponse({repetition}: Route): boolean {
    const {relay} = this;
    const isResumable =
      repetition === REPETITION.resumable && relay?.lastEventId !== undefined;
    return relay?.begun !== true || isResumable;
  }

  private async relayResponse(
    plan: Plan,
    upstream: EdgeUpstream,
    {answer: response}: ResponseOutcome,
  ): Promise<boolean> {
    const relay = this.getRelay(plan, response);
    const status = response.statusCode;
    const {socket} = response;
    const {events: eventsBefore} = relay;
    const relayEnd = await relay
      .pass(response, this.shouldRetryError(plan, upstream, status))
      .finally(() => (upstream.inFlight -= 1));
    if (this.parts.crossing.isAway(upstream.record.hall)) {
      this.parts.regionTraffic.count(socket);
    }
    this.currentAttempt?.observation.ended({
      end: relayEnd,
      events: relay.events - eventsBefore,
      status,
      timedOut: this.finalResponse.cause === 'timeout',
    });
    switch (relayEnd) {
      case RELAY.whole:
        if (status < FIRST_ERROR_STATUS) {
          upstream.succeeded();
        } else {
          upstream.answeredError();
        }
        this.recordSuccess(plan, status);
        this.finalResponse.end('served');
        return true;
      case RELAY.stopped:
        return true;
      case RELAY.broken:
        return this.handleBrokenResponse(plan, upstream, status);
    }
  }

  private handleBrokenResponse(
    plan: Plan,
    upstream: EdgeUpstream,
    status: number,
  ): boolean {
    if (status >= FIRST_ERROR_STATUS) {
      upstream.answeredError();
      return this.retryOrGiveUp(plan, upstream, `status-${status}`, false);
    }
    this.currentAttempt?.abort('broke-off');
    this.recordBrokenResponse(plan, upstream, 'broke-off');
    return this.retryOrGiveUp(plan, upstream, 'broke-off', false);
  }

  /** Whether to retry an error response: only if the upstream's error rate is high. */
  private shouldRetryError(
    {route}: Plan,
    upstream: EdgeUpstream,
    status: number,
  ): boolean {
    return (
      status >= FIRST_ERROR_STATUS &&
      status !== 504 &&
      route.repetition !== REPETITION.never &&
      this.attemptCount < route.maxAttempts &&
      this.parts.pool.isGrey(upstream)
    );
  }

  private getRelay({route}: Plan, response: UpstreamAnswer): AnswerRelay {
    if (this.relay?.begun === true) {
      return this.relay;
    }
    const onFirstByte = (): void => {
      const elapsedMs = this.parts.clock.now() - this.caller.startedAt;
      this.parts.metrics.firstByte.observe(
        {route: route.name},
        elapsedMs / 1_000,
      );
    };
    const isStream =
      response.headers['content-type']?.startsWith('text/event-stream');
    this.relay =
      isStream === true && response.statusCode === 200
        ? new StreamRelay(this.caller, onFirstByte)
        : new WholeRelay(this.caller, onFirstByte);
    return this.relay;
  }

  // End of the request

  private onDeadline(): void {
    if (this.finalResponse.ended) {
      return;
    }
    const wasSent = this.mayHaveRun || this.currentAttempt !== undefined;
    this.finalResponse.refuse(
      wasSent ? 504 : 503,
      'timeout',
      wasSent ? undefined : 1,
    );
    this.relay?.stop();
    this.currentAttempt?.abort('timeout');
  }

  private onCallerClosed(): void {
    if (!this.finalResponse.ended && this.caller.abandoned) {
      this.finalResponse.end(CALLER_LEFT);
      this.relay?.stop();
      this.currentAttempt?.abort(CALLER_LEFT);
    }
  }

  /** IDs of upstreams without a permit, for the log; undefined if there were none. */
  private get deniedUpstreamIds(): readonly string[] | undefined {
    const denied = [...this.deniedUpstreams].slice(0, MAX_LOGGED_UPSTREAMS);
    return denied.length === 0 ? undefined : denied.map(({id}) => id);
  }

  private recordEnd(charged = 0, tokenFacts?: TokenFacts): void {
    const {attemptCount, caller, plan, relay, lastUpstream, table} = this;
    const {cause} = this.finalResponse;
    const {clock, log, metrics, totals} = this.parts;
    const status = caller.response.headersSent ? caller.response.statusCode : 0;
    const route = plan?.route.name ?? '';
    metrics.answers.inc({cause, route, status: String(status)});
    totals.count(status, cause);
    log.note({
      attempts: attemptCount,
      cause,
      charged,
      configuration: table.version,
      event: 'request-ended',
      events: relay?.events ?? 0,
      fingerprint: this.cachedFingerprint,
      heldBackBy: this.deniedUpstreamIds,
      request: caller.id,
      route,
      upstream: lastUpstream?.id,
      status,
      team: plan?.team?.name,
      tokens: tokenFacts,
      tookMs: Math.round(clock.now() - caller.startedAt),
    });
  }
}
