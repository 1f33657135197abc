/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Gives requests a place on an upstream of their pool: at once when there is
 * room, else in the order of the queue, or not at all when the deadline cannot
 * be met. A place ends when its lease is disposed.
 */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {UpstreamSpec} from 'puffinturn-settings';
import type {Clock, Failure} from 'shared';

import type {Choice} from './Choice';
import {Circuit} from './Circuit';
import type {Limit} from './Limit';
import {
  MAX_EJECTED_SHARE,
  MAX_WAITING,
  STANDING_MS,
  STANDING_WAIT_SHARE,
} from './RoutingConstants';
import {Upstream} from './Upstream';
import type {WaitingQueue, WaitingRequest} from './WaitingQueue';

/** A request for a place. */
export interface PlaceRequest extends Omit<WaitingRequest, 'since'> {
  readonly prefix: readonly string[];
  /** Upstreams that this request has tried. */
  readonly avoid: ReadonlySet<string>;
  /** Aborted when the caller has gone. */
  readonly signal?: AbortSignal | undefined;
}

/** Why there is no place. Nothing was sent anywhere. */
export type PlaceFailure =
  | (Failure<'overloaded'> & {readonly retryAfterMs: number})
  | Failure<'caller-gone'>
  | Failure<'no-upstream'>;

/** What a router is made of. */
export interface RouterParts {
  readonly pool: string;
  readonly clock: Clock;
  readonly choice: Choice;
  readonly limit: Limit;
  readonly queue: WaitingQueue<Waiter>;
  /** First-token target, ms. */
  readonly targetMs: number;
  /** Whether a request that cannot meet its deadline is refused early. */
  readonly refusesEarly?: boolean;
}

interface Waiter extends WaitingRequest {
  readonly request: PlaceRequest;
  readonly settle: (result: Result<Place, PlaceFailure>) => void;
}

interface Member {
  readonly upstream: Upstream;
  readonly circuit: Circuit;
}

const THROUGHPUT_SMOOTHING = 0.05;

/** A place on an upstream. */
export class Place implements Disposable {
  private ended = false;

  constructor(
    readonly upstream: Upstream,
    private readonly circuit: Circuit,
    private readonly limit: Limit,
    private readonly targetMs: number,
    private readonly onEnd: () => void,
  ) {
    upstream.inFlight += 1;
    upstream.sentSinceReport += 1;
    circuit.sent();
  }

  /** Whether the upstream takes no new work any more. */
  get isLeaving(): boolean {
    return this.upstream.leaving;
  }

  /** Notes the time to the first token or answer. */
  answered(firstTokenMs: number): void {
    this.circuit.succeeded();
    this.upstream.observe(firstTokenMs);
    this.limit.observe(this.upstream, firstTokenMs, this.targetMs);
  }

  /** Notes that the upstream failed. */
  failed(): void {
    this.circuit.failed();
  }

  /** Ends the place where nothing was sent: it tells nothing of how long requests take. */
  giveBack(): void {
    if (!this.ended) {
      this.ended = true;
      this.upstream.inFlight -= 1;
      this.upstream.sentSinceReport -= 1;
      this.circuit.unsent();
    }
  }

  [Symbol.dispose](): void {
    if (!this.ended) {
      this.ended = true;
      this.upstream.inFlight -= 1;
      this.onEnd();
    }
  }
}

/** See the module comment. */
export class Router {
  private readonly members = new Map<string, Member>();
  /** Moving average of the time between two places that end, ms. */
  private endIntervalMs: number | undefined;
  private lastEnd = 0;
  /** Since when the queue has been long without a break. */
  private longSince: number | undefined;

  constructor(private readonly parts: RouterParts) {}

  /** Upstreams that are known. */
  get upstreams(): Upstream[] {
    return [...this.members.values()].map(({upstream}) => upstream);
  }

  /** Requests that wait. */
  get waiting(): number {
    return this.parts.queue.size;
  }

  /** Takes over the declared upstreams; state of those that stay is kept. */
  declare(specs: readonly UpstreamSpec[]): void {
    const names = new Set(specs.map(({name}) => name));
    for (const name of this.members.keys()) {
      if (!names.has(name)) {
        this.members.delete(name);
      }
    }
    for (const spec of specs) {
      const known = this.members.get(spec.name);
      if (known !== undefined) {
        known.upstream.spec = spec;
        continue;
      }
      const upstream = new Upstream(this.parts.pool, spec, this.parts.clock);
      const circuit = new Circuit(this.parts.clock);
      this.members.set(spec.name, {circuit, upstream});
    }
    this.serveWaiting();
  }

  /** Marks upstreams as leaving or not, by name. */
  markLeaving(isLeaving: (name: string) => boolean): void {
    for (const {upstream} of this.members.values()) {
      upstream.leaving = isLeaving(upstream.name);
    }
    this.serveWaiting();
  }

  /** A place, at once or after a wait. */
  acquire(request: PlaceRequest): Promise<Result<Place, PlaceFailure>> {
    const usable = this.usable();
    if (usable.length === 0) {
      return Promise.resolve(err(this.unserved()));
    }
    const place = this.parts.queue.size === 0 ? this.place(request) : undefined;
    if (place !== undefined) {
      return Promise.resolve(ok(place));
    }
    const refusal = this.earlyRefusal(request);
    return refusal === undefined
      ? this.wait(request)
      : Promise.resolve(err(refusal));
  }

  /**
   * Gives free places to waiting requests. While all upstreams rest, none comes free
   * before the first rest ends, and those that wait are refused at once.
   */
  serveWaiting(): void {
    const {queue} = this.parts;
    if (queue.size > 0 && this.restLeftMs !== undefined) {
      this.refuseWaiting(this.unserved());
    }
    while (queue.size > 0 && this.hasRoom()) {
      const waiter = this.popInTime();
      if (waiter === undefined) {
        return;
      }
      const {request} = waiter;
      const place = this.place(request) ?? this.place(request, true);
      if (place === undefined) {
        queue.push(waiter);
        return;
      }
      waiter.settle(ok(place));
    }
  }

  private refuseWaiting(failure: PlaceFailure): void {
    const {queue} = this.parts;
    while (queue.size > 0) {
      queue.pop()?.settle(err(failure));
    }
  }

  /** The next waiting request; refuses those whose deadline has passed. */
  private popInTime(): Waiter | undefined {
    const {clock, queue} = this.parts;
    for (;;) {
      const waiter = queue.pop();
      if (waiter === undefined || waiter.deadline > clock.now()) {
        return waiter;
      }
      waiter.settle(err(this.overloaded('the deadline has passed')));
    }
  }

  private wait(request: PlaceRequest): Promise<Result<Place, PlaceFailure>> {
    const {clock, queue} = this.parts;
    return new Promise((resolve) => {
      const done = new AbortController();
      const {cost, deadline, priority, signal, team, weight} = request;
      const settle = (result: Result<Place, PlaceFailure>): void => {
        done.abort();
        signal?.removeEventListener('abort', giveUp);
        resolve(result);
      };
      const waiter = {
        cost,
        deadline,
        priority,
        request,
        settle,
        since: clock.now(),
        team,
        weight,
      };
      const giveUp = (): void => {
        queue.remove(waiter);
        settle(err({kind: 'caller-gone', message: 'the caller has gone'}));
      };
      signal?.addEventListener('abort', giveUp, {once: true});
      queue.push(waiter);
      void clock.sleep(deadline - clock.now(), done.signal).then(() => {
        if (queue.remove(waiter)) {
          settle(err(this.overloaded('no upstream came free in time')));
        }
      });
    });
  }

  private earlyRefusal(request: PlaceRequest): PlaceFailure | undefined {
    const {clock, queue, refusesEarly} = this.parts;
    if (refusesEarly === false) {
      return undefined;
    }
    if (queue.size >= MAX_WAITING) {
      const message = 'too many requests wait';
      if (!this.makeRoom(request, message)) {
        return this.overloaded(message);
      }
    }
    if (request.priority === 0) {
      return undefined;
    }
    // The estimate is rough: only a clear miss is refused ahead of time.
    const waitMs = queue.size * (this.endIntervalMs ?? 0);
    if (clock.now() + waitMs / 2 > request.deadline) {
      return this.overloaded('the deadline cannot be met');
    }
    const message = 'more comes than the pool can serve';
    if (!this.stands(waitMs) || this.makeRoom(request, message)) {
      return undefined;
    }
    return this.overloaded(message);
  }

  /**
   * Whether the queue has been long for a while. A burst may queue up to its
   * deadlines, but a queue that stands only makes everything late.
   */
  private stands(waitMs: number): boolean {
    const now = this.parts.clock.now();
    if (waitMs < this.parts.targetMs * STANDING_WAIT_SHARE) {
      this.longSince = undefined;
      return false;
    }
    this.longSince ??= now;
    return now - this.longSince > STANDING_MS;
  }

  /** Sheds a waiting request that matters less than a new one. */
  private makeRoom(request: PlaceRequest, message: string): boolean {
    const shed = this.parts.queue.shed(request);
    shed?.settle(err(this.overloaded(message)));
    return shed !== undefined;
  }

  /** Why there is no place while no upstream takes work. */
  private unserved(): PlaceFailure {
    const {pool} = this.parts;
    const retryAfterMs = this.restLeftMs;
    return retryAfterMs === undefined
      ? {kind: 'no-upstream', message: `no upstream of ${pool} takes work`}
      : {
          kind: 'overloaded',
          message: `all upstreams of ${pool} rest, or take no more for now`,
          retryAfterMs,
        };
  }

  private overloaded(message: string): PlaceFailure {
    const drainMs = this.parts.queue.size * (this.endIntervalMs ?? 100);
    const retryAfterMs = Math.min(30_000, Math.max(1_000, drainMs));
    return {kind: 'overloaded', message, retryAfterMs};
  }

  private place(request: PlaceRequest, again = false): Place | undefined {
    const free = this.usable().filter(({upstream}) => this.isFree(upstream));
    const untried = free.filter(
      ({upstream}) => again || !request.avoid.has(upstream.name),
    );
    if (untried.length === 0) {
      return undefined;
    }
    const context = {now: this.parts.clock.now(), prefix: request.prefix};
    const upstreams = untried.map(({upstream}) => upstream);
    const chosen = this.parts.choice.choose(upstreams, context);
    const member = untried.find(({upstream}) => upstream === chosen);
    return member && this.placeOn(member);
  }

  private placeOn({circuit, upstream}: Member): Place {
    const {limit, targetMs} = this.parts;
    return new Place(upstream, circuit, limit, targetMs, () => this.onEnd());
  }

  private onEnd(): void {
    const now = this.parts.clock.now();
    const interval = now - this.lastEnd;
    this.lastEnd = now;
    this.endIntervalMs =
      this.endIntervalMs === undefined
        ? interval
        : this.endIntervalMs +
          THROUGHPUT_SMOOTHING * (interval - this.endIntervalMs);
    this.serveWaiting();
  }

  private hasRoom(): boolean {
    return this.usable().some(({upstream}) => this.isFree(upstream));
  }

  private isFree(upstream: Upstream): boolean {
    return upstream.inFlight < this.parts.limit.allowed(upstream);
  }

  /**
   * Upstreams that take work. Circuits never take out more than a share; those that
   * leave or rest have asked for it, and get nothing.
   */
  private usable(): Member[] {
    const now = this.parts.clock.now();
    const staying = this.staying().filter(
      ({upstream}) => upstream.restsUntil <= now,
    );
    const closed = staying.filter(({circuit}) => circuit.admits);
    const fewest = Math.ceil(staying.length * (1 - MAX_EJECTED_SHARE));
    return closed.length >= fewest ? closed : staying;
  }

  private staying(): Member[] {
    return [...this.members.values()].filter(({upstream}) => !upstream.leaving);
  }

  /** Time until the first one takes work again, ms; undefined unless all rest. */
  private get restLeftMs(): number | undefined {
    const untils = this.staying().map(({upstream}) => upstream.restsUntil);
    const left = Math.min(...untils) - this.parts.clock.now();
    return untils.length > 0 && left > 0 ? left : undefined;
  }
}
