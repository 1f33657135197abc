/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** One try at an upstream: sent, then waited for up to its first bytes. */
import type {Place, Upstream} from 'puffinturn-routing';
import type {Clock} from 'shared';
import {restMsOf} from 'shared';

import {LEAVING_HEADER, LIMIT_HEADER, NOT_RUN_HEADER} from './GatewayConstants';
import type {UpstreamAnswer, UpstreamClient} from './UpstreamClient';

/** An answer whose first bytes are here. */
export interface StartedCall {
  readonly kind: 'started';
  readonly place: Place;
  readonly answer: UpstreamAnswer;
  readonly first: IteratorResult<Uint8Array>;
  readonly rest: AsyncIterator<Uint8Array>;
  readonly firstMs: number;
  /** Ends the call early. */
  readonly abort: () => void;
}

/** A call without a usable answer. */
export interface FailedCall {
  readonly kind: 'failed';
  readonly place: Place;
  /** False only when the upstream has certainly not run it. */
  readonly mayHaveRun: boolean;
  /** Whether the connection broke after the request was sent. */
  readonly brokeOff: boolean;
  readonly message: string;
}

/** How a call ended or went on. */
export type Call = FailedCall | StartedCall;

/** What to send. */
export interface CallRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Uint8Array | undefined;
  readonly fresh: boolean;
  /** Whether an answer of status 500 or more counts as a failure. */
  readonly failsOnError: boolean;
}

/** What a call needs. */
export interface CallParts {
  readonly client: UpstreamClient;
  readonly clock: Clock;
  readonly onLeaving: (pool: string, upstream: string) => void;
  /** An upstream asked this box for no requests for so long. */
  readonly onRest: (upstream: string, restMs: number) => void;
  /** What an upstream says of its limit has changed. */
  readonly onLimit: (upstream: Upstream) => void;
}

/** The least status that says that the upstream failed. */
export const SERVER_ERROR = 500;

/** Sends a request to the upstream of a place. */
export async function callUpstream(
  parts: CallParts,
  place: Place,
  request: CallRequest,
  signal: AbortSignal,
): Promise<Call> {
  const {client, clock} = parts;
  const {failsOnError, ...rest} = request;
  const stop = new AbortController();
  const sentAt = clock.now();
  const sent = await client.send({
    ...rest,
    signal: AbortSignal.any([signal, stop.signal]),
    url: place.upstream.spec.url,
  });
  if (sent.isErr()) {
    const {kind, message} = sent.error;
    if (!signal.aborted) {
      place.failed();
    }
    const isBroken = kind === 'broken';
    const brokeOff = isBroken && !signal.aborted;
    return {...failed(place, isBroken, message), brokeOff};
  }
  const answer = sent.value;
  noteHeaders(parts, place, answer, sentAt);
  if (answer.headers[NOT_RUN_HEADER] === 'true') {
    stop.abort();
    return failed(place, false, 'the upstream did not take it');
  }
  if (failsOnError && answer.status >= SERVER_ERROR) {
    stop.abort();
    place.failed();
    return failed(place, true, `the upstream answered ${answer.status}`);
  }
  const iterator = answer.body[Symbol.asyncIterator]();
  const first = await iterator.next().catch(() => undefined);
  if (first === undefined) {
    place.failed();
    return {...failed(place, true, 'the upstream broke off'), brokeOff: true};
  }
  const firstMs = clock.now() - sentAt;
  place.answered(firstMs);
  return {
    abort: () => stop.abort(),
    answer,
    first,
    firstMs,
    kind: 'started',
    place,
    rest: iterator,
  };
}

function failed(
  place: Place,
  mayHaveRun: boolean,
  message: string,
): FailedCall {
  return {brokeOff: false, kind: 'failed', mayHaveRun, message, place};
}

function noteHeaders(
  {clock, onLeaving, onLimit, onRest}: CallParts,
  {upstream}: Place,
  {headers, status}: UpstreamAnswer,
  sentAt: number,
): void {
  if (headers[LEAVING_HEADER] === 'true') {
    onLeaving(upstream.pool, upstream.name);
  }
  const restMs = restMsOf(status, headers['retry-after']);
  if (restMs !== undefined) {
    upstream.restsAtLeastUntil(clock.now() + restMs);
    onRest(upstream.name, restMs);
  }
  const named = headers[LIMIT_HEADER];
  if (upstream.limits.hearAnswer({named, sentAt, status})) {
    onLimit(upstream);
  }
  const running = Number(headers['puffinturn-running']);
  const waiting = Number(headers['puffinturn-waiting']);
  if (Number.isSafeInteger(running) && Number.isSafeInteger(waiting)) {
    upstream.reportLoad({at: clock.now(), running, waiting});
  }
}

/** The first bytes and all that follow; throws when the body breaks off. */
export async function* bytesOf(call: StartedCall): AsyncGenerator<Uint8Array> {
  if (call.first.done === true) {
    return;
  }
  yield call.first.value;
  for (;;) {
    const next = await call.rest.next();
    if (next.done === true) {
      return;
    }
    yield next.value;
  }
}
