/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Membership service of the leader: replies to heartbeats, aggregates the
 * reports of all boxes and fences incarnations whose heartbeats stop.
 */
import type {Ledger, LedgerRecord} from 'puffinturn-ledger';
import type {Replica} from 'puffinturn-log';
import {CrashRegistry, EMPTY_CRASH_REPORT} from 'puffinturn-quarantine';
import type {Timeline} from 'puffinturn-timeline';
import {EVENT_KIND} from 'puffinturn-timeline';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import {FailureDetector} from './FailureDetector';
import type {
  Heartbeat,
  HeartbeatReply,
  InFlightCount,
  MemberReply,
} from './MemberMessages';
import {MEMBER_SERVICE} from './MemberMessages';
import {
  MONITOR_INTERVAL_MS,
  REPORTED_GONE_TIMEOUT_FACTOR,
} from './MembershipConstants';

/** Dependencies of a HeartbeatMonitor. */
export interface HeartbeatMonitorParts {
  readonly clock: Clock;
  readonly ledger: Ledger;
  readonly link: Link;
  readonly replica: Replica;
  readonly timeline: Timeline;
  /** Whether the platform's list of machines, which lags, reports a box as gone. */
  readonly isGoneOnPlatform?: (box: string) => boolean;
}

interface MonitoredBox {
  readonly failureDetector: FailureDetector;
  lastHeartbeat: Heartbeat | undefined;
}

/** Replies to heartbeats and fences boxes that stop sending them. */
export class HeartbeatMonitor implements AsyncDisposable {
  private readonly monitoredBoxes = new Map<string, MonitoredBox>();
  private readonly tasks = new TaskGroup();
  private readonly registration: Disposable;
  private currentTerm = -1;
  /** Crash reports received in the current term. */
  private crashRegister = new CrashRegistry();
  /** Boxes whose quarantine was imported in the current term. */
  private readonly boxesWithReportedQuarantine = new Set<string>();

  constructor(private readonly parts: HeartbeatMonitorParts) {
    this.registration = parts.link.register(MEMBER_SERVICE, (body) =>
      this.handleHeartbeat(body as Heartbeat),
    );
    this.tasks.start((signal) => this.monitorBoxes(signal));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.registration[Symbol.dispose]();
    await this.tasks[Symbol.asyncDispose]();
  }

  private async handleHeartbeat(heartbeat: Heartbeat): Promise<MemberReply> {
    const {ledger, replica, timeline} = this.parts;
    const barrier = await replica.barrier();
    if (barrier.isErr()) {
      return {kind: 'not-leader', leader: replica.leaderBox};
    }
    timeline.clock.observe(heartbeat.stamp);
    this.resetOnNewTerm();
    this.recordCrashUpdate(heartbeat);
    const {box, incarnation} = heartbeat;
    const isRegistered =
      ledger.boxes.findIncarnation(box, incarnation) !== undefined;
    if (isRegistered) {
      this.recordHeartbeat(heartbeat);
    }
    for (const former of heartbeat.former) {
      this.releaseAdmissionsBelow(box, former.incarnation, former.floor);
    }
    return this.createReply(heartbeat, !isRegistered);
  }

  /**
   * Records a box's crash update. Its quarantine is imported only once per term:
   * this restores the state of the previous leader without reviving entries that
   * expire later in the term.
   */
  private recordCrashUpdate({box, crashNews}: Heartbeat): void {
    if (crashNews === undefined) {
      return;
    }
    const at = this.parts.clock.wallTime();
    this.crashRegister.applyReport(crashNews.report ?? EMPTY_CRASH_REPORT, at);
    if (!this.boxesWithReportedQuarantine.has(box)) {
      this.boxesWithReportedQuarantine.add(box);
      this.crashRegister.addQuarantined(crashNews.quarantined, at);
    }
  }

  private recordHeartbeat(heartbeat: Heartbeat): void {
    const now = this.parts.clock.now();
    const {box, floor, incarnation} = heartbeat;
    const monitoredBox = this.getOrCreateMonitoredBox(box, now);
    monitoredBox.failureDetector.recordHeartbeat(now);
    monitoredBox.lastHeartbeat = heartbeat;
    this.releaseAdmissionsBelow(box, incarnation, floor);
  }

  /** Releases admissions below `floor`, which their own process has closed. */
  private releaseAdmissionsBelow(
    box: string,
    incarnation: string,
    floor: number,
  ): void {
    const [lowestOpen] = this.parts.ledger.requests.openRequestsOf(
      box,
      incarnation,
    );
    if (lowestOpen !== undefined && lowestOpen.serial < floor) {
      const at = this.parts.clock.wallTime();
      this.propose({at, box, incarnation, kind: 'floor', serial: floor});
    }
  }

  private getOrCreateMonitoredBox(box: string, now: number): MonitoredBox {
    const existing = this.monitoredBoxes.get(box);
    if (existing !== undefined) {
      return existing;
    }
    const created = {
      failureDetector: new FailureDetector(now),
      lastHeartbeat: undefined,
    };
    this.monitoredBoxes.set(box, created);
    return created;
  }

  private createReply(heartbeat: Heartbeat, fenced: boolean): HeartbeatReply {
    const {ledger, timeline} = this.parts;
    return {
      boxes: ledger.boxes.all().map(({box, incarnation}) => ({
        box,
        incarnation,
        stopping:
          this.monitoredBoxes.get(box)?.lastHeartbeat?.stopping ?? false,
      })),
      configIndex: ledger.declarations.configIndex,
      entries:
        heartbeat.configIndex < ledger.declarations.configIndex
          ? ledger.declarations.changesSince(heartbeat.configIndex)
          : [],
      fenced,
      inFlight: this.inFlightOfOtherBoxes(heartbeat.box),
      kind: 'heartbeat',
      leaving: this.drainingUpstreams(),
      quarantine: this.crashRegister.quarantine,
      stamp: timeline.clock.tick(),
    };
  }

  private inFlightOfOtherBoxes(box: string): InFlightCount[] {
    const totals = new Map<string, InFlightCount>();
    for (const [sender, {lastHeartbeat}] of this.monitoredBoxes) {
      for (const item of sender === box
        ? []
        : (lastHeartbeat?.inFlight ?? [])) {
        const id = `${item.pool}\n${item.upstream}`;
        const count = (totals.get(id)?.count ?? 0) + item.count;
        totals.set(id, {...item, count});
      }
    }
    return [...totals.values()];
  }

  private drainingUpstreams(): string[] {
    const upstreams = new Set<string>();
    for (const {lastHeartbeat} of this.monitoredBoxes.values()) {
      lastHeartbeat?.leaving.forEach((upstream) => upstreams.add(upstream));
    }
    return [...upstreams];
  }

  private async monitorBoxes(signal: AbortSignal): Promise<void> {
    const {clock, replica} = this.parts;
    while (!signal.aborted) {
      await clock.sleep(MONITOR_INTERVAL_MS, signal);
      if (replica.isLeader) {
        this.resetOnNewTerm();
        this.fenceSilentBoxes();
      }
    }
  }

  /**
   * Discards all state on a new term. A new leader has received no heartbeats
   * yet, so the timeout of every box starts again.
   */
  private resetOnNewTerm(): void {
    const {term} = this.parts.replica.status();
    if (term !== this.currentTerm) {
      this.currentTerm = term;
      this.monitoredBoxes.clear();
      this.crashRegister = new CrashRegistry();
      this.boxesWithReportedQuarantine.clear();
    }
  }

  private fenceSilentBoxes(): void {
    const {clock, isGoneOnPlatform, ledger, timeline} = this.parts;
    const now = clock.now();
    for (const {box, incarnation} of ledger.boxes.all()) {
      const {failureDetector} = this.getOrCreateMonitoredBox(box, now);
      const isReportedGone = isGoneOnPlatform?.(box) === true;
      const timeoutFactor = isReportedGone ? REPORTED_GONE_TIMEOUT_FACTOR : 1;
      if (
        failureDetector.sinceLastHeartbeatMs(now) >
        failureDetector.timeoutMs * timeoutFactor
      ) {
        const at = clock.wallTime();
        this.monitoredBoxes.delete(box);
        timeline.note(EVENT_KIND.boxFenced, {detail: box});
        this.propose({at, box, incarnation, kind: 'fence'});
      }
    }
  }

  private propose(record: LedgerRecord): void {
    // A failed proposal is retried by the next check or heartbeat.
    void this.parts.replica.propose(record).unwrapOr(undefined);
  }
}
