/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * What a control box answers to those who watch it: all that is new since their last
 * answer, and whether any of it can't wait.
 */
import type {Replica} from 'puffinturn-log';
import type {Quarantine} from 'puffinturn-quarantine';

import type {BoxList} from './Boxes';
import {ConfigurationHistory} from './ConfigurationHistory';
import type {Evacuations} from './Evacuations';
import type {FleetMachine} from './FleetMachine';
import type {BoxRecord, WatchReply, WatchRequest} from './FleetMessages';
import {BOX_ROLE} from './FleetMessages';
import type {Rollouts} from './Rollouts';
import type {UpstreamTable} from './Upstreams';

const NO_CONFIGURATION = {
  configuration: undefined,
  configurationChange: undefined,
} as const;

/** What WatchAnswers are made of. */
export interface WatchAnswersParts {
  readonly self: BoxRecord;
  readonly replica: Replica;
  readonly machine: FleetMachine;
  readonly upstreams: UpstreamTable;
  /** Boxes that watch this one, as other control boxes are told. */
  readonly ownBoxes: BoxList;
  /** All boxes that any control box knows of, as edges are told. */
  readonly everyBox: BoxList;
}

/** See the module comment. */
export class WatchAnswers {
  private readonly history = new ConfigurationHistory();

  constructor(private readonly parts: WatchAnswersParts) {}

  /** Whether what is applied here may be taken for what a quorum has. */
  get hearsLeader(): boolean {
    return this.parts.replica.heardLeaderBox !== undefined;
  }

  /** The version in force here, or -Infinity. */
  private get heldVersion(): number {
    return this.parts.machine.stored?.configuration.version ?? -Infinity;
  }

  /** What can't wait; news of boxes go with the next answer. */
  hasNews(request: WatchRequest): boolean {
    const {hearsLeader = this.hearsLeader} = request;
    return (
      request.incarnation !== this.parts.self.incarnation ||
      // A box that is cut off from the quorum has no news and must not be waited for.
      hearsLeader !== this.hearsLeader ||
      this.heldVersion > request.configurationVersion ||
      this.newEvacuations(request) !== undefined ||
      this.newRollouts(request) !== undefined ||
      this.newQuarantine(request) !== undefined ||
      this.parts.upstreams.revision > request.upstreamsRevision
    );
  }

  private newEvacuations({
    evacuationRevision,
  }: WatchRequest): Evacuations | undefined {
    const {evacuations} = this.parts.machine;
    return evacuations.revision > evacuationRevision ? evacuations : undefined;
  }

  /** A box of a former version wants none. */
  private newRollouts({
    rolloutRevision = Infinity,
  }: WatchRequest): Rollouts | undefined {
    const {rollouts} = this.parts.machine;
    return rollouts.revision > rolloutRevision ? rollouts : undefined;
  }

  /** A box of a former version wants none. */
  private newQuarantine({
    quarantineRevision = Infinity,
  }: WatchRequest): Quarantine | undefined {
    const {quarantine} = this.parts.machine;
    return quarantine.revision > quarantineRevision ? quarantine : undefined;
  }

  /** All that is new. */
  newsFor(request: WatchRequest, current: boolean): WatchReply {
    const {replica, self} = this.parts;
    const same = request.incarnation === self.incarnation;
    const upstreamsRevision = same ? request.upstreamsRevision : 0;
    const boxesRevision = same ? request.boxesRevision : -1;
    const list =
      request.from.role === BOX_ROLE.control
        ? this.parts.ownBoxes
        : this.parts.everyBox;
    const tellsBoxes = !request.brief && list.revision > boxesRevision;
    const configuration = request.brief
      ? NO_CONFIGURATION
      : this.configurationFor(request.configurationVersion);
    return {
      ...configuration,
      boxes: tellsBoxes ? list.changedSince(boxesRevision) : undefined,
      boxesRevision: request.brief ? boxesRevision : list.revision,
      current,
      evacuations: this.newEvacuations(request),
      heldVersion: this.heldVersion,
      incarnation: self.incarnation,
      leader: replica.heardLeaderBox,
      quarantine: this.newQuarantine(request),
      rollouts: this.newRollouts(request),
      upstreams: this.parts.upstreams.changedSince(upstreamsRevision),
      upstreamsRevision: this.parts.upstreams.revision,
    };
  }

  private configurationFor(
    version: number,
  ): Pick<WatchReply, 'configuration' | 'configurationChange'> {
    const configuration = this.parts.machine.stored?.configuration;
    if (configuration === undefined || configuration.version <= version) {
      return NO_CONFIGURATION;
    }
    this.history.add(configuration);
    const configurationChange = this.history.changeSince(version);
    return configurationChange === undefined
      ? {configuration, configurationChange: undefined}
      : {configuration: undefined, configurationChange};
  }
}
