/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Reports changed rate limits of upstreams to other boxes. */
import type {LimitReport, LimitReportsRequest} from 'puffinturn-fleet';
import {FLEET_SERVICE} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {Condition, sleepUnlessNotified, TaskGroup} from 'shared';

import {callControlBoxes} from '../ControlRequests';
import type {EdgeUpstream} from './EdgeUpstream';
import type {UpstreamAdmission} from './UpstreamAdmission';
import type {UpstreamPool} from './UpstreamPool';

/** Timeout of a call to one control box, ms. */
const RESPONSE_TIMEOUT_MS = 500;

/** Minimum time between two reports, ms; a limit may change with each response. */
const REPORT_INTERVAL_MS = 250;

/** Maximum time between two checks for pending reports, ms. */
const MAX_IDLE_MS = 60_000;

/** Options of the limit reporter. */
export interface LimitReporterOptions {
  readonly admission: UpstreamAdmission;
  readonly box: string;
  readonly clock: Clock;
  /** Control boxes, in the order in which they are tried. */
  readonly controlBoxes: () => readonly string[];
  readonly link: Link;
  readonly pool: UpstreamPool;
}

/**
 * Reports the rate limits that upstreams state in responses to this edge: immediately to
 * the edge that grants permits, and in batches to a control box, which distributes them
 * to all edges.
 */
export class LimitReporter implements AsyncDisposable {
  /** Reports not yet accepted by a control box, by upstream id. */
  private readonly pending = new Map<string, LimitReport>();
  private readonly pendingAdded = new Condition();
  private readonly tasks = new TaskGroup();

  constructor(private readonly options: LimitReporterOptions) {
    this.tasks.start((signal) => this.run(signal));
  }

  /** Reports the limit of an upstream after a response changed it. */
  reportChange(upstream: EdgeUpstream): void {
    const {admission, pool} = this.options;
    const {id, limits, record} = upstream;
    pool.recordLimit(upstream);
    admission.shareLimit(upstream);
    const report = {bornAt: record.bornAt, id, limit: limits.limit};
    this.pending.set(id, report);
    this.pendingAdded.notify();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    while (!signal.aborted) {
      if (this.pending.size === 0) {
        await sleepUnlessNotified(
          clock,
          this.pendingAdded,
          MAX_IDLE_MS,
          signal,
        );
      } else {
        await this.sendPending();
        await clock.sleep(REPORT_INTERVAL_MS, signal);
      }
    }
  }

  private async sendPending(): Promise<void> {
    const {box, controlBoxes, link} = this.options;
    const reports = [...this.pending.values()];
    const request: LimitReportsRequest = {box, reports};
    const service = FLEET_SERVICE.reportLimits;
    const controlRequest = {timeoutMs: RESPONSE_TIMEOUT_MS, request, service};
    const reply = await callControlBoxes(
      link,
      controlBoxes(),
      controlRequest,
      () => true,
    );
    if (reply === undefined) {
      return;
    }
    for (const report of reports) {
      if (this.pending.get(report.id) === report) {
        this.pending.delete(report.id);
      }
    }
  }
}
