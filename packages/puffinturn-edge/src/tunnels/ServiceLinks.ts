/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The links from this edge to the upstreams of one service. They are lost if none of a few
 * upstreams that were probed responds. Then one upstream after the other is probed, and each
 * that responds is reached directly again.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {ListenerState} from 'puffinturn-quarantine';
import {LISTENER_STATE} from 'puffinturn-quarantine';
import type {Clock, Random} from 'shared';

import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {UpstreamPool} from '../upstreams/UpstreamPool';
import {isSilenceTelling, SilenceDetector} from './SilenceDetector';
import {
  BYPASS_CHECK_INTERVAL_MS,
  BYPASS_CHECK_TIMEOUT_MS,
  VERIFICATION_INTERVAL_MS,
  VERIFICATION_PROBES,
  VERIFICATION_TIMEOUT_MS,
} from './TunnelConstants';

/** Opens and closes a connection to an address. */
export type LinkProbe = (
  host: string,
  port: number,
  timeoutMs?: number,
) => Promise<ListenerState>;

/** Lets other edges connect to an upstream; resolves to whether one of them could. */
export type RemoteProbe = (upstream: EdgeUpstream) => Promise<boolean>;

/** Callbacks of a request that was sent to a service. */
export interface LinkListener {
  /** Called when all links are found to hang. They may go on later with all they hold. */
  onHang(): void;
  /**
   * Called when another edge has connected to an upstream of the service faster than this
   * edge could, while all links hang. Resolves when the request has a place elsewhere or
   * stays, so that the next one finds what is left.
   */
  onBypass(): Promise<void>;
}

/** Dependencies of ServiceLinks. */
export interface ServiceLinksParts {
  readonly clock: Clock;
  readonly probeByOthers: RemoteProbe;
  readonly log: DecisionLog;
  readonly pool: UpstreamPool;
  readonly probe: LinkProbe;
  readonly random: Random;
}

/** Tracks the links to the upstreams of one service. */
export class ServiceLinks {
  /** Upstreams that are reached through other edges until a probe succeeds. */
  private readonly lostUpstreams = new Set<EdgeUpstream>();
  /** Upstreams that were serving when the loss began, or were probed since. */
  private knownUpstreams = new WeakSet<EdgeUpstream>();
  private readonly silenceDetector: SilenceDetector;
  /** Requests that were sent to the service and have not ended. */
  private readonly listeners = new Set<LinkListener>();
  /** Whether the links were lost without any reply, so that open connections may hang. */
  private isHanging = false;
  /** Reads from the service when the loss, or the last search for a bypass, began. */
  private silentReads = 0;
  private lastBypassCheckAt = -Infinity;
  private isCheckingBypass = false;
  /** When the loss of all links was found, monotonic ms; undefined if they are not. */
  private lostSince: number | undefined;
  private lastVerificationAt = -Infinity;
  private isSuspected = false;

  constructor(
    private readonly service: string,
    private readonly parts: ServiceLinksParts,
  ) {
    this.silenceDetector = new SilenceDetector(parts.clock);
  }

  /** Whether no upstream of the service could be reached when this was verified last. */
  get areLost(): boolean {
    return this.lostSince !== undefined;
  }

  /** Number of upstreams that are reached through other edges only. */
  get lostCount(): number {
    return this.lostUpstreams.size;
  }

  /** Whether there are upstreams to probe. */
  get needsProbes(): boolean {
    return this.areLost || this.lostUpstreams.size > 0;
  }

  /** Whether the links have to be verified, now or later. */
  get isVerificationPending(): boolean {
    return this.isSuspected && !this.areLost;
  }

  /** Whether a verification is due after a failure. */
  get isVerificationDue(): boolean {
    const elapsedMs = this.parts.clock.now() - this.lastVerificationAt;
    return this.isVerificationPending && elapsedMs >= VERIFICATION_INTERVAL_MS;
  }

  /** Whether requests wait on links that hang, and no way around these was looked for. */
  get isBypassCheckDue(): boolean {
    const elapsedMs = this.parts.clock.now() - this.lastBypassCheckAt;
    return (
      this.areLost &&
      this.isHanging &&
      !this.isCheckingBypass &&
      this.listeners.size > 0 &&
      elapsedMs >= BYPASS_CHECK_INTERVAL_MS
    );
  }

  /** Whether an upstream is reached through other edges only. */
  isLost(upstream: EdgeUpstream): boolean {
    return this.areLost || this.lostUpstreams.has(upstream);
  }

  /** Records that a connection failed. */
  suspect(): void {
    this.isSuspected = true;
  }

  /**
   * Suspects the links if nothing arrives from the upstreams of the service. Returns
   * whether so many requests are waiting that this has to be checked again.
   */
  checkSilence(): boolean {
    const traffic = this.parts.pool.trafficOf(this.service);
    this.isSuspected ||= this.silenceDetector.check(traffic);
    return isSilenceTelling(traffic);
  }

  /** Records that another edge reached an upstream that this edge does not reach. */
  addLost(upstream: EdgeUpstream): void {
    this.lostUpstreams.add(upstream);
  }

  /** Records that other edges don't reach an upstream either. */
  removeLost(upstream: EdgeUpstream): void {
    this.lostUpstreams.delete(upstream);
  }

  /** Tells `listener` what becomes of the links until the result is disposed. */
  watch(listener: LinkListener): Disposable {
    this.listeners.add(listener);
    return {[Symbol.dispose]: () => void this.listeners.delete(listener)};
  }

  /** Probes a few upstreams at once; if none responds, all links are lost. */
  async verify(): Promise<void> {
    const {clock, pool, probe} = this.parts;
    this.isSuspected = false;
    this.lastVerificationAt = clock.now();
    const serving = pool.servingUpstreams(this.service);
    const reachable = serving.filter(({isUnreachable}) => !isUnreachable);
    const probed = this.sample(reachable.length > 0 ? reachable : serving);
    const states = await Promise.all(
      probed.map(({host, port}) => probe(host, port, VERIFICATION_TIMEOUT_MS)),
    );
    if (serving.length > 0 && !states.includes(LISTENER_STATE.listening)) {
      this.beginLoss(serving, states);
    }
  }

  /**
   * Probes an upstream that has registered since the loss began, else the one that was probed
   * the longest ago. Those that are gone for good may never leave, and others replace them.
   */
  async probeNext(): Promise<void> {
    this.forgetLeaving();
    const [oldest] = this.lostUpstreams;
    const upstream = this.findNewUpstream() ?? oldest;
    if (upstream === undefined) {
      this.endLoss();
      return;
    }
    this.knownUpstreams.add(upstream);
    const state = await this.parts.probe(upstream.host, upstream.port);
    this.lostUpstreams.delete(upstream);
    if (state === LISTENER_STATE.listening) {
      this.endLoss();
    } else if (upstream.isServing) {
      this.lostUpstreams.add(upstream);
    }
  }

  /**
   * Looks for a way around links that hang. If there is one, requests leave their links one
   * after the other, for as long as nothing arrives over these.
   */
  async checkBypass(): Promise<void> {
    const [upstream] = this.lostUpstreams;
    if (upstream === undefined) {
      return;
    }
    this.lastBypassCheckAt = this.parts.clock.now();
    this.isCheckingBypass = true;
    try {
      if (await this.isBypassBetter(upstream)) {
        await this.offerBypass();
      }
    } finally {
      this.isCheckingBypass = false;
    }
  }

  /**
   * Compares the way by another edge with the own link, to one upstream and at the same
   * time. A link that is only slow delays the request for a tunnel just as much, so that
   * the first reply tells whether another edge is the better way. What is sent again on an
   * open connection may arrive long before a connection is made.
   */
  private async isBypassBetter(upstream: EdgeUpstream): Promise<boolean> {
    const startedAt = this.parts.clock.now();
    const hasBeenSilent = this.isSilent;
    this.silentReads = this.readCount;
    void this.probeOwnLink(upstream);
    const isReachedByOthers = await this.parts.probeByOthers(upstream);
    const isReached = !this.isLost(upstream);
    const isBetter = isReachedByOthers && hasBeenSilent && this.isHangingStill;
    this.logBypass(isBetter, isReached, startedAt);
    return isBetter;
  }

  /** Ends the loss if an upstream responds. */
  private async probeOwnLink(upstream: EdgeUpstream): Promise<void> {
    const {host, port} = upstream;
    const state = await this.parts.probe(host, port, BYPASS_CHECK_TIMEOUT_MS);
    if (state === LISTENER_STATE.listening) {
      this.lostUpstreams.delete(upstream);
      this.endLoss();
    }
  }

  private async offerBypass(): Promise<void> {
    for (const listener of [...this.listeners]) {
      if (!this.isHangingStill) {
        return;
      }
      if (this.listeners.has(listener)) {
        await listener.onBypass();
      }
    }
  }

  private get isHangingStill(): boolean {
    return this.areLost && this.isSilent;
  }

  /** Whether nothing has arrived since the loss or the begin of the last check. */
  private get isSilent(): boolean {
    return this.readCount === this.silentReads;
  }

  private get readCount(): number {
    return this.parts.pool.trafficOf(this.service).reads;
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

  private beginLoss(
    serving: readonly EdgeUpstream[],
    states: readonly ListenerState[],
  ): void {
    this.lostSince = this.parts.clock.now();
    this.silentReads = this.readCount;
    // Without any reply, open connections hang too; else they may live on.
    const isHang = states.includes(LISTENER_STATE.unknown);
    this.knownUpstreams = new WeakSet(serving);
    for (const upstream of serving) {
      this.lostUpstreams.add(upstream);
      upstream.endPause();
      if (isHang) {
        upstream.connections.closeIdle();
      }
    }
    this.logChange(states.length);
    // A single upstream may be silent for a moment and go on with what it has.
    this.isHanging = isHang && states.length > 1;
    if (this.isHanging) {
      [...this.listeners].forEach((listener) => listener.onHang());
    }
  }

  private endLoss(): void {
    if (this.lostSince !== undefined) {
      const lostMs = Math.round(this.parts.clock.now() - this.lostSince);
      this.lostSince = undefined;
      this.logChange(1, lostMs);
    }
  }

  /** An upstream that has registered since all links were lost and was not probed yet. */
  private findNewUpstream(): EdgeUpstream | undefined {
    return this.areLost
      ? this.parts.pool
          .servingUpstreams(this.service)
          .find((upstream) => !this.knownUpstreams.has(upstream))
      : undefined;
  }

  private forgetLeaving(): void {
    for (const upstream of this.lostUpstreams) {
      if (!upstream.isServing) {
        this.lostUpstreams.delete(upstream);
      }
    }
  }

  private logBypass(
    isBypass: boolean,
    isReached: boolean,
    startedAt: number,
  ): void {
    const {clock, log} = this.parts;
    const now = clock.now();
    log.note({
      bypass: isBypass,
      event: 'bypass-judged',
      lostMs: Math.round(now - (this.lostSince ?? now)),
      reachable: isReached,
      service: this.service,
      silentMs: Math.round(this.silenceDetector.silenceMs),
      tookMs: Math.round(now - startedAt),
      waiting: this.listeners.size,
    });
  }

  private logChange(probed: number, lostMs?: number): void {
    const {log, pool} = this.parts;
    log.note({
      event: 'links-judged',
      known: pool.servingUpstreams(this.service).length,
      lost: this.lostUpstreams.size,
      lostMs,
      probed,
      reachable: !this.areLost,
      service: this.service,
      silentMs: Math.round(this.silenceDetector.silenceMs),
    });
  }
}
