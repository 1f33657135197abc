/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Serves one request: finds its route, team and service, reserves tokens,
 * and sends it to upstreams until one has answered or no further try is allowed.
 * A request that may not be repeated is sent again only where the first upstream
 * surely did not run it.
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
import type {AnswerOutcome, ExchangeOutcome} from '../connections/Exchange';
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
import {planFor} from './RequestPlan';
import type {RetryBudgets} from './RetryBudgets';
import type {RouteTable} from './RouteTable';

/** What serving needs of the edge. */
export interface ForwardingParts extends AttemptParts, SelectionParts {
  readonly totals: Totals;
  readonly allowances: Allowances;
  readonly retryBudgets: RetryBudgets;
  readonly crashing: CrashingRequests;
  readonly regionTraffic: RegionTraffic;
}

/** Why a request that crashes upstreams is refused, in one word. */
const QUARANTINED = 'quarantined';

/** Time after a deadline at which the final answer is sent, ms. */
const FINAL_GRACE_MS = 20;

/** Upstreams that held a request back, as its last line names them at the most. */
const LOGGED_HELD_BACK = 4;

/** Least time left with which a request is sent to an upstream, ms. */
const LEAST_LEFT_MS = 10;

/** See the module comment. */
export class Forwarding {
  private plan: Plan | undefined;
  private body: Buffer = Buffer.alloc(0);
  private current: Attempt | undefined;
  private relay: AnswerRelay | undefined;
  private upstream: EdgeUpstream | undefined;
  private readonly tried = new Set<EdgeUpstream>();
  /** Upstreams that take no more requests for the moment. */
  private readonly heldBack = new Set<EdgeUpstream>();
  private attempts = 0;
  private unsent = 0;
  private mayHaveRun = false;
  private knownFingerprint: string | undefined;
  private readonly final: FinalAnswer;

  constructor(
    private readonly parts: ForwardingParts,
    private readonly table: RouteTable,
    private readonly caller: CallerRequest,
  ) {
    this.final = new FinalAnswer(caller);
  }

  /** Serves the request to its end. */
  async run(): Promise<void> {
    const plan = this.makePlan();
    if (plan === undefined) {
      this.caller.incoming.resume();
      this.note();
      return;
    }
    const isLeastUrgent = this.table.isLeastUrgent(plan.route);
    const tokens = new RequestTokens(
      this.parts.allowances,
      plan,
      isLeastUrgent,
    );
    this.caller.response.once('close', () => this.callerClosed());
    const timer = setTimeout(
      () => this.expire(),
      this.leftMs(plan.route) + FINAL_GRACE_MS,
    );
    try {
      const isWanted = (await this.readBody()) && (await this.callerStays());
      if (isWanted && this.mayRun(plan) && (await this.reserve(tokens))) {
        await this.forward(plan);
      }
    } finally {
      clearTimeout(timer);
      const charged = tokens.settle({
        events: this.relay?.events ?? 0,
        passedOn: this.relay?.begun ?? false,
        whole: this.final.cause === 'served',
      });
      this.note(charged, tokens.facts);
    }
  }

  private makePlan(): Plan | undefined {
    const {dialect, random} = this.parts;
    const fraction = random.fraction();
    const plan = planFor(this.caller, this.table, dialect, fraction);
    if (plan.isErr()) {
      const {cause, retryAfterS, status} = plan.error;
      this.final.refuse(status, cause, retryAfterS);
      return undefined;
    }
    this.plan = plan.value;
    if (this.isReadLate(plan.value.route)) {
      this.caller.closing = true;
      this.final.refuse(503, 'read-late', RETRY_AFTER_READ_LATE_S);
      return undefined;
    }
    return plan.value;
  }

  /** Whether too much of its time went by before the request was read. */
  private isReadLate(route: Route): boolean {
    const limitMs = this.limitMs(route);
    return isReadLate(limitMs - this.leftMs(route), limitMs, route);
  }

  private leftMs(route: Route): number {
    const passed = this.parts.clock.now() - this.caller.startedAt;
    return this.limitMs(route) - passed;
  }

  private limitMs({timeoutMs}: Route): number {
    return Math.min(timeoutMs, this.caller.deadlineMs ?? Infinity);
  }

  private async readBody(): Promise<boolean> {
    const {maxBodyBytes} = this.table.configuration.limits;
    const body = await this.caller.readBody(maxBodyBytes);
    if (body.isErr()) {
      if (body.error.kind === 'body-too-large') {
        this.final.refuse(413, body.error.kind);
      } else {
        this.final.end(body.error.kind);
        this.caller.response.destroy();
      }
      return false;
    }
    this.body = body.value;
    return !this.final.ended;
  }

  private async callerStays(): Promise<boolean> {
    if (!(await this.caller.stays())) {
      this.final.end(CALLER_LEFT);
    }
    return !this.final.ended;
  }

  // Tokens

  private async reserve(tokens: RequestTokens): Promise<boolean> {
    const outcome = await tokens.reserve();
    if (!this.final.ended && outcome !== RESERVE.held) {
      this.refuseTokens(outcome);
    }
    return !this.final.ended;
  }

  private refuseTokens(
    outcome: Exclude<ReserveOutcome, typeof RESERVE.held>,
  ): void {
    switch (outcome) {
      case RESERVE.exhausted:
        this.final.refuse(402, 'budget-exhausted');
        return;
      case RESERVE.unavailable:
        this.final.refuse(503, 'budget-unreachable', RETRY_AFTER_TOKENS_S);
    }
  }

  // Attempts

  /**
   * Refuses a request that crashes the upstreams that run it: each copy of it would end
   * one more, and all that runs there (thirteen in 13 s under one request, by the logs).
   */
  private mayRun(plan: Plan): boolean {
    const {crashing} = this.parts;
    if (crashing.isEmpty || !crashing.isQuarantined(this.fingerprint(plan))) {
      return true;
    }
    if (this.mayHaveRun) {
      this.final.giveUp(QUARANTINED, true);
    } else {
      this.final.refuse(400, QUARANTINED);
    }
    return false;
  }

  private async forward(plan: Plan): Promise<void> {
    const {parts, tried} = this;
    const sending: RequestSize = {
      bodyBytes: this.body.length,
      heldBack: this.heldBack,
      isLeastUrgent: this.table.isLeastUrgent(plan.route),
    };
    while (!this.final.ended && this.mayRun(plan)) {
      const placement = selectUpstream(parts, plan, tried, sending);
      if (placement === undefined) {
        const {cause, retryAfterS} = lackOf(parts, plan, sending);
        this.final.giveUp(cause, this.mayHaveRun, retryAfterS);
        return;
      }
      if (this.leftMs(plan.route) < LEAST_LEFT_MS) {
        this.final.giveUp('no-time-left', this.mayHaveRun);
        return;
      }
      if (!(await this.isAdmitted(plan, placement.upstream, sending))) {
        continue;
      }
      if (!this.mayArrive(plan)) {
        this.final.giveUp('retry-budget', this.mayHaveRun);
        return;
      }
      const outcome = await this.attempt(plan, placement);
      const done = await this.take(plan, placement.upstream, outcome);
      if (done) {
        return;
      }
    }
  }

  /**
   * Whether an upstream takes one more request. Asked before each send, whatever the
   * send is for: an overloaded upstream bears so many from all edges together, and each
   * of these sees too few of them to hold back by itself.
   */
  private async isAdmitted(
    plan: Plan,
    upstream: EdgeUpstream,
    sending: RequestSize,
  ): Promise<boolean> {
    const facts = admissionFacts(plan, sending);
    const admitted = this.parts.admission.admit(upstream, facts);
    if (admitted === true) {
      return true;
    }
    const isGranted = await admitted;
    // It may have said meanwhile that it leaves, or wants rest.
    const takes = isGranted && upstream.serves && upstream.restLeftMs === 0;
    if (!takes) {
      this.heldBack.add(upstream);
    }
    this.parts.metrics.permits.inc({
      outcome: isGranted ? 'granted' : 'refused',
      service: plan.service.name,
    });
    return takes && !this.final.ended;
  }

  /** Whether one more arrival at the service is within the shared budget. */
  private mayArrive({service}: Plan): boolean {
    const {retryBudgets} = this.parts;
    if (this.attempts === 0) {
      if (this.unsent === 0) {
        retryBudgets.earn(service.name);
      }
      return true;
    }
    return retryBudgets.spend(service.name);
  }

  private attempt(plan: Plan, placement: Placement): Promise<ExchangeOutcome> {
    const {body, caller, relay, table} = this;
    const {upstream} = placement;
    this.upstream = upstream;
    this.tried.add(upstream);
    this.attempts += 1;
    this.current = new Attempt(this.parts, {
      body,
      caller,
      configuration: table.version,
      leftMs: this.leftMs(plan.route),
      placement,
      plan,
      resumeAt: relay?.lastEventId,
    });
    return this.current.outcome;
  }

  /** Acts on an outcome; true when the request has come to its end. */
  private async take(
    plan: Plan,
    upstream: EdgeUpstream,
    outcome: ExchangeOutcome,
  ): Promise<boolean> {
    switch (outcome.kind) {
      case 'answer':
        this.mayHaveRun = true;
        return this.pass(plan, upstream, outcome);
      case 'rejected': {
        const {statusCode} = outcome.answer;
        if (statusCode === MISDIRECTED) {
          // Another upstream answered; the one that was meant got nothing.
          this.attempts -= 1;
          this.unsent += 1;
          upstream.isReplaced();
        } else {
          upstream.full();
        }
        return this.again(plan, upstream, `rejected-${statusCode}`, true);
      }
      case 'unsent':
        this.attempts -= 1;
        this.unsent += 1;
        if (!this.final.ended) {
          upstream.unreachable();
        }
        return this.again(plan, upstream, outcome.cause, true);
      case 'broken':
        this.mayHaveRun = true;
        if (!this.final.ended && outcome.cause !== INVALID_HEADER) {
          this.brokeAt(plan, upstream, outcome.cause);
        }
        return this.again(plan, upstream, outcome.cause, false);
    }
  }

  private noteServed(plan: Plan, status: number): void {
    if (status < FIRST_ERROR_STATUS) {
      this.parts.crashing.served(this.fingerprint(plan));
    }
  }

  private brokeAt(plan: Plan, upstream: EdgeUpstream, cause: string): void {
    upstream.broke(cause);
    this.parts.crashing.broke(upstream, this.fingerprint(plan));
  }

  private fingerprint({team}: Plan): string {
    const {body, caller} = this;
    this.knownFingerprint ??= fingerprintOf({
      body,
      caller: team?.name ?? '',
      host: caller.header('host') ?? '',
      method: caller.method,
      path: caller.path,
    });
    return this.knownFingerprint;
  }

  /** Whether to try again; where not, the final answer is sent at once. */
  private again(
    plan: Plan,
    upstream: EdgeUpstream,
    cause: string,
    notRun: boolean,
  ): boolean {
    const {route} = plan;
    const allowed = notRun || route.repetition !== REPETITION.never;
    const retry =
      !this.final.ended &&
      allowed &&
      this.mayGoOn(route) &&
      this.attempts < route.maxAttempts &&
      this.unsent < MAX_UNSENT &&
      // Without the retry that would have it quarantined, 4 in place of 5 of eight
      // upstreams end (mean of six runs, three edges, 5 or 3 copies a second).
      (notRun || !this.parts.crashing.isLastTry(this.fingerprint(plan)));
    this.parts.log.note({
      cause,
      configuration: this.table.version,
      event: 'attempt-failed',
      fingerprint: notRun ? undefined : this.fingerprint(plan),
      inFlight: upstream.inFlight,
      mayHaveRun: !notRun,
      request: this.caller.id,
      retry,
      upstream: upstream.id,
    });
    if (!retry && !this.final.ended) {
      this.final.giveUp(cause, this.mayHaveRun);
    }
    return !retry;
  }

  /** Whether another answer could follow what was passed on already. */
  private mayGoOn({repetition}: Route): boolean {
    const {relay} = this;
    const isResumable =
      repetition === REPETITION.resumable && relay?.lastEventId !== undefined;
    return relay?.begun !== true || isResumable;
  }

  private async pass(
    plan: Plan,
    upstream: EdgeUpstream,
    {answer}: AnswerOutcome,
  ): Promise<boolean> {
    const relay = this.relayFor(plan, answer);
    const status = answer.statusCode;
    const {socket} = answer;
    const {events: eventsBefore} = relay;
    const ended = await relay
      .pass(answer, this.retriesError(plan, upstream, status))
      .finally(() => (upstream.inFlight -= 1));
    if (this.parts.crossing.isAway(upstream.record.hall)) {
      this.parts.regionTraffic.count(socket);
    }
    this.current?.observation.ended({
      end: ended,
      events: relay.events - eventsBefore,
      status,
      timedOut: this.final.cause === 'timeout',
    });
    switch (ended) {
      case RELAY.whole:
        if (status < FIRST_ERROR_STATUS) {
          upstream.succeeded();
        } else {
          upstream.answeredError();
        }
        this.noteServed(plan, status);
        this.final.end('served');
        return true;
      case RELAY.stopped:
        return true;
      case RELAY.broken:
        return this.afterBreak(plan, upstream, status);
    }
  }

  private afterBreak(
    plan: Plan,
    upstream: EdgeUpstream,
    status: number,
  ): boolean {
    if (status >= FIRST_ERROR_STATUS) {
      upstream.answeredError();
      return this.again(plan, upstream, `status-${status}`, false);
    }
    this.current?.abort('broke-off');
    this.brokeAt(plan, upstream, 'broke-off');
    return this.again(plan, upstream, 'broke-off', false);
  }

  /** An error is tried elsewhere only where the upstream is its likely cause. */
  private retriesError(
    {route}: Plan,
    upstream: EdgeUpstream,
    status: number,
  ): boolean {
    return (
      status >= FIRST_ERROR_STATUS &&
      status !== 504 &&
      route.repetition !== REPETITION.never &&
      this.attempts < route.maxAttempts &&
      this.parts.pool.isGrey(upstream)
    );
  }

  private relayFor({route}: Plan, answer: UpstreamAnswer): AnswerRelay {
    if (this.relay?.begun === true) {
      return this.relay;
    }
    const firstByte = (): void => {
      const took = this.parts.clock.now() - this.caller.startedAt;
      this.parts.metrics.firstByte.observe({route: route.name}, took / 1_000);
    };
    const isStream =
      answer.headers['content-type']?.startsWith('text/event-stream');
    this.relay =
      isStream === true && answer.statusCode === 200
        ? new StreamRelay(this.caller, firstByte)
        : new WholeRelay(this.caller, firstByte);
    return this.relay;
  }

  // Ends

  private expire(): void {
    if (this.final.ended) {
      return;
    }
    const sent = this.mayHaveRun || this.current !== undefined;
    this.final.refuse(sent ? 504 : 503, 'timeout', sent ? undefined : 1);
    this.relay?.stop();
    this.current?.abort('timeout');
  }

  private callerClosed(): void {
    if (!this.final.ended && this.caller.abandoned) {
      this.final.end(CALLER_LEFT);
      this.relay?.stop();
      this.current?.abort(CALLER_LEFT);
    }
  }

  /** The first few upstreams that had no permit; undefined where all had one. */
  private get heldBackBy(): readonly string[] | undefined {
    const held = [...this.heldBack].slice(0, LOGGED_HELD_BACK);
    return held.length === 0 ? undefined : held.map(({id}) => id);
  }

  private note(charged = 0, facts?: TokenFacts): void {
    const {attempts, caller, plan, relay, upstream, table} = this;
    const {cause} = this.final;
    const {clock, log, metrics, totals} = this.parts;
    const status = caller.response.headersSent ? caller.response.statusCode : 0;
    const route = plan?.route.name ?? '';
    metrics.answers.inc({cause, route, status: String(status)});
    totals.count(status, cause);
    log.note({
      attempts,
      cause,
      charged,
      configuration: table.version,
      event: 'request-ended',
      events: relay?.events ?? 0,
      fingerprint: this.knownFingerprint,
      heldBackBy: this.heldBackBy,
      request: caller.id,
      route,
      upstream: upstream?.id,
      status,
      team: plan?.team?.name,
      tokens: facts,
      tookMs: Math.round(clock.now() - caller.startedAt),
    });
  }
}
