/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Real boxes of two regions in one process, over fakes for all outside. */
import type {ResultAsync} from 'neverthrow';
import {errAsync, ResultAsync as Async} from 'neverthrow';
import type {BoxBreakage, FleetPlace} from 'puffinturn-daemon';
import {Box, OperatorApi} from 'puffinturn-daemon';
import {GatewayMetrics} from 'puffinturn-gateway';
import type {Ledger, RegionSupply} from 'puffinturn-ledger';
import type {DiskFailure} from 'puffinturn-log';
import {MemoryDisk} from 'puffinturn-log';
import type {Declaration, FleetBox} from 'puffinturn-settings';
import type {TimelineEvent} from 'puffinturn-timeline';
import {mergeTimelines} from 'puffinturn-timeline';
import {MemoryNetwork} from 'puffinturn-wire';
import {invariant, ManualClock, Random, ScaledClock} from 'shared';

import {CLOCK_RATES} from './ClockRates';
import {UpstreamWorld, WorldClient} from './FakeUpstreams';
import {PausableClock} from './PausableClock';

/** Boxes of the fuzzed fleet: two regions, every hall without a quorum. */
export const FUZZ_BOXES: readonly FleetBox[] = [
  boxLine('n1', 'north', 'hall-1', true),
  boxLine('n2', 'north', 'hall-2', true),
  boxLine('n3', 'north', 'hall-3', true),
  boxLine('n4', 'north', 'hall-1', false),
  boxLine('s1', 'south', 'hall-4', true),
  boxLine('s2', 'south', 'hall-5', true),
  boxLine('s3', 'south', 'hall-6', true),
];

const SNAPSHOT_EVERY = 60;
const DRIVE_LIMIT_MS = 60_000;
const DRIVE_STEP_MS = 50;
const KEEP_MS = 3_600_000;

function boxLine(
  name: string,
  region: string,
  hall: string,
  control: boolean,
): FleetBox {
  return {control, hall, host: '127.0.0.1', name, port: 1, region};
}

/** What a fleet does otherwise than in production. */
export interface FleetOptions {
  readonly breakage?: BoxBreakage & {readonly skipSync?: boolean};
  /** How budgets are split between regions. */
  readonly computeGrantTarget?: (
    home: RegionSupply,
    other: RegionSupply,
  ) => number;
  /** Refuses at once near the end of a budget. */
  readonly disableAdmissionQueue?: boolean;
}

/** One life of one box. */
export interface Life {
  readonly box: Box;
  readonly clock: PausableClock;
  readonly client: WorldClient;
  readonly disk: LifeDisk;
  readonly operators: OperatorApi;
}

/** The disk as one life of a box sees it; dead processes cannot write. */
class LifeDisk extends MemoryDisk {
  constructor(
    private readonly real: MemoryDisk,
    private readonly gate: () => Promise<void>,
  ) {
    super();
  }

  override list() {
    return this.real.list();
  }

  override read(name: string) {
    return this.real.read(name);
  }

  override append(name: string, bytes: Buffer) {
    return this.whileAlive(() => this.real.append(name, bytes));
  }

  override replace(name: string, bytes: Buffer) {
    return this.whileAlive(() => this.real.replace(name, bytes));
  }

  override remove(name: string) {
    return this.whileAlive(() => this.real.remove(name));
  }

  private whileAlive(
    write: () => ResultAsync<void, DiskFailure>,
  ): ResultAsync<void, DiskFailure> {
    return Async.fromSafePromise(this.gate()).andThen(() =>
      this.fault.refuse
        ? errAsync<void, DiskFailure>({kind: 'disk', message: 'dead'})
        : write(),
    );
  }
}

/** See the module comment. */
export class FuzzFleet implements AsyncDisposable {
  readonly clock = new ManualClock();
  readonly network: MemoryNetwork;
  readonly world: UpstreamWorld;
  readonly lives = new Map<string, Life>();
  private readonly pastEvents: TimelineEvent[][] = [];
  private readonly disks = new Map<string, MemoryDisk>();
  private names = 0;
  private readonly random: Random;

  constructor(
    seed: number,
    private readonly options: FleetOptions = {},
    readonly boxes: readonly FleetBox[] = FUZZ_BOXES,
  ) {
    this.random = new Random(seed);
    this.network = new MemoryNetwork(this.clock, new Random(seed + 1));
    this.world = new UpstreamWorld(this.clock);
  }

  /** Starts every box and waits until the groups stand. */
  async startAll(): Promise<void> {
    for (const {name} of this.boxes) {
      await this.start(name);
    }
    await this.clock.advance(4_000);
  }

  /** Starts a box with the disk that it has. */
  async start(name: string): Promise<void> {
    if (this.lives.has(name)) {
      return;
    }
    const real = this.disks.get(name) ?? new MemoryDisk();
    real.fault.skipSync = this.options.breakage?.skipSync === true;
    this.disks.set(name, real);
    const position = this.boxes.findIndex((box) => box.name === name);
    const rate = CLOCK_RATES[position % CLOCK_RATES.length] ?? 1;
    const clock = new PausableClock(new ScaledClock(this.clock, rate));
    const gate = (): Promise<void> => clock.whileRunning();
    const client = new WorldClient(this.world, gate);
    const disk = new LifeDisk(real, gate);
    const link = this.network.connect(name, gate);
    const place: FleetPlace = {
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
      responseRetentionMs: KEEP_MS,
      atMostOnceRetentionMs: KEEP_MS,
      link,
      metrics: new GatewayMetrics(),
      newName: () => this.newName(),
      place,
      random: new Random(this.random.integer(0, 1_000_000)),
      snapshotEvery: SNAPSHOT_EVERY,
      ...(disableAdmissionQueue === undefined ? {} : {disableAdmissionQueue}),
      ...(computeGrantTarget === undefined ? {} : {computeGrantTarget}),
    });
    invariant(started.isOk(), `${name} must start`);
    const box = started.value;
    const operators = new OperatorApi(box, place, link, clock);
    this.lives.set(name, {box, client, clock, disk, operators});
  }

  /** Ends a box at once; what it had not synced is lost. */
  kill(name: string): void {
    const life = this.lives.get(name);
    if (life === undefined) {
      return;
    }
    this.lives.delete(name);
    this.pastEvents.push(life.box.timeline.events());
    this.network.disconnect(name);
    life.disk.fault.refuse = true;
    this.disks.get(name)?.crash();
    void life.client[Symbol.asyncDispose]();
    life.clock.resume();
    void life.box[Symbol.asyncDispose]();
  }

  /**
   * Loses a box's disk, if its group can bear it: all its other members run
   * and have their disks, and an earlier loss is repaired.
   */
  async loseDisk(name: string): Promise<boolean> {
    if (!this.mayLoseDisk(name)) {
      return false;
    }
    this.kill(name);
    this.disks.delete(name);
    await this.start(name);
    return true;
  }

  /** Ledgers of all control boxes that run. */
  ledgers(region?: string): Ledger[] {
    return [...this.lives.values()]
      .filter(({box}) => region === undefined || box.self.region === region)
      .map(({box}) => box.control?.ledger)
      .filter((ledger) => ledger !== undefined);
  }

  /** The time line of all boxes, those that are gone included. */
  events(): TimelineEvent[] {
    const present = [...this.lives.values()].map(({box}) =>
      box.timeline.events(),
    );
    return mergeTimelines([...this.pastEvents, ...present]);
  }

  /** The ledger that has applied most in a region. */
  newestLedger(region: string): Ledger | undefined {
    const newest = [...this.lives.values()]
      .filter(({box}) => box.self.region === region)
      .map(({box}) => box.control)
      .filter((control) => control !== undefined)
      .sort(
        (a, b) =>
          b.replica.status().appliedIndex - a.replica.status().appliedIndex,
      )[0];
    return newest?.ledger;
  }

  /** Heals everything, restarts everything and lets it settle. */
  async repair(ms: number): Promise<void> {
    this.network.heal();
    this.network.delay = {highMs: 2, lowMs: 1};
    this.world.repair();
    for (const {name} of this.boxes) {
      this.lives.get(name)?.clock.resume();
      await this.start(name);
    }
    await this.clock.advance(ms);
  }

  /** Moves time until a promise is there. */
  async drive<Value>(promise: Promise<Value>): Promise<Value> {
    const end = this.clock.now() + DRIVE_LIMIT_MS;
    let open = true;
    void promise.finally(() => (open = false));
    while (open && this.clock.now() < end) {
      await this.clock.advance(DRIVE_STEP_MS);
    }
    invariant(!open, 'a promise must be there in time');
    return promise;
  }

  /** Sends a change at any box; resolves with what the operator sees. */
  async declare(name: string, declaration: Declaration, operator: string) {
    const life = this.lives.get(name);
    return life?.operators.declare(declaration, operator);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const {name} of this.boxes) {
      this.kill(name);
    }
    await this.clock.advance(40_000);
  }

  private newName(): string {
    this.names += 1;
    return `name-${this.names}`;
  }

  private mayLoseDisk(name: string): boolean {
    const own = this.boxes.find((box) => box.name === name);
    const group = this.boxes.filter(
      (box) => box.control && box.region === own?.region,
    );
    const replicas = group.map(
      (box) => this.lives.get(box.name)?.box.control?.replica,
    );
    return (
      own?.control === true &&
      replicas.every((replica) => replica !== undefined) &&
      replicas.some((replica) => {
        const voters = replica?.status().members.voters ?? [];
        return (
          replica?.isLeader === true &&
          voters.length === group.length &&
          replicas.every((other) => voters.includes(other?.id ?? ''))
        );
      })
    );
  }
}
