/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {ExposureGrant, ExposureRequest} from 'puffinturn-fleet';
import {FLEET_SERVICE} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {sleepUnlessNotified, TaskGroup} from 'shared';

import {requestGrants} from '../ControlRequests';
import type {ExposureController} from './ExposureController';

/** Interval between reports while a rollout is active, ms. */
const REPORT_INTERVAL_MS = 250;

/** Interval at which unchanged reports are repeated, ms: a new leader has none yet. */
const UNCHANGED_REPORT_INTERVAL_MS = 1_000;

/** Timeout for the reply of one control box, ms. */
const REPLY_TIMEOUT_MS = 500;

/** Interval between checks for an active rollout without a notification, ms. */
const IDLE_POLL_INTERVAL_MS = 60_000;

/** Dependencies of an ExposureReporter. */
export interface ExposureReporterParts {
  readonly box: string;
  /** Identifies this incarnation of the edge; a restart changes it. */
  readonly incarnationId: string;
  readonly clock: Clock;
  readonly link: Link;
  /** Control boxes in order of preference. */
  readonly controlBoxes: () => readonly string[];
  readonly exposureController: ExposureController;
}

/**
 * Reports exposure to the leader through a control box and applies the grants that it
 * returns. Counts are cumulative, so the next report makes up for a lost one.
 */
export class ExposureReporter implements AsyncDisposable {
  private readonly tasks = new TaskGroup();
  /** The last acknowledged reports, as JSON. */
  private lastReported = '';
  private lastReportedAt = -Infinity;

  constructor(private readonly parts: ExposureReporterParts) {
    this.tasks.start((signal) => this.run(signal));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock, exposureController} = this.parts;
    while (!signal.aborted) {
      if (exposureController.hasActiveRollout) {
        await this.sendReports();
        await clock.sleep(REPORT_INTERVAL_MS, signal);
      } else {
        await sleepUnlessNotified(
          clock,
          exposureController.changed,
          IDLE_POLL_INTERVAL_MS,
          signal,
        );
      }
    }
  }

  private async sendReports(): Promise<void> {
    const {box, clock, controlBoxes, exposureController, incarnationId, link} =
      this.parts;
    const reports = exposureController.reports();
    const serialized = JSON.stringify(reports);
    const isDue =
      clock.now() - this.lastReportedAt >= UNCHANGED_REPORT_INTERVAL_MS;
    if (serialized === this.lastReported && !isDue) {
      return;
    }
    const request: ExposureRequest = {box, life: incarnationId, reports};
    const grants = await requestGrants<readonly ExposureGrant[]>(
      link,
      controlBoxes(),
      {timeoutMs: REPLY_TIMEOUT_MS, request, service: FLEET_SERVICE.exposure},
    );
    if (grants !== undefined) {
      this.lastReported = serialized;
      this.lastReportedAt = clock.now();
      exposureController.applyGrants(grants);
    }
  }
}
