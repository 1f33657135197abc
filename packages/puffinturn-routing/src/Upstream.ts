/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** What a box knows about one upstream of one pool. */
import {LimitStatements} from 'puffinturn-permits';
import type {UpstreamSpec} from 'puffinturn-settings';
import type {Clock} from 'shared';

import {
  INITIAL_FIRST_TOKEN_MS,
  LATENCY_SMOOTHING,
  LOAD_REPORT_MS,
} from './RoutingConstants';

/** A load report of an upstream; it describes the past. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  /** When it arrived here, ms of the box's clock. */
  readonly at: number;
}

/** Mutable state of one upstream as one box sees it. */
export class Upstream {
  /** Requests of this box that run there. */
  inFlight = 0;
  /** Requests of all other boxes there, as last heard. */
  othersInFlight = 0;
  /** Requests that this box has sent since the last load report. */
  sentSinceReport = 0;
  /** Takes no new work: drained, listed as leaving, or by its own word. */
  leaving = false;
  /** Until when it wants no requests from this box, ms of the box's clock. */
  restsUntil = -Infinity;
  /** Moving average of the time to the first token or answer, ms. */
  firstTokenMs = INITIAL_FIRST_TOKEN_MS;
  /** Observations behind `firstTokenMs`. */
  observations = 0;
  /** What it says of how many requests a second it takes. */
  readonly limits: LimitStatements;
  private report: LoadReport | undefined;

  constructor(
    readonly pool: string,
    public spec: UpstreamSpec,
    clock: Clock,
  ) {
    this.limits = new LimitStatements(clock);
  }

  /** The name within its pool. */
  get name(): string {
    return this.spec.name;
  }

  /** Notes that it wants no requests before a time, ms of the box's clock. */
  restsAtLeastUntil(time: number): void {
    this.restsUntil = Math.max(this.restsUntil, time);
  }

  /** Notes a load report. */
  reportLoad(report: LoadReport): void {
    this.report = report;
    this.sentSinceReport = 0;
  }

  /**
   * Requests that probably run or wait there: what boxes know of, or what the
   * upstream reported plus what was sent since, whichever is more.
   */
  load(now: number): number {
    const known = this.inFlight + this.othersInFlight;
    if (this.report === undefined || now - this.report.at > LOAD_REPORT_MS) {
      return known;
    }
    const reported = this.report.running + this.report.waiting;
    const age = (now - this.report.at) / LOAD_REPORT_MS;
    // A report fades, as what it counted has since ended.
    const faded = reported * (1 - age) + known * age;
    return Math.max(known, faded);
  }

  /** Notes an observed first-token time. */
  observe(firstTokenMs: number): void {
    this.observations += 1;
    const weight = Math.max(LATENCY_SMOOTHING, 1 / this.observations);
    this.firstTokenMs += weight * (firstTokenMs - this.firstTokenMs);
  }
}
