/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * One life of an upstream as an edge sees it: its record, own load and health, and
 * its connections. A later life is another EdgeUpstream, so that no request goes
 * out over a connection to a former one.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {UpstreamRecord} from 'puffinturn-fleet';
import {UPSTREAM_STATE} from 'puffinturn-fleet';
import {LimitStatements} from 'puffinturn-permits';
import type {Clock} from 'shared';
import {hashOf} from 'shared';

import {ConnectionPool} from '../connections/ConnectionPool';
import {
  BROKEN_BEFORE_PAUSE,
  FIRST_PAUSE_MS,
  FULL_PAUSE_MS,
  LONGEST_PAUSE_MS,
} from '../EdgeConstants';
import {AnswerTime} from './AnswerTime';
import {KeptPrefixes} from './KeptPrefixes';
import {ReadingSpeed} from './ReadingSpeed';

/** Weight of one answer in the measured part of errors. */
const ERROR_WEIGHT = 0.08;

/** See the module comment. Disposing it ends all its connections. */
export class EdgeUpstream implements Disposable {
  /** Requests of this edge that are open at the upstream. */
  inFlight = 0;
  /** Tokens of prompts that this edge has sent and that no event answers yet. */
  pendingTokens = 0;
  readonly connections: ConnectionPool;
  /** Hash of the id, for rendezvous. */
  readonly hash: number;
  /** Parts of prompts that it is taken to keep. */
  readonly prefixes = new KeptPrefixes();
  /** How fast it reads prompts, other callers' load included. */
  readonly speed: ReadingSpeed;
  /** How long it takes to answer, other callers' load included. */
  readonly answerTime: AnswerTime;
  /** What it says of how many requests a second it takes. */
  readonly limits: LimitStatements;
  readonly host: string;
  readonly port: number;
  /** Part of the newest answers that were errors of the upstream's own. */
  errorRate = 0;
  /** Whether another life took its place though it never said that it would leave. */
  supplanted = false;
  private failures = 0;
  private saidLeaving = false;
  private restsUntil = -Infinity;
  private coldUntil = -Infinity;
  private pausedUntil = -Infinity;
  private replaced = false;

  constructor(
    /** What the upstream said of itself last. */
    public record: UpstreamRecord,
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    /** Called when it no longer serves though its record says so. */
    private readonly stopped: () => void = () => undefined,
  ) {
    this.hash = hashOf(record.id);
    this.answerTime = new AnswerTime(clock);
    this.speed = new ReadingSpeed(clock);
    this.limits = new LimitStatements(clock);
    const at = record.address.lastIndexOf(':');
    this.host = record.address.slice(0, at);
    this.port = Number(record.address.slice(at + 1));
    this.connections = new ConnectionPool({
      clock,
      host: this.host,
      maxIdle: record.slots,
      port: this.port,
    });
  }

  get id(): string {
    return this.record.id;
  }

  /** Whether new requests may go there at all. */
  get serves(): boolean {
    return !this.leaves && !this.replaced;
  }

  /** Whether it bears only a few requests a second yet. */
  get cold(): boolean {
    return this.clock.now() < this.coldUntil;
  }

  /** Notes that it is cold until a time of the edge's steady clock, ms. */
  turnsCold(until: number): void {
    this.coldUntil = Math.max(this.coldUntil, until);
  }

  /** Whether it is out of choice for the moment. */
  get paused(): boolean {
    return this.clock.now() < this.pausedUntil;
  }

  /** Whether it failed last, several times in a row, and has not answered since. */
  get doubtful(): boolean {
    return this.failures >= BROKEN_BEFORE_PAUSE;
  }

  /** Notes a whole answer that is an error; the upstream itself may be sound. */
  answeredError(): void {
    this.errorRate += (1 - this.errorRate) * ERROR_WEIGHT;
  }

  /** Notes a whole answer. */
  succeeded(): void {
    this.errorRate -= this.errorRate * ERROR_WEIGHT;
    if (this.failures >= BROKEN_BEFORE_PAUSE) {
      this.judge(true, 'answered');
    }
    this.failures = 0;
    this.pausedUntil = -Infinity;
  }

  /** Notes a connection that did not come up. */
  unreachable(): void {
    this.failures = Math.max(BROKEN_BEFORE_PAUSE, this.failures + 1);
    this.pause('unreachable');
  }

  /** Notes an answer that broke off, was spoiled or was an error. */
  broke(cause: string): void {
    this.failures += 1;
    if (this.failures >= BROKEN_BEFORE_PAUSE) {
      this.pause(cause);
    }
  }

  /** Notes that the upstream had no room. */
  full(): void {
    this.answerTime.full();
    this.pausedUntil = Math.max(
      this.pausedUntil,
      this.clock.now() + FULL_PAUSE_MS,
    );
  }

  /** How much longer it wants no requests from this edge, ms; 0 where it takes them. */
  get restLeftMs(): number {
    return Math.max(0, this.restsUntil - this.clock.now());
  }

  /**
   * Notes that it wants no requests for so long; false where it rests already. Unlike
   * a pause of the edge's own this is no guess: no request that ends well ends it, and
   * no lack of other upstreams either. Without it, an upstream that turned a request
   * away got the next one 0.23 s later in the median.
   */
  rests(restMs: number): boolean {
    const isNews = this.restLeftMs === 0;
    this.restsUntil = Math.max(this.restsUntil, this.clock.now() + restMs);
    return isNews;
  }

  /**
   * Notes that it said in an answer that it leaves; false where that was known. No
   * heartbeat takes that back: one may be older, or come by control boxes that it
   * told nothing. Edges cut off from the one that it had told sent to it for 5 s more.
   */
  saysLeaving(): boolean {
    const isNews = !this.leaves;
    if (!this.saidLeaving) {
      this.saidLeaving = true;
      this.stopped();
    }
    return isNews;
  }

  /** Takes over what the same life said in answers at its former address. */
  goesOnAs(former: EdgeUpstream | undefined): void {
    if (former !== undefined) {
      this.isAskedAs(former);
      this.saidLeaving = former.saidLeaving;
    }
  }

  /**
   * Takes over the rest that was asked for, and the limit that was named. Of a former
   * life too: answers don't name the life, and one that is back may ask for either
   * before any heartbeat tells of it.
   */
  isAskedAs(former: EdgeUpstream): void {
    this.restsUntil = former.restsUntil;
    this.limits.goOnWith(former.limits);
  }

  /** Names this life among all lives of all upstreams, the same at every edge. */
  get life(): string {
    const {bornAt, id} = this.record;
    return `${id} ${bornAt ?? ''}`;
  }

  /** Whether it said that it leaves, or is known to have left. */
  get leaves(): boolean {
    return this.saidLeaving || this.record.state !== UPSTREAM_STATE.ready;
  }

  /** Notes that another life is in its place. */
  isSupplanted(): void {
    this.supplanted ||= !this.leaves;
  }

  /** Notes that another upstream answers at this address. */
  isReplaced(): void {
    this.replaced = true;
    this.isSupplanted();
    this.stopped();
    this.judge(false, 'replaced');
  }

  /** Ends idle connections; open requests go on to their end. */
  retire(): void {
    this.connections.retire();
  }

  [Symbol.dispose](): void {
    this.connections[Symbol.dispose]();
  }

  private pause(cause: string): void {
    const doubled = FIRST_PAUSE_MS * 2 ** (this.failures - BROKEN_BEFORE_PAUSE);
    const pause = Math.min(LONGEST_PAUSE_MS, doubled);
    this.pausedUntil = this.clock.now() + pause;
    this.judge(false, cause);
  }

  private judge(usable: boolean, cause: string): void {
    const {failures, id: upstream} = this;
    this.log.note({
      cause,
      event: 'upstream-judged',
      failures,
      upstream,
      usable,
    });
  }
}
