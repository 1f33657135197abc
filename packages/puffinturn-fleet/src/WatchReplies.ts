/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Builds the replies of a control box to watch requests: the updates since the last
 * reply, and whether a reply must be sent without delay.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Replica} from 'puffinturn-log';
import type {Quarantine} from 'puffinturn-quarantine';
import type {Clock} from 'shared';

import type {BoxList} from './BoxList';
import {digestOf} from './ConfigurationDigest';
import {ConfigurationHistory} from './ConfigurationHistory';
import type {Evacuations} from './Evacuations';
import type {FleetMachine} from './FleetMachine';
import type {BoxRecord, WatchReply, WatchRequest} from './FleetMessages';
import {BOX_ROLE} from './FleetMessages';
import {packUpdate} from './PackedUpdate';
import type {Rollouts} from './Rollouts';
import type {StateConfirmation} from './StateConfirmation';
import type {UpstreamTable} from './UpstreamTable';
import {VersionAges} from './VersionLease';
import type {RegisteredVersions} from './VersionRegistry';

const NO_CONFIGURATION_UPDATE = {
  configuration: undefined,
  configurationChange: undefined,
} as const;

type ConfigurationFields = Pick<
  WatchReply,
  'configuration' | 'configurationChange' | 'packedUpdate'
>;

/** Constructor arguments of WatchReplies. */
export interface WatchAnswersParts {
  readonly self: BoxRecord;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly replica: Replica;
  readonly machine: FleetMachine;
  readonly upstreams: UpstreamTable;
  /** Boxes that watch this control box; sent to the other control boxes. */
  readonly watchingBoxes: BoxList;
  /** Boxes known to any control box; sent to edges. */
  readonly allBoxes: BoxList;
  readonly confirmation: StateConfirmation;
}

/** Builds the replies of a control box to watch requests. */
export class WatchReplies {
  private readonly history = new ConfigurationHistory();
  private readonly versionAges: VersionAges;
  private notedVersion = -Infinity;
  /** Time at which this box first had the noted version, ms. */
  private versionNotedAt = 0;

  constructor(private readonly parts: WatchAnswersParts) {
    this.versionAges = new VersionAges(parts.clock);
  }

  /**
   * The leader, if this box hears from it and gets its entries, so that its state follows
   * the quorum.
   */
  get followedLeader(): string | undefined {
    const {confirmation, replica} = this.parts;
    return confirmation.isRecent ? replica.activeLeaderBox : undefined;
  }

  /** Whether the state of this box follows the quorum. */
  get isUpToDate(): boolean {
    return this.followedLeader !== undefined;
  }

  /** Time until this box is no longer up to date without further contact, ms. */
  get msUntilOutdated(): number {
    const {confirmation, replica} = this.parts;
    return Math.min(replica.msUntilLeaderLost, confirmation.msUntilOutdated);
  }

  /** The configuration version applied here; -Infinity without one. */
  private get heldVersion(): number {
    return (
      this.parts.machine.storedConfiguration?.configuration.version ?? -Infinity
    );
  }

  /**
   * Notes when the current configuration and registered versions came; called at the start
   * and after each change.
   */
  noteVersion(): void {
    const {clock, log, machine} = this.parts;
    this.versionAges.note(machine.versions.registered);
    const configuration = machine.storedConfiguration?.configuration;
    if (
      configuration === undefined ||
      configuration.version === this.notedVersion
    ) {
      return;
    }
    this.notedVersion = configuration.version;
    this.versionNotedAt = clock.now();
    log.note({
      digest: digestOf(configuration),
      event: 'configuration-applied',
      version: configuration.version,
    });
  }

  /** Whether to reply without delay; box changes alone wait for the next reply. */
  hasUpdates(request: WatchRequest): boolean {
    const {hearsLeader = this.isUpToDate} = request;
    return (
      request.incarnation !== this.parts.self.incarnation ||
      // A box that is not up to date lacks updates, so the requester must use another one.
      hearsLeader !== this.isUpToDate ||
      this.heldVersion > request.configurationVersion ||
      this.newerEvacuations(request) !== undefined ||
      this.newerRollouts(request) !== undefined ||
      this.newerQuarantine(request) !== undefined ||
      this.newerVersions(request) !== undefined ||
      this.parts.upstreams.revision > request.upstreamsRevision
    );
  }

  private newerEvacuations({
    evacuationRevision,
  }: WatchRequest): Evacuations | undefined {
    const {evacuations} = this.parts.machine;
    return evacuations.revision > evacuationRevision ? evacuations : undefined;
  }

  /** Older software versions omit the revision and get no update. */
  private newerRollouts({
    rolloutRevision = Infinity,
  }: WatchRequest): Rollouts | undefined {
    const {rollouts} = this.parts.machine;
    return rollouts.revision > rolloutRevision ? rollouts : undefined;
  }

  /** Older software versions omit the revision and get no update. */
  private newerQuarantine({
    quarantineRevision = Infinity,
  }: WatchRequest): Quarantine | undefined {
    const {quarantine} = this.parts.machine;
    return quarantine.revision > quarantineRevision ? quarantine : undefined;
  }

  /** None from a box that may lack versions, as a missing one would be taken for absent. */
  private newerVersions({
    versionsRevision = Infinity,
  }: WatchRequest): RegisteredVersions | undefined {
    const {registered} = this.parts.machine.versions;
    if (registered.revision <= versionsRevision || !this.isUpToDate) {
      return undefined;
    }
    this.versionAges.note(registered);
    return this.versionAges.withAges(registered);
  }

  /**
   * Builds the reply, with all updates since the last one, to a request that was held for
   * `heldMs`.
   */
  replyTo(request: WatchRequest, current: boolean, heldMs: number): WatchReply {
    const {clock, confirmation, self} = this.parts;
    const {ageMs} = confirmation;
    const isSameIncarnation = request.incarnation === self.incarnation;
    const upstreamsRevision = isSameIncarnation ? request.upstreamsRevision : 0;
    const boxesRevision = isSameIncarnation ? request.boxesRevision : -1;
    const boxList =
      request.from.role === BOX_ROLE.control
        ? this.parts.watchingBoxes
        : this.parts.allBoxes;
    const includesBoxes = !request.brief && boxList.revision > boxesRevision;
    return {
      ...this.configurationFor(request),
      boxes: includesBoxes ? boxList.changedSince(boxesRevision) : undefined,
      boxesRevision: request.brief ? boxesRevision : boxList.revision,
      current,
      evacuations: this.newerEvacuations(request),
      heldMs,
      heldVersion: this.heldVersion,
      heldVersionMs: clock.now() - this.versionNotedAt,
      incarnation: self.incarnation,
      leader: this.followedLeader,
      quarantine: this.newerQuarantine(request),
      rollouts: this.newerRollouts(request),
      stateAgeMs: ageMs < Infinity ? ageMs : undefined,
      upstreams: this.parts.upstreams.changedSince(upstreamsRevision),
      upstreamsRevision: this.parts.upstreams.revision,
      versions: this.newerVersions(request),
      versionsRevision: this.parts.machine.versions.registered.revision,
    };
  }

  private configurationFor(request: WatchRequest): ConfigurationFields {
    const configuration = this.parts.machine.storedConfiguration?.configuration;
    const {acceptsPacked, brief, configurationVersion} = request;
    const isNewer =
      (configuration?.version ?? -Infinity) > configurationVersion;
    if (brief || configuration === undefined || !isNewer) {
      return NO_CONFIGURATION_UPDATE;
    }
    this.history.add(configuration);
    const update = this.history.updateSince(configurationVersion);
    return acceptsPacked === true
      ? {...NO_CONFIGURATION_UPDATE, packedUpdate: packUpdate(update)}
      : update;
  }
}
