/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Long-polls the control boxes for updates, with one task per control box. Control boxes
 * are discovered from the seeds and then from the replies. Only a limited number of them is
 * polled; the others are on standby until one of these is unreachable or knows no leader.
 * Unreachable ones are retried, and the state received from them stays valid.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Quarantine} from 'puffinturn-quarantine';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {Condition, hash32, sleepUnlessNotified, TaskGroup} from 'shared';

import type {BoxChanges} from './BoxList';
import type {FleetConfiguration} from './Configuration';
import type {ConfigurationChange} from './ConfigurationChange';
import {ConfigurationLag} from './ConfigurationLag';
import type {Evacuations} from './Evacuations';
import type {BoxRecord, WatchReply, WatchRequest} from './FleetMessages';
import {BOX_ROLE, FLEET_SERVICE} from './FleetMessages';
import {Regions} from './Regions';
import type {Rollouts} from './Rollouts';
import {StateFreshness} from './StateFreshness';
import type {UpstreamRecord} from './UpstreamTable';

/**
 * How long the preferred control box may delay its reply, ms. The state confirmed by a reply
 * is up to half a second old, and the next reply has to come before RENEWAL_AGE_MS.
 */
const LONG_POLL_MS = 900;

/** The same for the other polled control boxes, which only add to the preferred one, ms. */
const BRIEF_LONG_POLL_MS = 2_000;

/**
 * Age of the state from which all control boxes are asked over new connections, ms. Below
 * half of the time within which a change has to be in force would cost more polls; above,
 * too little time would remain for a slow answer.
 */
const RENEWAL_AGE_MS = 1_500;

/** Minimum interval between two renewals while the state stays old, ms. */
const RENEWAL_INTERVAL_MS = 1_000;

/** Age of the state from which requests wait for a renewal that began late, ms. */
const LATE_RENEWAL_AGE_MS = 2_000;

/** Longest time that requests wait for such a renewal, ms: some round trips. */
const MAX_CATCH_UP_MS = 200;

/** A connection that received nothing for this time is replaced in a renewal, ms. */
const QUIET_CONNECTION_MS = 500;

/** Minimum interval between two checks of the age, ms. */
const MIN_AGE_CHECK_INTERVAL_MS = 50;

/** Interval at which seeds are read and standby control boxes are reconsidered, ms. */
const SELECTION_INTERVAL_MS = 1_000;

/** Time allowed for the reply beyond the delay of the control box, ms. */
const REPLY_TIMEOUT_MS = 500;

/** Minimum timeout of a poll, ms; it must end before the next renewal supersedes it. */
const MIN_POLL_TIMEOUT_MS = 900;

/** Delay after the first failed call, ms; doubles with each further failure. */
const MIN_RETRY_DELAY_MS = 150;

/** Longest delay after failed calls, ms. */
const MAX_RETRY_DELAY_MS = 600;

/** Pause between a reply and the next request, ms, so that updates are batched. */
const POLL_PAUSE_MS = 25;

/** A control box that is not a seed is removed after this time without a reply, ms. */
const PEER_EXPIRY_MS = 20_000;

/** Distance classes of control boxes; the nearest ones are polled first. */
const DISTANCE = {ownHall: 0, ownRegion: 1, otherRegion: 2} as const;

/** How a poll ended. */
const POLL_OUTCOME = {
  answered: 'answered',
  failed: 'failed',
  /** A renewal began before a reply came. */
  superseded: 'superseded',
} as const;

type PollOutcome = (typeof POLL_OUTCOME)[keyof typeof POLL_OUTCOME];

/** Where a configuration came from. */
export interface ConfigurationOrigin {
  readonly box: string;
  /** Longest time for which that box may have had it, ms; undefined if it doesn't tell. */
  readonly delayMs: number | undefined;
}

/** Receives the updates of a FleetWatch. */
export abstract class FleetUpdateHandler {
  /** The current configuration version; -Infinity without one. */
  abstract get configurationVersion(): number;
  abstract onConfiguration(
    update: FleetConfiguration,
    origin: ConfigurationOrigin,
  ): void;
  /** Applies a difference; ignored if its base is not the current configuration. */
  abstract onConfigurationChange(
    change: ConfigurationChange,
    origin: ConfigurationOrigin,
  ): void;
  /** The current revision of the evacuations. */
  abstract get evacuationRevision(): number;
  abstract onEvacuations(update: Evacuations, source: string): void;
  /** The current revision of the rollouts. */
  abstract get rolloutRevision(): number;
  abstract onRollouts(update: Rollouts, source: string): void;
  /** The current revision of the quarantine. */
  abstract get quarantineRevision(): number;
  abstract onQuarantine(update: Quarantine, source: string): void;
  abstract onUpstreams(
    records: readonly UpstreamRecord[],
    source: string,
  ): void;
  abstract onBoxes(records: readonly BoxRecord[], source: string): void;
}

/** Constructor arguments of FleetWatch. */
export interface FleetWatchParts {
  readonly self: BoxRecord;
  /** Addresses of the seeds, IP:PORT; may change. */
  readonly seeds: () => readonly string[];
  readonly clock: Clock;
  readonly link: Link;
  readonly log: DecisionLog;
  readonly updateHandler: FleetUpdateHandler;
  /** Number of control boxes to poll once current; Infinity for all. */
  readonly maxPolledControls: number;
  /** The region of each hall; by default all halls are in one region. */
  readonly regions?: Regions | undefined;
}

interface ControlPeer {
  readonly box: string;
  /** Undefined until the control box appears in a list of boxes. */
  hall: string | undefined;
  /** Boxes that it has reported, by address. */
  readonly boxes: Map<string, BoxRecord>;
  incarnation: string;
  upstreamsRevision: number;
  boxesRevision: number;
  lastReplyAt: number | undefined;
  isReachable: boolean;
  /** Whether it has passed a barrier of the log for a reply. */
  hasCurrentReply: boolean;
  /**
   * Whether the last call failed or its reply named no leader. It may then be partitioned
   * from the quorum, and its data may be stale.
   */
  isUnhealthy: boolean;
  lastPollAt: number;
  /** Number of the latest poll. */
  pollCount: number;
  /** The latest poll whose reply was applied. */
  appliedPoll: number;
  /** Hash that orders control boxes at the same distance. */
  readonly rank: number;
}

/** Long-polls the control boxes of a fleet for updates. */
export class FleetWatch implements AsyncDisposable {
  private readonly peers = new Map<string, ControlPeer>();
  private readonly tasks = new TaskGroup();
  /** Notified when another set of control boxes may have to be polled. */
  private readonly selectionChanged = new Condition();
  /** Notified when pending polls must not be waited for any more. */
  private readonly renewalStarted = new Condition();
  /** Time of the last renewal; undefined if the state was confirmed since. */
  private lastRenewalAt: number | undefined;
  /** Until when requests wait for the state to be confirmed. */
  private catchUpUntil = -Infinity;
  private leaderBox: string | undefined;
  /** The control box whose list of boxes was applied last. */
  private boxListSource: string | undefined;
  private readonly lag: ConfigurationLag;
  /** How recent the received state is. */
  readonly freshness: StateFreshness;
  private readonly regions: Regions;

  constructor(private readonly parts: FleetWatchParts) {
    this.regions = parts.regions ?? new Regions();
    const {clock, log, updateHandler} = parts;
    this.freshness = new StateFreshness(clock);
    this.lag = new ConfigurationLag(
      clock,
      log,
      () => updateHandler.configurationVersion,
    );
    this.tasks.start((signal) => this.pollSeeds(signal));
    if (this.isSelective) {
      this.tasks.start((signal) => this.watchAge(signal));
    }
  }

  /** Whether only some control boxes are polled, as by an edge. */
  private get isSelective(): boolean {
    return this.parts.maxPolledControls < Infinity;
  }

  /** Whether the state is so old that every control box is asked. */
  private get isOutdated(): boolean {
    return this.isSelective && this.freshness.ageMs >= RENEWAL_AGE_MS;
  }

  private async watchAge(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    // Until then, the first replies are awaited.
    await clock.sleep(RENEWAL_AGE_MS, signal);
    while (!signal.aborted) {
      this.renewIfDue();
      const nextCheckMs = this.isOutdated
        ? RENEWAL_INTERVAL_MS
        : RENEWAL_AGE_MS - this.freshness.ageMs;
      await clock.sleep(
        Math.max(MIN_AGE_CHECK_INTERVAL_MS, nextCheckMs),
        signal,
      );
    }
  }

  private renewIfDue(): void {
    const {clock} = this.parts;
    if (!this.isOutdated) {
      this.logRenewed();
      return;
    }
    const lastAt = this.lastRenewalAt ?? -Infinity;
    if (clock.now() - lastAt >= RENEWAL_INTERVAL_MS) {
      this.renew();
    }
  }

  /** Asks all control boxes again, over new connections where the present ones are quiet. */
  private renew(): void {
    const {clock, link} = this.parts;
    if (this.lastRenewalAt === undefined) {
      this.logOutdated(true);
      this.allowCatchUp();
    }
    this.lastRenewalAt = clock.now();
    for (const {box} of this.peers.values()) {
      link.renewConnection(box, QUIET_CONNECTION_MS);
    }
    this.renewalStarted.notify();
    this.selectionChanged.notify();
  }

  /**
   * Lets requests wait for a moment if this process ran late, and so asks only now. In a
   * loss of contact the first renewal begins in time, and requests are served at once.
   */
  private allowCatchUp(): void {
    const {ageMs} = this.freshness;
    if (ageMs >= LATE_RENEWAL_AGE_MS && ageMs < Infinity) {
      this.catchUpUntil = this.parts.clock.now() + MAX_CATCH_UP_MS;
    }
  }

  private logRenewed(): void {
    if (this.lastRenewalAt !== undefined) {
      this.lastRenewalAt = undefined;
      this.logOutdated(false);
    }
  }

  private logOutdated(outdated: boolean): void {
    const {configurationAgeMs, upstreamsAgeMs} = this.freshness;
    this.parts.log.note({
      configurationAgeMs: finiteAge(configurationAgeMs),
      configuration: this.parts.updateHandler.configurationVersion,
      event: 'state-outdated',
      outdated,
      replyAgesMs: [...this.peers.values()].map((peer) => ({
        ageMs: this.lastReplyAgeMs(peer),
        peer: peer.box,
        followsQuorum: !peer.isUnhealthy,
      })),
      upstreamsAgeMs: finiteAge(upstreamsAgeMs),
    });
  }

  /** Treats all data as possibly stale until a control box has passed a new barrier. */
  invalidate(): void {
    this.freshness.invalidate();
    for (const peer of this.peers.values()) {
      peer.hasCurrentReply = false;
    }
    this.selectionChanged.notify();
  }

  /**
   * Whether requests should wait, as the state is old because this process ran late, and a
   * confirmation is about to arrive. Begins the renewal if its timer is late too.
   */
  get isCatchingUp(): boolean {
    this.renewIfDue();
    return this.isOutdated && this.parts.clock.now() < this.catchUpUntil;
  }

  /** Addresses of the control boxes; reachable ones come first. */
  get controlAddresses(): string[] {
    const all = [...this.peers.values()];
    all.sort((a, b) => Number(b.isReachable) - Number(a.isReachable));
    return all.map(({box}) => box);
  }

  /** Addresses of the control boxes that are polled for updates, the preferred one first. */
  get polledControls(): string[] {
    return [...this.peers.values()]
      .filter((peer) => this.isPolled(peer))
      .sort((a, b) => this.countPreferred(a) - this.countPreferred(b))
      .map(({box}) => box);
  }

  /** The last known leader. */
  get leaderAddress(): string | undefined {
    return this.leaderBox;
  }

  /** Whether some control box has passed a barrier of the log for a reply. */
  get isCurrent(): boolean {
    return [...this.peers.values()].some(
      ({hasCurrentReply}) => hasCurrentReply,
    );
  }

  /** Number of control boxes that have replied at least once. */
  get respondedCount(): number {
    return [...this.peers.values()].filter(
      ({lastReplyAt}) => lastReplyAt !== undefined,
    ).length;
  }

  /** Whether any control box is reachable. */
  get isConnected(): boolean {
    return [...this.peers.values()].some(({isReachable}) => isReachable);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async pollSeeds(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const box of this.parts.seeds()) {
        this.addPeer(box);
      }
      await this.parts.clock.sleep(SELECTION_INTERVAL_MS, signal);
    }
  }

  private addPeer(box: string): void {
    if (box === this.parts.self.box || this.peers.has(box)) {
      return;
    }
    const peer: ControlPeer = {
      lastReplyAt: undefined,
      box,
      boxes: new Map(),
      boxesRevision: -1,
      hasCurrentReply: false,
      hall: undefined,
      incarnation: '',
      // Spreads the boxes evenly over the control boxes.
      rank: hash32(`${this.parts.self.box} ${box}`),
      isReachable: false,
      upstreamsRevision: 0,
      isUnhealthy: false,
      lastPollAt: -Infinity,
      pollCount: 0,
      appliedPoll: 0,
    };
    this.peers.set(box, peer);
    this.tasks.start((signal) => this.pollPeer(peer, signal));
  }

  private async pollPeer(
    peer: ControlPeer,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock} = this.parts;
    const startedAt = clock.now();
    let retryDelayMs = MIN_RETRY_DELAY_MS;
    while (!signal.aborted) {
      if (!this.isPolled(peer)) {
        await sleepUnlessNotified(
          clock,
          this.selectionChanged,
          SELECTION_INTERVAL_MS,
          signal,
        );
        continue;
      }
      const outcome = await this.poll(peer);
      if (signal.aborted) {
        return;
      }
      if (outcome === POLL_OUTCOME.superseded) {
        continue;
      }
      if (outcome === POLL_OUTCOME.answered) {
        retryDelayMs = MIN_RETRY_DELAY_MS;
        await clock.sleep(POLL_PAUSE_MS, signal);
        continue;
      }
      this.markUnreachable(peer);
      const silentMs = clock.now() - (peer.lastReplyAt ?? startedAt);
      const isSeed = this.parts.seeds().includes(peer.box);
      if (!isSeed && silentMs > PEER_EXPIRY_MS) {
        this.peers.delete(peer.box);
        return;
      }
      await clock.sleep(retryDelayMs, signal);
      retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
    }
  }

  /** Polls a control box once; a renewal ends the wait, but a late reply still counts. */
  private async poll(peer: ControlPeer): Promise<PollOutcome> {
    const {clock, link} = this.parts;
    const request = this.buildRequest(peer);
    const sentAt = clock.now();
    peer.lastPollAt = sentAt;
    peer.pollCount += 1;
    const number = peer.pollCount;
    const answered = link
      .call(
        peer.box,
        FLEET_SERVICE.watch,
        request,
        Math.max(request.waitMs + REPLY_TIMEOUT_MS, MIN_POLL_TIMEOUT_MS),
      )
      .map((reply) => {
        if (number > peer.appliedPoll && !this.tasks.isAborted) {
          peer.appliedPoll = number;
          this.handleReply(peer, reply as WatchReply, sentAt);
        }
      })
      .match(
        (): PollOutcome => POLL_OUTCOME.answered,
        (): PollOutcome => POLL_OUTCOME.failed,
      );
    let waiter: Disposable | undefined;
    const superseded = new Promise<PollOutcome>((resolve) => {
      waiter = this.renewalStarted.onNext(() =>
        resolve(POLL_OUTCOME.superseded),
      );
    });
    const outcome = await Promise.race([answered, superseded]);
    waiter?.[Symbol.dispose]();
    return outcome;
  }

  /**
   * Whether a control box is polled rather than on standby. Unhealthy ones are polled to
   * detect their recovery; before the first current reply, all are polled.
   */
  private isPolled(peer: ControlPeer): boolean {
    if (peer.isUnhealthy || !this.isCurrent || this.isOutdated) {
      return true;
    }
    return this.countPreferred(peer) < this.parts.maxPolledControls;
  }

  /** Number of healthy control boxes that are preferred to this one. */
  private countPreferred(peer: ControlPeer): number {
    const preferred = [...this.peers.values()].filter(
      (other) => !other.isUnhealthy && this.isPreferred(other, peer),
    );
    return preferred.length;
  }

  /**
   * Prefers control boxes of the own hall, then of the own region; a hash spreads the load.
   * Other regions are polled only while too few in the own region are healthy.
   */
  private isPreferred(a: ControlPeer, b: ControlPeer): boolean {
    const distanceDifference =
      this.distanceTo(a.hall) - this.distanceTo(b.hall);
    return distanceDifference === 0 ? a.rank < b.rank : distanceDifference < 0;
  }

  private distanceTo(hall: string | undefined): number {
    const {hall: ownHall} = this.parts.self;
    if (hall === ownHall) {
      return DISTANCE.ownHall;
    }
    const isInOwnRegion =
      !this.regions.hasMultipleRegions ||
      (hall !== undefined && this.regions.areInSameRegion(ownHall, hall));
    return isInOwnRegion ? DISTANCE.ownRegion : DISTANCE.otherRegion;
  }

  /**
   * Whether a control box need not send configurations and boxes. Only the preferred one
   * sends them; the others show whether it is behind. If a version is overdue, all send it.
   */
  private isBrief(peer: ControlPeer): boolean {
    const isLate = this.lag.overdueInMs <= 0 || this.isOutdated;
    return this.isSelective && !isLate && this.countPreferred(peer) > 0;
  }

  private buildRequest(peer: ControlPeer): WatchRequest {
    const {updateHandler, self} = this.parts;
    const brief = this.isBrief(peer);
    return {
      boxesRevision: peer.boxesRevision,
      brief,
      configurationVersion: brief
        ? this.lag.announcedVersion
        : updateHandler.configurationVersion,
      current: !this.isCurrent,
      evacuationRevision: updateHandler.evacuationRevision,
      from: self,
      hearsLeader: !peer.isUnhealthy,
      incarnation: peer.incarnation,
      quarantineRevision: updateHandler.quarantineRevision,
      rolloutRevision: updateHandler.rolloutRevision,
      upstreamsRevision: peer.upstreamsRevision,
      waitMs: this.longPollMs(peer, brief),
    };
  }

  /** How long a control box may delay its reply, ms. */
  private longPollMs(peer: ControlPeer, isBrief: boolean): number {
    const isFirstOfRenewal =
      this.isOutdated &&
      this.lastRenewalAt !== undefined &&
      peer.lastPollAt <= this.lastRenewalAt;
    if (isFirstOfRenewal) {
      return 0;
    }
    // A longer wait would delay the full request for an overdue version while the
    // preferred control box is partitioned.
    return isBrief
      ? Math.min(BRIEF_LONG_POLL_MS, this.lag.overdueInMs)
      : LONG_POLL_MS;
  }

  private handleReply(
    peer: ControlPeer,
    reply: WatchReply,
    sentAt: number,
  ): void {
    const {clock, log, updateHandler} = this.parts;
    if (!peer.isReachable) {
      log.note({
        event: 'dependency-changed',
        lastAnswerAgeMs: this.lastReplyAgeMs(peer),
        peer: peer.box,
        reachable: true,
      });
    }
    peer.isReachable = true;
    this.updateLeader(peer, reply.leader ?? undefined);
    peer.lastReplyAt = clock.now();
    if (peer.incarnation !== reply.incarnation) {
      peer.boxes.clear();
    }
    peer.incarnation = reply.incarnation;
    peer.upstreamsRevision = reply.upstreamsRevision;
    peer.boxesRevision = reply.boxesRevision;
    this.leaderBox = reply.leader ?? this.leaderBox;
    const origin = {
      box: peer.box,
      delayMs: configurationDelayMs(reply, clock.now() - sentAt),
    };
    if (reply.configuration !== undefined && reply.configuration !== null) {
      updateHandler.onConfiguration(reply.configuration, origin);
    }
    const change = reply.configurationChange;
    if (change !== undefined && change !== null) {
      updateHandler.onConfigurationChange(change, origin);
    }
    const {evacuations, quarantine, rollouts} = reply;
    if (evacuations !== undefined && evacuations !== null) {
      updateHandler.onEvacuations(evacuations, peer.box);
    }
    if (rollouts !== undefined && rollouts !== null) {
      updateHandler.onRollouts(rollouts, peer.box);
    }
    if (quarantine !== undefined && quarantine !== null) {
      updateHandler.onQuarantine(quarantine, peer.box);
    }
    if (reply.upstreams.length > 0) {
      updateHandler.onUpstreams(reply.upstreams, peer.box);
    }
    this.applyBoxChanges(peer, reply.boxes ?? undefined);
    peer.hasCurrentReply ||= reply.current;
    this.lag.recordVersion(reply.heldVersion, peer.box);
    this.freshness.recordReply(
      reply,
      sentAt,
      updateHandler.configurationVersion,
    );
  }

  /** Marks a control box as unhealthy if it knows no leader: it may lack a quorum. */
  private updateLeader(peer: ControlPeer, leader: string | undefined): void {
    const hasNoLeader = leader === undefined;
    if (hasNoLeader !== peer.isUnhealthy) {
      const {box} = peer;
      this.parts.log.note({event: 'leader-heard', leader, peer: box});
    }
    this.setUnhealthy(peer, hasNoLeader);
  }

  /** Adds the control boxes among the given boxes. */
  addControls(records: readonly BoxRecord[]): void {
    for (const {box, hall, role} of records) {
      if (role === BOX_ROLE.control) {
        this.addPeer(box);
        const peer = this.peers.get(box);
        if (peer !== undefined) {
          peer.hall = hall;
        }
      }
    }
  }

  /** Applies box changes; an edge uses only the list of the preferred control box. */
  private applyBoxChanges(
    peer: ControlPeer,
    changes: BoxChanges | undefined,
  ): void {
    for (const record of changes?.changed ?? []) {
      peer.boxes.set(record.box, record);
    }
    for (const box of changes?.gone ?? []) {
      peer.boxes.delete(box);
    }
    this.addControls(changes?.changed ?? []);
    const isAuthoritative =
      !this.isSelective || this.countPreferred(peer) === 0;
    const hasChanged = changes !== undefined || this.boxListSource !== peer.box;
    if (isAuthoritative && hasChanged && peer.boxes.size > 0) {
      this.boxListSource = peer.box;
      this.parts.updateHandler.onBoxes([...peer.boxes.values()], peer.box);
    }
  }

  private setUnhealthy(peer: ControlPeer, isUnhealthy: boolean): void {
    if (peer.isUnhealthy !== isUnhealthy) {
      peer.isUnhealthy = isUnhealthy;
      this.selectionChanged.notify();
    }
  }

  private markUnreachable(peer: ControlPeer): void {
    this.setUnhealthy(peer, true);
    if (peer.isReachable) {
      peer.isReachable = false;
      this.parts.log.note({
        event: 'dependency-changed',
        lastAnswerAgeMs: this.lastReplyAgeMs(peer),
        peer: peer.box,
        reachable: false,
      });
    }
  }

  private lastReplyAgeMs({lastReplyAt}: ControlPeer): number | undefined {
    return lastReplyAt === undefined
      ? undefined
      : Math.round(this.parts.clock.now() - lastReplyAt);
  }
}

/** Longest time for which the responder may have had its configuration, ms. */
function configurationDelayMs(
  {heldMs = 0, heldVersionMs}: WatchReply,
  tookMs: number,
): number | undefined {
  return heldVersionMs === undefined
    ? undefined
    : heldVersionMs + tookMs - heldMs;
}

/** An age for the log, ms; undefined if there is none. */
function finiteAge(ageMs: number): number | undefined {
  return ageMs < Infinity ? Math.round(ageMs) : undefined;
}
