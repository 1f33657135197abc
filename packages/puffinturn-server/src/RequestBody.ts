/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The body of one request, held within the limits of its server. */
import type {IncomingMessage} from 'node:http';

import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Clock, Failure, ReadSource} from 'shared';
import {ChunkCollector, readScheduler} from 'shared';

import type {BodyBudget, BodyEviction} from './BodyBudget';
import {BODY_EVICTION, UnfinishedBody} from './BodyBudget';
import {PacedRequest} from './PacedRequest';

/** Why a body could not be read as a whole. */
export type BodyFailure =
  | Failure<'body-broken'>
  | Failure<'body-no-room'>
  | Failure<'body-stalled'>
  | Failure<'body-too-large'>;

/** How a request is refused whose body can't be read. */
export interface BodyRefusal {
  readonly status: number;
  /** When its client may come back, s; undefined if it would be refused again. */
  readonly retryAfterS: number | undefined;
}

/** Refusals by failure; none of these requests has run. */
export const BODY_REFUSALS = {
  'body-no-room': {retryAfterS: 1, status: 503},
  'body-stalled': {retryAfterS: 1, status: 408},
  'body-too-large': {retryAfterS: undefined, status: 413},
} as const satisfies Record<
  Exclude<BodyFailure['kind'], 'body-broken'>,
  BodyRefusal
>;

/** Dependencies of a body; the same for all bodies of a server. */
export interface RequestBodyParts {
  readonly budget: BodyBudget;
  readonly clock: Clock;
  /** Called once if the server gives the body up for lack of memory or progress. */
  readonly onEvicted: (reason: BodyEviction) => void;
  /** Called when a body came in too many pieces at once. */
  readonly onSuspended: () => void;
}

/**
 * What is read and dropped of a body after it was given up, bytes. Covers what is under way
 * when its client gets the response.
 */
const MAX_DROPPED_BYTES = 1_024 * 1_024;

const NO_BODY: Result<Buffer, BodyFailure> = ok(Buffer.alloc(0));

const EVICTION_FAILURE: Readonly<Record<BodyEviction, BodyFailure>> = {
  [BODY_EVICTION.noRoom]: {
    kind: 'body-no-room',
    message: 'no memory for the request body',
  },
  [BODY_EVICTION.stalled]: {
    kind: 'body-stalled',
    message: 'the request body has stood still',
  },
};

/** Collects the body from the arrival of the request, so that small chunks don't pile up. */
export class RequestBody extends UnfinishedBody implements ReadSource {
  private static readonly bodies = new WeakMap<IncomingMessage, RequestBody>();
  readonly startedAt: number;
  lastBytesAt: number;
  private readonly chunks = new ChunkCollector();
  /** Memory that the budget counts for this body, bytes. */
  private countedBytes = 0;
  private receivedBytes = 0;
  private droppedBytes = 0;
  /** Undefined while the body is collected. */
  private result: Result<Buffer, BodyFailure> | undefined;
  private maxBytes = Infinity;
  private hasArrived = false;
  private onResult: () => void = () => undefined;
  private onArrived: () => void = () => undefined;

  private constructor(
    private readonly incoming: IncomingMessage,
    private readonly parts: RequestBodyParts,
  ) {
    super();
    this.startedAt = parts.clock.now();
    this.lastBytesAt = this.startedAt;
  }

  /** Starts to collect the body of a request, if it has one. */
  static collect(
    incoming: IncomingMessage,
    parts: RequestBodyParts,
  ): RequestBody {
    const body = new RequestBody(incoming, parts);
    RequestBody.bodies.set(incoming, body);
    if (announcesBody(incoming)) {
      body.start();
    } else {
      body.hasArrived = true;
      body.result = NO_BODY;
    }
    return body;
  }

  /** The body of a request; undefined if its server does not limit bodies. */
  static of(incoming: IncomingMessage): RequestBody | undefined {
    return RequestBody.bodies.get(incoming);
  }

  get memoryBytes(): number {
    return this.countedBytes;
  }

  /** Whether nothing of the body is left to arrive; true after a broken connection. */
  get isComplete(): boolean {
    return this.hasArrived;
  }

  /** Returns the whole body, or fails if it is longer than `maxBytes`. Call once. */
  read(maxBytes: number): Promise<Result<Buffer, BodyFailure>> {
    this.maxBytes = Math.min(maxBytes, this.parts.budget.maxHeldBytes);
    const length = Number(this.incoming.headers['content-length'] ?? 0);
    if (Math.max(length, this.receivedBytes) > this.maxBytes) {
      const failure = bodyTooLarge(this.maxBytes);
      this.giveUp(failure);
      return Promise.resolve(err(failure));
    }
    const {result} = this;
    if (result !== undefined) {
      return Promise.resolve(result);
    }
    return new Promise((resolve) => {
      this.onResult = () => resolve(this.result ?? err(BROKEN));
    });
  }

  /** Drops what is held; a reader gets a failure. What still arrives is not kept. */
  discard(): void {
    if (!this.hasArrived) {
      this.giveUp(BROKEN);
    }
  }

  suspendReading(): void {
    if (this.incoming instanceof PacedRequest) {
      this.incoming.suspendReading();
    }
  }

  resumeReading(): void {
    if (this.incoming instanceof PacedRequest) {
      this.incoming.resumeReading();
    }
  }

  onCostlyReads(): void {
    this.parts.onSuspended();
  }

  evict(reason: BodyEviction): void {
    this.giveUp(EVICTION_FAILURE[reason]);
    this.parts.onEvicted(reason);
  }

  /** Gives the memory back, after the response. */
  release(): void {
    this.discard();
    this.result = err(BROKEN);
    this.count(0);
  }

  /** Resolves when the body has arrived, or its connection has closed. */
  awaitArrival(): Promise<void> {
    return this.hasArrived
      ? Promise.resolve()
      : new Promise((resolve) => (this.onArrived = resolve));
  }

  // Uses event handlers because async iteration over a stream is slower.
  private start(): void {
    const {incoming, parts} = this;
    parts.budget.add(this);
    incoming.on('data', (chunk: Buffer) => this.receive(chunk));
    incoming.once('end', () => this.end());
    incoming.once('close', () => {
      this.giveUp(BROKEN);
      this.arrive();
    });
    incoming.on('error', () => undefined);
  }

  private receive(chunk: Buffer): void {
    readScheduler.record(this, {bytes: chunk.length, pieces: 1, tookMs: 0});
    this.receivedBytes += chunk.length;
    if (this.result !== undefined) {
      this.drop(chunk);
      return;
    }
    if (this.receivedBytes > this.maxBytes) {
      this.giveUp(bodyTooLarge(this.maxBytes));
      return;
    }
    this.lastBytesAt = this.parts.clock.now();
    this.chunks.append(chunk);
    this.count(this.chunks.memoryBytes);
  }

  private drop(chunk: Buffer): void {
    this.droppedBytes += chunk.length;
    if (this.droppedBytes > MAX_DROPPED_BYTES) {
      this.incoming.socket.destroy();
    }
  }

  private end(): void {
    if (this.result === undefined) {
      const body = this.chunks.take();
      this.settle(ok(body));
      this.count(body.length);
    }
    this.arrive();
  }

  private arrive(): void {
    this.hasArrived = true;
    this.onArrived();
  }

  private giveUp(failure: BodyFailure): void {
    if (this.result !== undefined) {
      return;
    }
    this.chunks.clear();
    this.settle(err(failure));
    this.count(0);
  }

  private settle(result: Result<Buffer, BodyFailure>): void {
    this.result = result;
    this.parts.budget.remove(this);
    this.onResult();
  }

  private count(bytes: number): void {
    const change = bytes - this.countedBytes;
    this.countedBytes = bytes;
    this.parts.budget.change(change);
  }
}

/** Describes a body that is longer than it may be. */
export function bodyTooLarge(maxBytes: number): BodyFailure {
  return {
    kind: 'body-too-large',
    message: `request body exceeds the limit of ${maxBytes} bytes`,
  };
}

const BROKEN: BodyFailure = {
  kind: 'body-broken',
  message: 'connection closed before the end of the request body',
};

function announcesBody({headers}: IncomingMessage): boolean {
  return (
    Number(headers['content-length'] ?? 0) > 0 ||
    headers['transfer-encoding'] !== undefined
  );
}
