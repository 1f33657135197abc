/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Membership client of one box: registers its incarnation, sends heartbeats to
 * the leader and applies the configuration changes in the replies.
 */
import type {ControlClient} from 'puffinturn-ledger';
import type {Timeline} from 'puffinturn-timeline';
import {EVENT_KIND} from 'puffinturn-timeline';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import {FleetConfig} from './FleetConfig';
import type {
  BoxStatus,
  CrashUpdate,
  Heartbeat,
  HeartbeatReply,
  InFlightCount,
  MemberReply,
} from './MemberMessages';
import {MEMBER_SERVICE} from './MemberMessages';
import {
  CONFIG_LEASE_MS,
  HEARTBEAT_INTERVAL_MS,
  HEARTBEAT_TIMEOUT_MS,
} from './MembershipConstants';
import {OpenAdmissions} from './OpenAdmissions';

const REGISTER_TIMEOUT_MS = 5_000;

/** Fenced incarnations whose open admissions are still reported. */
const MAX_FENCED_INCARNATIONS = 5;

interface FencedIncarnation {
  readonly incarnation: string;
  readonly admissions: OpenAdmissions;
}

/** A crash update for one heartbeat, with its acknowledgement callback. */
export interface PendingCrashUpdate {
  readonly update: CrashUpdate;
  /** Called after the leader has acknowledged the update. */
  readonly acknowledge: () => void;
}

/** Dependencies of a BoxMember. */
export interface BoxMemberParts {
  readonly box: string;
  readonly hall: string;
  readonly clock: Clock;
  readonly link: Link;
  readonly control: ControlClient;
  readonly controlBoxes: readonly string[];
  readonly timeline: Timeline;
  /** Returns an incarnation identifier that this box has never used. */
  readonly createIncarnationId: () => string;
  /** Requests in flight from this box, per upstream. */
  readonly inFlight: () => readonly InFlightCount[];
  /** Upstreams that have announced to this box that they are shutting down. */
  readonly drainingUpstreams: () => readonly string[];
  /** Returns the crash update for the next heartbeat. */
  readonly pendingCrashUpdate: () => PendingCrashUpdate;
  /** Called with each heartbeat reply, after the configuration is updated. */
  readonly onHeartbeatReply: (reply: HeartbeatReply) => void;
}

/** Registers a box, sends its heartbeats and holds its configuration. */
export class BoxMember implements AsyncDisposable {
  /** Identifies this run of the process; replaced after it is fenced. */
  incarnation: string;
  /** Open admissions of the current incarnation. */
  admissions = new OpenAdmissions();
  /** The newest configuration that this box has received. */
  config = FleetConfig.empty;
  /** Registered boxes of the region, from the last heartbeat reply. */
  boxes: readonly BoxStatus[] = [];
  private fencedIncarnations: readonly FencedIncarnation[] = [];
  private pendingRefresh: Promise<void> | undefined;
  private isStopping = false;
  private isRegistered = false;
  private configLeaseEndsAt = -Infinity;
  private leader: string | undefined;
  /** Number of heartbeats without a reply of the leader; selects the next control box. */
  private tries = 0;
  private readonly tasks = new TaskGroup();

  constructor(private readonly parts: BoxMemberParts) {
    this.incarnation = parts.createIncarnationId();
    this.tasks.start((signal) => this.sendHeartbeats(signal));
  }

  /** Whether this box is registered and has a configuration with a valid lease. */
  get isReady(): boolean {
    const hasConfigLease = this.parts.clock.now() < this.configLeaseEndsAt;
    return this.isRegistered && hasConfigLease && this.config.index > 0;
  }

  /**
   * Sends a heartbeat now and returns whether the configuration has changed.
   * Concurrent callers share one heartbeat.
   */
  async refreshConfig(): Promise<boolean> {
    const {index} = this.config;
    this.pendingRefresh ??= this.sendHeartbeat().finally(() => {
      this.pendingRefresh = undefined;
    });
    await this.pendingRefresh;
    return this.config.index > index;
  }

  /** Waits for configuration `index` or newer; returns false on timeout. */
  async waitForConfig(index: number, timeoutMs: number): Promise<boolean> {
    const {clock} = this.parts;
    const deadline = clock.now() + timeoutMs;
    while (this.config.index < index && clock.now() < deadline) {
      await this.refreshConfig();
      if (this.config.index < index) {
        await clock.sleep(HEARTBEAT_INTERVAL_MS / 10);
      }
    }
    return this.config.index >= index;
  }

  /** Announces immediately that this box accepts no new work. */
  async announceStop(): Promise<void> {
    this.isStopping = true;
    await this.sendHeartbeat();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async sendHeartbeats(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.isRegistered) {
        await this.registerIncarnation();
      }
      await this.sendHeartbeat();
      await this.parts.clock.sleep(HEARTBEAT_INTERVAL_MS, signal);
    }
  }

  private async registerIncarnation(): Promise<void> {
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
      this.isRegistered = true;
      timeline.note(EVENT_KIND.boxRegistered, {detail: incarnation});
    } else {
      this.startNewIncarnation();
    }
  }

  /** Continues under a new incarnation after this one was fenced. */
  private startNewIncarnation(): void {
    this.isRegistered = false;
    const {admissions, incarnation} = this;
    this.fencedIncarnations = [
      ...this.fencedIncarnations,
      {admissions, incarnation},
    ].slice(-MAX_FENCED_INCARNATIONS);
    this.incarnation = this.parts.createIncarnationId();
    this.admissions = new OpenAdmissions();
  }

  private async sendHeartbeat(): Promise<void> {
    const {clock, link, timeline} = this.parts;
    const sentAt = clock.now();
    const {incarnation} = this;
    const crashes = this.parts.pendingCrashUpdate();
    const result = await link.call(
      this.heartbeatTarget(),
      MEMBER_SERVICE,
      this.createHeartbeat(crashes.update),
      HEARTBEAT_TIMEOUT_MS,
    );
    const reply = result.isOk() ? (result.value as MemberReply) : undefined;
    if (reply?.kind !== 'heartbeat') {
      this.tries += 1;
      this.leader = reply?.leader;
      return;
    }
    timeline.clock.observe(reply.stamp);
    crashes.acknowledge();
    this.configLeaseEndsAt = Math.max(
      this.configLeaseEndsAt,
      sentAt + CONFIG_LEASE_MS,
    );
    this.applyReply(reply);
    if (reply.fenced && this.isRegistered && this.incarnation === incarnation) {
      this.startNewIncarnation();
    }
  }

  private createHeartbeat(crashNews: CrashUpdate): Heartbeat {
    const {box, inFlight, drainingUpstreams, timeline} = this.parts;
    return {
      box,
      configIndex: this.config.index,
      crashNews,
      floor: this.admissions.lowestOpenSerial,
      former: this.fencedIncarnations.map(({admissions, incarnation}) => ({
        floor: admissions.lowestOpenSerial,
        incarnation,
      })),
      inFlight: inFlight(),
      incarnation: this.incarnation,
      kind: 'heartbeat',
      leaving: drainingUpstreams(),
      stamp: timeline.clock.tick(),
      stopping: this.isStopping,
    };
  }

  private heartbeatTarget(): string {
    const {box, controlBoxes} = this.parts;
    return this.leader ?? controlBoxes[this.tries % controlBoxes.length] ?? box;
  }

  private applyReply(reply: HeartbeatReply): void {
    const previous = this.config;
    this.config = previous.withEntries(reply.entries, reply.configIndex);
    this.boxes = reply.boxes;
    this.parts.onHeartbeatReply(reply);
    if (this.config !== previous) {
      const detail = `index ${this.config.index}`;
      this.parts.timeline.note(EVENT_KIND.configChanged, {detail});
    }
  }
}
