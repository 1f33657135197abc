/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** State of an upstream in one box. */
import {RateLimitTracker} from 'puffinturn-permits';
import type {UpstreamSpec} from 'puffinturn-settings';
import type {Clock} from 'shared';

import {
  INITIAL_FIRST_TOKEN_MS,
  LATENCY_EWMA_WEIGHT,
  MAX_LOAD_REPORT_AGE_MS,
} from './RoutingConstants';

/** Load that an upstream has reported in a response. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  /** Time of arrival, ms of the box's clock. */
  readonly receivedAt: number;
}

/** Mutable state of one upstream in one box. */
export class Upstream {
  /** In-flight requests of this box. */
  inFlight = 0;
  /** In-flight requests of all other boxes, from the last heartbeat reply. */
  otherBoxesInFlight = 0;
  /** Requests of this box since the last load report. */
  sentSinceReport = 0;
  /** Whether it is draining and takes no new requests. */
  isDraining = false;
  /** Takes no requests of this box before this time, ms of the box's clock. */
  pausedUntil = -Infinity;
  /** EWMA of the time to the first token or response, ms. */
  firstTokenMs = INITIAL_FIRST_TOKEN_MS;
  /** Number of values in `firstTokenMs`. */
  observationCount = 0;
  /** Rate limit that the upstream has announced. */
  readonly rateLimit: RateLimitTracker;
  private loadReport: LoadReport | undefined;

  constructor(
    readonly pool: string,
    public spec: UpstreamSpec,
    clock: Clock,
  ) {
    this.rateLimit = new RateLimitTracker(clock);
  }

  /** Name, unique within the pool. */
  get name(): string {
    return this.spec.name;
  }

  /** Sends no requests before a time, ms of the box's clock; never shortens a pause. */
  pauseUntil(time: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, time);
  }

  /** Replaces the load report. */
  recordLoadReport(report: LoadReport): void {
    this.loadReport = report;
    this.sentSinceReport = 0;
  }

  /**
   * Estimated number of requests that run or wait on the upstream: the requests of all
   * boxes or the reported load, whichever is higher.
   */
  estimateLoad(now: number): number {
    const knownLoad = this.inFlight + this.otherBoxesInFlight;
    if (
      this.loadReport === undefined ||
      now - this.loadReport.receivedAt > MAX_LOAD_REPORT_AGE_MS
    ) {
      return knownLoad;
    }
    const reportedLoad = this.loadReport.running + this.loadReport.waiting;
    const ageRatio =
      (now - this.loadReport.receivedAt) / MAX_LOAD_REPORT_AGE_MS;
    // Requests of the report may have ended since: its weight falls with its age.
    const decayedLoad = reportedLoad * (1 - ageRatio) + knownLoad * ageRatio;
    return Math.max(knownLoad, decayedLoad);
  }

  /** Adds a value to the EWMA of the time to first token. */
  recordFirstToken(firstTokenMs: number): void {
    this.observationCount += 1;
    const weight = Math.max(LATENCY_EWMA_WEIGHT, 1 / this.observationCount);
    this.firstTokenMs += weight * (firstTokenMs - this.firstTokenMs);
  }
}
