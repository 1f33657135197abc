/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Tells on what upstreams say of their limits in answers to this edge: to the edge that
 * grants permits at once, and to the core, which tells all edges. Otherwise each edge
 * would have to send a request of its own to hear of it.
 */
import type {LimitReport, LimitsRequest} from 'puffinturn-fleet';
import {FLEET_SERVICE} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {Condition, sleepUnlessNotified, TaskGroup} from 'shared';

import {askControls} from '../ControlQuestions';
import type {EdgeUpstream} from './EdgeUpstream';
import type {UpstreamAdmission} from './UpstreamAdmission';
import type {UpstreamPool} from './UpstreamPool';

/** Longest time for the answer of one control box, ms. */
const ANSWER_MS = 500;

/** Least time between two reports, ms: a limit may change with each answer. */
const REPORT_EVERY_MS = 250;

/** Longest time between two looks whether there is something to tell, ms. */
const IDLE_MS = 60_000;

/** What LimitReports are made of. */
export interface LimitReportsParts {
  readonly admission: UpstreamAdmission;
  readonly box: string;
  readonly clock: Clock;
  /** Control boxes, the one to ask first at the front. */
  readonly controls: () => readonly string[];
  readonly link: Link;
  readonly pool: UpstreamPool;
}

/** See the module comment. */
export class LimitReports implements AsyncDisposable {
  /** What the core has not taken yet, by upstream. */
  private readonly untold = new Map<string, LimitReport>();
  private readonly news = new Condition();
  private readonly tasks = new TaskGroup();

  constructor(private readonly parts: LimitReportsParts) {
    this.tasks.start((signal) => this.run(signal));
  }

  /** Tells what an answer of an upstream has just changed. */
  changed(upstream: EdgeUpstream): void {
    const {admission, pool} = this.parts;
    const {id, limits, record} = upstream;
    pool.noteLimit(upstream);
    admission.tell(upstream);
    const report = {bornAt: record.bornAt, id, limit: limits.limit};
    this.untold.set(id, report);
    this.news.notify();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted) {
      if (this.untold.size === 0) {
        await sleepUnlessNotified(clock, this.news, IDLE_MS, signal);
      } else {
        await this.tellCore();
        await clock.sleep(REPORT_EVERY_MS, signal);
      }
    }
  }

  private async tellCore(): Promise<void> {
    const {box, controls, link} = this.parts;
    const reports = [...this.untold.values()];
    const request: LimitsRequest = {box, reports};
    const service = FLEET_SERVICE.reportLimits;
    const question = {answerMs: ANSWER_MS, request, service};
    const reply = await askControls(link, controls(), question, () => true);
    if (reply === undefined) {
      return;
    }
    for (const report of reports) {
      if (this.untold.get(report.id) === report) {
        this.untold.delete(report.id);
      }
    }
  }
}
