/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Assigns requests to the upstreams of one pool. Requests are queued while no upstream has
 * a free slot, and rejected when they cannot meet their deadline.
 */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {UpstreamSpec} from 'puffinturn-settings';
import type {Clock, Failure} from 'shared';

import {CircuitBreaker} from './CircuitBreaker';
import type {ConcurrencyLimit} from './ConcurrencyLimit';
import type {LoadBalancer} from './LoadBalancer';
import type {QueuedRequest, RequestQueue} from './RequestQueue';
import {
  MAX_EJECTED_SHARE,
  MAX_QUEUED_REQUESTS,
  STANDING_QUEUE_MS,
  STANDING_QUEUE_WAIT_SHARE,
} from './RoutingConstants';
import {Upstream} from './Upstream';

/** A request for a slot on an upstream. */
export interface AcquireRequest extends Omit<QueuedRequest, 'enqueuedAt'> {
  /** Hashes of the blocks of the prompt; each also covers the blocks before it. */
  readonly blockHashes: readonly string[];
  /** Names of the upstreams that this request has already tried. */
  readonly triedUpstreams: ReadonlySet<string>;
  /** Aborted when the caller disconnects. */
  readonly signal?: AbortSignal | undefined;
}

/** Why no slot was assigned. The request was not sent. */
export type AcquireFailure =
  | (Failure<'overloaded'> & {readonly retryAfterMs: number})
  | Failure<'caller-gone'>
  | Failure<'no-upstream'>;

/** Dependencies and settings of a router. */
export interface RouterParts {
  readonly pool: string;
  readonly clock: Clock;
  readonly loadBalancer: LoadBalancer;
  readonly concurrencyLimit: ConcurrencyLimit;
  readonly queue: RequestQueue<Waiter>;
  /** Target of the time to first token, ms. */
  readonly targetMs: number;
  /** Whether a request that cannot meet its deadline is rejected early; true by default. */
  readonly rejectsEarly?: boolean;
}

/** A queued request and the callback that settles its promise. */
interface Waiter extends QueuedRequest {
  readonly request: AcquireRequest;
  readonly settle: (result: Result<UpstreamSlot, AcquireFailure>) => void;
}

interface UpstreamEntry {
  readonly upstream: Upstream;
  readonly circuitBreaker: CircuitBreaker;
}

const RELEASE_INTERVAL_EWMA_WEIGHT = 0.05;

/** A slot on an upstream for one request; disposal releases it. */
export class UpstreamSlot implements Disposable {
  private isReleased = false;

  constructor(
    readonly upstream: Upstream,
    private readonly circuitBreaker: CircuitBreaker,
    private readonly concurrencyLimit: ConcurrencyLimit,
    private readonly targetMs: number,
    private readonly onRelease: () => void,
  ) {
    upstream.inFlight += 1;
    upstream.sentSinceReport += 1;
    circuitBreaker.recordRequest();
  }

  /** Whether the upstream is draining. */
  get isDraining(): boolean {
    return this.upstream.isDraining;
  }

  /** Records the time to the first token or response. */
  recordFirstToken(firstTokenMs: number): void {
    this.circuitBreaker.recordSuccess();
    this.upstream.recordFirstToken(firstTokenMs);
    this.concurrencyLimit.recordFirstToken(
      this.upstream,
      firstTokenMs,
      this.targetMs,
    );
  }

  /** Records a failure of the upstream. */
  recordFailure(): void {
    this.circuitBreaker.recordFailure();
  }

  /** Releases the slot without a request, which leaves the release interval unchanged. */
  cancel(): void {
    if (!this.isReleased) {
      this.isReleased = true;
      this.upstream.inFlight -= 1;
      this.upstream.sentSinceReport -= 1;
      this.circuitBreaker.cancelRequest();
    }
  }

  [Symbol.dispose](): void {
    if (!this.isReleased) {
      this.isReleased = true;
      this.upstream.inFlight -= 1;
      this.onRelease();
    }
  }
}

/** Assigns requests to the upstreams of one pool. */
export class Router {
  private readonly entries = new Map<string, UpstreamEntry>();
  /** EWMA of the time between two releases of slots, ms. */
  private releaseIntervalMs: number | undefined;
  private lastReleaseAt = 0;
  /** Start of the period in which the queue has been long, ms. */
  private standingSince: number | undefined;

  constructor(private readonly parts: RouterParts) {}

  /** All upstreams of the pool. */
  get upstreams(): Upstream[] {
    return [...this.entries.values()].map(({upstream}) => upstream);
  }

  /** Number of queued requests. */
  get queuedCount(): number {
    return this.parts.queue.size;
  }

  /** Sets the upstreams of the pool; those that remain keep their state. */
  setUpstreams(specs: readonly UpstreamSpec[]): void {
    const names = new Set(specs.map(({name}) => name));
    for (const name of this.entries.keys()) {
      if (!names.has(name)) {
        this.entries.delete(name);
      }
    }
    for (const spec of specs) {
      const existing = this.entries.get(spec.name);
      if (existing !== undefined) {
        existing.upstream.spec = spec;
        continue;
      }
      const upstream = new Upstream(this.parts.pool, spec, this.parts.clock);
      const circuitBreaker = new CircuitBreaker(this.parts.clock);
      this.entries.set(spec.name, {circuitBreaker, upstream});
    }
    this.dispatchQueued();
  }

  /** Sets which upstreams are draining. */
  markDraining(isDraining: (name: string) => boolean): void {
    for (const {upstream} of this.entries.values()) {
      upstream.isDraining = isDraining(upstream.name);
    }
    this.dispatchQueued();
  }

  /** Resolves with a slot at once or after queueing, or with the reason of the rejection. */
  acquire(
    request: AcquireRequest,
  ): Promise<Result<UpstreamSlot, AcquireFailure>> {
    const available = this.getAvailableEntries();
    if (available.length === 0) {
      return Promise.resolve(err(this.unavailableFailure()));
    }
    const slot =
      this.parts.queue.size === 0 ? this.tryReserve(request) : undefined;
    if (slot !== undefined) {
      return Promise.resolve(ok(slot));
    }
    const failure = this.checkAdmission(request);
    return failure === undefined
      ? this.enqueue(request)
      : Promise.resolve(err(failure));
  }

  /** Assigns free slots to queued requests; rejects them all if all upstreams are paused. */
  dispatchQueued(): void {
    const {queue} = this.parts;
    if (queue.size > 0 && this.remainingPauseMs !== undefined) {
      this.rejectQueued(this.unavailableFailure());
    }
    while (queue.size > 0 && this.hasCapacity()) {
      const waiter = this.popUnexpired();
      if (waiter === undefined) {
        return;
      }
      const {request} = waiter;
      const slot = this.tryReserve(request) ?? this.tryReserve(request, true);
      if (slot === undefined) {
        queue.push(waiter);
        return;
      }
      waiter.settle(ok(slot));
    }
  }

  private rejectQueued(failure: AcquireFailure): void {
    const {queue} = this.parts;
    while (queue.size > 0) {
      queue.pop()?.settle(err(failure));
    }
  }

  /** Removes and returns the next request; rejects those whose deadline has passed. */
  private popUnexpired(): Waiter | undefined {
    const {clock, queue} = this.parts;
    for (;;) {
      const waiter = queue.pop();
      if (waiter === undefined || waiter.deadline > clock.now()) {
        return waiter;
      }
      waiter.settle(err(this.overloadedFailure('the deadline has passed')));
    }
  }

  private enqueue(
    request: AcquireRequest,
  ): Promise<Result<UpstreamSlot, AcquireFailure>> {
    const {clock, queue} = this.parts;
    return new Promise((resolve) => {
      const {cost, deadline, priority, signal, team, weight} = request;
      const settle = (result: Result<UpstreamSlot, AcquireFailure>): void => {
        timer[Symbol.dispose]();
        signal?.removeEventListener('abort', onAbort);
        resolve(result);
      };
      const waiter = {
        cost,
        deadline,
        enqueuedAt: clock.now(),
        priority,
        request,
        settle,
        team,
        weight,
      };
      const onAbort = (): void => {
        queue.remove(waiter);
        settle(err({kind: 'caller-gone', message: 'the caller has gone'}));
      };
      const timer = clock.startTimer(deadline - clock.now(), () => {
        if (queue.remove(waiter)) {
          settle(err(this.overloadedFailure('no upstream came free in time')));
        }
      });
      signal?.addEventListener('abort', onAbort, {once: true});
      queue.push(waiter);
    });
  }

  /** Returns the failure of a request that is rejected early. */
  private checkAdmission(request: AcquireRequest): AcquireFailure | undefined {
    const {clock, queue, rejectsEarly} = this.parts;
    if (rejectsEarly === false) {
      return undefined;
    }
    if (queue.size >= MAX_QUEUED_REQUESTS) {
      const message = 'too many requests wait';
      if (!this.shedLessUrgent(request, message)) {
        return this.overloadedFailure(message);
      }
    }
    if (request.priority === 0) {
      return undefined;
    }
    // The estimate is rough: reject only if half of it exceeds the deadline.
    const waitMs = queue.size * (this.releaseIntervalMs ?? 0);
    if (clock.now() + waitMs / 2 > request.deadline) {
      return this.overloadedFailure('the deadline cannot be met');
    }
    const message = 'more comes than the pool can serve';
    if (
      !this.isQueueStanding(waitMs) ||
      this.shedLessUrgent(request, message)
    ) {
      return undefined;
    }
    return this.overloadedFailure(message);
  }

  /**
   * Whether the queue has been long for some time. A burst may queue, but a standing queue
   * only delays every request.
   */
  private isQueueStanding(waitMs: number): boolean {
    const now = this.parts.clock.now();
    if (waitMs < this.parts.targetMs * STANDING_QUEUE_WAIT_SHARE) {
      this.standingSince = undefined;
      return false;
    }
    this.standingSince ??= now;
    return now - this.standingSince > STANDING_QUEUE_MS;
  }

  /** Sheds a queued request that is less important than a new one; false if there is none. */
  private shedLessUrgent(request: AcquireRequest, message: string): boolean {
    const victim = this.parts.queue.shed(request);
    victim?.settle(err(this.overloadedFailure(message)));
    return victim !== undefined;
  }

  /** Failure of a request while no upstream is available. */
  private unavailableFailure(): AcquireFailure {
    const {pool} = this.parts;
    const retryAfterMs = this.remainingPauseMs;
    return retryAfterMs === undefined
      ? {kind: 'no-upstream', message: `no upstream of ${pool} takes work`}
      : {
          kind: 'overloaded',
          message: `all upstreams of ${pool} rest, or take no more for now`,
          retryAfterMs,
        };
  }

  private overloadedFailure(message: string): AcquireFailure {
    const queueTimeMs = this.parts.queue.size * (this.releaseIntervalMs ?? 100);
    const retryAfterMs = Math.min(30_000, Math.max(1_000, queueTimeMs));
    return {kind: 'overloaded', message, retryAfterMs};
  }

  private tryReserve(
    request: AcquireRequest,
    includesTried = false,
  ): UpstreamSlot | undefined {
    const free = this.getAvailableEntries().filter(({upstream}) =>
      this.hasFreeSlot(upstream),
    );
    const candidates = free.filter(
      ({upstream}) =>
        includesTried || !request.triedUpstreams.has(upstream.name),
    );
    if (candidates.length === 0) {
      return undefined;
    }
    const context = {
      blockHashes: request.blockHashes,
      now: this.parts.clock.now(),
    };
    const upstreams = candidates.map(({upstream}) => upstream);
    const selected = this.parts.loadBalancer.select(upstreams, context);
    const entry = candidates.find(({upstream}) => upstream === selected);
    return entry && this.reserve(entry);
  }

  private reserve({circuitBreaker, upstream}: UpstreamEntry): UpstreamSlot {
    const {concurrencyLimit, targetMs} = this.parts;
    return new UpstreamSlot(
      upstream,
      circuitBreaker,
      concurrencyLimit,
      targetMs,
      () => this.onRelease(),
    );
  }

  private onRelease(): void {
    const now = this.parts.clock.now();
    const intervalMs = now - this.lastReleaseAt;
    this.lastReleaseAt = now;
    this.releaseIntervalMs =
      this.releaseIntervalMs === undefined
        ? intervalMs
        : this.releaseIntervalMs +
          RELEASE_INTERVAL_EWMA_WEIGHT * (intervalMs - this.releaseIntervalMs);
    this.dispatchQueued();
  }

  private hasCapacity(): boolean {
    return this.getAvailableEntries().some(({upstream}) =>
      this.hasFreeSlot(upstream),
    );
  }

  private hasFreeSlot(upstream: Upstream): boolean {
    return (
      upstream.inFlight < this.parts.concurrencyLimit.maxInFlight(upstream)
    );
  }

  /**
   * Upstreams that are not draining, paused or excluded by an open circuit. If open circuits
   * would exclude too many, none is excluded by its circuit.
   */
  private getAvailableEntries(): UpstreamEntry[] {
    const now = this.parts.clock.now();
    const active = this.getActiveEntries().filter(
      ({upstream}) => upstream.pausedUntil <= now,
    );
    const admitted = active.filter(
      ({circuitBreaker}) => circuitBreaker.allowsRequest,
    );
    const minAvailable = Math.ceil(active.length * (1 - MAX_EJECTED_SHARE));
    return admitted.length >= minAvailable ? admitted : active;
  }

  private getActiveEntries(): UpstreamEntry[] {
    return [...this.entries.values()].filter(
      ({upstream}) => !upstream.isDraining,
    );
  }

  /** Time until the first pause ends, ms; undefined unless all upstreams are paused. */
  private get remainingPauseMs(): number | undefined {
    const pauseEnds = this.getActiveEntries().map(
      ({upstream}) => upstream.pausedUntil,
    );
    const remainingMs = Math.min(...pauseEnds) - this.parts.clock.now();
    return pauseEnds.length > 0 && remainingMs > 0 ? remainingMs : undefined;
  }
}
