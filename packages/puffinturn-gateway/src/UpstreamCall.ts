/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Sends a request to one upstream and waits for the first bytes. */
import type {Upstream, UpstreamSlot} from 'puffinturn-routing';
import type {Clock} from 'shared';
import {collectChunks, unavailableRetryAfterMs} from 'shared';

import {
  LEAVING_HEADER,
  NOT_RUN_HEADER,
  RATE_LIMIT_HEADER,
} from './GatewayConstants';
import type {UpstreamClient, UpstreamResponse} from './UpstreamClient';

/** A response whose first bytes have arrived. */
export interface StartedCall {
  readonly kind: 'started';
  readonly slot: UpstreamSlot;
  readonly response: UpstreamResponse;
  readonly firstChunk: IteratorResult<Uint8Array>;
  readonly remainingChunks: AsyncIterator<Uint8Array>;
  readonly firstByteMs: number;
  /** Cancels the call. */
  readonly abort: () => void;
}

/** A call without a usable response. */
export interface FailedCall {
  readonly kind: 'failed';
  readonly slot: UpstreamSlot;
  /** False only if the upstream certainly did not run the request. */
  readonly mayHaveRun: boolean;
  /** Whether the connection was lost after the request was sent. */
  readonly isConnectionLost: boolean;
  readonly message: string;
}

/** The result of a call up to the first bytes of its response. */
export type UpstreamCall = FailedCall | StartedCall;

/** A request to an upstream, without its address. */
export interface CallRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Uint8Array | undefined;
  readonly useNewConnection: boolean;
  /** Whether a response with status 500 or higher counts as a failure. */
  readonly rejectsServerErrors: boolean;
}

/** Dependencies of a call. */
export interface CallParts {
  readonly client: UpstreamClient;
  readonly clock: Clock;
  readonly onLeaving: (pool: string, upstream: string) => void;
  /** Called when an upstream asks with Retry-After for no requests during this time. */
  readonly onRetryAfter: (upstream: string, retryAfterMs: number) => void;
  /** Called when the rate limit announced by an upstream has changed. */
  readonly onRateLimitChange: (upstream: Upstream) => void;
}

export const MIN_SERVER_ERROR_STATUS = 500;

/** Sends a request to the upstream of a slot. */
export async function callUpstream(
  parts: CallParts,
  slot: UpstreamSlot,
  request: CallRequest,
  signal: AbortSignal,
): Promise<UpstreamCall> {
  const {client, clock} = parts;
  const {rejectsServerErrors, ...upstreamRequest} = request;
  const abortController = new AbortController();
  const sentAt = clock.now();
  const result = await client.send({
    ...upstreamRequest,
    signal: AbortSignal.any([signal, abortController.signal]),
    url: slot.upstream.spec.url,
  });
  if (result.isErr()) {
    const {kind, message} = result.error;
    if (!signal.aborted) {
      slot.recordFailure();
    }
    const mayHaveRun = kind === 'broken';
    const isConnectionLost = mayHaveRun && !signal.aborted;
    return {...createFailedCall(slot, mayHaveRun, message), isConnectionLost};
  }
  const response = result.value;
  processHeaders(parts, slot, response, sentAt);
  if (response.headers[NOT_RUN_HEADER] === 'true') {
    abortController.abort();
    return createFailedCall(slot, false, 'the upstream did not take it');
  }
  if (rejectsServerErrors && response.status >= MIN_SERVER_ERROR_STATUS) {
    abortController.abort();
    slot.recordFailure();
    return createFailedCall(
      slot,
      true,
      `the upstream answered ${response.status}`,
    );
  }
  const iterator = response.body[Symbol.asyncIterator]();
  const firstChunk = await iterator.next().catch(() => undefined);
  if (firstChunk === undefined) {
    slot.recordFailure();
    return {
      ...createFailedCall(slot, true, 'the upstream broke off'),
      isConnectionLost: true,
    };
  }
  const firstByteMs = clock.now() - sentAt;
  slot.recordFirstToken(firstByteMs);
  return {
    abort: () => abortController.abort(),
    response,
    firstChunk,
    firstByteMs,
    kind: 'started',
    slot,
    remainingChunks: iterator,
  };
}

function createFailedCall(
  slot: UpstreamSlot,
  mayHaveRun: boolean,
  message: string,
): FailedCall {
  return {isConnectionLost: false, kind: 'failed', mayHaveRun, message, slot};
}

function processHeaders(
  {clock, onLeaving, onRateLimitChange, onRetryAfter}: CallParts,
  {upstream}: UpstreamSlot,
  {headers, status}: UpstreamResponse,
  sentAt: number,
): void {
  if (headers[LEAVING_HEADER] === 'true') {
    onLeaving(upstream.pool, upstream.name);
  }
  const retryAfterMs = unavailableRetryAfterMs(status, headers['retry-after']);
  if (retryAfterMs !== undefined) {
    upstream.pauseUntil(clock.now() + retryAfterMs);
    onRetryAfter(upstream.name, retryAfterMs);
  }
  const rateLimit = headers[RATE_LIMIT_HEADER];
  if (
    upstream.rateLimit.recordResponse({headerValue: rateLimit, sentAt, status})
  ) {
    onRateLimitChange(upstream);
  }
  const running = Number(headers['puffinturn-running']);
  const waiting = Number(headers['puffinturn-waiting']);
  if (Number.isSafeInteger(running) && Number.isSafeInteger(waiting)) {
    upstream.recordLoadReport({receivedAt: clock.now(), running, waiting});
  }
}

/** Reads all chunks of the body; throws if the connection is lost. */
export async function* readChunks(
  call: StartedCall,
): AsyncGenerator<Uint8Array> {
  if (call.firstChunk.done === true) {
    return;
  }
  yield call.firstChunk.value;
  for (;;) {
    const result = await call.remainingChunks.next();
    if (result.done === true) {
      return;
    }
    yield result.value;
  }
}

/**
 * Reads the complete body of a response. Returns undefined if the connection is lost, or if
 * the body is longer than `maxBytes`, which cancels the call.
 */
export async function readBody(
  call: StartedCall,
  maxBytes: number,
): Promise<Buffer | undefined> {
  try {
    const body = await collectChunks(readChunks(call), maxBytes);
    if (body === undefined) {
      call.abort();
    }
    return body;
  } catch {
    return undefined;
  }
}
