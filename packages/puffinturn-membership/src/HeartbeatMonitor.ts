/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The leader's side of membership: answers heartbeats, adds up what boxes
 * report, and fences processes that have gone silent.
 */
import type {Ledger, LedgerRecord} from 'puffinturn-ledger';
import type {Replica} from 'puffinturn-log';
import {CrashRegistry, EMPTY_CRASH_REPORT} from 'puffinturn-quarantine';
import type {Timeline} from 'puffinturn-timeline';
import {EVENT_KIND} from 'puffinturn-timeline';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import type {
  Heartbeat,
  HeartbeatReply,
  MemberReply,
  UpstreamCount,
} from './MemberMessages';
import {MEMBER_SERVICE} from './MemberMessages';
import {HINTED_SUSPICION_SHARE, MONITOR_EVERY_MS} from './MembershipConstants';
import {Suspicion} from './Suspicion';

/** What the monitor needs. */
export interface HeartbeatMonitorParts {
  readonly clock: Clock;
  readonly ledger: Ledger;
  readonly link: Link;
  readonly replica: Replica;
  readonly timeline: Timeline;
  /** Whether the platform's list, which lags, calls a box gone. */
  readonly isListedGone?: (box: string) => boolean;
}

interface Watched {
  readonly suspicion: Suspicion;
  newest: Heartbeat | undefined;
}

/** See the module comment. */
export class HeartbeatMonitor implements AsyncDisposable {
  private readonly watched = new Map<string, Watched>();
  private readonly tasks = new TaskGroup();
  private readonly registration: Disposable;
  private ledTerm = -1;
  /** Requests that crash upstreams, as told in this term. */
  private crashes = new CrashRegistry();
  /** Boxes that have told which requests they refuse. */
  private readonly toldQuarantine = new Set<string>();

  constructor(private readonly parts: HeartbeatMonitorParts) {
    this.registration = parts.link.register(MEMBER_SERVICE, (body) =>
      this.answer(body as Heartbeat),
    );
    this.tasks.start((signal) => this.run(signal));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.registration[Symbol.dispose]();
    await this.tasks[Symbol.asyncDispose]();
  }

  private async answer(heartbeat: Heartbeat): Promise<MemberReply> {
    const {ledger, replica, timeline} = this.parts;
    const current = await replica.barrier();
    if (current.isErr()) {
      return {kind: 'not-leader', leader: replica.leaderBox};
    }
    timeline.clock.observe(heartbeat.stamp);
    this.followTerm();
    this.hearCrashes(heartbeat);
    const {box, incarnation} = heartbeat;
    const known = ledger.boxes.findIncarnation(box, incarnation) !== undefined;
    if (known) {
      this.note(heartbeat);
    }
    for (const former of heartbeat.former) {
      this.releaseBelow(box, former.incarnation, former.floor);
    }
    return this.reply(heartbeat, !known);
  }

  /**
   * What a box refuses counts with its first word in a term only: so a new leader
   * knows what the former one knew, and what has ended since does not come back.
   */
  private hearCrashes({box, crashNews}: Heartbeat): void {
    if (crashNews === undefined) {
      return;
    }
    const at = this.parts.clock.wallTime();
    this.crashes.applyReport(crashNews.report ?? EMPTY_CRASH_REPORT, at);
    if (!this.toldQuarantine.has(box)) {
      this.toldQuarantine.add(box);
      this.crashes.addQuarantined(crashNews.quarantined, at);
    }
  }

  private note(heartbeat: Heartbeat): void {
    const now = this.parts.clock.now();
    const {box, floor, incarnation} = heartbeat;
    const watched = this.watchedOf(box, now);
    watched.suspicion.heard(now);
    watched.newest = heartbeat;
    this.releaseBelow(box, incarnation, floor);
  }

  /** Releases admissions that their own process has given up. */
  private releaseBelow(box: string, incarnation: string, floor: number): void {
    const [oldest] = this.parts.ledger.requests.openRequestsOf(
      box,
      incarnation,
    );
    if (oldest !== undefined && oldest.serial < floor) {
      const at = this.parts.clock.wallTime();
      this.propose({at, box, incarnation, kind: 'floor', serial: floor});
    }
  }

  private watchedOf(box: string, now: number): Watched {
    const known = this.watched.get(box);
    if (known !== undefined) {
      return known;
    }
    const watched = {newest: undefined, suspicion: new Suspicion(now)};
    this.watched.set(box, watched);
    return watched;
  }

  private reply(heartbeat: Heartbeat, fenced: boolean): HeartbeatReply {
    const {ledger, timeline} = this.parts;
    return {
      boxes: ledger.boxes.all().map(({box, incarnation}) => ({
        box,
        incarnation,
        stopping: this.watched.get(box)?.newest?.stopping ?? false,
      })),
      configIndex: ledger.declarations.configIndex,
      entries:
        heartbeat.configIndex < ledger.declarations.configIndex
          ? ledger.declarations.changesSince(heartbeat.configIndex)
          : [],
      fenced,
      inFlight: this.othersInFlight(heartbeat.box),
      kind: 'heartbeat',
      leaving: this.allLeaving(),
      quarantine: this.crashes.quarantine,
      stamp: timeline.clock.tick(),
    };
  }

  private othersInFlight(box: string): UpstreamCount[] {
    const sums = new Map<string, UpstreamCount>();
    for (const [other, {newest}] of this.watched) {
      for (const item of other === box ? [] : (newest?.inFlight ?? [])) {
        const id = `${item.pool}\n${item.upstream}`;
        const count = (sums.get(id)?.count ?? 0) + item.count;
        sums.set(id, {...item, count});
      }
    }
    return [...sums.values()];
  }

  private allLeaving(): string[] {
    const leaving = new Set<string>();
    for (const {newest} of this.watched.values()) {
      newest?.leaving.forEach((upstream) => leaving.add(upstream));
    }
    return [...leaving];
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock, replica} = this.parts;
    while (!signal.aborted) {
      await clock.sleep(MONITOR_EVERY_MS, signal);
      if (replica.isLeader) {
        this.followTerm();
        this.fenceSilent();
      }
    }
  }

  /** A new leader has heard nobody yet; every box gets its time anew. */
  private followTerm(): void {
    const {term} = this.parts.replica.status();
    if (term !== this.ledTerm) {
      this.ledTerm = term;
      this.watched.clear();
      this.crashes = new CrashRegistry();
      this.toldQuarantine.clear();
    }
  }

  private fenceSilent(): void {
    const {clock, isListedGone, ledger, timeline} = this.parts;
    const now = clock.now();
    for (const {box, incarnation} of ledger.boxes.all()) {
      const {suspicion} = this.watchedOf(box, now);
      const hinted = isListedGone?.(box) === true;
      const share = hinted ? HINTED_SUSPICION_SHARE : 1;
      if (suspicion.silenceMs(now) > suspicion.patienceMs * share) {
        const at = clock.wallTime();
        this.watched.delete(box);
        timeline.note(EVENT_KIND.boxFenced, {detail: box});
        this.propose({at, box, incarnation, kind: 'fence'});
      }
    }
  }

  private propose(record: LedgerRecord): void {
    // Without an outcome the next round proposes it again.
    void this.parts.replica.propose(record).unwrapOr(undefined);
  }
}
