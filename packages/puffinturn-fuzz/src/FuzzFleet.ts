/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A fleet of real boxes in one process, with fake clock, network, disks and upstreams. */
import type {ResultAsync} from 'neverthrow';
import {errAsync, ResultAsync as Async} from 'neverthrow';
import type {BoxBreakage, FleetTopology} from 'puffinturn-daemon';
import {Box, OperatorApi} from 'puffinturn-daemon';
import {GatewayMetrics} from 'puffinturn-gateway';
import type {Ledger, RegionSupply} from 'puffinturn-ledger';
import type {DiskFailure, DiskOperation, Replica} from 'puffinturn-log';
import {MemoryDisk, quorumOf} from 'puffinturn-log';
import type {Declaration, FleetBox} from 'puffinturn-settings';
import type {TimelineEvent} from 'puffinturn-timeline';
import {mergeTimelines} from 'puffinturn-timeline';
import {MemoryNetwork} from 'puffinturn-wire';
import {invariant, ManualClock, Random, ScaledClock} from 'shared';

import {CLOCK_RATES} from './ClockRates';
import {FakeUpstreamClient, FakeUpstreams} from './FakeUpstreams';
import {PausableClock} from './PausableClock';

/** Boxes of the fleet: two regions; no hall holds a quorum of its region. */
export const FUZZ_BOXES: readonly FleetBox[] = [
  createFleetBox('n1', 'north', 'hall-1', true),
  createFleetBox('n2', 'north', 'hall-2', true),
  createFleetBox('n3', 'north', 'hall-3', true),
  createFleetBox('n4', 'north', 'hall-1', false),
  createFleetBox('s1', 'south', 'hall-4', true),
  createFleetBox('s2', 'south', 'hall-5', true),
  createFleetBox('s3', 'south', 'hall-6', true),
];

/** Low, so that most runs take several snapshots. */
const SNAPSHOT_INTERVAL_ENTRIES = 15;
const SETTLE_TIMEOUT_MS = 60_000;
const CLOCK_STEP_MS = 50;
const RETENTION_MS = 3_600_000;

function createFleetBox(
  name: string,
  region: string,
  hall: string,
  control: boolean,
): FleetBox {
  return {control, hall, host: '127.0.0.1', name, port: 1, region};
}

/** Differences between a simulated fleet and a production fleet. */
export interface FleetOptions {
  readonly breakage?: BoxBreakage & {readonly skipSync?: boolean};
  /** Computes the units of a budget that the home region grants to another region. */
  readonly computeGrantTarget?: (
    home: RegionSupply,
    other: RegionSupply,
  ) => number;
  /** Rejects requests without waiting when a budget is nearly exhausted. */
  readonly disableAdmissionQueue?: boolean;
}

/** Shares of the operations of a disk that fail after their effect, from 0 to 1. */
export type DiskErrors = Readonly<Record<DiskOperation, number>>;

/** One incarnation of a box: a single run of its process. */
export interface BoxIncarnation {
  readonly box: Box;
  readonly clock: PausableClock;
  readonly client: FakeUpstreamClient;
  readonly disk: IncarnationDisk;
  readonly operators: OperatorApi;
}

/** Disk access of one incarnation; writes fail once its process has been killed. */
class IncarnationDisk extends MemoryDisk {
  constructor(
    private readonly persistentDisk: MemoryDisk,
    private readonly waitUntilResumed: () => Promise<void>,
  ) {
    super();
  }

  override list() {
    return this.persistentDisk.list();
  }

  override read(name: string) {
    return this.persistentDisk.read(name);
  }

  override append(name: string, bytes: Buffer) {
    return this.writeIfAlive(() => this.persistentDisk.append(name, bytes));
  }

  override replace(name: string, bytes: Buffer) {
    return this.writeIfAlive(() => this.persistentDisk.replace(name, bytes));
  }

  override remove(name: string) {
    return this.writeIfAlive(() => this.persistentDisk.remove(name));
  }

  private writeIfAlive(
    write: () => ResultAsync<void, DiskFailure>,
  ): ResultAsync<void, DiskFailure> {
    return Async.fromSafePromise(this.waitUntilResumed()).andThen(() =>
      this.faults.failWrites
        ? errAsync<void, DiskFailure>({
            kind: 'disk',
            message: 'the process was killed',
          })
        : write(),
    );
  }
}

/** Runs, kills and restarts the boxes of a simulated fleet. */
export class FuzzFleet implements AsyncDisposable {
  readonly clock = new ManualClock();
  readonly network: MemoryNetwork;
  readonly upstreams: FakeUpstreams;
  readonly incarnations = new Map<string, BoxIncarnation>();
  private readonly stoppedBoxEvents: TimelineEvent[][] = [];
  private readonly disks = new Map<string, MemoryDisk>();
  /** Boxes whose disk was lost at least once. */
  private readonly lostDisks = new Set<string>();
  private readonly diskErrors = new Map<string, DiskErrors>();
  private readonly diskRandom: Random;
  private nameCount = 0;
  private readonly random: Random;

  constructor(
    seed: number,
    private readonly options: FleetOptions = {},
    readonly boxes: readonly FleetBox[] = FUZZ_BOXES,
  ) {
    this.random = new Random(seed);
    this.diskRandom = new Random(seed + 2);
    this.network = new MemoryNetwork(this.clock, new Random(seed + 1));
    this.upstreams = new FakeUpstreams(this.clock);
  }

  /** Starts every box and waits until each region has elected a leader. */
  async startAll(): Promise<void> {
    for (const {name} of this.boxes) {
      await this.start(name);
    }
    await this.clock.advance(4_000);
  }

  /** Starts a box on its existing disk; does nothing if it is running. */
  async start(name: string): Promise<void> {
    if (this.incarnations.has(name)) {
      return;
    }
    const persistentDisk = this.disks.get(name) ?? new MemoryDisk();
    persistentDisk.faults.skipSync = this.options.breakage?.skipSync === true;
    persistentDisk.faults.failAfterEffect = (operation) =>
      this.hasDiskError(name, operation);
    this.disks.set(name, persistentDisk);
    const position = this.boxes.findIndex((box) => box.name === name);
    const rate = CLOCK_RATES[position % CLOCK_RATES.length] ?? 1;
    const clock = new PausableClock(new ScaledClock(this.clock, rate));
    const waitUntilResumed = (): Promise<void> => clock.waitUntilResumed();
    const client = new FakeUpstreamClient(this.upstreams, waitUntilResumed);
    const disk = new IncarnationDisk(persistentDisk, waitUntilResumed);
    const link = this.network.connect(name, waitUntilResumed);
    const topology: FleetTopology = {
      box: name,
      boxes: this.boxes,
      primaryRegion: this.boxes[0]?.region ?? '',
    };
    const {
      breakage = {},
      disableAdmissionQueue,
      computeGrantTarget,
    } = this.options;
    const started = await Box.start({
      breakage,
      client,
      clock,
      disk,
      responseRetentionMs: RETENTION_MS,
      atMostOnceRetentionMs: RETENTION_MS,
      link,
      metrics: new GatewayMetrics(),
      generateId: () => this.nextName(),
      topology,
      random: new Random(this.random.integer(0, 1_000_000)),
      snapshotIntervalEntries: SNAPSHOT_INTERVAL_ENTRIES,
      ...(disableAdmissionQueue === undefined ? {} : {disableAdmissionQueue}),
      ...(computeGrantTarget === undefined ? {} : {computeGrantTarget}),
    });
    if (started.isErr()) {
      // The process ends if it can't store its id; `repair` starts it again.
      invariant(
        this.diskErrors.has(name) && started.error.kind === 'disk',
        `box ${name} failed to start: ${started.error.message}`,
      );
      this.network.disconnect(name);
      return;
    }
    const box = started.value;
    const operators = new OperatorApi(box, topology, link, clock);
    this.incarnations.set(name, {box, client, clock, disk, operators});
  }

  /** Kills a box without a shutdown; writes that were not synced are lost. */
  kill(name: string): void {
    const incarnation = this.incarnations.get(name);
    if (incarnation === undefined) {
      return;
    }
    this.incarnations.delete(name);
    this.stoppedBoxEvents.push(incarnation.box.timeline.events());
    this.network.disconnect(name);
    incarnation.disk.faults.failWrites = true;
    this.disks.get(name)?.crash();
    void incarnation.client[Symbol.asyncDispose]();
    incarnation.clock.resume();
    void incarnation.box[Symbol.asyncDispose]();
  }

  /**
   * Kills all control boxes of a region at the same moment and starts them on their disks.
   * Returns undefined, or what is wrong if too few of the voters hold what was committed.
   */
  async restartGroup(names: readonly string[]): Promise<string | undefined> {
    const mostAdvanced = this.replicas(names)
      .map((replica) => replica.status())
      .sort((a, b) => b.commitIndex - a.commitIndex)[0];
    for (const name of names) {
      this.kill(name);
    }
    for (const name of names) {
      await this.start(name);
    }
    if (mostAdvanced === undefined) {
      return undefined;
    }
    const {commitIndex, members} = mostAdvanced;
    const restarted = this.replicas(names).map((replica) => replica.status());
    const holders = restarted.filter(
      ({lastIndex, replica}) =>
        lastIndex >= commitIndex && members.voters.includes(replica),
    );
    const held = restarted.map(({lastIndex}) => lastIndex).join(', ');
    // A disk that was lost may have held some of it.
    const hadLoss = names.some((name) => this.lostDisks.has(name));
    const neededHolders = hadLoss ? 1 : quorumOf(members.voters);
    return restarted.length < names.length || holders.length >= neededHolders
      ? undefined
      : `committed up to ${commitIndex}, after a restart the disks hold up to ${held}`;
  }

  /**
   * Erases the disk of a box and restarts it. Returns false and does nothing unless all
   * replicas of its group run and are voters, because the group could lose data.
   */
  async loseDisk(name: string): Promise<boolean> {
    if (!this.canLoseDisk(name)) {
      return false;
    }
    this.kill(name);
    this.disks.delete(name);
    this.lostDisks.add(name);
    await this.start(name);
    return true;
  }

  /** Lets operations of some boxes fail from now on, although they take effect. */
  setDiskErrors(boxes: readonly string[], errors: DiskErrors): void {
    for (const box of boxes) {
      this.diskErrors.set(box, errors);
    }
  }

  /** Ledgers of all running control boxes, optionally of one region. */
  ledgers(region?: string): Ledger[] {
    return [...this.incarnations.values()]
      .filter(({box}) => region === undefined || box.self.region === region)
      .map(({box}) => box.control?.ledger)
      .filter((ledger) => ledger !== undefined);
  }

  /** The merged timeline of all boxes, stopped incarnations included. */
  events(): TimelineEvent[] {
    const runningBoxEvents = [...this.incarnations.values()].map(({box}) =>
      box.timeline.events(),
    );
    return mergeTimelines([...this.stoppedBoxEvents, ...runningBoxEvents]);
  }

  /** The ledger of a region with the highest applied index. */
  mostAppliedLedger(region: string): Ledger | undefined {
    const mostAdvanced = [...this.incarnations.values()]
      .filter(({box}) => box.self.region === region)
      .map(({box}) => box.control)
      .filter((control) => control !== undefined)
      .sort(
        (a, b) =>
          b.replica.status().appliedIndex - a.replica.status().appliedIndex,
      )[0];
    return mostAdvanced?.ledger;
  }

  /** Removes all faults, restarts stopped boxes and lets `ms` of virtual time pass. */
  async repair(ms: number): Promise<void> {
    this.network.heal();
    this.network.delayRange = {maxMs: 2, minMs: 1};
    this.upstreams.repair();
    this.diskErrors.clear();
    for (const {name} of this.boxes) {
      this.incarnations.get(name)?.clock.resume();
      await this.start(name);
    }
    await this.clock.advance(ms);
  }

  /** Advances the clock until a promise settles; fails after SETTLE_TIMEOUT_MS. */
  async advanceUntilSettled<Value>(promise: Promise<Value>): Promise<Value> {
    const deadlineMs = this.clock.now() + SETTLE_TIMEOUT_MS;
    let isPending = true;
    void promise.finally(() => (isPending = false));
    while (isPending && this.clock.now() < deadlineMs) {
      await this.clock.advance(CLOCK_STEP_MS);
    }
    invariant(
      !isPending,
      `promise still pending after ${SETTLE_TIMEOUT_MS} ms`,
    );
    return promise;
  }

  /** Sends a declaration to a box; resolves with the reply, or undefined if it is down. */
  async declare(name: string, declaration: Declaration, operator: string) {
    const incarnation = this.incarnations.get(name);
    return incarnation?.operators.declare(declaration, operator);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const {name} of this.boxes) {
      this.kill(name);
    }
    await this.clock.advance(40_000);
  }

  private nextName(): string {
    this.nameCount += 1;
    return `name-${this.nameCount}`;
  }

  private hasDiskError(box: string, operation: DiskOperation): boolean {
    const share = this.diskErrors.get(box)?.[operation] ?? 0;
    return share > 0 && this.diskRandom.fraction() < share;
  }

  private replicas(names: readonly string[]): Replica[] {
    return names
      .map((name) => this.incarnations.get(name)?.box.control?.replica)
      .filter((replica) => replica !== undefined);
  }

  private canLoseDisk(name: string): boolean {
    const target = this.boxes.find((box) => box.name === name);
    const controlBoxes = this.boxes.filter(
      (box) => box.control && box.region === target?.region,
    );
    const replicas = controlBoxes.map(
      (box) => this.incarnations.get(box.name)?.box.control?.replica,
    );
    return (
      target?.control === true &&
      replicas.every((replica) => replica !== undefined) &&
      replicas.some((replica) => {
        const voters = replica?.status().members.voters ?? [];
        return (
          replica?.isLeader === true &&
          voters.length === controlBoxes.length &&
          replicas.every((other) => voters.includes(other?.id ?? ''))
        );
      })
    );
  }
}
