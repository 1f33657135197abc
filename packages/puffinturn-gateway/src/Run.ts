/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Runs one admitted attempt: finds a place, commits the dispatch of a
 * never-repeated request, sends it, tries again where that is safe, and closes
 * the attempt.
 */
import type {ControlClient} from 'puffinturn-ledger';
import {MAX_KEPT_ANSWER_BYTES} from 'puffinturn-ledger';
import type {Place} from 'puffinturn-routing';
import {backoffMs, prefixBlocks} from 'puffinturn-routing';
import type {Timeline} from 'puffinturn-timeline';
import {EVENT_KIND} from 'puffinturn-timeline';
import type {Clock, Random} from 'shared';

import type {Attempt} from './Admission';
import type {Answer} from './Answer';
import {Bill} from './Bill';
import {continuationBody, upstreamBody} from './CompletionBody';
import type {Usage} from './CompletionStream';
import {CompletionStream} from './CompletionStream';
import type {CrashingRequests} from './CrashingRequests';
import {
  ADMIT_TIMEOUT_MS,
  MAX_ANSWER_BYTES,
  MAX_ATTEMPTS,
  MOST_HELD_BACK,
  SETTLE_WAIT_MS,
} from './GatewayConstants';
import type {GatewayFailure} from './GatewayFailure';
import {gatewayFailure, OUTCOME} from './GatewayFailure';
import type {GatewayMetrics} from './GatewayMetrics';
import type {Pool, Pools} from './Pools';
import type {Settlement} from './Settlement';
import {attemptId} from './Settlement';
import type {
  Call,
  CallParts,
  CallRequest,
  FailedCall,
  StartedCall,
} from './UpstreamCall';
import {bytesOf, callUpstream, SERVER_ERROR} from './UpstreamCall';
import type {UpstreamClient} from './UpstreamClient';
import type {UpstreamPermits} from './UpstreamPermits';

/** What running needs. */
export interface RunParts {
  readonly client: UpstreamClient;
  readonly clock: Clock;
  readonly control: ControlClient;
  readonly crashing: CrashingRequests;
  readonly metrics: GatewayMetrics;
  readonly permits: UpstreamPermits;
  readonly pools: Pools;
  readonly random: Random;
  readonly settlement: Settlement;
  readonly timeline: Timeline;
}

const JSON_TYPE = 'application/json';
const STREAM_TYPE = 'text/event-stream';
const encoder = new TextEncoder();

interface NoPlace {
  readonly kind: 'no-place';
  readonly failure: GatewayFailure;
}

/** Another attempt has taken the request over. */
interface Superseded {
  readonly kind: 'superseded';
}

type CallOutcome = Call | NoPlace | Superseded;

/** See the module comment. */
export class Run {
  private readonly pool: Pool;
  private readonly callParts: CallParts;
  private readonly avoid = new Set<string>();
  /** Whether any upstream may have seen the request. */
  private mayHaveRun = false;
  private dispatched = false;
  private readonly bill: Bill;

  constructor(
    private readonly parts: RunParts,
    private readonly attempt: Attempt,
    private readonly answer: Answer,
  ) {
    this.pool = parts.pools.of(attempt.plan.target);
    this.bill = new Bill(attempt.plan, this.pool.promptBound);
    this.callParts = {
      client: parts.client,
      clock: parts.clock,
      onLeaving: (pool, upstream) => {
        parts.timeline.note(EVENT_KIND.upstreamLeaving, {upstream});
        parts.pools.noteLeaving(pool, upstream);
      },
      onLimit: (upstream) => {
        const {perSecond} = upstream.limits.limit;
        const detail =
          perSecond === undefined ? 'no limit' : `${perSecond} a second`;
        const {name} = upstream;
        parts.timeline.note(EVENT_KIND.upstreamLimited, {
          detail,
          upstream: name,
        });
        parts.permits.tell(upstream);
      },
      onRest: (upstream, restMs) => {
        const detail = `for ${restMs} ms`;
        parts.timeline.note(EVENT_KIND.upstreamResting, {detail, upstream});
      },
    };
  }

  /** Runs until the answer has ended and the attempt is closed. */
  async run(): Promise<void> {
    const {decision} = this.attempt.plan;
    this.pool.retries.earn();
    for (let turn = 0; ; turn += 1) {
      const call = await this.call(turn);
      if (call.kind === 'started') {
        const goesOn = await this.deliver(call);
        if (!goesOn) {
          return;
        }
      } else if (call.kind !== 'failed') {
        return this.giveUp(call);
      } else if (!this.noteFailure(call)) {
        return this.closeFailed(call);
      }
      if (!this.mayRetry(turn)) {
        return this.closeFailed(undefined);
      }
      this.parts.metrics.retries.inc({pool: decision.pool});
      this.note(EVENT_KIND.retried, {detail: `try ${turn + 2}`});
      await this.parts.clock.sleep(backoffMs(turn, this.parts.random));
    }
  }

  private mayRetry(turn: number): boolean {
    const {request} = this.attempt.plan;
    return (
      turn + 1 < MAX_ATTEMPTS &&
      this.parts.crashing.mayRetry(request) &&
      this.pool.retries.spend()
    );
  }

  // Sending

  private async call(turn: number): Promise<CallOutcome> {
    const place = await this.acquire();
    if ('kind' in place) {
      return place;
    }
    if (place.isLeaving) {
      // It began to leave while the dispatch was committed: nothing was sent.
      place[Symbol.dispose]();
      const message = 'the upstream is leaving';
      return {
        brokeOff: false,
        kind: 'failed',
        mayHaveRun: false,
        message,
        place,
      };
    }
    this.note(EVENT_KIND.dispatched, {upstream: place.upstream.name});
    const call = await this.sendHedged(place, turn);
    if (call.kind === 'failed') {
      call.place[Symbol.dispose]();
    }
    return call;
  }

  /**
   * A place on an upstream that takes one more request now. Asked last, as a permit is
   * to be used at once.
   */
  private async acquire(): Promise<Place | NoPlace | Superseded> {
    const isLeastUrgent = this.attempt.plan.decision.priority > 0;
    for (let held = 0; held < MOST_HELD_BACK; held += 1) {
      const place = await this.place();
      if ('kind' in place) {
        return place;
      }
      if (!(await this.commitDispatch(place))) {
        place.giveBack();
        return {kind: 'superseded'};
      }
      if (await this.parts.permits.admit(place, isLeastUrgent)) {
        return place;
      }
      place.giveBack();
    }
    const message = 'the upstreams take no more requests now';
    const failure = gatewayFailure('overloaded', message, 1_000);
    return {failure, kind: 'no-place'};
  }

  private async place(): Promise<Place | NoPlace> {
    const {answer, attempt, avoid} = this;
    const {decision, maxTokens, promptTokens, request} = attempt.plan;
    const placed = await this.pool.router.acquire({
      avoid,
      cost: promptTokens + maxTokens + 1,
      deadline: attempt.deadline,
      prefix: prefixBlocks(request.completion?.prompt ?? ''),
      priority: decision.priority,
      signal: answer.abandoned.signal,
      team: request.team.name,
      weight: request.team.spec.weight,
    });
    if (placed.isOk()) {
      return placed.value;
    }
    const {error} = placed;
    const code = error.kind === 'caller-gone' ? 'caller_gone' : 'overloaded';
    const retryAfterMs = 'retryAfterMs' in error ? error.retryAfterMs : 2_000;
    const failure = gatewayFailure(code, error.message, retryAfterMs);
    return {failure, kind: 'no-place'};
  }

  /**
   * Commits that a never-repeated request is about to be sent. Without a sure
   * outcome nothing may be sent.
   */
  private async commitDispatch({upstream}: Place): Promise<boolean> {
    const {attempt} = this;
    if (!attempt.plan.decision.marked || this.dispatched) {
      return true;
    }
    const record = {
      ...attemptId(attempt),
      kind: 'dispatch',
      upstream: upstream.name,
    } as const;
    const outcome = await this.parts.control.submit(record, {
      timeoutMs: ADMIT_TIMEOUT_MS,
    });
    this.dispatched = outcome.isOk() && outcome.value.kind === 'done';
    return this.dispatched;
  }

  private async sendHedged(place: Place, turn: number): Promise<Call> {
    const {decision} = this.attempt.plan;
    const request = this.callRequest();
    const {signal} = this.answer.abandoned;
    const first = callUpstream(this.callParts, place, request, signal);
    if (!decision.hedge || decision.marked || turn > 0) {
      return first;
    }
    const stop = new AbortController();
    const slow = await Promise.race([
      first.then(() => false),
      this.parts.clock
        .sleep(Math.min(this.pool.hedge.afterMs, 1e9), stop.signal)
        .then(() => true),
    ]);
    stop.abort();
    if (!slow || !this.pool.hedge.spend()) {
      return first;
    }
    return this.race(first, place, request);
  }

  /** Sends the request to a second upstream; the first answer wins. */
  private async race(
    first: Promise<Call>,
    firstPlace: Place,
    request: CallRequest,
  ): Promise<Call> {
    this.avoid.add(firstPlace.upstream.name);
    const second = await this.acquire();
    if ('kind' in second) {
      return first;
    }
    this.parts.metrics.hedges.inc({pool: this.attempt.plan.decision.pool});
    const {signal} = this.answer.abandoned;
    const hedged = callUpstream(this.callParts, second, request, signal);
    const winner = await Promise.race([
      first.then((call) => (call.kind === 'started' ? call : hedged)),
      hedged.then((call) => (call.kind === 'started' ? call : first)),
    ]);
    for (const call of [first, hedged]) {
      void call.then((ended) => endLoser(ended, winner));
    }
    return winner;
  }

  private callRequest(): CallRequest {
    const {decision, maxTokens, request} = this.attempt.plan;
    const {completion, headers, method, path} = request;
    if (completion === undefined) {
      const body = request.body.length > 0 ? request.body : undefined;
      return {
        body,
        failsOnError: !decision.marked,
        fresh: decision.marked,
        headers,
        method,
        path,
      };
    }
    const {chunks, text} = this.bill;
    const left = Math.max(1, maxTokens - chunks);
    const body =
      chunks === 0
        ? upstreamBody(completion, maxTokens, decision.priority)
        : continuationBody(completion, text, left, decision.priority);
    return {
      body,
      failsOnError: true,
      fresh: decision.marked,
      headers: {...headers, 'content-type': JSON_TYPE},
      method,
      path,
    };
  }

  // Delivering

  /** Delivers an answer; true when it broke off and may go on elsewhere. */
  private async deliver(call: StartedCall): Promise<boolean> {
    using _place = call.place;
    this.mayHaveRun = true;
    const {request} = this.attempt.plan;
    const {completion} = request;
    this.pool.hedge.observe(call.firstMs);
    if (completion !== undefined) {
      const {name} = call.place.upstream;
      this.pool.prefixes.learn(name, prefixBlocks(completion.prompt));
      this.parts.metrics.firstToken.observe(
        {pool: this.attempt.plan.decision.pool},
        call.firstMs / 1_000,
      );
    }
    const streams = completion?.stream === true && call.answer.status === 200;
    const whole = streams
      ? await this.deliverStream(call)
      : await this.deliverBody(call);
    if (whole) {
      this.noteServed(call);
      return false;
    }
    if (this.answer.abandoned.signal.aborted) {
      await this.closeAbandoned();
      return false;
    }
    call.place.failed();
    this.parts.crashing.broke(call.place.upstream, request);
    this.avoid.add(call.place.upstream.name);
    if (this.attempt.plan.decision.marked) {
      await this.closeUnknown();
      return false;
    }
    return true;
  }

  /** Reads the whole body, bills, then gives it to the caller. */
  private async deliverBody(call: StartedCall): Promise<boolean> {
    const parts: Uint8Array[] = [];
    let length = 0;
    try {
      for await (const bytes of bytesOf(call)) {
        parts.push(bytes);
        length += bytes.length;
        if (length > MAX_ANSWER_BYTES) {
          call.abort();
          return false;
        }
      }
    } catch {
      return false;
    }
    const body = Buffer.concat(parts);
    const {status} = call.answer;
    const contentType = call.answer.headers['content-type'] ?? JSON_TYPE;
    const keeps = body.length <= MAX_KEPT_ANSWER_BYTES;
    const billed = await this.parts.settlement.settle(
      this.attempt,
      'settled',
      this.bill.chargeForBody(status, body),
      keeps ? {body, contentType, status} : undefined,
    );
    this.answer.billed = billed;
    const head = {billed, contentType, outcome: OUTCOME.ran, status};
    this.answer.start(head);
    void this.answer.append(body);
    this.answer.finish({kind: 'whole'});
    return true;
  }

  /** Passes events on as they come; the end only after billing. */
  private async deliverStream(call: StartedCall): Promise<boolean> {
    const stream = new CompletionStream();
    let done = false;
    try {
      for await (const bytes of bytesOf(call)) {
        let output = '';
        for (const event of stream.push(bytes)) {
          if (event.kind === 'text') {
            this.bill.addText(event.text);
            output += `data: ${event.data}\n\n`;
          } else if (event.kind === 'usage') {
            this.bill.addUsage(event.usage);
          } else {
            done = true;
          }
        }
        if (output !== '') {
          this.startStream();
          await this.answer.append(encoder.encode(output));
        }
      }
    } catch {
      done = false;
    }
    if (!done || this.answer.abandoned.signal.aborted) {
      return false;
    }
    await this.endStream();
    return true;
  }

  private noteServed({answer}: StartedCall): void {
    if (answer.status < SERVER_ERROR) {
      this.parts.crashing.served(this.attempt.plan.request);
    }
  }

  private startStream(): void {
    this.answer.start({
      billed: undefined,
      contentType: STREAM_TYPE,
      outcome: OUTCOME.ran,
      status: 200,
    });
  }

  private async endStream(): Promise<void> {
    const {completion} = this.attempt.plan.request;
    const usage = this.bill.usage();
    const charge = this.bill.charge();
    const billed = await this.parts.settlement.settleSoon(this.attempt, charge);
    this.answer.billed = billed;
    this.startStream();
    let output = '';
    if (completion?.includeUsage === true) {
      output += `data: ${usageChunk(completion.model, usage)}\n\n`;
    }
    output += `: billed ${billed ?? 'later'}\n\ndata: [DONE]\n\n`;
    void this.answer.append(encoder.encode(output));
    this.answer.finish({kind: 'whole'});
  }

  // Ending without a whole answer

  /** Notes a failed call; true when another try is safe. */
  private noteFailure(call: FailedCall): boolean {
    this.mayHaveRun ||= call.mayHaveRun;
    if (call.brokeOff) {
      const {request} = this.attempt.plan;
      this.parts.crashing.broke(call.place.upstream, request);
    }
    this.avoid.add(call.place.upstream.name);
    const gone = this.answer.abandoned.signal.aborted;
    const {marked} = this.attempt.plan.decision;
    return !gone && !(marked && call.mayHaveRun);
  }

  private async closeFailed(call: FailedCall | undefined): Promise<void> {
    const {decision, generatedKey} = this.attempt.plan;
    if (this.answer.abandoned.signal.aborted) {
      return this.closeAbandoned();
    }
    if (decision.marked && this.mayHaveRun) {
      return this.closeUnknown();
    }
    const message = call?.message ?? 'no upstream gave a whole answer';
    if (this.bill.chunks > 0) {
      // An unkeyed answer cannot be asked for again: bill what was delivered.
      await (generatedKey
        ? this.closeAbandoned()
        : this.parts.settlement.release(this.attempt));
      return this.fail(gatewayFailure('upstream_broke_off', message, 1_000));
    }
    const failure = gatewayFailure('upstream_failed', message, 1_000);
    const outcome = this.mayHaveRun ? OUTCOME.unknown : OUTCOME.notRun;
    return this.releaseAndFail({...failure, outcome});
  }

  private async giveUp(call: Exclude<CallOutcome, Call>): Promise<void> {
    if (call.kind === 'superseded') {
      const message = 'the dispatch could not be committed in time';
      const code = 'control_unavailable';
      return this.releaseAndFail(gatewayFailure(code, message, 1_000));
    }
    if (this.mayHaveRun || this.bill.chunks > 0) {
      return this.closeFailed(undefined);
    }
    return this.releaseAndFail(call.failure);
  }

  /**
   * Refuses as not run, which is true only if this attempt still held the
   * request when it was released; else another attempt may run it.
   */
  private async releaseAndFail(failure: GatewayFailure): Promise<void> {
    const released = this.parts.settlement.release(this.attempt);
    const stop = new AbortController();
    const inTime = await Promise.race([
      released,
      this.parts.clock.sleep(SETTLE_WAIT_MS, stop.signal).then(() => undefined),
    ]);
    stop.abort();
    if (inTime?.kind === 'done') {
      this.fail(failure);
    } else {
      const message = 'another attempt may run this request';
      this.fail(gatewayFailure('still_running', message, 1_000));
    }
    await released;
  }

  private async closeUnknown(): Promise<void> {
    const {reserve} = this.attempt.plan;
    await this.parts.settlement.settle(this.attempt, 'unknown', reserve);
    const message = 'the request may have run; it will not be run again';
    return this.fail(gatewayFailure('outcome_unknown', message));
  }

  /** Bills what an answer that nobody reads any more has used. */
  private async closeAbandoned(): Promise<void> {
    if (this.mayHaveRun) {
      const charge = this.bill.charge();
      await this.parts.settlement.settle(this.attempt, 'settled', charge);
    } else {
      await this.parts.settlement.release(this.attempt);
    }
    this.fail(gatewayFailure('caller_gone', 'the caller has gone'));
  }

  private fail(failure: GatewayFailure): void {
    this.answer.finish({failure, kind: 'failed'});
  }

  private note(
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

function endLoser(call: Call, winner: Call): void {
  if (call === winner) {
    return;
  }
  if (call.kind === 'started') {
    call.abort();
  }
  call.place[Symbol.dispose]();
}

function usageChunk(model: string, usage: Usage): string {
  const {completionTokens, promptTokens} = usage;
  return JSON.stringify({
    choices: [],
    model,
    object: 'chat.completion.chunk',
    usage: {
      completion_tokens: completionTokens,
      prompt_tokens: promptTokens,
      total_tokens: completionTokens + promptTokens,
    },
  });
}
