/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Judges the links from this edge to its upstreams. A failed connection may be the fault
 * of one upstream or of the links of this edge. The edge tells them apart by probing other
 * upstreams of the service, and reaches the service through other edges if none responds.
 */
import {Condition, sleepUnlessNotified, TaskGroup} from 'shared';

import type {UnsentOutcome} from '../connections/Exchange';
import {CONNECT_TIMEOUT, UNSENT_BLAME} from '../connections/Exchange';
import type {EdgeMetrics} from '../EdgeMetrics';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {LinkListener, ServiceLinksParts} from './ServiceLinks';
import {ServiceLinks} from './ServiceLinks';
import {
  PROBE_INTERVAL_MS,
  SILENCE_CHECK_INTERVAL_MS,
  UNREACHABLE_BACKOFF_MS,
} from './TunnelConstants';

/** Longest interval between checks for a suspicion, ms. */
const MAX_IDLE_MS = 60_000;

/** Dependencies of DirectLinks. */
export interface DirectLinksParts extends ServiceLinksParts {
  readonly metrics: EdgeMetrics;
}

/** Tracks which upstreams this edge can't connect to although others can. */
export class DirectLinks implements AsyncDisposable {
  private readonly byService = new Map<string, ServiceLinks>();
  /** When a tunnel to an upstream may be tried again, monotonic ms. */
  private readonly tunnelRetryAt = new WeakMap<EdgeUpstream, number>();
  private readonly suspected = new Condition();
  /** Notified when a request is sent or a connection broke; wakes the checks. */
  private readonly linksUsed = new Condition();
  private readonly tasks = new TaskGroup();

  constructor(private readonly parts: DirectLinksParts) {
    this.tasks.start((signal) => this.run(signal));
    this.tasks.start((signal) => this.checkSilence(signal));
  }

  /** Whether the links to the upstreams of all services are lost. */
  get areAllLost(): boolean {
    const {pool} = this.parts;
    const services = pool
      .services()
      .filter((service) => pool.servingUpstreams(service).length > 0);
    return (
      services.length > 0 && services.every((service) => this.areLost(service))
    );
  }

  /** Whether the links to all upstreams of a service are lost. */
  areLost(service: string): boolean {
    return this.byService.get(service)?.areLost === true;
  }

  /** Whether to connect to an upstream through another edge. */
  needsTunnel(upstream: EdgeUpstream): boolean {
    const {clock} = this.parts;
    if (clock.now() < (this.tunnelRetryAt.get(upstream) ?? -Infinity)) {
      return false;
    }
    const links = this.byService.get(upstream.record.service);
    return upstream.isUnreachable || links?.isLost(upstream) === true;
  }

  /** Records that a connection broke, which makes the edge verify its links. */
  recordFailure({record}: EdgeUpstream): void {
    this.linksOf(record.service).suspect();
    this.suspected.notify();
    this.linksUsed.notify();
  }

  /** Records that a request could not be sent to an upstream. */
  recordUnsent(upstream: EdgeUpstream, {blame, cause}: UnsentOutcome): void {
    switch (blame) {
      case UNSENT_BLAME.link:
        this.recordConnectFailure(upstream, cause);
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

  /** Records that another edge reached an upstream that this edge does not reach. */
  recordTunnel(upstream: EdgeUpstream): void {
    const links = this.linksOf(upstream.record.service);
    if (!links.isLost(upstream)) {
      links.addLost(upstream);
      this.suspected.notify();
    }
  }

  /**
   * Takes note that a request is sent to a service, and tells `listener` what becomes of
   * the links to it, unless the result is disposed before. What was sent just before a hang
   * may never arrive.
   */
  watchRequest(service: string, listener: LinkListener): Disposable {
    this.linksUsed.notify();
    return this.linksOf(service).watch(listener);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.tasks.abort();
    this.linksUsed.notify();
    await this.tasks[Symbol.asyncDispose]();
  }

  private linksOf(service: string): ServiceLinks {
    const existing = this.byService.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const links = new ServiceLinks(service, this.parts);
    this.byService.set(service, links);
    return links;
  }

  private recordConnectFailure(upstream: EdgeUpstream, cause: string): void {
    if (cause === CONNECT_TIMEOUT) {
      // A link without any reply has lost its open connections too.
      upstream.connections.closeIdle();
    }
    if (!this.areLost(upstream.record.service)) {
      upstream.recordConnectFailure();
      this.recordFailure(upstream);
    }
  }

  /** Stops asking other edges for an upstream for a while. */
  private endTunnels(upstream: EdgeUpstream): void {
    const retryAt = this.parts.clock.now() + UNREACHABLE_BACKOFF_MS;
    this.tunnelRetryAt.set(upstream, retryAt);
    this.byService.get(upstream.record.service)?.removeLost(upstream);
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock, metrics} = this.parts;
    while (!signal.aborted) {
      const probing = [...this.byService.values()].filter(
        ({needsProbes}) => needsProbes,
      );
      const pauseMs = probing.length > 0 ? PROBE_INTERVAL_MS : MAX_IDLE_MS;
      await sleepUnlessNotified(clock, this.suspected, pauseMs, signal);
      if (signal.aborted) {
        return;
      }
      await this.verifySuspected();
      this.startBypassChecks();
      await Promise.all(probing.map((links) => links.probeNext()));
      metrics.lostLinks.set(this.lostCount);
    }
  }

  private startBypassChecks(): void {
    for (const links of this.byService.values()) {
      if (links.isBypassCheckDue) {
        this.tasks.start(() => links.checkBypass());
      }
    }
  }

  /** Verifies services after a failure; the loss of one makes all others suspect. */
  private async verifySuspected(): Promise<void> {
    const due = [...this.byService.values()].filter(
      ({isVerificationDue}) => isVerificationDue,
    );
    await Promise.all(due.map((links) => links.verify()));
    if (due.some(({areLost}) => areLost)) {
      const others = this.parts.pool
        .services()
        .map((service) => this.linksOf(service))
        .filter((links) => !due.includes(links) && !links.areLost);
      await Promise.all(others.map((links) => links.verify()));
    }
  }

  /** Checks all services at intervals, unless nothing can be found before the next request. */
  private async checkSilence(signal: AbortSignal): Promise<void> {
    const {clock, pool} = this.parts;
    let needsChecks = false;
    while (!signal.aborted) {
      if (!needsChecks) {
        await this.linksUsed.wait();
      }
      await clock.sleep(SILENCE_CHECK_INTERVAL_MS, signal);
      const services = pool.services().map((service) => this.linksOf(service));
      const areTelling = services.map((links) => links.checkSilence());
      needsChecks =
        areTelling.includes(true) ||
        services.some(({isVerificationPending}) => isVerificationPending);
      if (services.some(({isVerificationDue}) => isVerificationDue)) {
        this.suspected.notify();
      }
    }
  }

  private get lostCount(): number {
    return [...this.byService.values()].reduce(
      (sum, {lostCount}) => sum + lostCount,
      0,
    );
  }
}
