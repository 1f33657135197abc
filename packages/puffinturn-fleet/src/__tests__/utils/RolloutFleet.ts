/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Control boxes with disks that may lose power, and edges that send requests to two
 * versions of one service and tell of the answers, all on a clock that a test drives.
 */
import {KeptDecisionLog} from 'puffinturn-decisions';
import type {LogRequest} from 'puffinturn-log';
import {DEFAULT_TIMING, MemoryDisk, Replica} from 'puffinturn-log';
import type {MemoryLink} from 'puffinturn-wire';
import {MemoryNetwork} from 'puffinturn-wire';
import {Condition, drawByWeight, invariant, ManualClock, Random} from 'shared';

import type {
  BoxRecord,
  ExposureBound,
  ExposureReply,
  ExposureReport,
  RolloutOrder,
  RolloutOrderReply,
  RolloutReadReply,
  UpstreamRecord,
  VersionTally,
  WatchReply,
  WatchRequest,
} from '../../index';
import {
  BOX_ROLE,
  FLEET_SERVICE,
  FleetControl,
  FleetMachine,
  linkOfReplicas,
  ROLLOUT_STATE,
  TIME_RATIO_BOUNDS,
} from '../../index';
import {configurationOf, upstreamOf} from './FleetFixture';

/** Control boxes of the fleet. */
export const CONTROLS = ['c1:1', 'c2:1', 'c3:1'] as const;

/** What a version may risk in these tests. */
export const BOUND: ExposureBound = {extra: 50, rollbackMs: 5_000, share: 0.1};

/** A box that watches control boxes, and how long it waits for an answer, ms. */
const WATCHING_BOX = 'x:1';
const CALL_MS = 5_000;

/** Time between two reports of an edge, ms. */
const REPORT_MS = 250;

/** Time between two steps of the edges, ms. */
const STEP_MS = 25;

/** Requests that the load of a version is told from. */
const LATEST_REQUESTS = 60;

/** How one version answers on one route, at a time since the start, ms. */
export interface Behaviour {
  readonly failureRate: number;
  /** The part of answers that take three times the expected time. */
  readonly slowRate: number;
}

/** How versions answer. */
export type BehaviourOf = (
  version: string,
  route: string,
  now: number,
) => Behaviour;

/** All versions answer well. */
export const GOOD: Behaviour = {failureRate: 0.005, slowRate: 0.01};

/** A version of which part of the answers fail. */
export const FAILING: Behaviour = {failureRate: 0.4, slowRate: 0.01};

/** A version of which part of the answers take three times as long. */
export const SLOW: Behaviour = {failureRate: 0.005, slowRate: 0.6};

interface Control {
  readonly control: FleetControl;
  readonly machine: FleetMachine;
  readonly replica: Replica;
}

interface Answer {
  readonly at: number;
  readonly route: string;
  readonly version: string;
}

/** What the edges of a test send. */
export interface Traffic {
  readonly perSecond: number;
  /** Routes with their part of the requests. */
  readonly routes: readonly (readonly [string, number])[];
}

/** One life of an edge: what it has sent since the order and was granted. */
class SimulatedEdge {
  requests = 0;
  exposed = 0;
  granted = 0;
  shifted = false;
  openAtFormer = 0;
  isReporting = false;
  readonly open: Answer[] = [];
  readonly tallies = new Map<string, VersionTally>();

  constructor(
    readonly box: string,
    readonly life: string,
    readonly link: MemoryLink,
  ) {}
}

/** See the module comment. */
export class RolloutFleet {
  readonly clock = new ManualClock();
  readonly network: MemoryNetwork;
  readonly logs = new Map<string, KeptDecisionLog>();
  readonly random = new Random(5);
  /** How long an answer takes, ms. */
  answerMs = 300;
  behaviourOf: BehaviourOf = () => GOOD;
  traffic: Traffic = {perSecond: 200, routes: [['r', 1]]};
  /** Bad answers of the new version so far. */
  bad = 0;
  /** The most by which the exposure was over its bound while a version was tried. */
  overshoot = -Infinity;
  private readonly disks = new Map<string, MemoryDisk>();
  private readonly controls = new Map<string, Control>();
  private readonly edges: SimulatedEdge[] = [];
  private lives = 0;
  private reportAt = 0;
  private due = 0;
  private orderedAt: number | undefined;
  private readonly latest: boolean[] = [];
  private grantedToGone = 0;
  private requestsInAll = 0;
  private exposedInAll = 0;
  /** Edges go on with what they knew while no control box runs. */
  private lastNews: FleetMachine | undefined;

  constructor(private readonly isSwitchedOn = true) {
    this.network = new MemoryNetwork(this.clock, new Random(3));
  }

  /** Starts all control boxes with a configuration and upstreams of `v1`. */
  static async start(): Promise<RolloutFleet> {
    const fleet = new RolloutFleet();
    await fleet.startControls();
    await fleet.configure();
    fleet.addUpstreams('v1');
    await fleet.clock.advance(5_000);
    return fleet;
  }

  /** Puts a configuration in force that names the service. */
  async configure(): Promise<void> {
    const stored = {configuration: configurationOf(1), document: 'one'};
    await this.settle(this.control().change(stored));
  }

  /** Starts the control boxes that are not running, from their disks. */
  async startControls(
    boxes: readonly string[] = CONTROLS,
    settleMs = 3_000,
  ): Promise<void> {
    for (const box of boxes) {
      await this.startControl(box);
    }
    await this.clock.advance(settleMs);
  }

  /** Ends control boxes at once; what they have not synced is lost. */
  kill(boxes: readonly string[] = CONTROLS): void {
    for (const box of boxes) {
      this.network.disconnect(box);
      this.disks.get(box)?.crash();
      const running = this.controls.get(box);
      this.controls.delete(box);
      void running?.replica[Symbol.asyncDispose]();
      void running?.control[Symbol.asyncDispose]();
    }
  }

  /** Upstreams of a version register; four of them. */
  addUpstreams(
    version: string,
    count = 4,
    fields: Partial<UpstreamRecord> = {},
  ): void {
    for (let at = 0; at < count; at += 1) {
      const record = upstreamOf({
        address: `${version}.example:${80 + at}`,
        id: `${version}-${at}`,
        version,
        ...fields,
      });
      this.control().hearUpstream(record);
    }
  }

  /** Upstreams of a version leave. */
  removeUpstreams(version: string, count = 4): void {
    for (let at = 0; at < count; at += 1) {
      this.control().removeUpstream(`${version}-${at}`);
    }
  }

  addEdges(count: number): void {
    for (let at = 0; at < count; at += 1) {
      this.addEdge(`e${at}:1`);
    }
  }

  /** An edge loses its life; the next one counts from 0. */
  restartEdge(at: number): void {
    const [edge] = this.edges.splice(at, 1);
    invariant(edge !== undefined, 'known');
    this.network.disconnect(edge.box);
    this.grantedToGone += edge.granted;
    this.addEdge(edge.box);
  }

  /** Some running control box, or the one named. */
  control(box?: string): FleetControl {
    return this.running(box).control;
  }

  /** The newest state that a running box has. */
  machine(): FleetMachine {
    const machines = [...this.controls.values()].map(({machine}) => machine);
    machines.sort((a, b) => b.rollouts.revision - a.rollouts.revision);
    const [newest] = machines;
    invariant(newest !== undefined, 'runs');
    return newest;
  }

  /** The box that leads. */
  leader(): string {
    const leaders = [...this.controls]
      .filter(([, {replica}]) => replica.isLeader)
      .sort(
        ([, a], [, b]) => b.replica.status().term - a.replica.status().term,
      );
    invariant(leaders[0] !== undefined, 'no box leads');
    return leaders[0][0];
  }

  order(
    targetVersion = 'v2',
    fields: Partial<RolloutOrder> = {},
    box?: string,
  ): Promise<RolloutOrderReply> {
    const order = {
      durationMs: 12_000,
      service: 's',
      targetVersion,
      ...fields,
    };
    this.orderedAt ??= this.clock.now();
    return this.settle(this.control(box).beginRollout(order));
  }

  read(box?: string): Promise<RolloutReadReply> {
    return this.settle(this.control(box).readRollout('s'));
  }

  /** The state of the roll-out, as the newest machine has it. */
  state(): string | undefined {
    return this.machine().versionsOf('s')?.rollout?.state;
  }

  /** Requests of the service since the order, and those of the new version. */
  get sent(): {readonly requests: number; readonly exposed: number} {
    return {exposed: this.exposedInAll, requests: this.requestsInAll};
  }

  /** What edges were granted more in all than the log knows; above 0 is a fault. */
  get grantedBesidesLog(): number {
    const held = [...this.controls.values()].map(
      ({machine}) => machine.rolloutProgressOf('s')?.granted ?? 0,
    );
    const granted = this.edges.reduce((sum, edge) => sum + edge.granted, 0);
    return granted + this.grantedToGone - Math.max(...held);
  }

  /** Lines of a kind that any control box has written. */
  lines(event: string) {
    return [...this.logs.values()]
      .flatMap(({lines}) => lines)
      .filter((line) => line.event === event);
  }

  /** The part of the latest requests that went to the new version. */
  get targetLoad(): number {
    const {latest} = this;
    return latest.filter(Boolean).length / Math.max(1, latest.length);
  }

  /** Lets time pass until the deadline of the first order. */
  async runToDeadline(durationMs = 12_000): Promise<void> {
    const deadline = (this.orderedAt ?? 0) + durationMs;
    await this.run(deadline - this.clock.now());
  }

  /** Calls a service of a control box as an edge that is none of these. */
  async call<Reply>(
    control: string,
    service: string,
    body: unknown,
  ): Promise<Reply> {
    const link = this.network.connect(WATCHING_BOX);
    const answer = await this.settle(
      Promise.resolve(link.call(control, service, body, CALL_MS)),
    );
    return answer._unsafeUnwrap() as Reply;
  }

  /** All news of upstreams, and the quarantine, that a control box tells an edge. */
  watch(control: string): Promise<WatchReply> {
    const from: BoxRecord = {
      box: WATCHING_BOX,
      hall: 'z',
      incarnation: '1',
      role: BOX_ROLE.edge,
    };
    const request: WatchRequest = {
      boxesRevision: -1,
      brief: true,
      configurationVersion: Infinity,
      current: false,
      evacuationRevision: Infinity,
      from,
      incarnation: '',
      quarantineRevision: 0,
      upstreamsRevision: 0,
      waitMs: 0,
    };
    return this.call(control, FLEET_SERVICE.watch, request);
  }

  /** Lets time pass while edges send, answer and report. */
  async run(ms: number, stopAt?: () => boolean): Promise<void> {
    const until = this.clock.now() + ms;
    while (this.clock.now() < until && !(stopAt?.() ?? false)) {
      await this.clock.advance(STEP_MS);
      this.send();
      this.answer();
      if (this.clock.now() >= this.reportAt) {
        this.reportAt = this.clock.now() + REPORT_MS;
        this.report();
      }
    }
  }

  async settle<Value>(asked: Promise<Value>): Promise<Value> {
    let value: {readonly value: Value} | undefined;
    void asked.then((settled) => (value = {value: settled}));
    for (let turn = 0; turn < 200 && value === undefined; turn += 1) {
      await this.clock.advance(25);
    }
    invariant(value !== undefined, 'settles');
    return value.value;
  }

  private running(box?: string): Control {
    const found =
      box === undefined
        ? [...this.controls.values()][0]
        : this.controls.get(box);
    invariant(found !== undefined, 'runs');
    return found;
  }

  private async startControl(box: string): Promise<void> {
    if (this.controls.has(box)) {
      return;
    }
    const {clock, network} = this;
    const link = network.connect(box);
    const changed = new Condition();
    const machine = new FleetMachine(() => changed.notify());
    const disk = this.disks.get(box) ?? new MemoryDisk();
    this.disks.set(box, disk);
    this.lives += 1;
    const incarnation = String(this.lives);
    const {logLink, serve} = linkOfReplicas(link);
    const opened = await Replica.open({
      box,
      clock,
      disk,
      incarnation,
      link: logLink,
      machine,
      random: new Random(100 + this.lives),
      snapshotEvery: 10,
      timing: DEFAULT_TIMING,
    });
    invariant(opened.isOk(), 'opens');
    const replica = opened.value;
    serve((request: LogRequest) => replica.handle(request));
    void replica.takePart(() => [...CONTROLS], true);
    const log = this.logs.get(box) ?? new KeptDecisionLog();
    this.logs.set(box, log);
    const control = new FleetControl({
      changed,
      clock,
      exposure: this.isSwitchedOn ? BOUND : undefined,
      link,
      log,
      machine,
      replica,
      seeds: () => [...CONTROLS],
      self: {box, hall: 'z', incarnation, role: BOX_ROLE.control},
    });
    this.controls.set(box, {control, machine, replica});
  }

  private addEdge(box: string): void {
    this.lives += 1;
    const life = `${box} ${this.lives}`;
    this.edges.push(new SimulatedEdge(box, life, this.network.connect(box)));
  }

  private send(): void {
    const rollout = this.machineOfNews()?.versionsOf('s')?.rollout;
    this.due += (this.traffic.perSecond * STEP_MS) / 1_000;
    while (this.due >= 1 && this.edges.length > 0) {
      this.due -= 1;
      const edge = this.random.pick(this.edges);
      invariant(edge !== undefined, 'drawn');
      this.sendFrom(edge, rollout?.state, rollout?.targetVersion);
    }
  }

  private sendFrom(
    edge: SimulatedEdge,
    state: string | undefined,
    target = 'v1',
  ): void {
    const goesTo =
      state === ROLLOUT_STATE.shifting ||
      state === ROLLOUT_STATE.completed ||
      (state === ROLLOUT_STATE.exposing && edge.exposed < edge.granted);
    edge.shifted = state === ROLLOUT_STATE.shifting;
    if (state !== undefined) {
      edge.requests += 1;
      this.requestsInAll += 1;
    }
    if (goesTo) {
      edge.exposed += 1;
      this.exposedInAll += 1;
      this.noteOvershoot(state);
    } else {
      edge.openAtFormer += 1;
    }
    this.latest.push(goesTo);
    this.latest.splice(0, this.latest.length - LATEST_REQUESTS);
    const at = this.clock.now() + this.answerMs;
    const version = goesTo ? target : 'v1';
    edge.open.push({at, route: this.drawRoute(), version});
  }

  private noteOvershoot(state: string | undefined): void {
    if (state === ROLLOUT_STATE.exposing) {
      const allowed = BOUND.share * this.requestsInAll + BOUND.extra;
      const over = this.exposedInAll - allowed;
      this.overshoot = Math.max(this.overshoot, over);
    }
  }

  private drawRoute(): string {
    const {routes} = this.traffic;
    const drawn = drawByWeight(
      routes,
      ([, part]) => part,
      this.random.fraction(),
    );
    invariant(drawn !== undefined, 'drawn');
    return drawn[0];
  }

  private answer(): void {
    const now = this.clock.now();
    for (const edge of this.edges) {
      while (edge.open[0] !== undefined && edge.open[0].at <= now) {
        const answer = edge.open.shift();
        invariant(answer !== undefined, 'open');
        this.count(edge, answer);
      }
    }
  }

  private count(edge: SimulatedEdge, {route, version}: Answer): void {
    const behaviour = this.behaviourOf(version, route, this.clock.now());
    const fails = this.random.fraction() < behaviour.failureRate;
    const isSlow = this.random.fraction() < behaviour.slowRate;
    if (version === 'v1') {
      edge.openAtFormer -= 1;
    } else if (fails || (isSlow && behaviour.slowRate > 0.1)) {
      this.bad += 1;
    }
    const key = `${route} ${version}`;
    const held = edge.tallies.get(key);
    const times = [
      ...(held?.times ?? Array<number>(TIME_RATIO_BOUNDS.length + 1).fill(0)),
    ];
    const bucket = isSlow ? 6 : 2;
    times[bucket] = (times[bucket] ?? 0) + 1;
    edge.tallies.set(key, {
      answers: (held?.answers ?? 0) + 1,
      failures: (held?.failures ?? 0) + Number(fails),
      route,
      times,
      version,
    });
  }

  private report(): void {
    const number = this.machineOfNews()?.versionsOf('s')?.rollout?.number;
    if (number === undefined) {
      return;
    }
    for (const edge of this.edges) {
      if (!edge.isReporting) {
        void this.reportFrom(edge, number);
      }
    }
  }

  private async reportFrom(edge: SimulatedEdge, number: number): Promise<void> {
    edge.isReporting = true;
    const {exposed, granted, openAtFormer, requests, shifted} = edge;
    const report: ExposureReport = {
      exposed,
      granted,
      number,
      openAtFormer,
      requests,
      service: 's',
      shifted,
      tallies: [...edge.tallies.values()],
    };
    const [to] = [...this.controls.keys()];
    const answer = await edge.link.call(
      to ?? CONTROLS[0],
      FLEET_SERVICE.exposure,
      {box: edge.box, life: edge.life, reports: [report]},
      2_000,
    );
    edge.isReporting = false;
    const grants = answer.map((reply) => (reply as ExposureReply).grants);
    for (const grant of grants.unwrapOr(undefined) ?? []) {
      edge.granted = Math.max(edge.granted, grant.granted);
    }
  }

  private machineOfNews(): FleetMachine | undefined {
    this.lastNews = this.controls.size > 0 ? this.machine() : this.lastNews;
    return this.lastNews;
  }
}
