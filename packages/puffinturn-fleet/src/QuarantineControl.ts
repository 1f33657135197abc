/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {DecisionLog} from 'puffinturn-decisions';
import type {Replica} from 'puffinturn-log';
import {EMPTY_CRASH_REPORT} from 'puffinturn-quarantine';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import type {CrashReportOutcome, FleetMachine} from './FleetMachine';
import type {CrashReportReply, CrashReportRequest} from './FleetMessages';
import {FLEET_SERVICE} from './FleetMessages';
import type {LeaderCalls} from './LeaderCalls';

/** Interval between checks for expired quarantines, ms. */
const EXPIRY_CHECK_INTERVAL_MS = 60_000;

/** Maximum number of crashed incarnations listed in one log line. */
const MAX_LOGGED_CRASHES = 16;

/** Dependencies of a QuarantineControl. */
export interface QuarantineControlParts {
  readonly clock: Clock;
  readonly leader: LeaderCalls;
  readonly link: Link;
  readonly log: DecisionLog;
  readonly self: {readonly box: string};
  readonly machine: FleetMachine;
  readonly replica: Replica;
}

/**
 * Handles crash reports of edges at a control box. Followers forward them to the
 * leader, which commits them to the replicated log and ends expired quarantines.
 */
export class QuarantineControl implements AsyncDisposable {
  private readonly tasks = new TaskGroup();
  private readonly handler: Disposable;

  constructor(private readonly parts: QuarantineControlParts) {
    this.handler = parts.link.register(FLEET_SERVICE.reportCrashes, (body) =>
      this.reportCrashes(body as CrashReportRequest),
    );
    this.tasks.start((signal) => this.expireQuarantines(signal));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.handler[Symbol.dispose]();
    await this.tasks[Symbol.asyncDispose]();
  }

  private reportCrashes(
    request: CrashReportRequest,
  ): Promise<CrashReportReply> {
    return this.parts.leader.runOnLeader(
      FLEET_SERVICE.reportCrashes,
      request,
      {taken: false},
      () => this.recordAsLeader(request),
    );
  }

  private async expireQuarantines(signal: AbortSignal): Promise<void> {
    const {clock, machine, replica, self} = this.parts;
    while (!signal.aborted) {
      await clock.sleep(EXPIRY_CHECK_INTERVAL_MS, signal);
      if (replica.isLeader && machine.hasQuarantineExpired(clock.wallTime())) {
        await this.recordAsLeader({box: self.box, report: EMPTY_CRASH_REPORT});
      }
    }
  }

  private async recordAsLeader({
    box,
    report,
  }: CrashReportRequest): Promise<CrashReportReply> {
    const {clock, leader, log} = this.parts;
    const outcome = await leader.propose<CrashReportOutcome>({
      at: clock.wallTime(),
      kind: 'crash-report',
      report,
    });
    log.note({
      answered: report.answered.length,
      count: report.crashes.length,
      crashes: report.crashes
        .slice(0, MAX_LOGGED_CRASHES)
        .map(({life}) => life),
      edge: box,
      event: 'crashes-reported',
      outcome: outcome.isOk() ? 'accepted' : outcome.error.kind,
      quarantined: outcome.isOk()
        ? outcome.value.quarantine.fingerprints.length
        : undefined,
    });
    return {taken: outcome.isOk()};
  }
}
