/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Roll-outs at a control box: takes orders, reads and reports of exposure, here or at
 * the leader, and while this box leads moves on what is under way.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Replica} from 'puffinturn-log';
import type {Link} from 'puffinturn-wire';
import type {Clock, Condition} from 'shared';
import {DisposableList, sleepUnlessNotified, TaskGroup} from 'shared';

import type {FleetMachine} from './FleetMachine';
import {FLEET_SERVICE} from './FleetMessages';
import type {LeaderCalls} from './LeaderCalls';
import {RolloutClock} from './RolloutClock';
import {COPY_WITHIN_MS, IDLE_LOOK_MS, STEP_MS} from './RolloutConstants';
import {RolloutLeader} from './RolloutLeader';
import type {RolloutOrderRecord, RolloutRecordOutcome} from './RolloutRegister';
import {isUnderWay} from './RolloutRegister';
import type {
  ExposureBound,
  ExposureReply,
  ExposureRequest,
  RolloutOrder,
  RolloutOrderOutcome,
  RolloutOrderReply,
  RolloutReadReply,
} from './Rollouts';
import {ROLLOUT_ORDER} from './Rollouts';
import type {UpstreamTable} from './Upstreams';

/** What a RolloutControl is made of. */
export interface RolloutControlParts {
  /** Undefined where roll-outs are not switched on. */
  readonly exposure?: ExposureBound | undefined;
  readonly clock: Clock;
  /** Notified on every change of the machine that boxes have to hear of. */
  readonly changed: Condition;
  readonly leader: LeaderCalls;
  readonly link: Link;
  readonly log: DecisionLog;
  readonly machine: FleetMachine;
  readonly replica: Replica;
  readonly upstreams: UpstreamTable;
}

const NO_GRANTS: ExposureReply = {grants: undefined};

const UNAVAILABLE: RolloutOrderReply = {outcome: ROLLOUT_ORDER.unavailable};

const NOT_CURRENT: RolloutReadReply = {current: false, versions: undefined};

/** See the module comment. */
export class RolloutControl implements AsyncDisposable {
  private readonly elapsed: RolloutClock;
  private readonly rolloutLeader: RolloutLeader | undefined;
  private readonly handlers = new DisposableList();
  private readonly tasks = new TaskGroup();

  constructor(private readonly parts: RolloutControlParts) {
    const {clock, exposure, link, machine} = parts;
    this.elapsed = new RolloutClock(clock, machine);
    this.rolloutLeader =
      exposure &&
      new RolloutLeader({...parts, bound: exposure, elapsed: this.elapsed});
    this.handlers.add(
      link.register(FLEET_SERVICE.beginRollout, (body) =>
        this.beginHere(body as RolloutOrder),
      ),
    );
    this.handlers.add(
      link.register(FLEET_SERVICE.readRollout, (body) =>
        this.readHere(body as string),
      ),
    );
    this.handlers.add(
      link.register(FLEET_SERVICE.exposure, (body) =>
        this.exchange(body as ExposureRequest),
      ),
    );
    if (this.rolloutLeader !== undefined) {
      const {rolloutLeader} = this;
      this.tasks.start((signal) => this.run(rolloutLeader, signal));
    }
  }

  /** Orders a roll-out; accepted once a quorum holds it. */
  begin(order: RolloutOrder): Promise<RolloutOrderReply> {
    return this.parts.leader.atLeader(
      FLEET_SERVICE.beginRollout,
      order,
      UNAVAILABLE,
      () => this.beginHere(order),
    );
  }

  /** The versions of a service, as a barrier of the log shows them. */
  read(service: string): Promise<RolloutReadReply> {
    return this.parts.leader.atLeader(
      FLEET_SERVICE.readRollout,
      service,
      NOT_CURRENT,
      () => this.readHere(service),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.handlers[Symbol.dispose]();
    await this.tasks[Symbol.asyncDispose]();
  }

  private exchange(request: ExposureRequest): Promise<ExposureReply> {
    const {leader} = this.parts;
    return leader.atLeader(
      FLEET_SERVICE.exposure,
      request,
      NO_GRANTS,
      async () => ({grants: await this.rolloutLeader?.exchange(request)}),
    );
  }

  private async readHere(service: string): Promise<RolloutReadReply> {
    const current = await this.parts.leader.isCurrent();
    const versions = this.parts.machine.versionsOf(service);
    return current ? {current, versions} : NOT_CURRENT;
  }

  private async beginHere(order: RolloutOrder): Promise<RolloutOrderReply> {
    const reply = await this.takeOrder(order);
    const {service, targetVersion} = order;
    const rollout = this.parts.machine.versionsOf(service)?.rollout;
    this.parts.log.note({
      event: 'rollout-decided',
      number: rollout?.number,
      outcome: reply.outcome,
      service,
      targetVersion,
    });
    return reply;
  }

  private async takeOrder(order: RolloutOrder): Promise<RolloutOrderReply> {
    if (this.rolloutLeader === undefined) {
      return {outcome: ROLLOUT_ORDER.disabled};
    }
    const {rolloutLeader} = this;
    if (
      !(await rolloutLeader.beginTerm()) ||
      !(await this.parts.leader.isCurrent())
    ) {
      return UNAVAILABLE;
    }
    const known = this.knownOutcome(order);
    return known === undefined
      ? this.proposeOrder(order, rolloutLeader)
      : this.replyOf(order, known);
  }

  /** The outcome where the order changes nothing. */
  private knownOutcome(order: RolloutOrder): RolloutOrderOutcome | undefined {
    const {durationMs, service, targetVersion} = order;
    const {machine} = this.parts;
    if (!machine.isService(service)) {
      return ROLLOUT_ORDER.unknownService;
    }
    const rollout = machine.versionsOf(service)?.rollout;
    const isSame = rollout?.targetVersion === targetVersion;
    if (isUnderWay(rollout)) {
      return isSame ? ROLLOUT_ORDER.accepted : ROLLOUT_ORDER.conflict;
    }
    const elapsedMs = this.elapsed.elapsedOf(service) ?? Infinity;
    const isCopy = isSame && rollout.durationMs === durationMs;
    return isCopy && elapsedMs < COPY_WITHIN_MS
      ? ROLLOUT_ORDER.accepted
      : undefined;
  }

  private async proposeOrder(
    order: RolloutOrder,
    rolloutLeader: RolloutLeader,
  ): Promise<RolloutOrderReply> {
    const {clock, leader, machine} = this.parts;
    const {service, targetVersion} = order;
    const held = machine.versionsOf(service);
    const stableVersion =
      held?.stableVersion ??
      rolloutLeader.stableVersionOf(service, targetVersion);
    // Without any upstream it can't be told which version serves.
    if (stableVersion === undefined) {
      return UNAVAILABLE;
    }
    const record: RolloutOrderRecord = {
      ...order,
      kind: 'rollout-order',
      knownNumber: held?.rollout?.number ?? 0,
      orderedAt: clock.wallTime(),
      stableVersion,
    };
    const outcome = await leader.propose<RolloutRecordOutcome>(record);
    return outcome.match(
      (applied) => this.replyOf(order, applied.order),
      () => UNAVAILABLE,
    );
  }

  private replyOf(
    {service}: RolloutOrder,
    outcome: RolloutOrderOutcome,
  ): RolloutOrderReply {
    const rollout = this.parts.machine.versionsOf(service)?.rollout;
    return outcome === ROLLOUT_ORDER.conflict
      ? {outcome, underWay: rollout?.targetVersion}
      : {outcome};
  }

  /** Every box looks at the time of orders; the leader moves them on. */
  private async run(
    rolloutLeader: RolloutLeader,
    signal: AbortSignal,
  ): Promise<void> {
    const {changed, clock, replica} = this.parts;
    while (!signal.aborted) {
      this.elapsed.look();
      if (replica.isLeader) {
        await rolloutLeader.step();
      }
      await (this.anyUnderWay
        ? clock.sleep(STEP_MS, signal)
        : sleepUnlessNotified(clock, changed, IDLE_LOOK_MS, signal));
    }
  }

  private get anyUnderWay(): boolean {
    const {services} = this.parts.machine.rollouts;
    return services.some(({rollout}) => isUnderWay(rollout));
  }
}
