/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * One box, whole but for its HTTP servers: the log and ledger of a control
 * box, membership, and the gateway. Everything that it touches outside is
 * given to it, so that tests can put fakes there.
 */
import type {ResultAsync as Async, ResultAsync} from 'neverthrow';
import {okAsync} from 'neverthrow';
import {createReplicaLink} from 'puffinturn-fleet';
import type {GatewayMetrics, UpstreamClient} from 'puffinturn-gateway';
import {
  Gateway,
  PoolRegistry,
  RequestQuarantine,
  UpstreamPermits,
} from 'puffinturn-gateway';
import type {LedgerBreakage, RegionSupply} from 'puffinturn-ledger';
import {ControlClient, ControlService, Ledger} from 'puffinturn-ledger';
import type {
  Disk,
  ReplicaBreakage,
  ReplicaTiming,
  StorageFailure,
} from 'puffinturn-log';
import {DEFAULT_TIMING, Replica} from 'puffinturn-log';
import {BoxMember, HeartbeatMonitor} from 'puffinturn-membership';
import type {EngineClient} from 'puffinturn-orders';
import {OrderController} from 'puffinturn-orders';
import {EMPTY_QUARANTINE} from 'puffinturn-quarantine';
import type {FleetBox} from 'puffinturn-settings';
import type {TimelineEvent} from 'puffinturn-timeline';
import {EVENT_KIND, Timeline} from 'puffinturn-timeline';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {DisposableList, invariant, Random, TaskGroup} from 'shared';

const TIMELINE_SERVICE = 'timeline';
const MAX_SEED = 0x7fff_ffff;

/** Deliberate breakages of any part; the fuzzer must find each. */
export type BoxBreakage = LedgerBreakage & ReplicaBreakage;

/** Where a box stands in its fleet. */
export interface FleetPlace {
  readonly box: string;
  readonly boxes: readonly FleetBox[];
  readonly primaryRegion: string;
}

/** What a box is made of. */
export interface BoxParts {
  readonly place: FleetPlace;
  readonly client: UpstreamClient;
  /** How orders reach engines; absent where none are sent. */
  readonly engines?: EngineClient;
  readonly clock: Clock;
  readonly disk: Disk;
  readonly link: Link;
  readonly metrics: GatewayMetrics;
  readonly random: Random;
  /** A name never given before. */
  readonly newName: () => string;
  readonly responseRetentionMs: number;
  readonly atMostOnceRetentionMs: number;
  readonly timing?: ReplicaTiming;
  readonly snapshotEvery?: number;
  readonly breakage?: BoxBreakage;
  readonly computeGrantTarget?: (
    home: RegionSupply,
    other: RegionSupply,
  ) => number;
  readonly disableAdmissionQueue?: boolean;
  readonly isListedGone?: (box: string) => boolean;
}

/** The parts of a box that only a control box has. */
interface Control {
  readonly replica: Replica;
  readonly ledger: Ledger;
  readonly service: ControlService;
  readonly monitor: HeartbeatMonitor;
  /** Absent when this fleet orders nothing from engines. */
  readonly orders: OrderController | undefined;
}

/** See the module comment. */
export class Box implements AsyncDisposable {
  /** This box's events. */
  readonly timeline: Timeline;
  readonly client: ControlClient;
  readonly member: BoxMember;
  readonly pools: PoolRegistry;
  private readonly requestQuarantine: RequestQuarantine;
  private readonly permits: UpstreamPermits;
  readonly gateway: Gateway;
  private readonly tasks = new TaskGroup();
  private readonly registrations = new DisposableList();

  private constructor(
    private readonly parts: BoxParts,
    /** This box's line in the settings. */
    readonly self: FleetBox,
    /** Present on control boxes. */
    readonly control: Control | undefined,
    timeline: Timeline,
  ) {
    const {clock, link, place, random} = parts;
    this.timeline = timeline;
    const region = place.boxes.filter((box) => box.region === self.region);
    const regionOf = (hall: string) =>
      place.boxes.find((box) => box.hall === hall)?.region ?? self.region;
    const controlBoxes = namesOf(region.filter((box) => box.control));
    this.client = new ControlClient({
      box: self.name,
      clock,
      controlBoxes,
      link,
      region: self.region,
      relayBoxes: namesOf(region).filter((name) => name !== self.name),
    });
    this.pools = new PoolRegistry(clock, random);
    this.requestQuarantine = new RequestQuarantine({
      box: self.name,
      client: parts.client,
      clock,
      timeline,
    });
    this.member = new BoxMember({
      box: self.name,
      clock,
      control: this.client,
      controlBoxes,
      crashes: () => this.requestQuarantine.nextHeartbeatReport(),
      hall: self.hall,
      inFlight: () => this.pools.inFlightCounts(),
      leaving: () => this.pools.leavingUpstreamIds(),
      link,
      newIncarnation: parts.newName,
      onNews: (reply) => {
        this.pools.applyConfig(this.member.config);
        this.pools.applyHeartbeatReply(reply);
        this.requestQuarantine.applyQuarantine(
          reply.quarantine ?? EMPTY_QUARANTINE,
        );
      },
      timeline,
    });
    this.permits = new UpstreamPermits({
      areInSameRegion: (hall, other) => regionOf(hall) === regionOf(other),
      clock,
      link,
      peers: place.boxes
        .filter(({name}) => name !== self.name)
        .map(({hall, name}) => ({box: name, hall})),
      pools: this.pools,
      self: {box: self.name, hall: self.hall},
    });
    this.registrations.add(this.permits);
    this.gateway = new Gateway({
      box: self.name,
      boxesInRegion: (name) =>
        namesOf(place.boxes.filter((box) => box.region === name)),
      client: parts.client,
      clock,
      control: this.client,
      requestQuarantine: this.requestQuarantine,
      responseRetentionMs: parts.responseRetentionMs,
      atMostOnceRetentionMs: parts.atMostOnceRetentionMs,
      link,
      member: this.member,
      metrics: parts.metrics,
      generateKey: parts.newName,
      permits: this.permits,
      pools: this.pools,
      random,
      region: self.region,
      timeline,
    });
    this.registrations.add(this.client.serveRelay());
    this.registrations.add(
      link.register(TIMELINE_SERVICE, async () => timeline.events()),
    );
    if (control !== undefined) {
      this.tasks.start(() => control.replica.takePart(() => controlBoxes));
    }
    timeline.note(EVENT_KIND.started);
  }

  /** Starts all tasks of a box. */
  static start(parts: BoxParts): ResultAsync<Box, StorageFailure> {
    const {place} = parts;
    const self = place.boxes.find(({name}) => name === place.box);
    invariant(self !== undefined, 'a box must be listed in its fleet');
    const timeline = new Timeline(self.name, parts.clock);
    const control: Async<Control | undefined, StorageFailure> = self.control
      ? startControl(parts, self, timeline)
      : okAsync(undefined);
    return control.map((started) => new Box(parts, self, started, timeline));
  }

  /** The events of all boxes that answer. */
  async collectTimelines(): Promise<TimelineEvent[][]> {
    const calls = this.parts.place.boxes.map(async ({name}) => {
      const answer = await this.parts.link.call(
        name,
        TIMELINE_SERVICE,
        {},
        2_000,
      );
      return answer.isOk() ? (answer.value as TimelineEvent[]) : [];
    });
    return Promise.all(calls);
  }

  /**
   * Leaves as planned: tells the others, and hands leadership on. Requests in
   * flight go on until the box is disposed.
   */
  async prepareStop(): Promise<void> {
    this.timeline.note(EVENT_KIND.stopping);
    await this.member.announceStop();
    this.control?.replica.stepDown();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.registrations[Symbol.dispose]();
    this.tasks.abort();
    await Promise.all([
      this.gateway[Symbol.asyncDispose](),
      this.member[Symbol.asyncDispose](),
      this.control?.service[Symbol.asyncDispose](),
      this.control?.monitor[Symbol.asyncDispose](),
      this.control?.orders?.[Symbol.asyncDispose](),
      this.control?.replica[Symbol.asyncDispose](),
    ]);
    await this.requestQuarantine[Symbol.asyncDispose]();
    await this.tasks[Symbol.asyncDispose]();
  }
}

function namesOf(boxes: readonly FleetBox[]): string[] {
  return boxes.map(({name}) => name);
}

function startControl(
  parts: BoxParts,
  self: FleetBox,
  timeline: Timeline,
): Async<Control, StorageFailure> {
  const {breakage, clock, disk, link, place, random} = parts;
  const primary = self.region === place.primaryRegion;
  const ledger = new Ledger(self.region, primary, breakage);
  const {logLink, serve} = createReplicaLink(link);
  return Replica.open({
    box: self.name,
    clock,
    disk,
    incarnation: parts.newName(),
    link: logLink,
    machine: ledger,
    onRole: (role, term) =>
      timeline.note(EVENT_KIND.leaderChanged, {
        detail: `${role} in term ${term}`,
      }),
    random: new Random(random.integer(0, MAX_SEED)),
    timing: parts.timing ?? DEFAULT_TIMING,
    ...(breakage === undefined ? {} : {breakage}),
    ...(parts.snapshotEvery === undefined
      ? {}
      : {snapshotEvery: parts.snapshotEvery}),
  }).map((replica) => {
    serve((request) => replica.handle(request));
    const timing = parts.timing ?? DEFAULT_TIMING;
    return {
      ledger,
      orders:
        parts.engines &&
        new OrderController({
          client: parts.engines,
          clock,
          // A leader steps down after two election times without a quorum;
          // twice as long leaves room for clocks that run differently.
          handoverMs: 4 * timing.electionMs + timing.callMs,
          ledger,
          replica,
          timeline,
        }),
      monitor: new HeartbeatMonitor({
        clock,
        ledger,
        link,
        replica,
        timeline,
        ...(parts.isListedGone === undefined
          ? {}
          : {isListedGone: parts.isListedGone}),
      }),
      replica,
      service: new ControlService({
        box: self.name,
        clock,
        ledger,
        link,
        otherRegions: otherRegions(place, self.region),
        primaryRegion: place.primaryRegion,
        replica,
        ...(parts.computeGrantTarget === undefined
          ? {}
          : {computeGrantTarget: parts.computeGrantTarget}),
        ...(parts.disableAdmissionQueue === undefined
          ? {}
          : {disableAdmissionQueue: parts.disableAdmissionQueue}),
      }),
    };
  });
}

function otherRegions(
  {boxes}: FleetPlace,
  own: string,
): Map<string, readonly string[]> {
  const regions = new Map<string, string[]>();
  for (const {control, name, region} of boxes) {
    if (control && region !== own) {
      regions.set(region, [...(regions.get(region) ?? []), name]);
    }
  }
  return regions;
}
