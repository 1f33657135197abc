/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The control side of a fleet: takes changes and heartbeats, answers watching
 * boxes, and exchanges allowances through the replicated log. Any control box
 * takes any call; what only the leader can do is passed on to it.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Replica} from 'puffinturn-log';
import type {Link} from 'puffinturn-wire';
import type {Clock, Condition} from 'shared';
import {
  DisposableList,
  sleepUnlessNotified,
  SuspensionWatch,
  TaskGroup,
} from 'shared';

import {AllowanceControl} from './AllowanceControl';
import {BoxList, BoxTable} from './Boxes';
import type {
  ConfigurationOutcome,
  StoredConfiguration,
} from './ConfigurationRegister';
import type {EvacuationOutcome} from './EvacuationRegister';
import type {FleetMachine} from './FleetMachine';
import type {
  BoxRecord,
  ChangeReply,
  ChangeRequest,
  EvacuateReply,
  EvacuateRequest,
  LimitsRequest,
  ReadReply,
  WatchReply,
  WatchRequest,
} from './FleetMessages';
import {FLEET_SERVICE} from './FleetMessages';
import {FleetNews, FleetWatch} from './FleetWatch';
import {LeaderCalls} from './LeaderCalls';
import {packConfiguration} from './PackedConfiguration';
import {QuarantineControl} from './QuarantineControl';
import {RolloutControl} from './RolloutControl';
import type {
  ExposureBound,
  RolloutOrder,
  RolloutOrderReply,
  RolloutReadReply,
} from './Rollouts';
import {UpstreamRefusals} from './UpstreamRefusals';
import type {UpstreamRecord} from './Upstreams';
import {UpstreamTable} from './Upstreams';
import {wakeUp} from './WakeUp';
import {WatchAnswers} from './WatchAnswers';

/** How often silent boxes and upstreams are looked for, ms. */
const EXPIRE_EVERY_MS = 1_000;

/** How often to look for a leader while none is heard, ms. */
const LEADER_LOOK_MS = 100;

/** Longest time between two looks whether one is still heard, ms. */
const LEADER_HEARD_LOOK_MS = 1_000;

/** What a FleetControl is made of. */
export interface FleetControlParts {
  readonly self: BoxRecord;
  /** Addresses between boxes of the first control boxes to ask. */
  readonly seeds: () => readonly string[];
  readonly clock: Clock;
  readonly link: Link;
  readonly replica: Replica;
  readonly machine: FleetMachine;
  /** Notified by the machine on every configuration that came into force. */
  readonly changed: Condition;
  readonly log: DecisionLog;
  /** What new versions may risk; undefined where there are no roll-outs. */
  readonly exposure?: ExposureBound | undefined;
}

/** Takes over what the other control boxes heard from upstreams and edges. */
class ControlNews extends FleetNews {
  constructor(private readonly control: FleetControl) {
    super();
  }

  /** The log brings the configuration; none is wanted from others. */
  override get configurationVersion(): number {
    return Infinity;
  }

  override configuration(): void {}

  override configurationChange(): void {}

  /** The log brings evacuations too. */
  override get evacuationRevision(): number {
    return Infinity;
  }

  override evacuations(): void {}

  /** The log brings roll-outs too. */
  override get rolloutRevision(): number {
    return Infinity;
  }

  override rollouts(): void {}

  /** The log brings the quarantine too. */
  override get quarantineRevision(): number {
    return Infinity;
  }

  override quarantine(): void {}

  override upstreams(records: readonly UpstreamRecord[], source: string): void {
    for (const record of records) {
      this.control.hearUpstream(record, source);
    }
  }

  override boxes(records: readonly BoxRecord[], source: string): void {
    this.control.hearBoxes(records, source);
  }
}

/** See the module comment. */
export class FleetControl implements AsyncDisposable {
  /** Upstreams known to this box. */
  readonly upstreams = new UpstreamTable();
  /** Boxes that watch this one. */
  readonly boxes = new BoxTable();
  /** Boxes that watch the other control boxes, by control box. */
  private readonly boxesOfOthers = new Map<string, readonly BoxRecord[]>();
  /** All boxes that any control box knows of, as edges are told. */
  private readonly everyBox = new BoxList();
  private readonly answers: WatchAnswers;
  private readonly leader: LeaderCalls;
  private readonly rollouts: RolloutControl;
  private readonly others: FleetWatch;
  private readonly allowances: AllowanceControl;
  private readonly quarantine: QuarantineControl;
  private readonly refusals: UpstreamRefusals;
  private readonly suspension: SuspensionWatch;
  private readonly tasks = new TaskGroup();
  private readonly handlers = new DisposableList();

  constructor(private readonly parts: FleetControlParts) {
    const {clock, link, log} = parts;
    this.refusals = new UpstreamRefusals(clock, log);
    this.leader = new LeaderCalls(parts);
    this.allowances = new AllowanceControl({...parts, leader: this.leader});
    this.quarantine = new QuarantineControl({...parts, leader: this.leader});
    this.answers = new WatchAnswers({
      ...parts,
      everyBox: this.everyBox,
      ownBoxes: this.boxes.list,
      upstreams: this.upstreams,
    });
    this.handlers.add(
      link.register(FLEET_SERVICE.watch, (body) =>
        this.watch(body as WatchRequest),
      ),
    );
    this.handlers.add(
      link.register(FLEET_SERVICE.change, (body) =>
        this.changeHere(body as ChangeRequest),
      ),
    );
    this.handlers.add(
      link.register(FLEET_SERVICE.evacuate, (body) =>
        this.evacuateHere(body as EvacuateRequest),
      ),
    );
    this.handlers.add(link.register(FLEET_SERVICE.read, () => this.readHere()));
    this.handlers.add(
      link.register(FLEET_SERVICE.reportLimits, async (body) => {
        this.hearLimits(body as LimitsRequest);
        return null;
      }),
    );
    this.others = new FleetWatch({
      ...parts,
      askedAtOnce: Infinity,
      news: new ControlNews(this),
    });
    this.rollouts = new RolloutControl({
      ...parts,
      leader: this.leader,
      upstreams: this.upstreams,
    });
    // Nothing else rests on the steady clock: reads and records need a quorum's answer.
    this.suspension = new SuspensionWatch(clock, (ms) => wakeUp(parts, ms));
    this.tasks.start((signal) => this.runExpiry(signal));
    this.tasks.start((signal) => this.followLeader(signal));
  }

  /** Puts a checked configuration in force; true once a quorum holds it. */
  async change(stored: StoredConfiguration): Promise<ChangeReply> {
    const request: ChangeRequest = {
      packed: packConfiguration(stored),
      version: stored.configuration.version,
    };
    const without = {accepted: false, heldVersion: undefined};
    return this.leader.atLeader(FLEET_SERVICE.change, request, without, () =>
      this.changeHere(request),
    );
  }

  /** Evacuates a hall or ends that; accepted once a quorum holds it. */
  async evacuate(request: EvacuateRequest): Promise<EvacuateReply> {
    const without = {accepted: false};
    return this.leader.atLeader(FLEET_SERVICE.evacuate, request, without, () =>
      this.evacuateHere(request),
    );
  }

  /** Orders a roll-out; accepted once a quorum holds it. */
  beginRollout(order: RolloutOrder): Promise<RolloutOrderReply> {
    return this.rollouts.begin(order);
  }

  /** The versions of a service, as a barrier of the log shows them. */
  readRollout(service: string): Promise<RolloutReadReply> {
    return this.rollouts.read(service);
  }

  /** The document in force, as a barrier of the log shows it. */
  async read(): Promise<ReadReply> {
    const without = {current: false, document: undefined};
    return this.leader.atLeader(FLEET_SERVICE.read, null, without, () =>
      this.readHere(),
    );
  }

  /** Takes a heartbeat in. */
  hearUpstream(record: UpstreamRecord, source = 'heartbeat'): void {
    const {changed, clock} = this.parts;
    const {revision} = this.upstreams;
    if (this.upstreams.merge(record, clock.now())) {
      this.noteUpstream(record, source);
    }
    if (this.upstreams.revision > revision) {
      changed.notify();
    }
  }

  /** Takes in what upstreams said of their limits to an edge. */
  private hearLimits({box: source, reports}: LimitsRequest): void {
    const {changed, clock, log} = this.parts;
    for (const {bornAt, id, limit} of reports) {
      if (this.upstreams.hearLimit({bornAt, id}, limit, clock.now())) {
        const {perSecond, revision} = limit;
        const event = 'upstream-limited';
        log.note({event, perSecond, revision, source, upstream: id});
        changed.notify();
      }
    }
  }

  /** Takes note that a life of an upstream is over, the known one if none is named. */
  removeUpstream(id: string, bornAt?: number): void {
    const {changed, clock} = this.parts;
    if (this.upstreams.remove(id, clock.now(), bornAt)) {
      const record = this.upstreams.get(id);
      if (record !== undefined) {
        this.noteUpstream(record, 'leave');
      }
      changed.notify();
    }
  }

  /** Counts a word that names no upstream to use; nothing that is known changes. */
  refuseUpstream(id: string, cause: string): void {
    this.refusals.count(id, cause);
  }

  /** Takes over which boxes watch another control box. */
  hearBoxes(records: readonly BoxRecord[], source: string): void {
    this.boxesOfOthers.set(source, records);
    this.gatherBoxes();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.suspension[Symbol.asyncDispose]();
    await this.others[Symbol.asyncDispose]();
    await this.rollouts[Symbol.asyncDispose]();
    this.handlers[Symbol.dispose]();
    await this.allowances[Symbol.asyncDispose]();
    await this.quarantine[Symbol.asyncDispose]();
    await this.refusals[Symbol.asyncDispose]();
    this.tasks.abort();
    this.parts.changed.notify();
    await this.tasks[Symbol.asyncDispose]();
  }

  private async watch(request: WatchRequest): Promise<WatchReply> {
    const {changed, clock} = this.parts;
    if (this.boxes.hear(request.from, clock.now())) {
      this.gatherBoxes();
    }
    const current = request.current ? (await this.readHere()).current : false;
    const until = clock.now() + request.waitMs;
    // A box that starts waits for this alone once it has all the news.
    while (
      !current &&
      !this.answers.hasNews(request) &&
      clock.now() < until &&
      !this.tasks.ended
    ) {
      await sleepUnlessNotified(
        clock,
        changed,
        until - clock.now(),
        this.tasks.signal,
      );
    }
    return this.answers.newsFor(request, current);
  }

  /** Own list of boxes and those of the other control boxes in one. */
  private gatherBoxes(): void {
    const others = [...this.boxesOfOthers.values()].flat();
    const own = [this.parts.self, ...this.boxes.list.records()];
    const byBox = new Map(
      [...others, ...own].map((record) => [record.box, record]),
    );
    this.everyBox.replace([...byBox.values()]);
  }

  private async changeHere({
    packed,
    version,
  }: ChangeRequest): Promise<ChangeReply> {
    const outcome = await this.leader.propose<ConfigurationOutcome>({
      kind: 'packed-configuration',
      packed,
    });
    return outcome.match(
      ({adopted, heldVersion}) => {
        this.noteChange(version, heldVersion, adopted ? 'adopted' : 'older');
        return {accepted: true, heldVersion};
      },
      ({kind}) => {
        this.noteChange(version, undefined, kind);
        return {accepted: false, heldVersion: undefined};
      },
    );
  }

  private async evacuateHere({
    evacuated,
    hall,
  }: EvacuateRequest): Promise<EvacuateReply> {
    const outcome = await this.leader.propose<EvacuationOutcome>({
      evacuated,
      hall,
      kind: 'evacuation',
    });
    const accepted = outcome.isOk();
    this.parts.log.note({
      evacuated,
      event: 'evacuation-decided',
      hall,
      outcome: accepted ? 'accepted' : outcome.error.kind,
      revision: accepted ? outcome.value.evacuations.revision : undefined,
    });
    return {accepted};
  }

  private noteChange(
    version: number,
    held: number | undefined,
    outcome: string,
  ): void {
    this.parts.log.note({event: 'change-decided', held, outcome, version});
  }

  private noteUpstream(record: UpstreamRecord, source: string): void {
    const {address, bornAt, id, sequence, service, state} = record;
    this.parts.log.note({
      address,
      bornAt,
      event: 'upstream-changed',
      upstream: id,
      sequence,
      service,
      source,
      state,
    });
  }

  private async readHere(): Promise<ReadReply> {
    const current = await this.leader.isCurrent();
    const document = this.parts.machine.stored?.document;
    return {current, document: current ? document : undefined};
  }

  /** Wakes up the questions that wait once a leader is lost or heard again. */
  private async followLeader(signal: AbortSignal): Promise<void> {
    const {changed, clock, replica} = this.parts;
    let heard = this.answers.hearsLeader;
    while (!signal.aborted) {
      const lostInMs = Math.min(LEADER_HEARD_LOOK_MS, replica.leaderHeardForMs);
      // Just after its silence counts, so that the look is not a moment too early.
      await clock.sleep(heard ? lostInMs + 1 : LEADER_LOOK_MS, signal);
      if (heard !== this.answers.hearsLeader) {
        heard = this.answers.hearsLeader;
        changed.notify();
      }
    }
  }

  private async runExpiry(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted) {
      await clock.sleep(EXPIRE_EVERY_MS, signal);
      this.upstreams.expire(clock.now());
      if (this.boxes.expire(clock.now())) {
        this.gatherBoxes();
      }
    }
  }
}
