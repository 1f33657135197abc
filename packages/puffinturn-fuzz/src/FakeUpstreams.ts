/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Upstreams in memory that count what they really execute. */
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

import {FASTEST_CLOCK} from './ClockRates';

/** How an upstream behaves. */
export const MODE = {
  /** Executes, then the connection ends in the middle of the answer. */
  breakAfter: 'break-after',
  /** Executes, then the connection ends before the answer. */
  breakBefore: 'break-before',
  /** Executes, and ends for a while under each request. */
  crash: 'crash',
  /** Executes and never answers. */
  hang: 'hang',
  /** Says that it is leaving and executes nothing. */
  leaving: 'leaving',
  /** Executes, and names how many requests a second it takes from all boxes. */
  limited: 'limited',
  ok: 'ok',
  /** Takes no connections. */
  refuse: 'refuse',
  /** Turns requests away, asks for rest, and executes nothing. */
  resting: 'resting',
  slow: 'slow',
} as const;

/** One of MODE. */
export type Mode = (typeof MODE)[keyof typeof MODE];

/** One execution at an upstream. */
export interface Execution {
  readonly url: string;
  /** What the request's body names itself. */
  readonly name: string;
  readonly at: number;
}

const LATENCY_MS = 20;

/** What an upstream asks for when it turns a request away, s. */
export const REST_S = 4;

/** That rest by the clock of a box that runs as fast as any here, ms. */
const SHORTEST_REST_MS = (REST_S * 1_000) / FASTEST_CLOCK;

/** What a limited upstream names, requests a second. */
export const LIMIT_PER_S = 1;

/** The span in which its requests are counted, ms, and the most that it may get. */
const LIMIT_SPAN_MS = 4_000;
const MOST_IN_SPAN = (1.5 * LIMIT_PER_S * LIMIT_SPAN_MS) / 1_000 + 5;

/** Boxes have this time from the first answer that names a limit, ms. */
const LIMIT_FIRST_MS = 3_000;

/** Requests count from boxes that had got such an answer for so long, ms. */
const LIMIT_HEARD_MS = 500;

/** Requests that were on their way when an upstream asked for rest, ms. */
const CROSSING_MS = 500;
const SLOW_MS = 2_500;

/** How long an upstream that crashed takes no connections, ms. */
const CRASHED_MS = 800;
const encoder = new TextEncoder();

/** All upstreams of a run. */
export class UpstreamWorld {
  /** Addresses that got a request of a box that they had asked for rest. */
  readonly disturbed: string[] = [];
  /** Addresses that got more requests than they had said that they take. */
  readonly overrun: string[] = [];
  /** When limited upstreams named their limit first, by address. */
  private readonly limitedSince = new Map<string, number>();
  /** When they got requests that count. */
  private readonly limitedArrivals = new Map<string, number[]>();
  /** Every execution, in order. */
  readonly executions: Execution[] = [];
  private readonly modes = new Map<string, Mode>();
  private readonly crashedUntil = new Map<string, number>();

  constructor(readonly clock: Clock) {}

  /** Changes how an upstream behaves. */
  setMode(url: string, mode: Mode): void {
    this.modes.set(url, mode);
    if (mode !== MODE.limited) {
      this.limitedSince.delete(url);
      this.limitedArrivals.delete(url);
    }
  }

  /** Notes a request to a limited upstream, of a box that heard its limit then. */
  arrivedAtLimited(url: string, heardAt: number | undefined): void {
    const now = this.clock.now();
    const since = this.limitedSince.get(url) ?? now;
    this.limitedSince.set(url, since);
    const counts =
      heardAt !== undefined &&
      heardAt >= since &&
      now >= heardAt + LIMIT_HEARD_MS &&
      now >= since + LIMIT_FIRST_MS;
    if (!counts) {
      return;
    }
    const before = this.limitedArrivals.get(url) ?? [];
    const inSpan = [...before.filter((at) => at > now - LIMIT_SPAN_MS), now];
    this.limitedArrivals.set(url, inSpan);
    if (inSpan.length > MOST_IN_SPAN) {
      this.overrun.push(`${url} got ${inSpan.length} at ${now} ms`);
    }
  }

  /** How an upstream behaves. */
  modeOf(url: string): Mode {
    const crashedUntil = this.crashedUntil.get(url) ?? -Infinity;
    return this.clock.now() < crashedUntil
      ? MODE.refuse
      : (this.modes.get(url) ?? MODE.ok);
  }

  /** Ends an upstream for a while. */
  crash(url: string): void {
    this.crashedUntil.set(url, this.clock.now() + CRASHED_MS);
  }

  /** All upstreams work again. */
  repair(): void {
    this.modes.clear();
  }

  /** Executions by name. */
  countOf(name: string): number {
    return this.executions.filter((one) => one.name === name).length;
  }
}

/** The client of one life of one box. */
export class WorldClient extends UpstreamClient {
  private readonly ended = new AbortController();
  /** When upstreams asked this life of the box for rest last. */
  private readonly askedForRestAt = new Map<string, number>();
  /** When upstreams named a limit to this life of the box first. */
  private readonly heardLimitAt = new Map<string, number>();

  constructor(
    private readonly world: UpstreamWorld,
    /** Stops a frozen box from sending. */
    private readonly gate: () => Promise<void>,
  ) {
    super();
  }

  override send(
    request: UpstreamRequest,
  ): ResultAsync<UpstreamResponse, UpstreamFailure> {
    return new Async(this.exchange(request));
  }

  override async probe(url: string): Promise<ListenerState> {
    await this.gate();
    return this.world.modeOf(url) === MODE.refuse
      ? LISTENER_STATE.refused
      : LISTENER_STATE.listening;
  }

  override async [Symbol.asyncDispose](): Promise<void> {
    this.ended.abort();
  }

  private turnAway(url: string): UpstreamResponse {
    const now = this.world.clock.now();
    const passedMs = now - (this.askedForRestAt.get(url) ?? -Infinity);
    if (passedMs > CROSSING_MS && passedMs < SHORTEST_REST_MS) {
      this.world.disturbed.push(url);
    }
    this.askedForRestAt.set(url, now);
    const headers = {
      'puffinturn-not-run': 'true',
      'retry-after': String(REST_S),
    };
    return {body: bodyOf([]), headers, status: 503};
  }

  private async exchange(request: UpstreamRequest) {
    const {clock} = this.world;
    await this.gate();
    if (this.ended.signal.aborted) {
      return err<UpstreamResponse, UpstreamFailure>(failure('not-sent'));
    }
    const mode = this.world.modeOf(request.url);
    if (mode === MODE.refuse) {
      return err<UpstreamResponse, UpstreamFailure>(failure('not-sent'));
    }
    await clock.sleep(LATENCY_MS / 2);
    if (mode === MODE.leaving) {
      const headers = {
        'puffinturn-leaving': 'true',
        'puffinturn-not-run': 'true',
      };
      return ok<UpstreamResponse, UpstreamFailure>({
        body: bodyOf([]),
        headers,
        status: 503,
      });
    }
    if (mode === MODE.resting) {
      return ok<UpstreamResponse, UpstreamFailure>(this.turnAway(request.url));
    }
    if (mode === MODE.limited) {
      const heardAt = this.heardLimitAt.get(request.url);
      this.world.arrivedAtLimited(request.url, heardAt);
    }
    const body = JSON.parse(String(Buffer.from(request.body ?? '{}')));
    this.execute(request.url, nameIn(body));
    await clock.sleep(mode === MODE.slow ? SLOW_MS : LATENCY_MS / 2);
    if (mode === MODE.hang) {
      await untilAborted(request.signal, clock);
    }
    if (mode === MODE.crash) {
      this.world.crash(request.url);
      return err<UpstreamResponse, UpstreamFailure>(failure('broken'));
    }
    if (mode === MODE.breakBefore || request.signal.aborted) {
      return err<UpstreamResponse, UpstreamFailure>(failure('broken'));
    }
    return ok<UpstreamResponse, UpstreamFailure>({
      body: this.answerBody(body, mode),
      headers: {
        'content-type': 'application/json',
        ...this.limitHeaders(request.url, mode),
      },
      status: 200,
    });
  }

  private limitHeaders(url: string, mode: Mode): Record<string, string> {
    if (mode !== MODE.limited) {
      this.heardLimitAt.delete(url);
      return {};
    }
    const heardAt = this.heardLimitAt.get(url) ?? this.world.clock.now();
    this.heardLimitAt.set(url, heardAt);
    return {'puffinturn-limit': String(LIMIT_PER_S)};
  }

  private execute(url: string, name: string): void {
    const at = this.world.clock.now();
    this.world.executions.push({at, name, url});
  }

  private answerBody(
    body: Record<string, unknown>,
    mode: Mode,
  ): AsyncIterable<Uint8Array> {
    const parts =
      body.stream === true
        ? streamParts(body)
        : [encoder.encode(JSON.stringify({echo: nameIn(body)}))];
    return mode === MODE.breakAfter
      ? brokenBody(parts.slice(0, Math.floor(parts.length / 2)))
      : bodyOf(parts);
  }
}

function failure(kind: 'broken' | 'not-sent'): UpstreamFailure {
  return {kind, message: kind};
}

/** Time after which a client gives up on an upstream that hangs, ms. */
const CLIENT_TIMEOUT_MS = 20_000;

async function untilAborted(signal: AbortSignal, clock: Clock): Promise<void> {
  await clock.sleep(CLIENT_TIMEOUT_MS, signal);
}

/** The name that a body gives its request. */
export function nameIn(body: Record<string, unknown>): string {
  const messages = body.messages as {content: string}[] | undefined;
  return String(body.order ?? messages?.[0]?.content ?? '');
}

/** Tokens that every stream has. */
export const STREAM_TOKENS = 6;

function streamParts(body: Record<string, unknown>): Uint8Array[] {
  const messages = body.messages as {content: string; role: string}[];
  const last = messages.at(-1);
  const continues = body.continue_final_message === true;
  const made = continues
    ? (last?.content.split(' ').filter(Boolean).length ?? 0)
    : 0;
  const parts: string[] = [];
  for (let token = made; token < STREAM_TOKENS; token += 1) {
    const choices = [{delta: {content: `${nameIn(body)}.${token} `}}];
    parts.push(`data: ${JSON.stringify({choices})}\n\n`);
  }
  const usage = {
    completion_tokens: STREAM_TOKENS - made,
    prompt_tokens: 5,
  };
  parts.push(`data: ${JSON.stringify({choices: [], usage})}\n\n`);
  parts.push('data: [DONE]\n\n');
  return parts.map((part) => encoder.encode(part));
}

async function* bodyOf(
  parts: readonly Uint8Array[],
): AsyncGenerator<Uint8Array> {
  yield* parts;
}

async function* brokenBody(
  parts: readonly Uint8Array[],
): AsyncGenerator<Uint8Array> {
  yield* parts;
  throw new Error('the connection ended');
}
