/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** One incarnation of an upstream, as seen by an edge. */
import type {DecisionLog} from 'puffinturn-decisions';
import type {UpstreamRecord} from 'puffinturn-fleet';
import {UPSTREAM_STATE, upstreamVersion} from 'puffinturn-fleet';
import {RateLimitTracker} from 'puffinturn-permits';
import type {Clock} from 'shared';
import {hash32} from 'shared';

import {ConnectionPool} from '../connections/ConnectionPool';
import {CostlyReadLog} from '../connections/CostlyReadLog';
import {
  FAILURES_BEFORE_BACKOFF,
  INITIAL_BACKOFF_MS,
  MAX_BACKOFF_MS,
  NO_CAPACITY_BACKOFF_MS,
} from '../EdgeConstants';
import {CachedPrefixes} from './CachedPrefixes';
import {PrefillSpeed} from './PrefillSpeed';
import {ResponseTime} from './ResponseTime';

/** Cause of a pause after a failed connection attempt. */
const UNREACHABLE = 'unreachable';

/** Weight of one response in the error rate, from 0 to 1. */
const ERROR_WEIGHT = 0.08;

/**
 * Time for which a later incarnation is not sent to after a drain notice that it has
 * probably sent itself, ms. By its end the drain has been reported by other means. Bounded,
 * because start times come from the clocks of upstreams, which may be wrong: an upstream
 * that started after the notice is then out of service for this time only.
 */
const INHERITED_DRAIN_MS = 10_000;

/**
 * Maximum time from the start of an incarnation to a drain notice that it inherits, ms. An
 * edge has mostly heard of an earlier start, so that the clock of the upstream is likelier to
 * be wrong.
 */
const MAX_UNREPORTED_START_MS = 10_000;

/** A response that announced the drain of an upstream. */
interface DrainNotice {
  /** When it was received, Unix ms. */
  readonly receivedAt: number;
  /** Until when a later incarnation may count as its sender, monotonic ms. */
  readonly inheritableUntil: number;
}

/**
 * The record, load, health and connections of one incarnation of an upstream. A new
 * incarnation gets a new EdgeUpstream, so that no request is sent over a connection to
 * the previous process. Disposing it closes all its connections.
 */
export class EdgeUpstream implements Disposable {
  /** Requests of this edge that the upstream is serving. */
  inFlight = 0;
  /** Prompt tokens sent by this edge for which no response event has arrived yet. */
  pendingTokens = 0;
  readonly connections: ConnectionPool;
  /** Hash of the id, for rendezvous hashing. */
  readonly hash: number;
  /** Prompt prefixes that the upstream is assumed to have cached. */
  readonly cachedPrefixes = new CachedPrefixes();
  /** Observed prefill speed, which includes the load of other callers. */
  readonly prefillSpeed: PrefillSpeed;
  /** Observed response time, which includes the load of other callers. */
  readonly responseTime: ResponseTime;
  /** The request rate limit that the upstream states. */
  readonly limits: RateLimitTracker;
  readonly host: string;
  readonly port: number;
  /**
   * Moving average of the share of responses that were upstream errors, from 0 to 1.
   */
  errorRate = 0;
  /** Whether a new incarnation replaced this one without a drain being announced. */
  isSuperseded = false;
  private consecutiveFailures = 0;
  private hasAnnouncedDrain = false;
  /** The latest response that announced the drain of this upstream. */
  private drainNotice: DrainNotice | undefined;
  /** A notice of the previous incarnation that this one has probably sent. */
  private inheritedDrainNotice: DrainNotice | undefined;
  private wasDraining: boolean;
  private deregisteredAt: number | undefined;
  /** When this edge last found that the process had crashed, monotonic ms. */
  private crashedAt = -Infinity;
  private backoffUntil = -Infinity;
  private coldUntil = -Infinity;
  private pausedUntil = -Infinity;
  private wasReplaced = false;
  private hasResponded = false;
  /** Cause of the last pause; undefined since the last success. */
  private pauseCause: string | undefined;
  private recordReceivedAt: number;

  constructor(
    private latestRecord: UpstreamRecord,
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    /** Called when the upstream stops serving while its record still says `ready`. */
    private readonly onStopServing: () => void = () => undefined,
    /** Called at the first complete response, which shows that it has its address. */
    private readonly onFirstResponse: () => void = () => undefined,
  ) {
    const record = latestRecord;
    this.recordReceivedAt = clock.now();
    this.wasDraining = record.state === UPSTREAM_STATE.draining;
    this.hash = hash32(record.id);
    this.responseTime = new ResponseTime(clock);
    this.prefillSpeed = new PrefillSpeed(clock);
    this.limits = new RateLimitTracker(clock);
    const separator = record.address.lastIndexOf(':');
    this.host = record.address.slice(0, separator);
    this.port = Number(record.address.slice(separator + 1));
    const costlyReads = new CostlyReadLog(record.id, clock, log);
    this.connections = new ConnectionPool({
      clock,
      host: this.host,
      maxIdle: record.slots,
      onCostlyReads: (load) => costlyReads.record(load),
      port: this.port,
    });
  }

  get id(): string {
    return this.record.id;
  }

  /** Software version; UNKNOWN_VERSION if the upstream reports none. */
  get version(): string {
    return upstreamVersion(this.record);
  }

  /** The latest record of the upstream. */
  get record(): UpstreamRecord {
    return this.latestRecord;
  }

  /** Replaces the record by one that this edge has just received. */
  updateRecord(record: UpstreamRecord): void {
    this.wasDraining ||= record.state === UPSTREAM_STATE.draining;
    this.latestRecord = record;
    this.recordReceivedAt = this.clock.now();
  }

  /** Time since this edge received the record, ms. */
  get recordAgeMs(): number {
    return Math.round(this.clock.now() - this.recordReceivedAt);
  }

  /** Records that the upstream itself said that it ends. */
  markDeregistered(): void {
    this.deregisteredAt ??= this.clock.now();
  }

  get hasDeregistered(): boolean {
    return this.deregisteredAt !== undefined;
  }

  /** Records that the process of this incarnation was found to have crashed. */
  markCrashed(): void {
    this.crashedAt = this.clock.now();
  }

  /** Whether a crash was found at or after `since`, monotonic ms. */
  hasCrashedSince(since: number): boolean {
    return this.crashedAt >= since;
  }

  /**
   * Whether the upstream may have ended in order. One that announced a drain deregisters
   * at its end; any other one serves for `drainMs` after it deregistered.
   */
  mayHaveShutDown(drainMs: number): boolean {
    if (this.deregisteredAt === undefined) {
      return false;
    }
    const deregisteredMs = this.clock.now() - this.deregisteredAt;
    return (
      this.wasDraining || this.hasAnnouncedDrain || deregisteredMs >= drainMs
    );
  }

  /** Marks an upstream that was removed from the pool as gone. */
  markGone(): void {
    this.latestRecord = {...this.latestRecord, state: UPSTREAM_STATE.gone};
  }

  /** Whether the upstream is in service. */
  get isServing(): boolean {
    return !this.isLeaving && !this.wasReplaced;
  }

  /** Whether a request may be sent now: the upstream serves and asked for no back-off. */
  get mayBeSentTo(): boolean {
    return this.isServing && this.remainingBackoffMs === 0;
  }

  /** Whether the upstream is warming up and takes only a limited request rate. */
  get isCold(): boolean {
    return this.clock.now() < this.coldUntil;
  }

  /** Extends the warm-up to at least the given time of the monotonic clock, ms. */
  markCold(until: number): void {
    this.coldUntil = Math.max(this.coldUntil, until);
  }

  /** Whether the upstream is temporarily excluded from load balancing. */
  get isPaused(): boolean {
    return this.clock.now() < this.pausedUntil;
  }

  /** Whether the upstream is paused because no connection to it could be established. */
  get isUnreachable(): boolean {
    return this.pauseCause === UNREACHABLE && this.isPaused;
  }

  /** Ends a pause whose failures turned out not to be those of the upstream. */
  endPause(): void {
    this.consecutiveFailures = 0;
    this.pausedUntil = -Infinity;
  }

  /** Whether the last requests failed several times in a row. */
  get isFailing(): boolean {
    return this.consecutiveFailures >= FAILURES_BEFORE_BACKOFF;
  }

  /** Records a complete error response, which may be caused by the request itself. */
  recordErrorResponse(): void {
    this.errorRate += (1 - this.errorRate) * ERROR_WEIGHT;
  }

  /** Records a complete successful response and ends any pause. */
  recordSuccess(): void {
    if (!this.hasResponded) {
      this.hasResponded = true;
      this.onFirstResponse();
    }
    this.errorRate -= this.errorRate * ERROR_WEIGHT;
    if (this.pauseCause !== undefined) {
      this.pauseCause = undefined;
      this.logHealth(true, 'answered');
    }
    this.consecutiveFailures = 0;
    this.pausedUntil = -Infinity;
  }

  /** Records a failed connection attempt and pauses the upstream. */
  recordConnectFailure(): void {
    this.consecutiveFailures = Math.max(
      FAILURES_BEFORE_BACKOFF,
      this.consecutiveFailures + 1,
    );
    this.pause(UNREACHABLE);
  }

  /**
   * Records a truncated, corrupt or error response; pauses the upstream after several
   * in a row.
   */
  recordFailure(cause: string): void {
    this.consecutiveFailures += 1;
    if (this.consecutiveFailures >= FAILURES_BEFORE_BACKOFF) {
      this.pause(cause);
    }
  }

  /**
   * Records a request that was rejected for lack of capacity, and pauses the upstream
   * briefly.
   */
  recordFull(): void {
    this.responseTime.recordFull();
    this.pausedUntil = Math.max(
      this.pausedUntil,
      this.clock.now() + NO_CAPACITY_BACKOFF_MS,
    );
  }

  /**
   * Remaining time, ms, for which the upstream requested a back-off or an inherited drain
   * notice holds; 0 if there is none.
   */
  get remainingBackoffMs(): number {
    const drainUntil = this.inheritedDrainNotice?.inheritableUntil ?? -Infinity;
    const until = Math.max(this.backoffUntil, drainUntil);
    return Math.max(0, until - this.clock.now());
  }

  /**
   * Starts or extends a back-off that the upstream requested. Unlike a pause, it isn't
   * ended by a successful request, and it holds even if no other upstream is left. Without
   * it, an upstream that rejected a request got the next one 0.23 s later in the median.
   * Returns false if a back-off was already in effect.
   */
  startBackoff(durationMs: number): boolean {
    const isStart = this.remainingBackoffMs === 0;
    this.backoffUntil = Math.max(
      this.backoffUntil,
      this.clock.now() + durationMs,
    );
    return isStart;
  }

  /**
   * Records that a response announced the drain of the upstream. A later heartbeat
   * doesn't reverse this, because it may have been sent before the announcement, or come
   * from a control box that was not told: edges that did not get the news went on for 5 s.
   * Returns false if the upstream was already draining.
   */
  markDraining(): boolean {
    const wasServing = !this.isLeaving;
    this.drainNotice = {
      inheritableUntil: this.clock.now() + INHERITED_DRAIN_MS,
      receivedAt: this.clock.wallTime(),
    };
    if (!this.hasAnnouncedDrain) {
      this.hasAnnouncedDrain = true;
      this.onStopServing();
    }
    return wasServing;
  }

  /** Copies the response signals of the same incarnation from its previous address. */
  inheritStateFrom(previous: EdgeUpstream | undefined): void {
    if (previous !== undefined) {
      this.inheritBackoffAndLimitFrom(previous);
      this.hasAnnouncedDrain = previous.hasAnnouncedDrain;
      this.drainNotice = previous.drainNotice;
      this.inheritedDrainNotice = previous.inheritedDrainNotice;
    }
  }

  /**
   * Copies the response signals that may come from this incarnation, from a previous one:
   * responses don't identify the incarnation, and this edge may have heard of this one
   * only after it had responded.
   */
  inheritSignalsFrom(previous: EdgeUpstream): void {
    this.inheritBackoffAndLimitFrom(previous);
    const notice = previous.drainNotice ?? previous.inheritedDrainNotice;
    if (notice !== undefined && this.mayHaveSent(notice, previous)) {
      this.inheritedDrainNotice = notice;
    }
  }

  /** Whether a drain notice that counted for a previous incarnation holds for this one. */
  get hasInheritedDrain(): boolean {
    return this.inheritedDrainNotice !== undefined;
  }

  private inheritBackoffAndLimitFrom(previous: EdgeUpstream): void {
    this.backoffUntil = previous.backoffUntil;
    this.limits.copyFrom(previous.limits);
  }

  /**
   * Whether this incarnation had started at the same address shortly before a notice came. It
   * must then have sent the notice, as its predecessor had ended.
   */
  private mayHaveSent(
    {receivedAt}: DrainNotice,
    {record: {address}}: EdgeUpstream,
  ): boolean {
    const startedMs = receivedAt - (this.record.bornAt ?? -Infinity);
    return (
      startedMs >= 0 &&
      startedMs <= MAX_UNREPORTED_START_MS &&
      address === this.record.address
    );
  }

  /**
   * Identifies this incarnation among those of all upstreams; the same at every edge.
   */
  get incarnationId(): string {
    const {bornAt, id} = this.record;
    return `${id} ${bornAt ?? ''}`;
  }

  /** Whether the upstream is draining or gone. */
  get isLeaving(): boolean {
    return this.hasAnnouncedDrain || this.record.state !== UPSTREAM_STATE.ready;
  }

  /** Records that a new incarnation replaced this one. */
  markSuperseded(): void {
    this.isSuperseded ||= !this.isLeaving;
  }

  /** Records that another upstream now serves at this address. */
  markReplaced(): void {
    this.wasReplaced = true;
    this.markSuperseded();
    this.onStopServing();
    this.logHealth(false, 'replaced');
  }

  /** Closes idle connections; requests in flight complete. */
  drainConnections(): void {
    this.connections.drain();
  }

  [Symbol.dispose](): void {
    this.connections[Symbol.dispose]();
  }

  private pause(cause: string): void {
    const doubledMs =
      INITIAL_BACKOFF_MS *
      2 ** (this.consecutiveFailures - FAILURES_BEFORE_BACKOFF);
    const pauseMs = Math.min(MAX_BACKOFF_MS, doubledMs);
    this.pausedUntil = this.clock.now() + pauseMs;
    if (this.pauseCause !== cause) {
      this.pauseCause = cause;
      this.logHealth(false, cause);
    }
  }

  private logHealth(isUsable: boolean, cause: string): void {
    const {consecutiveFailures, id} = this;
    this.log.note({
      cause,
      event: 'upstream-judged',
      failures: consecutiveFailures,
      upstream: id,
      usable: isUsable,
    });
  }
}
