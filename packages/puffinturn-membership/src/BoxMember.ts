/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * A box's own side of membership: registers its process, tells the leader of
 * itself, and takes over the configuration that comes back.
 */
import type {ControlClient} from 'puffinturn-ledger';
import type {Timeline} from 'puffinturn-timeline';
import {EVENT_KIND} from 'puffinturn-timeline';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import {FleetConfig} from './FleetConfig';
import type {
  BoxNews,
  CrashNews,
  Heartbeat,
  HeartbeatReply,
  MemberReply,
  UpstreamCount,
} from './MemberMessages';
import {MEMBER_SERVICE} from './MemberMessages';
import {
  CONFIG_LEASE_MS,
  HEARTBEAT_CALL_MS,
  HEARTBEAT_MS,
} from './MembershipConstants';
import {OpenAdmissions} from './OpenAdmissions';

const REGISTER_TIMEOUT_MS = 5_000;

/** Fenced incarnations whose admissions are still reported. */
const MAX_FORMER = 5;

interface Former {
  readonly incarnation: string;
  readonly admissions: OpenAdmissions;
}

/** What a heartbeat tells of crashes. */
export interface CrashTelling {
  readonly news: CrashNews;
  /** Called once the leader has it. */
  readonly taken: () => void;
}

/** What a member needs. */
export interface BoxMemberParts {
  readonly box: string;
  readonly hall: string;
  readonly clock: Clock;
  readonly link: Link;
  readonly control: ControlClient;
  readonly controlBoxes: readonly string[];
  readonly timeline: Timeline;
  /** A name that no process of this box has had. */
  readonly newIncarnation: () => string;
  /** What this box has in flight to upstreams. */
  readonly inFlight: () => readonly UpstreamCount[];
  /** Upstreams that told this box that they are leaving. */
  readonly leaving: () => readonly string[];
  /** What this box knows of requests that crash upstreams. */
  readonly crashes: () => CrashTelling;
  /** Takes over what all other boxes report. */
  readonly onNews: (news: HeartbeatReply) => void;
}

/** See the module comment. */
export class BoxMember implements AsyncDisposable {
  /** The process's name in the ledger; changes when it was fenced. */
  incarnation: string;
  /** Admissions of this incarnation that are open. */
  admissions = new OpenAdmissions();
  /** The configuration in force as far as this box knows. */
  config = FleetConfig.empty;
  /** Other boxes of the region. */
  boxes: readonly BoxNews[] = [];
  private former: readonly Former[] = [];
  private refreshing: Promise<void> | undefined;
  private stopping = false;
  private registered = false;
  private currentUntil = -Infinity;
  private leader: string | undefined;
  private turn = 0;
  private readonly tasks = new TaskGroup();

  constructor(private readonly parts: BoxMemberParts) {
    this.incarnation = parts.newIncarnation();
    this.tasks.start((signal) => this.run(signal));
  }

  /**
   * Whether this box may start new work: registered, and its configuration
   * was proved current a short while ago.
   */
  get isReady(): boolean {
    const current = this.parts.clock.now() < this.currentUntil;
    return this.registered && current && this.config.index > 0;
  }

  /**
   * Asks the leader for the configuration now; true when it has changed.
   * Callers at the same time share one question.
   */
  async refresh(): Promise<boolean> {
    const {index} = this.config;
    this.refreshing ??= this.beat().finally(() => {
      this.refreshing = undefined;
    });
    await this.refreshing;
    return this.config.index > index;
  }

  /** Waits until the configuration is at least at `index`. */
  async waitForConfig(index: number, timeoutMs: number): Promise<boolean> {
    const {clock} = this.parts;
    const end = clock.now() + timeoutMs;
    while (this.config.index < index && clock.now() < end) {
      await this.refresh();
      if (this.config.index < index) {
        await clock.sleep(HEARTBEAT_MS / 10);
      }
    }
    return this.config.index >= index;
  }

  /** Tells the others at once that this box takes no new work. */
  async announceStop(): Promise<void> {
    this.stopping = true;
    await this.beat();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.registered) {
        await this.register();
      }
      await this.beat();
      await this.parts.clock.sleep(HEARTBEAT_MS, signal);
    }
  }

  private async register(): Promise<void> {
    const {box, clock, control, hall, timeline} = this.parts;
    const {incarnation} = this;
    const outcome = await control.submit(
      {at: clock.wallTime(), box, hall, incarnation, kind: 'register'},
      {timeoutMs: REGISTER_TIMEOUT_MS},
    );
    if (outcome.isErr()) {
      return;
    }
    if (outcome.value.kind === 'noted') {
      this.registered = true;
      timeline.note(EVENT_KIND.boxRegistered, {detail: incarnation});
    } else {
      this.renew();
    }
  }

  /** Goes on as a new process after this one was fenced. */
  private renew(): void {
    this.registered = false;
    const {admissions, incarnation} = this;
    this.former = [...this.former, {admissions, incarnation}].slice(
      -MAX_FORMER,
    );
    this.incarnation = this.parts.newIncarnation();
    this.admissions = new OpenAdmissions();
  }

  private async beat(): Promise<void> {
    const {clock, link, timeline} = this.parts;
    const sentAt = clock.now();
    const {incarnation} = this;
    const crashes = this.parts.crashes();
    const answer = await link.call(
      this.target(),
      MEMBER_SERVICE,
      this.heartbeat(crashes.news),
      HEARTBEAT_CALL_MS,
    );
    const reply = answer.isOk() ? (answer.value as MemberReply) : undefined;
    if (reply?.kind !== 'heartbeat') {
      this.turn += 1;
      this.leader = reply?.leader;
      return;
    }
    timeline.clock.observe(reply.stamp);
    crashes.taken();
    this.currentUntil = Math.max(this.currentUntil, sentAt + CONFIG_LEASE_MS);
    this.adopt(reply);
    if (reply.fenced && this.registered && this.incarnation === incarnation) {
      this.renew();
    }
  }

  private heartbeat(crashNews: CrashNews): Heartbeat {
    const {box, inFlight, leaving, timeline} = this.parts;
    return {
      box,
      configIndex: this.config.index,
      crashNews,
      floor: this.admissions.floor,
      former: this.former.map(({admissions, incarnation}) => ({
        floor: admissions.floor,
        incarnation,
      })),
      inFlight: inFlight(),
      incarnation: this.incarnation,
      kind: 'heartbeat',
      leaving: leaving(),
      stamp: timeline.clock.tick(),
      stopping: this.stopping,
    };
  }

  private target(): string {
    const {box, controlBoxes} = this.parts;
    return this.leader ?? controlBoxes[this.turn % controlBoxes.length] ?? box;
  }

  private adopt(reply: HeartbeatReply): void {
    const former = this.config;
    this.config = former.with(reply.entries, reply.configIndex);
    this.boxes = reply.boxes;
    this.parts.onNews(reply);
    if (this.config !== former) {
      const detail = `index ${this.config.index}`;
      this.parts.timeline.note(EVENT_KIND.configChanged, {detail});
    }
  }
}
