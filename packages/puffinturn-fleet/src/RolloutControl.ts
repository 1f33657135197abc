/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Condition} from 'shared';
import {DisposableList, sleepUnlessNotified, TaskGroup} from 'shared';

import {FLEET_SERVICE} from './FleetMessages';
import {RolloutClock} from './RolloutClock';
import {
  DUPLICATE_ORDER_WINDOW_MS,
  IDLE_POLL_INTERVAL_MS,
  LEADER_STEP_INTERVAL_MS,
} from './RolloutConstants';
import {RolloutLeader} from './RolloutLeader';
import type {RolloutOrderRecord, RolloutRecordOutcome} from './RolloutRegistry';
import {isInProgress} from './RolloutRegistry';
import type {
  ExposureBound,
  ExposureReply,
  ExposureRequest,
  RolloutOrder,
  RolloutOrderOutcome,
  RolloutOrderReply,
  RolloutOrderRequest,
  RolloutReadReply,
} from './Rollouts';
import {ROLLOUT_ORDER_OUTCOME} from './Rollouts';
import type {StateControlParts} from './StateControlParts';
import type {UpstreamTable} from './UpstreamTable';

/** Dependencies of a RolloutControl. */
export interface RolloutControlParts extends StateControlParts {
  /** Undefined if rollouts are disabled. */
  readonly exposure?: ExposureBound | undefined;
  /** Notified of every state machine change that is sent to boxes. */
  readonly stateChanged: Condition;
  readonly upstreams: UpstreamTable;
}

const NO_GRANTS: ExposureReply = {grants: undefined};

const UNAVAILABLE: RolloutOrderReply = {
  outcome: ROLLOUT_ORDER_OUTCOME.unavailable,
};

const STALE_READ: RolloutReadReply = {current: false, versions: undefined};

/**
 * Handles rollout orders, reads and exposure reports at a control box, and forwards
 * them to the leader if this box is not the leader. The leader also advances rollouts
 * in progress.
 */
export class RolloutControl implements AsyncDisposable {
  private readonly rolloutClock: RolloutClock;
  private readonly rolloutLeader: RolloutLeader | undefined;
  private readonly handlers = new DisposableList();
  private readonly tasks = new TaskGroup();

  constructor(private readonly parts: RolloutControlParts) {
    const {clock, exposure, link, machine} = parts;
    this.rolloutClock = new RolloutClock(clock, machine);
    this.rolloutLeader =
      exposure &&
      new RolloutLeader({
        ...parts,
        bound: exposure,
        rolloutClock: this.rolloutClock,
      });
    this.handlers.add(
      link.register(FLEET_SERVICE.beginRollout, (body) =>
        this.beginAsLeader(body as RolloutOrderRequest),
      ),
    );
    this.handlers.add(
      link.register(FLEET_SERVICE.readRollout, (body) =>
        this.readAsLeader(body as string),
      ),
    );
    this.handlers.add(
      link.register(FLEET_SERVICE.exposure, (body) =>
        this.exchangeExposure(body as ExposureRequest),
      ),
    );
    if (this.rolloutLeader !== undefined) {
      const {rolloutLeader} = this;
      this.tasks.start((signal) => this.run(rolloutLeader, signal));
    }
  }

  /** Orders a rollout. The order is accepted once a quorum has stored it. */
  begin(order: RolloutOrder): Promise<RolloutOrderReply> {
    const latestKnown = this.latestNumber(order.service);
    const request: RolloutOrderRequest = {...order, latestKnown};
    return this.parts.leader.runOnLeader(
      FLEET_SERVICE.beginRollout,
      request,
      UNAVAILABLE,
      () => this.beginAsLeader(request),
    );
  }

  /** Returns the versions of a service after a linearizable read of the log. */
  read(service: string): Promise<RolloutReadReply> {
    return this.parts.leader.runOnLeader(
      FLEET_SERVICE.readRollout,
      service,
      STALE_READ,
      () => this.readAsLeader(service),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.handlers[Symbol.dispose]();
    await this.tasks[Symbol.asyncDispose]();
  }

  private exchangeExposure(request: ExposureRequest): Promise<ExposureReply> {
    const {leader} = this.parts;
    return leader.runOnLeader(
      FLEET_SERVICE.exposure,
      request,
      NO_GRANTS,
      async () => ({grants: await this.rolloutLeader?.exchange(request)}),
    );
  }

  private async readAsLeader(service: string): Promise<RolloutReadReply> {
    const current = await this.parts.leader.passBarrier();
    const versions = this.parts.machine.getVersions(service);
    return current ? {current, versions} : STALE_READ;
  }

  /** Number of the newest rollout of a service; 0 before the first one. */
  private latestNumber(service: string): number {
    return this.parts.machine.getVersions(service)?.rollout?.number ?? 0;
  }

  private async beginAsLeader({
    latestKnown = Infinity,
    ...order
  }: RolloutOrderRequest): Promise<RolloutOrderReply> {
    const reply = await this.handleOrder(order, latestKnown);
    const {service, targetVersion} = order;
    const rollout = this.parts.machine.getVersions(service)?.rollout;
    this.parts.log.note({
      event: 'rollout-decided',
      number: rollout?.number,
      outcome: reply.outcome,
      service,
      targetVersion,
    });
    return reply;
  }

  /** `latestKnown` is the number of the newest rollout when the order was received. */
  private async handleOrder(
    order: RolloutOrder,
    latestKnown: number,
  ): Promise<RolloutOrderReply> {
    if (this.rolloutLeader === undefined) {
      return {outcome: ROLLOUT_ORDER_OUTCOME.disabled};
    }
    const {rolloutLeader} = this;
    if (
      !(await rolloutLeader.ensureCurrentTerm()) ||
      !(await this.parts.leader.passBarrier())
    ) {
      return UNAVAILABLE;
    }
    const existing = this.existingOutcome(order);
    if (existing !== undefined) {
      return this.toReply(order, existing);
    }
    // A copy that was delayed since before a newer order must not undo it.
    return this.latestNumber(order.service) > latestKnown
      ? UNAVAILABLE
      : this.proposeOrder(order, rolloutLeader);
  }

  /** Returns the outcome if the order would change nothing. */
  private existingOutcome(
    order: RolloutOrder,
  ): RolloutOrderOutcome | undefined {
    const {durationMs, service, targetVersion} = order;
    const {machine} = this.parts;
    if (!machine.isService(service)) {
      return ROLLOUT_ORDER_OUTCOME.unknownService;
    }
    const rollout = machine.getVersions(service)?.rollout;
    const isSameVersion = rollout?.targetVersion === targetVersion;
    if (isInProgress(rollout)) {
      return isSameVersion
        ? ROLLOUT_ORDER_OUTCOME.accepted
        : ROLLOUT_ORDER_OUTCOME.conflict;
    }
    const elapsedMs = this.rolloutClock.getElapsedMs(service) ?? Infinity;
    const isDuplicate = isSameVersion && rollout.durationMs === durationMs;
    return isDuplicate && elapsedMs < DUPLICATE_ORDER_WINDOW_MS
      ? ROLLOUT_ORDER_OUTCOME.accepted
      : undefined;
  }

  private async proposeOrder(
    order: RolloutOrder,
    rolloutLeader: RolloutLeader,
  ): Promise<RolloutOrderReply> {
    const {clock, leader, machine} = this.parts;
    const {service, targetVersion} = order;
    const versions = machine.getVersions(service);
    const stableVersion =
      versions?.stableVersion ??
      rolloutLeader.detectStableVersion(service, targetVersion);
    // Without upstreams the stable version is unknown.
    if (stableVersion === undefined) {
      return UNAVAILABLE;
    }
    const record: RolloutOrderRecord = {
      ...order,
      kind: 'rollout-order',
      knownNumber: this.latestNumber(service),
      orderedAt: clock.wallTime(),
      stableVersion,
    };
    const outcome = await leader.propose<RolloutRecordOutcome>(record);
    return outcome.match(
      (applied) => this.toReply(order, applied.order),
      () => UNAVAILABLE,
    );
  }

  private toReply(
    {service}: RolloutOrder,
    outcome: RolloutOrderOutcome,
  ): RolloutOrderReply {
    const rollout = this.parts.machine.getVersions(service)?.rollout;
    return outcome === ROLLOUT_ORDER_OUTCOME.conflict
      ? {outcome, underWay: rollout?.targetVersion}
      : {outcome};
  }

  /** Tracks the elapsed time on every box, and advances rollouts on the leader. */
  private async run(
    rolloutLeader: RolloutLeader,
    signal: AbortSignal,
  ): Promise<void> {
    const {stateChanged, clock, replica} = this.parts;
    while (!signal.aborted) {
      this.rolloutClock.refresh();
      if (replica.isLeader) {
        await rolloutLeader.step();
      }
      await (this.hasActiveRollout
        ? clock.sleep(LEADER_STEP_INTERVAL_MS, signal)
        : sleepUnlessNotified(
            clock,
            stateChanged,
            IDLE_POLL_INTERVAL_MS,
            signal,
          ));
    }
  }

  private get hasActiveRollout(): boolean {
    const {services} = this.parts.machine.rollouts;
    return services.some(({rollout}) => isInProgress(rollout));
  }
}
