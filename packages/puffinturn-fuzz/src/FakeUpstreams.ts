/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** In-memory upstreams that record each execution. */
import type {ResultAsync} from 'neverthrow';
import {err, ok, ResultAsync as Async} from 'neverthrow';
import type {
  UpstreamFailure,
  UpstreamRequest,
  UpstreamResponse,
} from 'puffinturn-gateway';
import {UpstreamClient} from 'puffinturn-gateway';
import type {ListenerState} from 'puffinturn-quarantine';
import {LISTENER_STATE} from 'puffinturn-quarantine';
import type {Clock} from 'shared';

import {FASTEST_CLOCK_RATE} from './ClockRates';

/** Behaviours of a fake upstream. */
export const MODE = {
  /** Executes the request, then closes the connection in the middle of the response. */
  breakAfter: 'break-after',
  /** Executes the request, then closes the connection before the response. */
  breakBefore: 'break-before',
  /** Executes the request, crashes, and is down for CRASH_DOWNTIME_MS. */
  crash: 'crash',
  /** Executes the request and never responds. */
  hang: 'hang',
  /** Rejects requests with the header of a draining upstream. */
  leaving: 'leaving',
  /** Executes the request and announces a rate limit shared by all boxes. */
  limited: 'limited',
  ok: 'ok',
  /** Refuses connections. */
  refuse: 'refuse',
  /** Rejects requests with a Retry-After header. */
  resting: 'resting',
  slow: 'slow',
} as const;

/** A value of MODE. */
export type Mode = (typeof MODE)[keyof typeof MODE];

/** A request executed by an upstream. */
export interface Execution {
  readonly url: string;
  /** Name of the request, taken from its body. */
  readonly name: string;
  readonly atMs: number;
}

const LATENCY_MS = 20;

/** Value of the Retry-After header, s. */
export const RETRY_AFTER_S = 4;

/** Duration of a RETRY_AFTER_S back-off on the box with the fastest clock, ms. */
const MIN_RETRY_AFTER_MS = (RETRY_AFTER_S * 1_000) / FASTEST_CLOCK_RATE;

/** Rate limit that a limited upstream announces, requests per second. */
export const RATE_LIMIT_PER_S = 1;

/** Length of the sliding window in which requests are counted, ms. */
const RATE_WINDOW_MS = 4_000;
/** Allows short bursts above the rate limit. */
const MAX_REQUESTS_PER_WINDOW =
  (1.5 * RATE_LIMIT_PER_S * RATE_WINDOW_MS) / 1_000 + 5;

/** Requests this soon after the first announcement of the limit aren't counted, ms. */
const RATE_LIMIT_START_GRACE_MS = 3_000;

/** Requests this soon after the first limit sent to their box aren't counted, ms. */
const RATE_LIMIT_BOX_GRACE_MS = 500;

/** Requests that arrive this soon after a Retry-After response were in flight, ms. */
const IN_FLIGHT_GRACE_MS = 500;
const SLOW_LATENCY_MS = 2_500;

/** Time for which a crashed upstream refuses connections, ms. */
const CRASH_DOWNTIME_MS = 800;
const encoder = new TextEncoder();

/** All fake upstreams of a run. */
export class FakeUpstreams {
  /** URLs that got a request from a box during the back-off they had asked it for. */
  readonly retryAfterViolations: string[] = [];
  /** Descriptions of upstreams that got more requests than their rate limit allows. */
  readonly rateLimitViolations: string[] = [];
  /** Time at which each limited upstream first announced its limit, ms, by URL. */
  private readonly limitAnnouncedAt = new Map<string, number>();
  /** Arrival times of the requests that the rate check counts, ms, by URL. */
  private readonly countedArrivals = new Map<string, number[]>();
  /** All executions, in order. */
  readonly executions: Execution[] = [];
  private readonly modes = new Map<string, Mode>();
  private readonly crashedUntil = new Map<string, number>();

  constructor(readonly clock: Clock) {}

  /** Sets the behaviour of an upstream. */
  setMode(url: string, mode: Mode): void {
    this.modes.set(url, mode);
    if (mode !== MODE.limited) {
      this.limitAnnouncedAt.delete(url);
      this.countedArrivals.delete(url);
    }
  }

  /** Records a request to a limited upstream and checks the rate limit. */
  recordLimitedRequest(url: string, limitReceivedAt: number | undefined): void {
    const now = this.clock.now();
    const announcedAt = this.limitAnnouncedAt.get(url) ?? now;
    this.limitAnnouncedAt.set(url, announcedAt);
    const isCounted =
      limitReceivedAt !== undefined &&
      limitReceivedAt >= announcedAt &&
      now >= limitReceivedAt + RATE_LIMIT_BOX_GRACE_MS &&
      now >= announcedAt + RATE_LIMIT_START_GRACE_MS;
    if (!isCounted) {
      return;
    }
    const previousArrivals = this.countedArrivals.get(url) ?? [];
    const arrivalsInWindow = [
      ...previousArrivals.filter((at) => at > now - RATE_WINDOW_MS),
      now,
    ];
    this.countedArrivals.set(url, arrivalsInWindow);
    if (arrivalsInWindow.length > MAX_REQUESTS_PER_WINDOW) {
      this.rateLimitViolations.push(
        `${url} got ${arrivalsInWindow.length} at ${now} ms`,
      );
    }
  }

  /** The current behaviour of an upstream; one that has crashed refuses connections. */
  getMode(url: string): Mode {
    const crashedUntil = this.crashedUntil.get(url) ?? -Infinity;
    return this.clock.now() < crashedUntil
      ? MODE.refuse
      : (this.modes.get(url) ?? MODE.ok);
  }

  /** Makes an upstream refuse connections for CRASH_DOWNTIME_MS. */
  crash(url: string): void {
    this.crashedUntil.set(url, this.clock.now() + CRASH_DOWNTIME_MS);
  }

  /** Returns all upstreams to normal behaviour. */
  repair(): void {
    this.modes.clear();
  }

  /** Number of executions of the named request. */
  countExecutions(name: string): number {
    return this.executions.filter((execution) => execution.name === name)
      .length;
  }
}

/** The upstream client of one incarnation of a box. */
export class FakeUpstreamClient extends UpstreamClient {
  private readonly disposal = new AbortController();
  /** Time of the last Retry-After response to this incarnation, ms, by URL. */
  private readonly lastRetryAfterAt = new Map<string, number>();
  /** Time of the first rate limit sent to this incarnation, ms, by URL. */
  private readonly limitReceivedAt = new Map<string, number>();

  constructor(
    private readonly upstreams: FakeUpstreams,
    /** Prevents a frozen box from sending. */
    private readonly waitUntilResumed: () => Promise<void>,
  ) {
    super();
  }

  override send(
    request: UpstreamRequest,
  ): ResultAsync<UpstreamResponse, UpstreamFailure> {
    return new Async(this.sendRequest(request));
  }

  override async probe(url: string): Promise<ListenerState> {
    await this.waitUntilResumed();
    return this.upstreams.getMode(url) === MODE.refuse
      ? LISTENER_STATE.refused
      : LISTENER_STATE.listening;
  }

  override async [Symbol.asyncDispose](): Promise<void> {
    this.disposal.abort();
  }

  private rejectWithRetryAfter(url: string): UpstreamResponse {
    const now = this.upstreams.clock.now();
    const elapsedMs = now - (this.lastRetryAfterAt.get(url) ?? -Infinity);
    if (elapsedMs > IN_FLIGHT_GRACE_MS && elapsedMs < MIN_RETRY_AFTER_MS) {
      this.upstreams.retryAfterViolations.push(url);
    }
    this.lastRetryAfterAt.set(url, now);
    const headers = {
      'puffinturn-not-run': 'true',
      'retry-after': String(RETRY_AFTER_S),
    };
    return {body: createBody([]), headers, status: 503};
  }

  private async sendRequest(request: UpstreamRequest) {
    const {clock} = this.upstreams;
    await this.waitUntilResumed();
    if (this.disposal.signal.aborted) {
      return err<UpstreamResponse, UpstreamFailure>(createFailure('not-sent'));
    }
    const mode = this.upstreams.getMode(request.url);
    if (mode === MODE.refuse) {
      return err<UpstreamResponse, UpstreamFailure>(createFailure('not-sent'));
    }
    await clock.sleep(LATENCY_MS / 2);
    if (mode === MODE.leaving) {
      const headers = {
        'puffinturn-leaving': 'true',
        'puffinturn-not-run': 'true',
      };
      return ok<UpstreamResponse, UpstreamFailure>({
        body: createBody([]),
        headers,
        status: 503,
      });
    }
    if (mode === MODE.resting) {
      return ok<UpstreamResponse, UpstreamFailure>(
        this.rejectWithRetryAfter(request.url),
      );
    }
    if (mode === MODE.limited) {
      const receivedAt = this.limitReceivedAt.get(request.url);
      this.upstreams.recordLimitedRequest(request.url, receivedAt);
    }
    const body = JSON.parse(String(Buffer.from(request.body ?? '{}')));
    this.recordExecution(request.url, requestName(body));
    await clock.sleep(mode === MODE.slow ? SLOW_LATENCY_MS : LATENCY_MS / 2);
    if (mode === MODE.hang) {
      await waitForAbort(request.signal, clock);
    }
    if (mode === MODE.crash) {
      this.upstreams.crash(request.url);
      return err<UpstreamResponse, UpstreamFailure>(createFailure('broken'));
    }
    if (mode === MODE.breakBefore || request.signal.aborted) {
      return err<UpstreamResponse, UpstreamFailure>(createFailure('broken'));
    }
    return ok<UpstreamResponse, UpstreamFailure>({
      body: this.responseBody(body, mode),
      headers: {
        'content-type': 'application/json',
        ...this.rateLimitHeaders(request.url, mode),
      },
      status: 200,
    });
  }

  private rateLimitHeaders(url: string, mode: Mode): Record<string, string> {
    if (mode !== MODE.limited) {
      this.limitReceivedAt.delete(url);
      return {};
    }
    const receivedAt =
      this.limitReceivedAt.get(url) ?? this.upstreams.clock.now();
    this.limitReceivedAt.set(url, receivedAt);
    return {'puffinturn-limit': String(RATE_LIMIT_PER_S)};
  }

  private recordExecution(url: string, name: string): void {
    const atMs = this.upstreams.clock.now();
    this.upstreams.executions.push({atMs, name, url});
  }

  private responseBody(
    body: Record<string, unknown>,
    mode: Mode,
  ): AsyncIterable<Uint8Array> {
    const parts =
      body.stream === true
        ? createStreamEvents(body)
        : [encoder.encode(JSON.stringify({echo: requestName(body)}))];
    return mode === MODE.breakAfter
      ? createInterruptedBody(parts.slice(0, Math.floor(parts.length / 2)))
      : createBody(parts);
  }
}

function createFailure(kind: 'broken' | 'not-sent'): UpstreamFailure {
  return {kind, message: kind};
}

/** Time after which a client closes a connection that got no response, ms. */
const CLIENT_TIMEOUT_MS = 20_000;

async function waitForAbort(signal: AbortSignal, clock: Clock): Promise<void> {
  await clock.sleep(CLIENT_TIMEOUT_MS, signal);
}

/** Reads the name of a request from its body. */
export function requestName(body: Record<string, unknown>): string {
  const messages = body.messages as {content: string}[] | undefined;
  return String(body.order ?? messages?.[0]?.content ?? '');
}

/** Number of tokens in a complete stream. */
export const STREAM_TOKENS = 6;

function createStreamEvents(body: Record<string, unknown>): Uint8Array[] {
  const messages = body.messages as {content: string; role: string}[];
  const lastMessage = messages.at(-1);
  const isContinuation = body.continue_final_message === true;
  const generatedTokens = isContinuation
    ? (lastMessage?.content.split(' ').filter(Boolean).length ?? 0)
    : 0;
  const parts: string[] = [];
  for (let token = generatedTokens; token < STREAM_TOKENS; token += 1) {
    const choices = [{delta: {content: `${requestName(body)}.${token} `}}];
    parts.push(`data: ${JSON.stringify({choices})}\n\n`);
  }
  const usage = {
    completion_tokens: STREAM_TOKENS - generatedTokens,
    prompt_tokens: 5,
  };
  parts.push(`data: ${JSON.stringify({choices: [], usage})}\n\n`);
  parts.push('data: [DONE]\n\n');
  return parts.map((part) => encoder.encode(part));
}

async function* createBody(
  parts: readonly Uint8Array[],
): AsyncGenerator<Uint8Array> {
  yield* parts;
}

async function* createInterruptedBody(
  parts: readonly Uint8Array[],
): AsyncGenerator<Uint8Array> {
  yield* parts;
  throw new Error('connection closed before the end of the response body');
}
