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
import {okAsync, ResultAsync} from 'neverthrow';
import type {DecisionLog} from 'puffinturn-decisions';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {
  Condition,
  hash32,
  sleepUnlessNotified,
  TaskGroup,
  waitWhile,
} from 'shared';

import type {BoxChanges} from './BoxList';
import {ConfigurationLag} from './ConfigurationLag';
import type {ControlPeer} from './ControlPeer';
import {createControlPeer} from './ControlPeer';
import {ControlSelection} from './ControlSelection';
import type {BoxRecord, WatchReply, WatchRequest} from './FleetMessages';
import {BOX_ROLE, FLEET_SERVICE} from './FleetMessages';
import type {FleetUpdateHandler} from './FleetUpdateHandler';
import type {UnpackFailure} from './PackedUpdate';
import {unpackUpdate} from './PackedUpdate';
import {Regions} from './Regions';
import {roundAge, StateFreshness} from './StateFreshness';
import {StateRenewal} from './StateRenewal';
import {WatchTiming} from './WatchTiming';

/** A connection that received nothing for this time is replaced in a renewal, ms. */
const QUIET_CONNECTION_MS = 250;

/** A reply of which nothing was received for this time is no longer waited for, ms. */
const RECEPTION_QUIET_MS = 250;

/** Interval at which a reply that is being received is checked, ms. */
const RECEPTION_CHECK_MS = 100;

/** Interval at which seeds are read and standby control boxes are reconsidered, ms. */
const SELECTION_INTERVAL_MS = 1_000;

/** Interval at which a wait for a confirmation is checked, ms. */
const CONFIRMATION_POLL_MS = 10;

/** Delay after the first failed call, ms; doubles with each further failure. */
const MIN_RETRY_DELAY_MS = 150;

/** Longest delay after failed calls, ms. */
const MAX_RETRY_DELAY_MS = 600;

/** Pause between a reply and the next request, ms, so that updates are batched. */
const POLL_PAUSE_MS = 25;

/** A control box that is not a seed is removed after this time without a reply, ms. */
const PEER_EXPIRY_MS = 20_000;

/** How a poll ended. */
const POLL_OUTCOME = {
  answered: 'answered',
  failed: 'failed',
  /** A renewal began before a reply came. */
  superseded: 'superseded',
} as const;

type PollOutcome = (typeof POLL_OUTCOME)[keyof typeof POLL_OUTCOME];

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
  /** Time within which a change must be in force here, ms. */
  readonly applyBoundMs?: number | undefined;
  /** The region of each hall; by default all halls are in one region. */
  readonly regions?: Regions | undefined;
}

/** Long-polls the control boxes of a fleet for updates. */
export class FleetWatch implements AsyncDisposable {
  private readonly peers = new Map<string, ControlPeer>();
  private readonly tasks = new TaskGroup();
  /** Notified when another set of control boxes may have to be polled. */
  private readonly selectionChanged = new Condition();
  /** Notified when pending polls must not be waited for any more. */
  private readonly renewalStarted = new Condition();
  private leaderBox: string | undefined;
  /** The control box whose list of boxes was applied last. */
  private boxListSource: string | undefined;
  private readonly lag: ConfigurationLag;
  /** How recent the received state is. */
  readonly freshness: StateFreshness;
  private readonly timing: WatchTiming;
  private readonly renewal: StateRenewal;
  private readonly selection: ControlSelection;

  constructor(private readonly parts: FleetWatchParts) {
    const {clock, log, maxPolledControls, self, updateHandler} = parts;
    this.freshness = new StateFreshness(clock);
    this.timing = new WatchTiming(parts.applyBoundMs);
    this.renewal = new StateRenewal({
      clock,
      freshness: this.freshness,
      onChange: (isOutdated) => this.logOutdated(isOutdated),
      onRenewal: () => this.renew(),
      timing: this.timing,
    });
    this.selection = new ControlSelection({
      isOutdated: () => this.isOutdated,
      maxPolledControls,
      ownHall: self.hall,
      peers: this.peers,
      regions: parts.regions ?? new Regions(),
    });
    this.lag = new ConfigurationLag(
      clock,
      log,
      () => updateHandler.configurationVersion,
    );
    this.tasks.start((signal) => this.pollSeeds(signal));
    if (this.isSelective) {
      this.tasks.start((signal) => this.renewal.run(signal));
    }
  }

  /** Whether only some control boxes are polled, as by an edge. */
  private get isSelective(): boolean {
    return this.parts.maxPolledControls < Infinity;
  }

  /** Whether the state is so old that every control box is asked. */
  private get isOutdated(): boolean {
    return this.isSelective && this.renewal.isOutdated;
  }

  /** Asks all control boxes again, over new connections where the present ones are quiet. */
  private renew(): void {
    for (const {box} of this.peers.values()) {
      this.parts.link.renewConnection(box, QUIET_CONNECTION_MS);
    }
    this.renewalStarted.notify();
    this.selectionChanged.notify();
  }

  private logOutdated(outdated: boolean): void {
    const {configurationAgeMs, upstreamsAgeMs} = this.freshness;
    this.parts.log.note({
      configurationAgeMs: roundAge(configurationAgeMs),
      configuration: this.parts.updateHandler.configurationVersion,
      event: 'state-outdated',
      outdated,
      replyAgesMs: [...this.peers.values()].map((peer) => ({
        ageMs: this.lastReplyAgeMs(peer),
        peer: peer.box,
        followsQuorum: !peer.isUnhealthy,
      })),
      upstreamsAgeMs: roundAge(upstreamsAgeMs),
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

  /** Whether requests should wait, as a confirmation of the old state is about to arrive. */
  get isCatchingUp(): boolean {
    return this.isSelective && this.renewal.isCatchingUp;
  }

  /**
   * Whether the configuration in force here may lack a change that must be in force. What it
   * lacks is then not known to be absent.
   */
  get isConfigurationOverdue(): boolean {
    return this.freshness.configurationAgeMs >= this.timing.applyBoundMs;
  }

  /** Waits while the configuration is overdue and a control box may confirm it soon. */
  awaitConfiguration(): Promise<void> {
    const {clock} = this.parts;
    return waitWhile(
      clock,
      () => this.isConfigurationOverdue && this.isConnected,
      CONFIRMATION_POLL_MS,
      clock.now() + this.timing.maxCatchUpMs,
    );
  }

  /** Addresses of the control boxes; reachable ones come first. */
  get controlAddresses(): string[] {
    const all = [...this.peers.values()];
    all.sort((a, b) => Number(b.isReachable) - Number(a.isReachable));
    return all.map(({box}) => box);
  }

  /** Addresses of the control boxes that are polled for updates, the preferred one first. */
  get polledControls(): string[] {
    return this.selection.polledControls;
  }

  /** The last known leader. */
  get leaderAddress(): string | undefined {
    return this.leaderBox;
  }

  /** Whether some control box has passed a barrier of the log for a reply. */
  get isCurrent(): boolean {
    return this.selection.isCurrent;
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
    // Spreads the boxes evenly over the control boxes.
    const rank = hash32(`${this.parts.self.box} ${box}`);
    const peer = createControlPeer(box, rank);
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
      if (!this.selection.isPolled(peer)) {
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
      const silentMs = clock.now() - (peer.lastReplyAt ?? startedAt);
      const isSeed = this.parts.seeds().includes(peer.box);
      if (!isSeed && silentMs > PEER_EXPIRY_MS) {
        this.peers.delete(peer.box);
        return;
      }
      await sleepUnlessNotified(
        clock,
        this.renewalStarted,
        retryDelayMs,
        signal,
      );
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
        this.timing.pollTimeoutMs(request.waitMs, peer.failedPolls),
      )
      .andThen((reply) => unpackReply(peer, reply as WatchReply))
      .map((reply) => {
        if (this.tasks.isAborted) {
          return;
        }
        // Also if a brief reply to a later poll came first: versions are ordered.
        this.applyConfiguration(peer, reply, sentAt);
        if (number > peer.appliedPoll) {
          peer.appliedPoll = number;
          this.handleReply(peer, reply, sentAt);
        }
      })
      .match(
        (): PollOutcome => POLL_OUTCOME.answered,
        (): PollOutcome => {
          this.handleFailure(peer, sentAt);
          return POLL_OUTCOME.failed;
        },
      );
    using renewal = this.renewalStarted.next();
    return await Promise.race([
      answered,
      renewal.received.then((): PollOutcome => POLL_OUTCOME.superseded),
    ]);
  }

  /**
   * Whether a control box need not send configurations and boxes. Only the preferred one
   * sends them; the others show whether it is behind. If a version is overdue, all send it.
   * While a reply is being received, none does, as both would take longer.
   */
  private isBrief(peer: ControlPeer): boolean {
    if (!this.isSelective) {
      return false;
    }
    const isPreferred = this.selection.countPreferred(peer) === 0;
    return this.isReceivingReply || !(isPreferred || this.isLate);
  }

  /** Whether a version is overdue, or the state is so old that it may lack one. */
  private get isLate(): boolean {
    return this.lag.overdueInMs <= 0 || this.isOutdated;
  }

  /** Whether a reply is being received or unpacked. */
  private get isReceivingReply(): boolean {
    const {link} = this.parts;
    return [...this.peers.values()].some(
      ({box, isUnpacking}) =>
        isUnpacking || link.isReceiving(box, RECEPTION_QUIET_MS),
    );
  }

  private buildRequest(peer: ControlPeer): WatchRequest {
    const {updateHandler, self} = this.parts;
    const brief = this.isBrief(peer);
    return {
      acceptsPacked: true,
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
      versionsRevision: updateHandler.versionsRevision,
      waitMs: this.longPollMs(peer, brief),
    };
  }

  /** How long a control box may delay its reply, ms. */
  private longPollMs(peer: ControlPeer, isBrief: boolean): number {
    if (this.renewal.hasStartedSince(peer.lastPollAt)) {
      return 0;
    }
    if (isBrief && this.isReceivingReply) {
      return RECEPTION_CHECK_MS;
    }
    // A longer wait would delay the full request for an overdue version while the
    // preferred control box is partitioned.
    const {longPollMs} = this.timing;
    return isBrief ? Math.min(longPollMs, this.lag.overdueInMs) : longPollMs;
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
    peer.failedPolls = 0;
    if (peer.incarnation !== reply.incarnation) {
      peer.boxes.clear();
    }
    peer.incarnation = reply.incarnation;
    peer.upstreamsRevision = reply.upstreamsRevision;
    peer.boxesRevision = reply.boxesRevision;
    this.leaderBox = reply.leader ?? this.leaderBox;
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
    if (reply.versions !== undefined && reply.versions !== null) {
      updateHandler.onVersions(reply.versions);
    }
    if (reply.upstreams.length > 0) {
      updateHandler.onUpstreams(reply.upstreams, peer.box);
    }
    this.applyBoxChanges(peer, reply.boxes ?? undefined);
    peer.hasCurrentReply ||= reply.current;
    this.lag.recordVersion(reply.heldVersion, peer.box);
    this.freshness.recordReply(reply, sentAt, updateHandler);
  }

  private applyConfiguration(
    {box}: ControlPeer,
    reply: WatchReply,
    sentAt: number,
  ): void {
    const {clock, updateHandler} = this.parts;
    const {configuration, configurationChange} = reply;
    const delayMs = configurationDelayMs(reply, clock.now() - sentAt);
    const origin = {box, delayMs};
    if (configuration !== undefined && configuration !== null) {
      updateHandler.onConfiguration(configuration, origin);
    }
    if (configurationChange !== undefined && configurationChange !== null) {
      updateHandler.onConfigurationChange(configurationChange, origin);
    }
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
      !this.isSelective || this.selection.countPreferred(peer) === 0;
    const hasChanged = changes !== undefined || this.boxListSource !== peer.box;
    if (isAuthoritative && hasChanged && peer.boxes.size > 0) {
      this.boxListSource = peer.box;
      this.parts.updateHandler.onBoxes([...peer.boxes.values()], peer.box);
    }
  }

  /** Also called for superseded polls; a reply to a later one shows that the box is reachable. */
  private handleFailure(peer: ControlPeer, sentAt: number): void {
    const hasRepliedSince =
      peer.lastReplyAt !== undefined && peer.lastReplyAt > sentAt;
    if (!hasRepliedSince && !this.tasks.isAborted) {
      peer.failedPolls += 1;
      this.markUnreachable(peer);
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
      : roundAge(this.parts.clock.now() - lastReplyAt);
  }
}

/** Unpacks the configuration of a reply, if it has a packed one. */
function unpackReply(
  peer: ControlPeer,
  reply: WatchReply,
): ResultAsync<WatchReply, UnpackFailure> {
  const {packedUpdate} = reply;
  if (packedUpdate === undefined || packedUpdate === null) {
    return okAsync(reply);
  }
  peer.isUnpacking = true;
  const unpacked = unpackUpdate(packedUpdate).finally(
    () => (peer.isUnpacking = false),
  );
  return new ResultAsync(unpacked).map((update) => ({...reply, ...update}));
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
