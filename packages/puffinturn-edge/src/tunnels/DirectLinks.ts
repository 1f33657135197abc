/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Judges the links from this edge to its upstreams. A failed connection may be the fault
 * of one upstream or of the links of this edge. The edge tells them apart by probing other
 * upstreams: if none of them can be reached, it is cut off and uses tunnels through other
 * edges. Then it probes one upstream after the other and returns to each that it reaches.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {ListenerState} from 'puffinturn-quarantine';
import {LISTENER_STATE} from 'puffinturn-quarantine';
import type {Clock, Random} from 'shared';
import {Condition, sleepUnlessNotified, TaskGroup} from 'shared';

import type {UnsentOutcome} from '../connections/Exchange';
import {CONNECT_TIMEOUT, UNSENT_BLAME} from '../connections/Exchange';
import type {EdgeMetrics} from '../EdgeMetrics';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {UpstreamPool} from '../upstreams/UpstreamPool';
import {SilenceDetector} from './SilenceDetector';
import {
  PROBE_INTERVAL_MS,
  SILENCE_CHECK_INTERVAL_MS,
  UNREACHABLE_BACKOFF_MS,
  VERIFICATION_INTERVAL_MS,
  VERIFICATION_PROBES,
  VERIFICATION_TIMEOUT_MS,
} from './TunnelConstants';

/** Longest interval between checks for a suspicion, ms. */
const MAX_IDLE_MS = 60_000;

/** Dependencies of DirectLinks. */
export interface DirectLinksParts {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: EdgeMetrics;
  readonly pool: UpstreamPool;
  readonly random: Random;
  /** Opens and closes a connection to an address. */
  readonly probe: (
    host: string,
    port: number,
    timeoutMs?: number,
  ) => Promise<ListenerState>;
}

/** Tracks which upstreams this edge can't connect to although others can. */
export class DirectLinks implements AsyncDisposable {
  /** Upstreams that are reached through tunnels until a probe succeeds. */
  private readonly lost = new Set<EdgeUpstream>();
  /** When a tunnel to an upstream may be tried again, monotonic ms. */
  private readonly tunnelRetryAt = new WeakMap<EdgeUpstream, number>();
  private cutOffSince: number | undefined;
  private lastVerificationAt = -Infinity;
  /** Whether a connection failed since the last verification. */
  private isSuspected = false;
  private readonly suspected = new Condition();
  private readonly cutOffBegun = new Condition();
  private readonly silenceDetector: SilenceDetector;
  private readonly tasks = new TaskGroup();

  constructor(private readonly parts: DirectLinksParts) {
    this.silenceDetector = new SilenceDetector(parts.clock);
    this.tasks.start((signal) => this.run(signal));
    this.tasks.start((signal) => this.checkSilence(signal));
  }

  /** Whether no upstream at all could be reached when this was verified last. */
  get isCutOff(): boolean {
    return this.cutOffSince !== undefined;
  }

  /** Number of upstreams that are reached through tunnels only. */
  get lostCount(): number {
    return this.lost.size;
  }

  /** Whether to connect to an upstream through another edge. */
  needsTunnel(upstream: EdgeUpstream): boolean {
    const {clock} = this.parts;
    if (clock.now() < (this.tunnelRetryAt.get(upstream) ?? -Infinity)) {
      return false;
    }
    return this.isCutOff || this.lost.has(upstream) || upstream.isUnreachable;
  }

  /** Records that a connection broke, which makes the edge verify its links. */
  recordFailure(): void {
    this.isSuspected = true;
    this.suspected.notify();
  }

  /** Records that a request could not be sent to an upstream. */
  recordUnsent(upstream: EdgeUpstream, {blame, cause}: UnsentOutcome): void {
    switch (blame) {
      case UNSENT_BLAME.link:
        if (cause === CONNECT_TIMEOUT) {
          // A link without any reply has lost its open connections too.
          upstream.connections.closeIdle();
        }
        if (!this.isCutOff) {
          upstream.recordConnectFailure();
          this.recordFailure();
        }
        return;
      case UNSENT_BLAME.upstream:
        upstream.recordConnectFailure();
        this.endTunnels(upstream);
        return;
      case UNSENT_BLAME.tunnel:
      case UNSENT_BLAME.noHelper:
      case UNSENT_BLAME.none:
    }
  }

  /**
   * Calls `listener` when the edge finds that all links hang, unless the result is disposed
   * before. What was sent just before may never arrive.
   */
  onSilentCutOff(listener: () => void): Disposable {
    return this.cutOffBegun.onNext(listener);
  }

  /** Records that another edge reached an upstream that this edge does not reach. */
  recordTunnel(upstream: EdgeUpstream): void {
    if (!this.lost.has(upstream)) {
      this.lost.add(upstream);
      this.suspected.notify();
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted) {
      const hasLost = this.lost.size > 0 || this.isCutOff;
      await sleepUnlessNotified(
        clock,
        this.suspected,
        hasLost ? PROBE_INTERVAL_MS : MAX_IDLE_MS,
        signal,
      );
      if (signal.aborted) {
        return;
      }
      if (this.isVerificationDue) {
        await this.verify();
      }
      if (hasLost) {
        await this.probeNext();
      }
    }
  }

  private get isVerificationDue(): boolean {
    const elapsedMs = this.parts.clock.now() - this.lastVerificationAt;
    return (
      this.isSuspected &&
      !this.isCutOff &&
      elapsedMs >= VERIFICATION_INTERVAL_MS
    );
  }

  /** Stops asking other edges for an upstream for a while. */
  private endTunnels(upstream: EdgeUpstream): void {
    const retryAt = this.parts.clock.now() + UNREACHABLE_BACKOFF_MS;
    this.tunnelRetryAt.set(upstream, retryAt);
    this.lost.delete(upstream);
  }

  /** Probes some upstreams at once after a failure; if none responds, all are lost. */
  private async verify(): Promise<void> {
    const {clock, pool} = this.parts;
    this.isSuspected = false;
    this.lastVerificationAt = clock.now();
    const serving = pool.all().filter(({isServing}) => isServing);
    const reachable = serving.filter(({isUnreachable}) => !isUnreachable);
    const probed = this.sample(reachable.length > 0 ? reachable : serving);
    const states = await Promise.all(
      probed.map(({host, port}) =>
        this.parts.probe(host, port, VERIFICATION_TIMEOUT_MS),
      ),
    );
    const isReached = states.includes(LISTENER_STATE.listening);
    if (serving.length > 1 && !isReached) {
      this.beginCutOff(serving, states);
    }
  }

  /** Draws a few upstreams at random. */
  private sample(upstreams: readonly EdgeUpstream[]): EdgeUpstream[] {
    const {random} = this.parts;
    const remaining = [...upstreams];
    const sample: EdgeUpstream[] = [];
    while (remaining.length > 0 && sample.length < VERIFICATION_PROBES) {
      const index = random.integer(0, remaining.length - 1);
      sample.push(...remaining.splice(index, 1));
    }
    return sample;
  }

  private beginCutOff(
    serving: readonly EdgeUpstream[],
    states: readonly ListenerState[],
  ): void {
    this.cutOffSince = this.parts.clock.now();
    // Without any reply, open connections hang too; else they may live on.
    const isSilent = states.includes(LISTENER_STATE.unknown);
    for (const upstream of serving) {
      this.lost.add(upstream);
      upstream.endPause();
      if (isSilent) {
        upstream.connections.closeIdle();
      }
    }
    this.logChange(states.length, serving.length);
    if (isSilent) {
      this.cutOffBegun.notify();
    }
  }

  /** Suspects the links if nothing arrives from upstreams. */
  private async checkSilence(signal: AbortSignal): Promise<void> {
    const {clock, pool} = this.parts;
    while (!signal.aborted) {
      await clock.sleep(SILENCE_CHECK_INTERVAL_MS, signal);
      const {requests, upstreams} = pool.countInFlight();
      const reads = pool.reads.value;
      if (this.silenceDetector.check({reads, requests, upstreams})) {
        this.recordFailure();
      }
    }
  }

  /** Probes the upstream that was probed the longest ago. */
  private async probeNext(): Promise<void> {
    this.forgetLeaving();
    const [upstream] = this.lost;
    if (upstream === undefined) {
      this.endCutOff();
      return;
    }
    const isReached = await this.probeUpstream(upstream);
    this.lost.delete(upstream);
    if (!isReached) {
      this.lost.add(upstream);
    } else {
      this.endCutOff();
    }
    this.parts.metrics.lostLinks.set(this.lost.size);
  }

  private forgetLeaving(): void {
    for (const upstream of this.lost) {
      if (!upstream.isServing) {
        this.lost.delete(upstream);
      }
    }
  }

  private endCutOff(): void {
    if (this.cutOffSince !== undefined) {
      const cutOffMs = Math.round(this.parts.clock.now() - this.cutOffSince);
      this.cutOffSince = undefined;
      this.logChange(1, this.lost.size + 1, cutOffMs);
    }
  }

  private async probeUpstream({host, port}: EdgeUpstream): Promise<boolean> {
    const state = await this.parts.probe(host, port);
    return state === LISTENER_STATE.listening;
  }

  private logChange(probed: number, known: number, cutOffMs?: number): void {
    this.parts.metrics.lostLinks.set(this.lost.size);
    this.parts.log.note({
      cutOff: this.isCutOff,
      cutOffMs,
      event: 'links-judged',
      known,
      lost: this.lost.size,
      probed,
    });
  }
}
