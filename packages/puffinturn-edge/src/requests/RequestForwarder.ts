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
import type {TokenState} from 'puffinturn-decisions';
import type {Route} from 'puffinturn-fleet';
import {RETRY_POLICY} from 'puffinturn-fleet';
import type {BodyFailure} from 'puffinturn-server';
import {BODY_REFUSALS} from 'puffinturn-server';
import {Condition} from 'shared';

import type {CallerRequest} from '../callers/CallerRequest';
import type {PartialEvents} from '../callers/PartialEvents';
import {waitedTooLong} from '../callers/QueueWaitLimit';
import {RequestOutcome} from '../callers/RequestOutcome';
import type {RelayOutcome, ResponseRelay} from '../callers/ResponseRelay';
import {
  BufferedRelay,
  EventStreamRelay,
  RELAY_OUTCOME,
} from '../callers/ResponseRelay';
import type {ExchangeOutcome, ResponseOutcome} from '../connections/Exchange';
import {INVALID_HEADER, UNSENT_BLAME} from '../connections/Exchange';
import type {UpstreamResponse} from '../connections/UpstreamResponse';
import {
  CALLER_DISCONNECTED,
  EDGE_STOPPING,
  ERROR_BODY_LIMIT,
  MAX_CONNECT_FAILURES,
  MIN_SERVER_ERROR_STATUS,
  MISDIRECTED_REQUEST_STATUS,
  RETRY_AFTER_DRAINING_S,
  RETRY_AFTER_OVERDUE_S,
  RETRY_AFTER_TOKENS_S,
  RETRY_AFTER_UNKNOWN_STREAM_S,
  RETRY_AFTER_WAITED_TOO_LONG_S,
} from '../EdgeConstants';
import type {RegionByteCounter} from '../regions/RegionByteCounter';
import type {ResponseTotals} from '../ResponseTotals';
import {RequestStream} from '../streams/RequestStream';
import type {StreamVersions} from '../streams/StreamVersions';
import type {Allowances, ReserveOutcome} from '../tokens/Allowances';
import {RESERVE_OUTCOME} from '../tokens/Allowances';
import {RequestTokens} from '../tokens/RequestTokens';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {Placement} from '../upstreams/LoadBalancer';
import type {
  RequestTraits,
  SelectionParts,
} from '../upstreams/UpstreamSelection';
import {
  admissionContextOf,
  explainNoUpstream,
  selectUpstream,
} from '../upstreams/UpstreamSelection';
import type {AttemptParts} from './Attempt';
import {Attempt} from './Attempt';
import type {RequestFeatures} from './RequestIdentity';
import {RequestIdentity} from './RequestIdentity';
import type {Refusal, RequestPlan} from './RequestPlan';
import {planRequest} from './RequestPlan';
import type {RequestQuarantine} from './RequestQuarantine';
import type {RetryBudgets} from './RetryBudgets';
import type {RouteTable} from './RouteTable';

/** Dependencies for forwarding a request. */
export interface RequestForwarderParts extends AttemptParts, SelectionParts {
  readonly responseTotals: ResponseTotals;
  readonly allowances: Allowances;
  readonly retryBudgets: RetryBudgets;
  readonly quarantine: RequestQuarantine;
  readonly regionByteCounter: RegionByteCounter;
  readonly streamVersions: StreamVersions;
  readonly partialEvents: PartialEvents;
  /** Age of the state that requests are decided by, ms; undefined before it is known. */
  readonly stateAgeMs: () => number | undefined;
  /** Whether the configuration may lack a change that must be in force. */
  readonly isConfigurationOverdue: () => boolean;
  /** Whether this edge is so late in a drain that it sends no new requests. */
  readonly rejectsRequests: () => boolean;
}

/** Cause of the error response for a quarantined request. */
const QUARANTINED = 'quarantined';

/** Cause of the error response for what only a newer configuration may have. */
const CONFIGURATION_OVERDUE = 'configuration-overdue';

/** Causes with which the log tells the target of a request. */
const CAUSES_WITH_TARGET: ReadonlySet<string> = new Set([
  CONFIGURATION_OVERDUE,
  'no-route',
  'unknown-key',
]);

/** Cause of an error response that is broken off because its body does not end. */
const ENDLESS_ERROR = 'endless-error';

/** Cause of a stream that is broken off because one of its events does not end. */
const ENDLESS_EVENT = 'endless-event';

/** Delay of the timeout response after the deadline, ms. */
const DEADLINE_GRACE_MS = 20;

/** Maximum number of upstreams without a permit in one log line. */
const MAX_LOGGED_UPSTREAMS = 4;

/** Maximum number of prompt parts in one log line, and the length of each. */
const MAX_LOGGED_PARTS = 8;
const MAX_LOGGED_PART_LENGTH = 64;

/** Longest host and path in the log, characters. */
const MAX_LOGGED_TARGET_LENGTH = 80;

/** Time between attempts to continue a response while no way leads to its service, ms. */
const LOST_LINK_RETRY_INTERVAL_MS = 250;

/** Minimum time before the deadline for one more attempt, ms. */
const MIN_REMAINING_MS = 10;

/** Forwards one request, with retries. */
export class RequestForwarder {
  private plan: RequestPlan | undefined;
  private body: Buffer = Buffer.alloc(0);
  private currentAttempt: Attempt | undefined;
  private relay: ResponseRelay | undefined;
  private lastUpstream: EdgeUpstream | undefined;
  /** Age of the record of `lastUpstream` when the request was sent to it, ms. */
  private lastRecordAgeMs: number | undefined;
  /** Age of the state at the start, then when the request was sent, ms. */
  private stateAgeMs: number | undefined;
  /** The upstream that is sending a response without events. */
  private bodySender: EdgeUpstream | undefined;
  private readonly triedUpstreams = new Set<EdgeUpstream>();
  /** Upstreams that granted no permit for this request. */
  private readonly deniedUpstreams = new Set<EdgeUpstream>();
  private attemptCount = 0;
  /** Events that were relayed before the current attempt. */
  private eventsBefore = 0;
  private unsentCount = 0;
  /** Whether this edge ended the last attempt because its link hangs. */
  private hasLeftLink = false;
  /** Notified when a request that has left its link is sent again, waits or has ended. */
  private readonly linkLeft = new Condition();
  /** Whether the next attempt was taken from the retry budget before. */
  private isRetryPaid = false;
  private mayHaveRun = false;
  private readonly stream: RequestStream;
  private readonly identity: RequestIdentity;
  /** What kept the request from being sent. */
  private quarantinedFeature: string | undefined;
  private readonly requestOutcome: RequestOutcome;

  constructor(
    private readonly parts: RequestForwarderParts,
    private readonly table: RouteTable,
    private readonly caller: CallerRequest,
  ) {
    this.requestOutcome = new RequestOutcome(caller);
    this.stream = new RequestStream(parts, caller, table);
    this.identity = new RequestIdentity(caller);
    this.stateAgeMs = parts.stateAgeMs();
  }

  /** Serves the request and resolves when it has ended. */
  async run(): Promise<void> {
    const plan = this.createPlan();
    if (plan === undefined) {
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
      const isAllowed = isReady && this.passesQuarantine(plan);
      const matched = isAllowed ? await this.matchStream(plan) : undefined;
      if (matched !== undefined && (await this.reserveTokens(tokens))) {
        await this.forward(matched);
      }
    } finally {
      clearTimeout(timer);
      this.linkLeft.notify();
      const charged = tokens.settle({
        events: this.relay?.eventCount ?? 0,
        hasStarted: this.relay?.hasStarted ?? false,
        isComplete: this.requestOutcome.cause === 'served',
      });
      this.recordEnd(charged, tokens.refusalState);
    }
  }

  /**
   * Ends the request because the edge stops now. Its caller gets an error response, or the
   * response that has begun is broken off.
   */
  stop(): void {
    if (!this.requestOutcome.hasEnded) {
      const wasSent = this.mayHaveRun || this.currentAttempt !== undefined;
      this.requestOutcome.fail(EDGE_STOPPING, wasSent, RETRY_AFTER_DRAINING_S);
      this.relay?.cancel();
      this.currentAttempt?.abort(EDGE_STOPPING);
    }
  }

  private createPlan(): RequestPlan | undefined {
    const {protocol, random} = this.parts;
    const fraction = random.fraction();
    const plan = planRequest(this.caller, this.table, protocol, fraction);
    if (plan.isErr()) {
      this.rejectUnplanned(plan.error);
      return undefined;
    }
    this.plan = plan.value;
    if (this.hasWaitedTooLong(plan.value.route)) {
      this.caller.closesConnection = true;
      this.requestOutcome.reject(
        503,
        'read-late',
        RETRY_AFTER_WAITED_TOO_LONG_S,
      );
      return undefined;
    }
    return plan.value;
  }

  /** Rejects a request; what an outdated configuration lacks is not known to be absent. */
  private rejectUnplanned({cause, retryAfterS, status}: Refusal): void {
    if (
      status < MIN_SERVER_ERROR_STATUS &&
      this.parts.isConfigurationOverdue()
    ) {
      this.requestOutcome.reject(
        503,
        CONFIGURATION_OVERDUE,
        RETRY_AFTER_OVERDUE_S,
      );
    } else {
      this.requestOutcome.reject(status, cause, retryAfterS);
    }
  }

  /** Whether too much of the timeout had passed when the request was read. */
  private hasWaitedTooLong(route: Route): boolean {
    const {arrivedAt, readAt} = this.caller.times;
    return waitedTooLong(readAt - arrivedAt, this.timeoutMs(route), route);
  }

  private remainingMs(route: Route): number {
    const elapsedMs = this.parts.clock.now() - this.caller.times.arrivedAt;
    return this.timeoutMs(route) - elapsedMs;
  }

  private timeoutMs({timeoutMs}: Route): number {
    return Math.min(timeoutMs, this.caller.deadlineMs ?? Infinity);
  }

  private async readBody(): Promise<boolean> {
    const {maxBodyBytes} = this.table.configuration.limits;
    const body = await this.caller.readBody(maxBodyBytes);
    if (this.requestOutcome.hasEnded) {
      return false;
    }
    if (body.isErr()) {
      this.endWithoutBody(body.error);
      return false;
    }
    this.body = body.value;
    return true;
  }

  private endWithoutBody({kind}: BodyFailure): void {
    if (kind === 'body-broken') {
      this.requestOutcome.end(kind);
      this.caller.response.destroy();
      return;
    }
    const {retryAfterS, status} = BODY_REFUSALS[kind];
    this.requestOutcome.reject(status, kind, retryAfterS);
  }

  private async isCallerConnected(): Promise<boolean> {
    if (!(await this.caller.isStillConnected())) {
      this.requestOutcome.end(CALLER_DISCONNECTED);
    }
    return !this.requestOutcome.hasEnded;
  }

  // Resumed streams

  /**
   * Restricts the request to the service and version that began the stream which its
   * caller resumes. Rejects it and returns undefined if they are not known.
   */
  private async matchStream(
    plan: RequestPlan,
  ): Promise<RequestPlan | undefined> {
    const matched = await this.stream.resume(plan);
    if (!this.requestOutcome.hasEnded && matched === undefined) {
      this.requestOutcome.reject(
        503,
        'stream-unknown',
        RETRY_AFTER_UNKNOWN_STREAM_S,
      );
    }
    return this.requestOutcome.hasEnded ? undefined : matched;
  }

  // Tokens

  private async reserveTokens(tokens: RequestTokens): Promise<boolean> {
    const outcome = await tokens.reserve();
    if (!this.requestOutcome.hasEnded && outcome !== RESERVE_OUTCOME.reserved) {
      this.rejectWithoutTokens(outcome);
    }
    return !this.requestOutcome.hasEnded;
  }

  private rejectWithoutTokens(
    outcome: Exclude<ReserveOutcome, typeof RESERVE_OUTCOME.reserved>,
  ): void {
    switch (outcome) {
      case RESERVE_OUTCOME.exhausted:
        this.requestOutcome.reject(402, 'budget-exhausted');
        return;
      case RESERVE_OUTCOME.unavailable:
        this.requestOutcome.reject(
          503,
          'budget-unreachable',
          RETRY_AFTER_TOKENS_S,
        );
    }
  }

  // Attempts

  /**
   * Rejects a request that is quarantined, or with a part of its prompt that is, and
   * returns false. Each retry would crash another upstream, together with all requests in
   * flight there; one request crashed thirteen in 13 s.
   */
  private passesQuarantine(plan: RequestPlan): boolean {
    const {quarantine} = this.parts;
    const found = quarantine.isEmpty
      ? undefined
      : quarantine.findQuarantined(this.getFeatures(plan));
    if (found === undefined) {
      return true;
    }
    this.quarantinedFeature = found;
    if (this.mayHaveRun) {
      this.requestOutcome.fail(QUARANTINED, true);
    } else {
      this.requestOutcome.reject(400, QUARANTINED);
    }
    return false;
  }

  private async forward(plan: RequestPlan): Promise<void> {
    const {parts} = this;
    if (!this.requestOutcome.hasEnded && parts.rejectsRequests()) {
      // It would hardly end before the process does, and another edge serves it at once.
      this.requestOutcome.reject(503, EDGE_STOPPING, RETRY_AFTER_DRAINING_S);
      return;
    }
    while (!this.requestOutcome.hasEnded && this.passesQuarantine(plan)) {
      const traits = this.traitsOf(plan);
      const placement = this.selectPlacement(plan, traits);
      if (placement === undefined && this.mayAwaitLink(plan)) {
        await this.awaitLink();
        continue;
      }
      if (placement === undefined) {
        const {cause, retryAfterS} = explainNoUpstream(parts, plan, traits);
        this.requestOutcome.fail(cause, this.mayHaveRun, retryAfterS);
        return;
      }
      if (this.remainingMs(plan.route) < MIN_REMAINING_MS) {
        this.requestOutcome.fail('no-time-left', this.mayHaveRun);
        return;
      }
      if (!(await this.acquirePermit(plan, placement.upstream, traits))) {
        continue;
      }
      if (!this.consumeRetryBudget(plan)) {
        this.parts.admission.cancel(placement.upstream);
        this.requestOutcome.fail('retry-budget', this.mayHaveRun);
        return;
      }
      if (await this.tryUpstream(plan, placement)) {
        return;
      }
    }
  }

  private traitsOf({route}: RequestPlan): RequestTraits {
    return {
      bodyBytes: this.body.length,
      deniedUpstreams: this.deniedUpstreams,
      isContinuation: this.relay?.hasStarted === true,
      isLeastUrgent: this.table.isLeastUrgent(route),
      streamVersion: this.stream.version,
    };
  }

  /** Selects the upstream of the next attempt; undefined if none is left. */
  private selectPlacement(
    plan: RequestPlan,
    traits: RequestTraits,
  ): Placement | undefined {
    return selectUpstream(this.parts, plan, this.triedUpstreams, traits);
  }

  /** Makes one attempt. Returns true when the request has ended. */
  private async tryUpstream(
    plan: RequestPlan,
    placement: Placement,
  ): Promise<boolean> {
    using _watch = this.parts.directLinks.watchRequest(plan.service.name, {
      onBypass: () => this.onBypass(plan),
      onHang: () => this.currentAttempt?.abortConnecting(),
    });
    const outcome = await this.startAttempt(plan, placement);
    return await this.handleOutcome(plan, placement.upstream, outcome);
  }

  /**
   * Acquires a permit before each attempt, retries included. The rate limit of an
   * upstream applies to all edges together, so no edge can enforce it alone.
   */
  private async acquirePermit(
    plan: RequestPlan,
    upstream: EdgeUpstream,
    traits: RequestTraits,
  ): Promise<boolean> {
    const admission = admissionContextOf(plan, traits);
    const admitted = this.parts.admission.admit(upstream, admission);
    if (admitted === true) {
      return true;
    }
    const isGranted = await admitted;
    // The upstream may have started to drain or back off during the wait.
    const isAdmitted = isGranted && upstream.mayBeSentTo;
    if (!isAdmitted) {
      this.deniedUpstreams.add(upstream);
    }
    const mayStart = isAdmitted && !this.requestOutcome.hasEnded;
    if (isGranted && !mayStart) {
      this.parts.admission.cancel(upstream);
    }
    this.parts.metrics.permits.inc({
      outcome: isGranted ? 'granted' : 'refused',
      service: plan.service.name,
    });
    return mayStart;
  }

  /** Takes a retry from the budget of the service, except for the first attempt. */
  private consumeRetryBudget({service}: RequestPlan): boolean {
    const {retryBudgets} = this.parts;
    if (this.isRetryPaid) {
      return true;
    }
    if (this.attemptCount === 0) {
      if (this.unsentCount === 0) {
        retryBudgets.recordRequest(service.name);
      }
      return true;
    }
    return retryBudgets.tryConsume(service.name);
  }

  private startAttempt(
    plan: RequestPlan,
    placement: Placement,
  ): Promise<ExchangeOutcome> {
    const {body, caller, relay, table} = this;
    const {upstream} = placement;
    this.hasLeftLink = false;
    this.isRetryPaid = false;
    this.lastUpstream = upstream;
    this.lastRecordAgeMs = upstream.recordAgeMs;
    this.stateAgeMs = this.parts.stateAgeMs();
    this.triedUpstreams.add(upstream);
    this.attemptCount += 1;
    this.eventsBefore = relay?.eventCount ?? 0;
    this.stream.recordAttempt(
      plan,
      upstream,
      this.attemptCount + this.unsentCount,
      relay?.lastEventId,
    );
    this.linkLeft.notify();
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
    plan: RequestPlan,
    upstream: EdgeUpstream,
    outcome: ExchangeOutcome,
  ): Promise<boolean> {
    switch (outcome.kind) {
      case 'answer':
        this.mayHaveRun = true;
        return this.relayResponse(plan, upstream, outcome);
      case 'rejected': {
        const {statusCode} = outcome.response;
        if (statusCode === MISDIRECTED_REQUEST_STATUS) {
          // Another upstream has this address now, so the request did not run.
          this.attemptCount -= 1;
          this.unsentCount += 1;
          upstream.markReplaced();
        } else {
          upstream.recordFull();
          this.parts.admission.recordRejected(upstream);
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
        if (this.mayAwaitLink(plan)) {
          this.logFailedAttempt(plan, upstream, outcome.cause, true, true);
          this.isRetryPaid = true;
          await this.awaitLink();
          return this.requestOutcome.hasEnded;
        }
        this.unsentCount += 1;
        if (outcome.blame === UNSENT_BLAME.noHelper) {
          // Every other upstream would need a tunnel too.
          this.unsentCount = MAX_CONNECT_FAILURES;
        }
        return this.retryOrGiveUp(plan, upstream, outcome.cause, true);
      case 'broken':
        this.mayHaveRun = true;
        if (!this.requestOutcome.hasEnded && outcome.cause !== INVALID_HEADER) {
          this.recordBrokenResponse(plan, upstream, outcome.cause);
        }
        return this.retryOrGiveUp(plan, upstream, outcome.cause, false);
    }
  }

  /** Whether a response that has begun may go on once the links are back, or a place is free. */
  private mayAwaitLink({service}: RequestPlan): boolean {
    return (
      !this.requestOutcome.hasEnded &&
      this.relay?.hasStarted === true &&
      (this.hasLeftLink || this.parts.directLinks.areLost(service.name)) &&
      this.isVersionServing(service.name)
    );
  }

  /** Whether an upstream is left that could continue the response. */
  private isVersionServing(service: string): boolean {
    const {version} = this.stream;
    const serving = this.parts.pool.servingUpstreams(service);
    return serving.some((upstream) => upstream.version === version);
  }

  /** Waits before the next attempt to continue a response. */
  private async awaitLink(): Promise<void> {
    this.deniedUpstreams.clear();
    // Its former upstream may be the only one that can go on once the links are back.
    this.triedUpstreams.clear();
    this.linkLeft.notify();
    await this.parts.clock.sleep(LOST_LINK_RETRY_INTERVAL_MS);
  }

  private recordSuccess(plan: RequestPlan, status: number): void {
    if (status < MIN_SERVER_ERROR_STATUS) {
      this.parts.quarantine.recordSuccess(this.getFingerprint(plan));
      this.recordAnswerBegun(plan);
    }
  }

  private recordBrokenResponse(
    plan: RequestPlan,
    upstream: EdgeUpstream,
    cause: string,
  ): void {
    if (this.hasLeftLink) {
      return;
    }
    if (!this.parts.directLinks.areLost(plan.service.name)) {
      upstream.recordFailure(cause);
    }
    const {fingerprint, parts} = this.getFeatures(plan);
    // An upstream that has begun to answer has survived the prompt.
    const hasBegun = this.attemptEvents > 0;
    this.parts.quarantine.recordBrokenRequest(upstream, {
      fingerprint,
      parts: hasBegun ? [] : parts,
    });
  }

  private getFeatures(plan: RequestPlan): RequestFeatures {
    return this.identity.features(plan, this.body);
  }

  private recordAnswerBegun(plan: RequestPlan): void {
    if (plan.promptParts.length > 1) {
      this.parts.quarantine.recordAnswerBegun(this.identity.parts(plan));
    }
  }

  private getFingerprint(plan: RequestPlan): string {
    return this.identity.fingerprint(plan, this.body);
  }

  /**
   * Decides whether to retry a failed attempt. Returns true when the request has ended,
   * after an error response if it had none.
   */
  private retryOrGiveUp(
    plan: RequestPlan,
    upstream: EdgeUpstream,
    cause: string,
    wasNotRun: boolean,
  ): boolean {
    const willRetry = this.mayRetry(plan, wasNotRun);
    this.logFailedAttempt(plan, upstream, cause, wasNotRun, willRetry);
    if (!willRetry && !this.requestOutcome.hasEnded) {
      this.requestOutcome.fail(cause, this.mayHaveRun);
    }
    return !willRetry;
  }

  private logFailedAttempt(
    plan: RequestPlan,
    upstream: EdgeUpstream,
    cause: string,
    wasNotRun: boolean,
    willRetry: boolean,
  ): void {
    this.parts.log.note({
      cause,
      configuration: this.table.version,
      event: 'attempt-failed',
      events: wasNotRun ? undefined : this.attemptEvents,
      fingerprint: wasNotRun ? undefined : this.getFingerprint(plan),
      inFlight: upstream.inFlight,
      mayHaveRun: !wasNotRun,
      promptParts: wasNotRun ? undefined : loggedParts(plan),
      request: this.caller.id,
      retry: willRetry,
      stateAgeMs: this.stateAgeMs,
      upstream: upstream.id,
      upstreamAgeMs: this.lastRecordAgeMs,
    });
  }

  /** Whether one more attempt is allowed after one that failed. */
  private mayRetry(plan: RequestPlan, wasNotRun: boolean): boolean {
    const {route} = plan;
    const isRepeatable = wasNotRun || route.repetition !== RETRY_POLICY.never;
    return (
      !this.requestOutcome.hasEnded &&
      isRepeatable &&
      this.canContinueResponse(route) &&
      this.attemptCount < route.maxAttempts &&
      this.unsentCount < MAX_CONNECT_FAILURES &&
      // If one more crash would quarantine the request, a retry could crash an upstream.
      // Without such retries, a crashing request ends four of eight upstreams, not five.
      (wasNotRun ||
        !this.parts.quarantine.isOneCrashFromQuarantine(this.getFeatures(plan)))
    );
  }

  /** Whether another upstream can continue the response that the caller has so far. */
  private canContinueResponse({repetition}: Route): boolean {
    const {relay} = this;
    const isResumable =
      repetition === RETRY_POLICY.resumable && relay?.lastEventId !== undefined;
    return relay?.hasStarted !== true || isResumable;
  }

  private async relayResponse(
    plan: RequestPlan,
    upstream: EdgeUpstream,
    {response}: ResponseOutcome,
  ): Promise<boolean> {
    const relay = this.getRelay(plan, response);
    relay.onFirstEvent = () => this.recordAnswerBegun(plan);
    const status = response.statusCode;
    relay.onEventTooLong = () => this.currentAttempt?.abort(ENDLESS_EVENT);
    if (this.mayRetryError(plan, status)) {
      response.limitBody(ERROR_BODY_LIMIT, () => {
        upstream.recordFailure(ENDLESS_ERROR);
        this.currentAttempt?.abort(ENDLESS_ERROR);
      });
    }
    const {socket} = response;
    this.bodySender = relay.hasEventStream ? undefined : upstream;
    const relayEnd = await relay
      .relay(response, this.shouldRetryError(plan, upstream, status))
      .finally(() => this.parts.admission.endRequest(upstream));
    this.bodySender = undefined;
    this.logResponseEnd(upstream, response, relayEnd);
    if (relay.lastEventId !== undefined) {
      this.stream.bind(upstream);
    }
    if (this.parts.linkBudget.isRemote(upstream.record.hall)) {
      this.parts.regionByteCounter.recordBytes(socket);
    }
    this.currentAttempt?.observer.onRelayEnd({
      end: relayEnd,
      events: this.attemptEvents,
      status,
      isTimedOut: this.requestOutcome.cause === 'timeout',
    });
    switch (relayEnd) {
      case RELAY_OUTCOME.complete:
        if (status < MIN_SERVER_ERROR_STATUS) {
          upstream.recordSuccess();
        } else {
          upstream.recordErrorResponse();
        }
        this.recordSuccess(plan, status);
        this.requestOutcome.end('served');
        return true;
      case RELAY_OUTCOME.cancelled:
        return true;
      case RELAY_OUTCOME.incomplete:
        return this.handleBrokenResponse(plan, upstream, status);
    }
  }

  /** Events that the current attempt has relayed. */
  private get attemptEvents(): number {
    return (this.relay?.eventCount ?? 0) - this.eventsBefore;
  }

  /** Logs an end of a response that does not show by itself that it is complete. */
  private logResponseEnd(
    upstream: EdgeUpstream,
    {endEvidence, framing, statusCode}: UpstreamResponse,
    relayEnd: RelayOutcome,
  ): void {
    const partialEventBytes = this.relay?.partialEventBytes ?? 0;
    const isMarked = endEvidence === undefined && partialEventBytes === 0;
    if (relayEnd === RELAY_OUTCOME.cancelled || isMarked) {
      return;
    }
    this.parts.log.note({
      complete: relayEnd === RELAY_OUTCOME.complete,
      configuration: this.table.version,
      event: 'response-ended',
      evidence: endEvidence,
      framing,
      partialEventBytes,
      request: this.caller.id,
      status: statusCode,
      upstream: upstream.id,
    });
  }

  private handleBrokenResponse(
    plan: RequestPlan,
    upstream: EdgeUpstream,
    status: number,
  ): boolean {
    if (status >= MIN_SERVER_ERROR_STATUS) {
      upstream.recordErrorResponse();
      return this.retryOrGiveUp(plan, upstream, `status-${status}`, false);
    }
    this.currentAttempt?.abort('broke-off');
    this.recordBrokenResponse(plan, upstream, 'broke-off');
    return this.retryOrGiveUp(plan, upstream, 'broke-off', false);
  }

  /** Whether to retry an error response: only if the upstream's error rate is high. */
  private shouldRetryError(
    plan: RequestPlan,
    upstream: EdgeUpstream,
    status: number,
  ): boolean {
    return (
      this.mayRetryError(plan, status) && this.parts.pool.isDegraded(upstream)
    );
  }

  private mayRetryError({route}: RequestPlan, status: number): boolean {
    return (
      status >= MIN_SERVER_ERROR_STATUS &&
      status !== 504 &&
      route.repetition !== RETRY_POLICY.never &&
      this.attemptCount < route.maxAttempts
    );
  }

  private getRelay(
    {route}: RequestPlan,
    response: UpstreamResponse,
  ): ResponseRelay {
    if (this.relay?.hasStarted === true) {
      return this.relay;
    }
    const onFirstByte = (): void => {
      const elapsedMs = this.parts.clock.now() - this.caller.times.arrivedAt;
      this.parts.metrics.firstByte.observe(
        {route: route.name},
        elapsedMs / 1_000,
      );
    };
    const isStream =
      response.headers['content-type']?.startsWith('text/event-stream');
    this.relay =
      isStream === true && response.statusCode === 200
        ? new EventStreamRelay(
            this.caller,
            onFirstByte,
            this.parts.partialEvents,
          )
        : new BufferedRelay(this.caller, onFirstByte);
    return this.relay;
  }

  /**
   * Ends an attempt over a link that hangs if the request can be sent on another way at
   * once. Any other one goes on, as the upstream may still respond when the link is back.
   */
  private async onBypass(plan: RequestPlan): Promise<void> {
    const attempt = this.currentAttempt;
    if (
      attempt?.dependsOnLink === true &&
      this.mayRetry(plan, false) &&
      this.selectPlacement(plan, this.traitsOf(plan)) !== undefined &&
      this.parts.retryBudgets.tryConsume(plan.service.name)
    ) {
      this.hasLeftLink = true;
      this.isRetryPaid = true;
      attempt.abandonLink();
      await this.linkLeft.wait();
    }
  }

  // End of the request

  private onDeadline(): void {
    if (this.requestOutcome.hasEnded) {
      return;
    }
    // Counts only against the other upstreams of the service, as a body may just be long.
    this.bodySender?.recordErrorResponse();
    const wasSent = this.mayHaveRun || this.currentAttempt !== undefined;
    this.requestOutcome.reject(
      wasSent ? 504 : 503,
      'timeout',
      wasSent ? undefined : 1,
    );
    this.relay?.cancel();
    this.currentAttempt?.abort('timeout');
  }

  private onCallerClosed(): void {
    if (!this.requestOutcome.hasEnded && this.caller.isAborted) {
      this.requestOutcome.end(CALLER_DISCONNECTED);
      this.relay?.cancel();
      this.currentAttempt?.abort(CALLER_DISCONNECTED);
    }
  }

  /** IDs of upstreams without a permit, for the log; undefined if there were none. */
  private get deniedUpstreamIds(): readonly string[] | undefined {
    const denied = [...this.deniedUpstreams].slice(0, MAX_LOGGED_UPSTREAMS);
    return denied.length === 0 ? undefined : denied.map(({id}) => id);
  }

  private get loggedTarget(): string {
    const {caller} = this;
    const target = `${caller.header('host') ?? ''}${caller.path}`;
    return target.slice(0, MAX_LOGGED_TARGET_LENGTH);
  }

  private recordEnd(charged = 0, tokenState?: TokenState): void {
    const {attemptCount, caller, plan, relay, lastUpstream, table} = this;
    const {cause} = this.requestOutcome;
    const {identity, quarantinedFeature} = this;
    const fingerprint = identity.knownFingerprint;
    const {clock, log, metrics, responseTotals} = this.parts;
    const status = caller.response.headersSent ? caller.response.statusCode : 0;
    const route = plan?.route.name ?? '';
    metrics.responses.inc({cause, route, status: String(status)});
    responseTotals.recordResponse(status, cause);
    log.note({
      attempts: attemptCount,
      cause,
      charged,
      configuration: table.version,
      event: 'request-ended',
      events: relay?.eventCount ?? 0,
      fingerprint,
      quarantinedPart:
        quarantinedFeature === fingerprint ? undefined : quarantinedFeature,
      heldBackBy: this.deniedUpstreamIds,
      request: caller.id,
      route,
      upstream: lastUpstream?.id,
      upstreamAgeMs: this.lastRecordAgeMs,
      stateAgeMs: this.stateAgeMs,
      status,
      target: CAUSES_WITH_TARGET.has(cause) ? this.loggedTarget : undefined,
      team: plan?.team?.name,
      tokens: tokenState,
      tookMs: Math.round(clock.now() - caller.times.arrivedAt),
    });
  }
}

/** Returns the first prompt parts of a request, for the log; undefined if it has none. */
function loggedParts({promptParts}: RequestPlan): string[] | undefined {
  return promptParts.length === 0
    ? undefined
    : promptParts
        .slice(0, MAX_LOGGED_PARTS)
        .map(({id}) => id.slice(0, MAX_LOGGED_PART_LENGTH));
}
