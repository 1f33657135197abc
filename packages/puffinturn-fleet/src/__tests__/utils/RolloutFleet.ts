/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {InMemoryDecisionLog} from 'puffinturn-decisions';
import type {LogRequest} from 'puffinturn-log';
import {DEFAULT_TIMING, MemoryDisk, Replica} from 'puffinturn-log';
import type {MemoryLink} from 'puffinturn-wire';
import {MemoryNetwork} from 'puffinturn-wire';
import {
  Condition,
  invariant,
  ManualClock,
  Random,
  selectByWeight,
} from 'shared';

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
  createReplicaLink,
  FLEET_SERVICE,
  FleetControl,
  FleetMachine,
  ROLLOUT_STATE,
  TIME_RATIO_BOUNDS,
} from '../../index';
import {configurationOf, upstreamOf} from './FleetFixture';

/** Control boxes of the fleet. */
export const CONTROL_BOXES = ['c1:1', 'c2:1', 'c3:1'] as const;

/** Exposure bound of the tests. */
export const EXPOSURE_BOUND: ExposureBound = {
  extra: 50,
  rollbackMs: 5_000,
  share: 0.1,
};

/** Box that is not one of the simulated edges, and the timeout of its calls in ms. */
const WATCHER_BOX = 'x:1';
const CALL_TIMEOUT_MS = 5_000;

/** Interval between reports of an edge, ms. */
const REPORT_INTERVAL_MS = 250;

/** Interval between simulation steps, ms. */
const STEP_INTERVAL_MS = 25;

/** Number of recent requests from which the load of a version is measured. */
const LOAD_WINDOW_REQUESTS = 60;

/** How one version responds on one route. */
export interface Behaviour {
  readonly failureRate: number;
  /** Fraction of responses that take three times the expected time. */
  readonly slowRate: number;
}

/** Returns the behaviour of a version on a route at a time, ms. */
export type GetBehaviour = (
  version: string,
  route: string,
  now: number,
) => Behaviour;

/** Almost all responses are good. */
export const GOOD: Behaviour = {failureRate: 0.005, slowRate: 0.01};

/** Some responses fail. */
export const FAILING: Behaviour = {failureRate: 0.4, slowRate: 0.01};

/** Some responses take three times the expected time. */
export const SLOW: Behaviour = {failureRate: 0.005, slowRate: 0.6};

interface ControlBox {
  readonly control: FleetControl;
  readonly machine: FleetMachine;
  readonly replica: Replica;
}

interface PendingAnswer {
  readonly dueAt: number;
  readonly route: string;
  readonly version: string;
}

/** Requests sent by the edges. */
export interface Traffic {
  readonly requestsPerSecond: number;
  /** Routes with their fraction of the requests. */
  readonly routes: readonly (readonly [string, number])[];
}

/** One incarnation of an edge, with its counts since the order and its grant. */
class SimulatedEdge {
  requests = 0;
  exposed = 0;
  granted = 0;
  isShifted = false;
  openAtFormer = 0;
  isReporting = false;
  readonly pendingAnswers: PendingAnswer[] = [];
  readonly tallies = new Map<string, VersionTally>();

  constructor(
    readonly box: string,
    readonly incarnationId: string,
    readonly link: MemoryLink,
  ) {}
}

/**
 * A simulated fleet for rollout tests: control boxes with disks that may lose unsynced
 * data, and edges that send requests to two versions of one service and report the
 * responses. Runs on a manual clock.
 */
export class RolloutFleet {
  readonly clock = new ManualClock();
  readonly network: MemoryNetwork;
  readonly logs = new Map<string, InMemoryDecisionLog>();
  readonly random = new Random(5);
  /** Time until a response arrives, ms. */
  answerDelayMs = 300;
  getBehaviour: GetBehaviour = () => GOOD;
  traffic: Traffic = {requestsPerSecond: 200, routes: [['r', 1]]};
  /** Bad responses of the new version so far. */
  badAnswers = 0;
  /** Maximum of exposure minus bound during the canary phase. */
  maxOvershoot = -Infinity;
  private readonly disks = new Map<string, MemoryDisk>();
  private readonly controls = new Map<string, ControlBox>();
  private readonly edges: SimulatedEdge[] = [];
  private incarnationCount = 0;
  private nextReportAt = 0;
  private dueRequests = 0;
  private orderedAt: number | undefined;
  /** Whether each of the recent requests went to the new version. */
  private readonly exposures: boolean[] = [];
  private grantedToStoppedEdges = 0;
  private totalRequests = 0;
  private totalExposed = 0;
  /** Edges keep the last known state while no control box runs. */
  private lastKnownMachine: FleetMachine | undefined;

  constructor(private readonly isEnabled = true) {
    this.network = new MemoryNetwork(this.clock, new Random(3));
  }

  /** Starts all control boxes with a configuration and upstreams of `v1`. */
  static async start(): Promise<RolloutFleet> {
    const fleet = new RolloutFleet();
    await fleet.startControlBoxes();
    await fleet.applyConfiguration();
    fleet.addUpstreams('v1');
    await fleet.clock.advance(5_000);
    return fleet;
  }

  /** Applies a configuration that contains the service. */
  async applyConfiguration(): Promise<void> {
    const stored = {configuration: configurationOf(1), document: 'one'};
    await this.waitFor(this.getControl().changeConfiguration(stored));
  }

  /** Starts control boxes that are not running, from their disks. */
  async startControlBoxes(
    boxes: readonly string[] = CONTROL_BOXES,
    settleMs = 3_000,
  ): Promise<void> {
    for (const box of boxes) {
      await this.startControlBox(box);
    }
    await this.clock.advance(settleMs);
  }

  /** Crashes control boxes; unsynced data is lost. */
  crash(boxes: readonly string[] = CONTROL_BOXES): void {
    for (const box of boxes) {
      this.network.disconnect(box);
      this.disks.get(box)?.crash();
      const running = this.controls.get(box);
      this.controls.delete(box);
      void running?.replica[Symbol.asyncDispose]();
      void running?.control[Symbol.asyncDispose]();
    }
  }

  /** Registers upstreams of a version. */
  addUpstreams(
    version: string,
    count = 4,
    fields: Partial<UpstreamRecord> = {},
  ): void {
    for (let index = 0; index < count; index += 1) {
      const record = upstreamOf({
        address: `${version}.example:${80 + index}`,
        id: `${version}-${index}`,
        version,
        ...fields,
      });
      this.getControl().upstreamControl.mergeRecord(record);
    }
  }

  /** Removes upstreams of a version. */
  removeUpstreams(version: string, count = 4): void {
    for (let index = 0; index < count; index += 1) {
      void this.getControl().upstreamControl.acceptDeregistration(
        `${version}-${index}`,
      );
    }
  }

  /** Adds edges that have sent no requests yet. */
  addEdges(count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.addEdge(`e${index}:1`);
    }
  }

  /** Replaces an edge by a new incarnation, whose counts start at 0. */
  restartEdge(index: number): void {
    const [edge] = this.edges.splice(index, 1);
    invariant(edge !== undefined, 'unknown edge');
    this.network.disconnect(edge.box);
    this.grantedToStoppedEdges += edge.granted;
    this.addEdge(edge.box);
  }

  /** Returns the named control box, or any running one. */
  getControl(box?: string): FleetControl {
    return this.findControlBox(box).control;
  }

  /** Returns the newest state of all running boxes. */
  newestMachine(): FleetMachine {
    const machines = [...this.controls.values()].map(({machine}) => machine);
    machines.sort((a, b) => b.rollouts.revision - a.rollouts.revision);
    const [newest] = machines;
    invariant(newest !== undefined, 'no control box is running');
    return newest;
  }

  /** Returns the leader of the highest term. */
  leaderBox(): string {
    const leaders = [...this.controls]
      .filter(([, {replica}]) => replica.isLeader)
      .sort(
        ([, a], [, b]) => b.replica.status().term - a.replica.status().term,
      );
    invariant(leaders[0] !== undefined, 'no control box is the leader');
    return leaders[0][0];
  }

  /** Orders a rollout at a control box. */
  orderRollout(
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
    return this.waitFor(this.getControl(box).beginRollout(order));
  }

  /** Reads the versions of the service at a control box. */
  readVersions(box?: string): Promise<RolloutReadReply> {
    return this.waitFor(this.getControl(box).readRollout('s'));
  }

  /** Returns the newest state of the rollout. */
  rolloutState(): string | undefined {
    return this.newestMachine().getVersions('s')?.rollout?.state;
  }

  /** Requests to the service and to the new version since the order. */
  get requestCounts(): {readonly requests: number; readonly exposed: number} {
    return {exposed: this.totalExposed, requests: this.totalRequests};
  }

  /** Grants beyond those recorded in the log; a positive number is an error. */
  get unloggedGrants(): number {
    const loggedGrants = [...this.controls.values()].map(
      ({machine}) => machine.getRolloutProgress('s')?.granted ?? 0,
    );
    const granted = this.edges.reduce((sum, edge) => sum + edge.granted, 0);
    return granted + this.grantedToStoppedEdges - Math.max(...loggedGrants);
  }

  /** Returns the log lines of an event from all control boxes. */
  logLines(event: string) {
    return [...this.logs.values()]
      .flatMap(({decisions}) => decisions)
      .filter((line) => line.event === event);
  }

  /** Fraction of recent requests that went to the new version. */
  get recentTargetFraction(): number {
    const {exposures} = this;
    return exposures.filter(Boolean).length / Math.max(1, exposures.length);
  }

  /** Runs until the deadline of the first order. */
  async runToDeadline(durationMs = 12_000): Promise<void> {
    const deadline = (this.orderedAt ?? 0) + durationMs;
    await this.run(deadline - this.clock.now());
  }

  /** Calls a service of a control box from a box that is not a simulated edge. */
  async call<Reply>(
    control: string,
    service: string,
    body: unknown,
  ): Promise<Reply> {
    const link = this.network.connect(WATCHER_BOX);
    const answer = await this.waitFor(
      Promise.resolve(link.call(control, service, body, CALL_TIMEOUT_MS)),
    );
    return answer._unsafeUnwrap() as Reply;
  }

  /** Returns the upstreams and the quarantine that a control box sends to an edge. */
  watch(control: string): Promise<WatchReply> {
    const from: BoxRecord = {
      box: WATCHER_BOX,
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

  /** Advances the clock while edges send requests, receive responses and report. */
  async run(ms: number, stopAt?: () => boolean): Promise<void> {
    const until = this.clock.now() + ms;
    while (this.clock.now() < until && !(stopAt?.() ?? false)) {
      await this.clock.advance(STEP_INTERVAL_MS);
      this.sendRequests();
      this.deliverAnswers();
      if (this.clock.now() >= this.nextReportAt) {
        this.nextReportAt = this.clock.now() + REPORT_INTERVAL_MS;
        this.sendReports();
      }
    }
  }

  /** Advances the clock until the promise is fulfilled. Returns its value. */
  async waitFor<Value>(promise: Promise<Value>): Promise<Value> {
    let value: {readonly value: Value} | undefined;
    void promise.then((settled) => (value = {value: settled}));
    for (let step = 0; step < 200 && value === undefined; step += 1) {
      await this.clock.advance(25);
    }
    invariant(value !== undefined, 'promise did not settle');
    return value.value;
  }

  private findControlBox(box?: string): ControlBox {
    const controlBox =
      box === undefined
        ? [...this.controls.values()][0]
        : this.controls.get(box);
    invariant(controlBox !== undefined, 'control box is not running');
    return controlBox;
  }

  private async startControlBox(box: string): Promise<void> {
    if (this.controls.has(box)) {
      return;
    }
    const {clock, network} = this;
    const link = network.connect(box);
    const stateChanged = new Condition();
    const stateMachine = new FleetMachine(() => stateChanged.notify());
    const disk = this.disks.get(box) ?? new MemoryDisk();
    this.disks.set(box, disk);
    this.incarnationCount += 1;
    const incarnationId = String(this.incarnationCount);
    const {logLink, serve} = createReplicaLink(link);
    const opened = await Replica.open({
      box,
      clock,
      disk,
      incarnationId,
      link: logLink,
      stateMachine,
      random: new Random(100 + this.incarnationCount),
      snapshotIntervalEntries: 10,
      timing: DEFAULT_TIMING,
    });
    invariant(opened.isOk(), 'replica did not open');
    const replica = opened.value;
    serve((request: LogRequest) => replica.handle(request));
    void replica.bootstrapOrJoin(() => [...CONTROL_BOXES], true);
    const log = this.logs.get(box) ?? new InMemoryDecisionLog();
    this.logs.set(box, log);
    const control = new FleetControl({
      stateChanged,
      clock,
      exposure: this.isEnabled ? EXPOSURE_BOUND : undefined,
      link,
      log,
      machine: stateMachine,
      replica,
      seeds: () => [...CONTROL_BOXES],
      self: {
        box,
        hall: 'z',
        incarnation: incarnationId,
        role: BOX_ROLE.control,
      },
    });
    this.controls.set(box, {control, machine: stateMachine, replica});
  }

  private addEdge(box: string): void {
    this.incarnationCount += 1;
    const incarnationId = `${box} ${this.incarnationCount}`;
    this.edges.push(
      new SimulatedEdge(box, incarnationId, this.network.connect(box)),
    );
  }

  private sendRequests(): void {
    const rollout = this.getKnownMachine()?.getVersions('s')?.rollout;
    this.dueRequests +=
      (this.traffic.requestsPerSecond * STEP_INTERVAL_MS) / 1_000;
    while (this.dueRequests >= 1 && this.edges.length > 0) {
      this.dueRequests -= 1;
      const edge = this.random.pick(this.edges);
      invariant(edge !== undefined, 'no edge to send from');
      this.sendFromEdge(edge, rollout?.state, rollout?.targetVersion);
    }
  }

  private sendFromEdge(
    edge: SimulatedEdge,
    state: string | undefined,
    target = 'v1',
  ): void {
    const isExposed =
      state === ROLLOUT_STATE.shifting ||
      state === ROLLOUT_STATE.completed ||
      (state === ROLLOUT_STATE.exposing && edge.exposed < edge.granted);
    edge.isShifted = state === ROLLOUT_STATE.shifting;
    if (state !== undefined) {
      edge.requests += 1;
      this.totalRequests += 1;
    }
    if (isExposed) {
      edge.exposed += 1;
      this.totalExposed += 1;
      this.recordOvershoot(state);
    } else {
      edge.openAtFormer += 1;
    }
    this.exposures.push(isExposed);
    this.exposures.splice(0, this.exposures.length - LOAD_WINDOW_REQUESTS);
    const dueAt = this.clock.now() + this.answerDelayMs;
    const version = isExposed ? target : 'v1';
    edge.pendingAnswers.push({dueAt, route: this.selectRoute(), version});
  }

  private recordOvershoot(state: string | undefined): void {
    if (state === ROLLOUT_STATE.exposing) {
      const allowed =
        EXPOSURE_BOUND.share * this.totalRequests + EXPOSURE_BOUND.extra;
      const overshoot = this.totalExposed - allowed;
      this.maxOvershoot = Math.max(this.maxOvershoot, overshoot);
    }
  }

  private selectRoute(): string {
    const {routes} = this.traffic;
    const selected = selectByWeight(
      routes,
      ([, weight]) => weight,
      this.random.fraction(),
    );
    invariant(selected !== undefined, 'no route has a positive weight');
    return selected[0];
  }

  private deliverAnswers(): void {
    const now = this.clock.now();
    for (const edge of this.edges) {
      while (
        edge.pendingAnswers[0] !== undefined &&
        edge.pendingAnswers[0].dueAt <= now
      ) {
        const answer = edge.pendingAnswers.shift();
        invariant(answer !== undefined, 'no pending answer');
        this.countAnswer(edge, answer);
      }
    }
  }

  private countAnswer(
    edge: SimulatedEdge,
    {route, version}: PendingAnswer,
  ): void {
    const behaviour = this.getBehaviour(version, route, this.clock.now());
    const isFailed = this.random.fraction() < behaviour.failureRate;
    const isSlow = this.random.fraction() < behaviour.slowRate;
    if (version === 'v1') {
      edge.openAtFormer -= 1;
    } else if (isFailed || (isSlow && behaviour.slowRate > 0.1)) {
      this.badAnswers += 1;
    }
    const key = `${route} ${version}`;
    const previous = edge.tallies.get(key);
    const times = [
      ...(previous?.times ??
        Array<number>(TIME_RATIO_BOUNDS.length + 1).fill(0)),
    ];
    const bucket = isSlow ? 6 : 2;
    times[bucket] = (times[bucket] ?? 0) + 1;
    edge.tallies.set(key, {
      answers: (previous?.answers ?? 0) + 1,
      failures: (previous?.failures ?? 0) + Number(isFailed),
      route,
      times,
      version,
    });
  }

  private sendReports(): void {
    const number = this.getKnownMachine()?.getVersions('s')?.rollout?.number;
    if (number === undefined) {
      return;
    }
    for (const edge of this.edges) {
      if (!edge.isReporting) {
        void this.sendReport(edge, number);
      }
    }
  }

  private async sendReport(edge: SimulatedEdge, number: number): Promise<void> {
    edge.isReporting = true;
    const {exposed, granted, isShifted, openAtFormer, requests} = edge;
    const report: ExposureReport = {
      exposed,
      granted,
      number,
      openAtFormer,
      requests,
      service: 's',
      shifted: isShifted,
      tallies: [...edge.tallies.values()],
    };
    const [controlBox] = [...this.controls.keys()];
    const answer = await edge.link.call(
      controlBox ?? CONTROL_BOXES[0],
      FLEET_SERVICE.exposure,
      {box: edge.box, life: edge.incarnationId, reports: [report]},
      2_000,
    );
    edge.isReporting = false;
    const grants = answer.map((reply) => (reply as ExposureReply).grants);
    for (const grant of grants.unwrapOr(undefined) ?? []) {
      edge.granted = Math.max(edge.granted, grant.granted);
    }
  }

  private getKnownMachine(): FleetMachine | undefined {
    this.lastKnownMachine =
      this.controls.size > 0 ? this.newestMachine() : this.lastKnownMachine;
    return this.lastKnownMachine;
  }
}
