/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Reports of crashes at a control box: at the leader, through the log. While this box
 * leads it also sees that a quarantine ends when its time is over.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Replica} from 'puffinturn-log';
import {NO_REPORT} from 'puffinturn-quarantine';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import type {CrashReportOutcome, FleetMachine} from './FleetMachine';
import type {CrashReply, CrashRequest} from './FleetMessages';
import {FLEET_SERVICE} from './FleetMessages';
import type {LeaderCalls} from './LeaderCalls';

/** How often to look whether the time of a quarantined request is over, ms. */
const LOOK_MS = 60_000;

/** Lives named in one line of the log; the count tells of the others. */
const LOGGED_AT_MOST = 16;

/** What a QuarantineControl is made of. */
export interface QuarantineControlParts {
  readonly clock: Clock;
  readonly leader: LeaderCalls;
  readonly link: Link;
  readonly log: DecisionLog;
  readonly self: {readonly box: string};
  readonly machine: FleetMachine;
  readonly replica: Replica;
}

/** See the module comment. */
export class QuarantineControl implements AsyncDisposable {
  private readonly tasks = new TaskGroup();
  private readonly handler: Disposable;

  constructor(private readonly parts: QuarantineControlParts) {
    this.handler = parts.link.register(FLEET_SERVICE.reportCrashes, (body) =>
      this.take(body as CrashRequest),
    );
    this.tasks.start((signal) => this.endQuarantines(signal));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.handler[Symbol.dispose]();
    await this.tasks[Symbol.asyncDispose]();
  }

  private take(request: CrashRequest): Promise<CrashReply> {
    return this.parts.leader.atLeader(
      FLEET_SERVICE.reportCrashes,
      request,
      {taken: false},
      () => this.takeHere(request),
    );
  }

  private async endQuarantines(signal: AbortSignal): Promise<void> {
    const {clock, machine, replica, self} = this.parts;
    while (!signal.aborted) {
      await clock.sleep(LOOK_MS, signal);
      if (replica.isLeader && machine.isQuarantineOver(clock.wallTime())) {
        await this.takeHere({box: self.box, report: NO_REPORT});
      }
    }
  }

  private async takeHere({box, report}: CrashRequest): Promise<CrashReply> {
    const {clock, leader, log} = this.parts;
    const outcome = await leader.propose<CrashReportOutcome>({
      at: clock.wallTime(),
      kind: 'crash-report',
      report,
    });
    log.note({
      answered: report.answered.length,
      count: report.crashes.length,
      crashes: report.crashes.slice(0, LOGGED_AT_MOST).map(({life}) => life),
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
