/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Control plane of a fleet: accepts configuration changes and heartbeats, replies to
 * watch requests, and grants token allowances through the replicated log. Any control
 * box accepts any call and forwards it to the leader where only the leader can handle
 * it.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Replica} from 'puffinturn-log';
import type {QuarantineEntry} from 'puffinturn-quarantine';
import type {KnownVersions} from 'puffinturn-streams';
import {ControlOrigins} from 'puffinturn-streams';
import type {Link} from 'puffinturn-wire';
import type {Clock, Condition} from 'shared';
import {
  DisposableList,
  sleepUnlessNotified,
  SuspensionDetector,
  TaskGroup,
} from 'shared';

import {AllowanceControl} from './AllowanceControl';
import {BoxList, BoxTable} from './BoxList';
import type {
  ConfigurationOutcome,
  StoredConfiguration,
} from './ConfigurationRegistry';
import type {EvacuationOutcome} from './EvacuationRegistry';
import type {FleetMachine} from './FleetMachine';
import type {
  BoxRecord,
  ConfigurationChangeReply,
  ConfigurationChangeRequest,
  ConfigurationReadReply,
  EvacuateReply,
  EvacuateRequest,
  EvacuationOrder,
  WatchReply,
  WatchRequest,
} from './FleetMessages';
import {FLEET_SERVICE} from './FleetMessages';
import {FleetUpdateHandler} from './FleetUpdateHandler';
import {FleetWatch} from './FleetWatch';
import {LeaderCalls} from './LeaderCalls';
import {packConfiguration} from './PackedConfiguration';
import type {ReleaseOutcome} from './QuarantineControl';
import {QuarantineControl} from './QuarantineControl';
import {RolloutControl} from './RolloutControl';
import type {
  ExposureBound,
  RolloutOrder,
  RolloutOrderReply,
  RolloutReadReply,
} from './Rollouts';
import {StateConfirmation} from './StateConfirmation';
import {recoverFromSuspension} from './SuspensionRecovery';
import {UpstreamControl} from './UpstreamControl';
import type {UpstreamRecord} from './UpstreamTable';
import {WatchReplies} from './WatchReplies';

/** Interval between expiry checks of silent boxes and upstreams, ms. */
const EXPIRY_INTERVAL_MS = 1_000;

/** Interval between checks while this box is not up to date, ms. */
const OUTDATED_POLL_MS = 100;

/** Longest interval between checks while this box is up to date, ms. */
const MAX_CURRENCY_POLL_MS = 1_000;

/** Constructor arguments of FleetControl. */
export interface FleetControlParts {
  readonly self: BoxRecord;
  /** Addresses of the control boxes to contact first, IP:PORT. */
  readonly seeds: () => readonly string[];
  readonly clock: Clock;
  readonly link: Link;
  readonly replica: Replica;
  readonly machine: FleetMachine;
  /** Notified on every change that watching boxes have to receive. */
  readonly stateChanged: Condition;
  readonly log: DecisionLog;
  /** Exposure limit of new versions; undefined disables rollouts. */
  readonly exposure?: ExposureBound | undefined;
}

/** Applies the upstream and box records that the other control boxes send. */
class PeerUpdateHandler extends FleetUpdateHandler {
  constructor(private readonly control: FleetControl) {
    super();
  }

  /** Infinity, as the configuration is replicated through the log. */
  override get configurationVersion(): number {
    return Infinity;
  }

  override onConfiguration(): void {}

  override onConfigurationChange(): void {}

  /** Infinity, as evacuations are replicated through the log. */
  override get evacuationRevision(): number {
    return Infinity;
  }

  override onEvacuations(): void {}

  /** Infinity, as rollouts are replicated through the log. */
  override get rolloutRevision(): number {
    return Infinity;
  }

  override onRollouts(): void {}

  /** Infinity, as the quarantine is replicated through the log. */
  override get quarantineRevision(): number {
    return Infinity;
  }

  override onQuarantine(): void {}

  /** Infinity, as versions are replicated through the log. */
  override get versionsRevision(): number {
    return Infinity;
  }

  override onVersions(): void {}

  override onUpstreams(
    records: readonly UpstreamRecord[],
    source: string,
  ): void {
    for (const record of records) {
      this.control.upstreamControl.mergeRecord(record, source);
    }
  }

  override onBoxes(records: readonly BoxRecord[], source: string): void {
    this.control.updatePeerBoxes(records, source);
  }
}

/** Control plane of a fleet on one control box. */
export class FleetControl implements AsyncDisposable {
  /** The upstreams and what they report. */
  readonly upstreamControl: UpstreamControl;
  /** Live boxes that watch this control box. */
  readonly boxes = new BoxTable();
  /** Boxes that watch the other control boxes, keyed by control box. */
  private readonly boxesByPeer = new Map<string, readonly BoxRecord[]>();
  /** Boxes known to any control box; this is the list that edges receive. */
  private readonly allBoxes = new BoxList();
  private readonly confirmation: StateConfirmation;
  private readonly streamOrigins: ControlOrigins;
  /** The highest number of a version when this box last became current; undefined before. */
  private currentSinceVersion: number | undefined;
  private readonly watchReplies: WatchReplies;
  private readonly leaderCalls: LeaderCalls;
  private readonly rolloutControl: RolloutControl;
  private readonly peerWatch: FleetWatch;
  private readonly allowanceControl: AllowanceControl;
  private readonly quarantineControl: QuarantineControl;
  private readonly suspension: SuspensionDetector;
  private readonly tasks = new TaskGroup();
  private readonly handlers = new DisposableList();

  constructor(private readonly parts: FleetControlParts) {
    const {clock, link} = parts;
    this.leaderCalls = new LeaderCalls(parts);
    // Reads and proposals need no recovery after a suspension, as they need a quorum.
    this.suspension = new SuspensionDetector(clock, (ms) => {
      this.confirmation.invalidate();
      this.restartStreamOrigins();
      recoverFromSuspension(parts, ms);
    });
    this.allowanceControl = new AllowanceControl({
      ...parts,
      leader: this.leaderCalls,
    });
    this.quarantineControl = new QuarantineControl({
      ...parts,
      leader: this.leaderCalls,
    });
    this.upstreamControl = new UpstreamControl({
      ...parts,
      leader: this.leaderCalls,
    });
    this.confirmation = new StateConfirmation({
      ...parts,
      leader: this.leaderCalls,
      onApplied: () => {
        this.currentSinceVersion ??= parts.machine.versions.lastNumber;
        this.upstreamControl.applyStoredDepartures();
      },
      suspension: this.suspension,
    });
    this.watchReplies = new WatchReplies({
      ...parts,
      allBoxes: this.allBoxes,
      confirmation: this.confirmation,
      watchingBoxes: this.boxes.list,
      upstreams: this.upstreamControl.table,
    });
    this.streamOrigins = new ControlOrigins({
      clock,
      lifetimeMs: () => parts.machine.streamLifetimeMs,
      link,
      versionsOf: (service) => this.listVersions(service),
    });
    this.handlers.add(
      link.register(FLEET_SERVICE.watch, (body) =>
        this.answerWatch(body as WatchRequest),
      ),
    );
    this.handlers.add(
      link.register(FLEET_SERVICE.changeConfiguration, (body) =>
        this.proposeChange(body as ConfigurationChangeRequest),
      ),
    );
    this.handlers.add(
      link.register(FLEET_SERVICE.evacuate, (body) =>
        this.proposeEvacuation(body as EvacuateRequest),
      ),
    );
    this.handlers.add(
      link.register(FLEET_SERVICE.readConfiguration, () => this.readLocally()),
    );
    this.peerWatch = new FleetWatch({
      ...parts,
      maxPolledControls: Infinity,
      updateHandler: new PeerUpdateHandler(this),
    });
    this.rolloutControl = new RolloutControl({
      ...parts,
      leader: this.leaderCalls,
      upstreams: this.upstreamControl.table,
    });
    this.tasks.start((signal) => this.expireSilentPeers(signal));
    this.tasks.start((signal) => this.trackCurrency(signal));
    this.tasks.start((signal) => this.trackVersions(signal));
  }

  /** Replaces the configuration with a validated one; accepted once a quorum has stored it. */
  async changeConfiguration(
    stored: StoredConfiguration,
  ): Promise<ConfigurationChangeReply> {
    const request: ConfigurationChangeRequest = {
      packed: packConfiguration(stored),
      version: stored.configuration.version,
    };
    const fallback = {accepted: false, heldVersion: undefined};
    return this.leaderCalls.runOnLeader(
      FLEET_SERVICE.changeConfiguration,
      request,
      fallback,
      () => this.proposeChange(request),
    );
  }

  /** Quarantined requests and prompt parts, as known to this control box. */
  get quarantineEntries(): readonly QuarantineEntry[] {
    return this.parts.machine.quarantineEntries;
  }

  /** Ends a quarantine by order of an operator. */
  releaseQuarantined(entry: string): Promise<ReleaseOutcome> {
    return this.quarantineControl.release(entry);
  }

  /** Starts or ends the evacuation of a hall; accepted once a quorum has stored it. */
  async setEvacuated(order: EvacuationOrder): Promise<EvacuateReply> {
    const knownRevision = this.parts.machine.evacuations.revision;
    const request: EvacuateRequest = {...order, knownRevision};
    const fallback = {accepted: false};
    return this.leaderCalls.runOnLeader(
      FLEET_SERVICE.evacuate,
      request,
      fallback,
      () => this.proposeEvacuation(request),
    );
  }

  /** Starts a rollout; accepted once a quorum has stored the order. */
  beginRollout(order: RolloutOrder): Promise<RolloutOrderReply> {
    return this.rolloutControl.begin(order);
  }

  /** Reads the versions of a service after a barrier of the log. */
  readRollout(service: string): Promise<RolloutReadReply> {
    return this.rolloutControl.read(service);
  }

  /** Reads the current configuration document after a barrier of the log. */
  async readConfiguration(): Promise<ConfigurationReadReply> {
    const fallback = {current: false, document: undefined};
    return this.leaderCalls.runOnLeader(
      FLEET_SERVICE.readConfiguration,
      null,
      fallback,
      () => this.readLocally(),
    );
  }

  /** Replaces the boxes that watch another control box. */
  updatePeerBoxes(records: readonly BoxRecord[], source: string): void {
    this.boxesByPeer.set(source, records);
    this.rebuildAllBoxes();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.suspension[Symbol.asyncDispose]();
    await this.peerWatch[Symbol.asyncDispose]();
    await this.rolloutControl[Symbol.asyncDispose]();
    this.handlers[Symbol.dispose]();
    this.streamOrigins[Symbol.dispose]();
    await this.allowanceControl[Symbol.asyncDispose]();
    await this.quarantineControl[Symbol.asyncDispose]();
    await this.upstreamControl[Symbol.asyncDispose]();
    await this.confirmation[Symbol.asyncDispose]();
    this.tasks.abort();
    this.parts.stateChanged.notify();
    await this.tasks[Symbol.asyncDispose]();
  }

  private async answerWatch(request: WatchRequest): Promise<WatchReply> {
    const {stateChanged, clock} = this.parts;
    const receivedAt = clock.now();
    if (this.boxes.recordCall(request.from, receivedAt)) {
      this.rebuildAllBoxes();
    }
    const current = request.current
      ? (await this.readLocally()).current
      : false;
    const deadline = clock.now() + request.waitMs;
    // Once the barrier is passed, the reply is sent without waiting for updates.
    while (
      !current &&
      !this.watchReplies.hasUpdates(request) &&
      clock.now() < deadline &&
      !this.tasks.isAborted
    ) {
      await sleepUnlessNotified(
        clock,
        stateChanged,
        deadline - clock.now(),
        this.tasks.signal,
      );
    }
    const heldMs = clock.now() - receivedAt;
    return this.watchReplies.replyTo(request, current, heldMs);
  }

  /** The versions of a service; undefined if this box may lack some. */
  private listVersions(service: string): KnownVersions | undefined {
    const {machine, replica} = this.parts;
    if (!this.watchReplies.isUpToDate) {
      return undefined;
    }
    const versions = machine.versions.ofService(service);
    const {currentSinceVersion = Infinity} = this;
    return {
      controlBoxes: replica.status().members.voters.length,
      hasSeenSecond: (versions[1]?.number ?? -Infinity) > currentSinceVersion,
      versions: versions.map(({version}) => version),
    };
  }

  /** Origins that edges sent in the meantime may have been lost. */
  private restartStreamOrigins(): void {
    this.currentSinceVersion = undefined;
    this.streamOrigins.markIncomplete();
  }

  /** Merges the own boxes with those of the other control boxes; the own ones win. */
  private rebuildAllBoxes(): void {
    const peerBoxes = [...this.boxesByPeer.values()].flat();
    const ownBoxes = [this.parts.self, ...this.boxes.list.records()];
    const byAddress = new Map(
      [...peerBoxes, ...ownBoxes].map((record) => [record.box, record]),
    );
    this.allBoxes.replace([...byAddress.values()]);
  }

  private async proposeChange({
    packed,
    version,
  }: ConfigurationChangeRequest): Promise<ConfigurationChangeReply> {
    const outcome = await this.leaderCalls.propose<ConfigurationOutcome>({
      kind: 'packed-configuration',
      packed,
    });
    return outcome.match(
      ({adopted, heldVersion}) => {
        this.logChange(version, heldVersion, adopted ? 'adopted' : 'older');
        return {accepted: true, heldVersion};
      },
      ({kind}) => {
        this.logChange(version, undefined, kind);
        return {accepted: false, heldVersion: undefined};
      },
    );
  }

  /** Stores an order unless the hall has changed since a control box received it. */
  private async proposeEvacuation(
    request: EvacuateRequest,
  ): Promise<EvacuateReply> {
    const {evacuated, hall} = request;
    const isCurrent = await this.leaderCalls.passBarrier();
    const {machine} = this.parts;
    if (!isCurrent || machine.isEvacuationOutdated(request)) {
      const outcome = isCurrent ? 'outdated' : 'no-quorum';
      this.logEvacuation(request, outcome, undefined);
      return {accepted: false};
    }
    const outcome = await this.leaderCalls.propose<EvacuationOutcome>({
      evacuated,
      hall,
      kind: 'evacuation',
    });
    outcome.match(
      ({evacuations: {revision}}) =>
        this.logEvacuation(request, 'accepted', revision),
      ({kind}) => this.logEvacuation(request, kind, undefined),
    );
    return {accepted: outcome.isOk()};
  }

  private logEvacuation(
    {evacuated, hall}: EvacuateRequest,
    outcome: string,
    revision: number | undefined,
  ): void {
    const event = 'evacuation-decided';
    this.parts.log.note({evacuated, event, hall, outcome, revision});
  }

  private logChange(
    version: number,
    heldVersion: number | undefined,
    outcome: string,
  ): void {
    this.parts.log.note({
      event: 'change-decided',
      held: heldVersion,
      outcome,
      version,
    });
  }

  private async readLocally(): Promise<ConfigurationReadReply> {
    const current = await this.leaderCalls.passBarrier();
    const document = this.parts.machine.storedConfiguration?.document;
    return {current, document: current ? document : undefined};
  }

  /** Wakes pending watch requests when this box is up to date again, or no longer. */
  private async trackCurrency(signal: AbortSignal): Promise<void> {
    const {stateChanged, clock} = this.parts;
    let wasUpToDate = this.watchReplies.isUpToDate;
    while (!signal.aborted) {
      const nextCheckMs = Math.min(
        MAX_CURRENCY_POLL_MS,
        this.watchReplies.msUntilOutdated,
      );
      // Checks 1 ms after the time is over, as the box still counts as up to date before.
      await clock.sleep(
        wasUpToDate ? nextCheckMs + 1 : OUTDATED_POLL_MS,
        signal,
      );
      if (wasUpToDate !== this.watchReplies.isUpToDate) {
        wasUpToDate = this.watchReplies.isUpToDate;
        if (!wasUpToDate) {
          this.restartStreamOrigins();
        }
        stateChanged.notify();
      }
    }
  }

  private async trackVersions(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.watchReplies.noteVersion();
      await this.parts.stateChanged.wait();
    }
  }

  private async expireSilentPeers(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted) {
      await clock.sleep(EXPIRY_INTERVAL_MS, signal);
      this.upstreamControl.table.expire(clock.now());
      if (this.boxes.expire(clock.now())) {
        this.rebuildAllBoxes();
      }
    }
  }
}
