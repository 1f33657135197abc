/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {CrashReport, QuarantineEntry} from 'puffinturn-quarantine';
import {EMPTY_CRASH_REPORT} from 'puffinturn-quarantine';
import {Condition, sleepUnlessNotified, TaskGroup} from 'shared';

import type {CrashReportOutcome} from './FleetMachine';
import type {CrashReportReply, CrashReportRequest} from './FleetMessages';
import {FLEET_SERVICE} from './FleetMessages';
import type {StateControlParts} from './StateControlParts';

/** Interval between checks for expired quarantines, ms. */
const EXPIRY_CHECK_INTERVAL_MS = 1_000;

/** Interval between checks for suspect prompt parts that nothing has cleared, ms. */
const PART_CHECK_INTERVAL_MS = 100;

/** Maximum number of crashed incarnations listed in one log line. */
const MAX_LOGGED_CRASHES = 16;

/** Maximum number of characters of an entry in an order that are logged. */
const MAX_LOGGED_ENTRY_LENGTH = 256;

/** Outcomes of an order to end a quarantine. */
export const RELEASE_OUTCOME = {
  released: 'released',
  /** No quorum stored it, or none could tell whether there is such an entry. */
  unavailable: 'unavailable',
  /** Nothing of this name is quarantined. */
  unknown: 'unknown',
} as const;

/** A value of RELEASE_OUTCOME. */
export type ReleaseOutcome =
  (typeof RELEASE_OUTCOME)[keyof typeof RELEASE_OUTCOME];

/** Dependencies of a QuarantineControl. */
export interface QuarantineControlParts extends StateControlParts {
  readonly self: {readonly box: string};
}

/**
 * Handles crash reports of edges at a control box. Followers forward them to the
 * leader, which commits them to the replicated log and ends expired quarantines.
 */
export class QuarantineControl implements AsyncDisposable {
  private readonly tasks = new TaskGroup();
  /** Notified when a report was recorded here. */
  private readonly reportAccepted = new Condition();
  private readonly handler: Disposable;

  constructor(private readonly parts: QuarantineControlParts) {
    this.handler = parts.link.register(FLEET_SERVICE.reportCrashes, (body) =>
      this.reportCrashes(body as CrashReportRequest),
    );
    this.tasks.start((signal) => this.updateQuarantine(signal));
  }

  /** Ends a quarantine by order of an operator. */
  async release(fingerprint: string): Promise<ReleaseOutcome> {
    const {log, self} = this.parts;
    const releasedSince = this.findEntry(fingerprint)?.since;
    const {isUnknown = false, taken} = await this.reportCrashes({
      box: self.box,
      releasedSince,
      report: {...EMPTY_CRASH_REPORT, released: [fingerprint]},
    });
    const outcome = taken
      ? RELEASE_OUTCOME.released
      : isUnknown
        ? RELEASE_OUTCOME.unknown
        : RELEASE_OUTCOME.unavailable;
    log.note({
      entry: fingerprint.slice(0, MAX_LOGGED_ENTRY_LENGTH),
      event: 'quarantine-release',
      listed: releasedSince !== undefined,
      outcome,
    });
    return outcome;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.handler[Symbol.dispose]();
    await this.tasks[Symbol.asyncDispose]();
  }

  private findEntry(fingerprint: string): QuarantineEntry | undefined {
    return this.parts.machine.quarantineEntries.find(
      (entry) => entry.fingerprint === fingerprint,
    );
  }

  private reportCrashes(
    request: CrashReportRequest,
  ): Promise<CrashReportReply> {
    return this.parts.leader.runOnLeader(
      FLEET_SERVICE.reportCrashes,
      request,
      {taken: false},
      async () => {
        if (this.isNoNews(request.report)) {
          return {taken: true};
        }
        return (
          (await this.findRefusal(request)) ?? this.recordAsLeader(request)
        );
      },
    );
  }

  /**
   * Why a release is not stored: it was delayed until its entry was quarantined anew, or may
   * have been; or the box that received it has no such entry. This may be because that box
   * has not applied the log in whole, as after its start; so only the leader can tell whether
   * there is none.
   */
  private async findRefusal({
    releasedSince = -Infinity,
    report: {released = []},
  }: CrashReportRequest): Promise<CrashReportReply | undefined> {
    const [fingerprint] = released;
    if (fingerprint === undefined) {
      return undefined;
    }
    const isCurrent = await this.parts.leader.passBarrier();
    const since = this.findEntry(fingerprint)?.since ?? -Infinity;
    if (!isCurrent || since > releasedSince) {
      return {taken: false};
    }
    return releasedSince === -Infinity
      ? {isUnknown: true, taken: false}
      : undefined;
  }

  /** Ends expired quarantines, and begins those of parts that nothing has cleared. */
  private async updateQuarantine(signal: AbortSignal): Promise<void> {
    const {clock, machine, replica, self} = this.parts;
    while (!signal.aborted) {
      const intervalMs = machine.hasSuspectParts
        ? PART_CHECK_INTERVAL_MS
        : EXPIRY_CHECK_INTERVAL_MS;
      await sleepUnlessNotified(clock, this.reportAccepted, intervalMs, signal);
      if (replica.isLeader && machine.isQuarantineUpdateDue(clock.wallTime())) {
        await this.recordAsLeader({box: self.box, report: EMPTY_CRASH_REPORT});
      }
    }
  }

  /** Whether a report only tells of answers that would clear nothing. */
  private isNoNews(report: CrashReport): boolean {
    const {answered, answeredParts = [], crashes, released = []} = report;
    const {clock, machine} = this.parts;
    const now = clock.wallTime();
    return (
      answeredParts.length > 0 &&
      answered.length + crashes.length + released.length === 0 &&
      !answeredParts.some((answer) => machine.wouldClear(answer, now))
    );
  }

  private async recordAsLeader({
    box,
    report,
  }: CrashReportRequest): Promise<CrashReportReply> {
    const {clock, leader, log, machine} = this.parts;
    const before = machine.quarantineEntries;
    const outcome = await leader.propose<CrashReportOutcome>({
      at: clock.wallTime(),
      kind: 'crash-report',
      report,
    });
    log.note({
      answered: report.answered.length,
      answeredParts: report.answeredParts
        ?.slice(0, MAX_LOGGED_CRASHES)
        .map(({feature}) => feature),
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
    this.logChanges(before);
    this.reportAccepted.notify();
    return {taken: outcome.isOk()};
  }

  /** Logs which entries were added or removed, with the evidence. */
  private logChanges(before: readonly QuarantineEntry[]): void {
    const {log, machine} = this.parts;
    const after = machine.quarantineEntries;
    const names = (entries: readonly QuarantineEntry[]) =>
      new Set(entries.map(({fingerprint}) => fingerprint));
    const [namesBefore, namesAfter] = [names(before), names(after)];
    const added = after.filter(
      ({fingerprint}) => !namesBefore.has(fingerprint),
    );
    const removed = before.filter(
      ({fingerprint}) => !namesAfter.has(fingerprint),
    );
    for (const {fingerprint, lives, since} of [...added, ...removed]) {
      log.note({
        crashes: lives,
        entry: fingerprint,
        event: 'quarantine-changed',
        quarantined: namesAfter.has(fingerprint),
        since,
      });
    }
  }
}
