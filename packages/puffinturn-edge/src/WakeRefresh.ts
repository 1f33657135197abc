/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Refreshes the state of an edge after its machine was suspended or its process ran late.
 * Connections may be dead and the state outdated, so requests wait until the control plane
 * has confirmed the current state or a timeout expires.
 */
import type {FleetWatch, SuspensionRecoveryParts} from 'puffinturn-fleet';
import {recoverFromSuspension} from 'puffinturn-fleet';
import type {Clock} from 'shared';
import {SuspensionDetector, waitWhile} from 'shared';

import type {UpstreamPool} from './upstreams/UpstreamPool';

/**
 * Maximum time that requests wait for the refresh, ms: a few round trips. After that
 * the edge serves from its cached state, as in any outage of the control plane.
 */
const REFRESH_TIMEOUT_MS = 500;

/** Interval at which completion of the refresh is checked, ms. */
const REFRESH_POLL_MS = 10;

/** Dependencies of WakeRefresh. */
export interface WakeRefreshParts extends SuspensionRecoveryParts {
  readonly clock: Clock;
  readonly pool: UpstreamPool;
  readonly watch: FleetWatch;
  /** Called on each wake-up, before the refresh starts. */
  readonly onWake: () => void;
}

/** Detects a suspension and holds requests back until the state is current. */
export class WakeRefresh implements AsyncDisposable {
  private readonly suspensionWatch: SuspensionDetector;
  private refreshing: Promise<void> | undefined;

  constructor(private readonly parts: WakeRefreshParts) {
    this.suspensionWatch = new SuspensionDetector(parts.clock, (ms) =>
      this.startRefresh(ms),
    );
  }

  /** Voids state from before a suspension; called before its age is relied on. */
  check(): void {
    this.suspensionWatch.check();
  }

  /** Resolves when the refresh in progress ends; undefined if there is none. */
  get pending(): Promise<void> | undefined {
    this.check();
    if (this.refreshing === undefined && this.parts.watch.isCatchingUp) {
      this.refreshing = this.waitUntilCaughtUp().finally(
        () => (this.refreshing = undefined),
      );
    }
    return this.refreshing;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.suspensionWatch[Symbol.asyncDispose]();
  }

  private startRefresh(missedMs: number): void {
    const {onWake, pool, watch} = this.parts;
    onWake();
    watch.invalidate();
    recoverFromSuspension(this.parts, missedMs);
    pool.closeIdleConnections();
    this.refreshing ??= this.waitUntilCurrent().finally(
      () => (this.refreshing = undefined),
    );
  }

  private waitUntilCurrent(): Promise<void> {
    const {clock, watch} = this.parts;
    const deadline = clock.now() + REFRESH_TIMEOUT_MS;
    return waitWhile(clock, () => !watch.isCurrent, REFRESH_POLL_MS, deadline);
  }

  private waitUntilCaughtUp(): Promise<void> {
    const {clock, watch} = this.parts;
    return waitWhile(clock, () => watch.isCatchingUp, REFRESH_POLL_MS);
  }
}
