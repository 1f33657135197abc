/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Assembles one box without its HTTP servers: membership and the gateway, and
 * on a control box the replicated log and the ledger. All external dependencies
 * are injected, so that tests can replace them with fakes.
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

/** Bugs that can be injected into a box, to check that the fuzzer finds them. */
export type BoxBreakage = LedgerBreakage & ReplicaBreakage;

/** The fleet, and which of its boxes this one is. */
export interface FleetTopology {
  readonly box: string;
  readonly boxes: readonly FleetBox[];
  readonly primaryRegion: string;
}

/** Dependencies and settings of a box. */
export interface BoxParts {
  readonly topology: FleetTopology;
  readonly client: UpstreamClient;
  /** Sends orders to engines; absent if the fleet sends none. */
  readonly engines?: EngineClient;
  readonly clock: Clock;
  readonly disk: Disk;
  readonly link: Link;
  readonly metrics: GatewayMetrics;
  readonly random: Random;
  /** Generates a unique ID. */
  readonly generateId: () => string;
  /** How long responses are kept for retries. */
  readonly responseRetentionMs: number;
  /** How long the keys of at-most-once requests are kept. */
  readonly atMostOnceRetentionMs: number;
  readonly timing?: ReplicaTiming;
  /** Log entries between two snapshots. */
  readonly snapshotIntervalEntries?: number;
  readonly breakage?: BoxBreakage;
  readonly computeGrantTarget?: (
    home: RegionSupply,
    other: RegionSupply,
  ) => number;
  readonly disableAdmissionQueue?: boolean;
  /** Whether the platform lists a box as gone; the list may be stale. */
  readonly isGoneOnPlatform?: (box: string) => boolean;
}

/** Components that only a control box has. */
interface ControlComponents {
  readonly replica: Replica;
  readonly ledger: Ledger;
  readonly service: ControlService;
  readonly monitor: HeartbeatMonitor;
  /** Absent if the fleet sends no orders to engines. */
  readonly orders: OrderController | undefined;
}

/** A running box without its HTTP servers. */
export class Box implements AsyncDisposable {
  /** Events of this box. */
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
    /** Entry of this box in the fleet settings. */
    readonly self: FleetBox,
    /** Present on control boxes. */
    readonly control: ControlComponents | undefined,
    timeline: Timeline,
  ) {
    const {clock, link, topology, random} = parts;
    this.timeline = timeline;
    const regionBoxes = topology.boxes.filter(
      (box) => box.region === self.region,
    );
    const regionOf = (hall: string) =>
      topology.boxes.find((box) => box.hall === hall)?.region ?? self.region;
    const controlBoxes = boxNames(regionBoxes.filter((box) => box.control));
    this.client = new ControlClient({
      box: self.name,
      clock,
      controlBoxes,
      link,
      region: self.region,
      relayBoxes: boxNames(regionBoxes).filter((name) => name !== self.name),
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
      pendingCrashUpdate: () => this.requestQuarantine.nextHeartbeatReport(),
      hall: self.hall,
      inFlight: () => this.pools.inFlightCounts(),
      drainingUpstreams: () => this.pools.leavingUpstreamIds(),
      link,
      createIncarnationId: parts.generateId,
      onHeartbeatReply: (reply) => {
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
      peers: topology.boxes
        .filter(({name}) => name !== self.name)
        .map(({hall, name}) => ({box: name, hall})),
      pools: this.pools,
      self: {box: self.name, hall: self.hall},
    });
    this.registrations.add(this.permits);
    this.gateway = new Gateway({
      box: self.name,
      boxesInRegion: (name) =>
        boxNames(topology.boxes.filter((box) => box.region === name)),
      client: parts.client,
      clock,
      control: this.client,
      requestQuarantine: this.requestQuarantine,
      responseRetentionMs: parts.responseRetentionMs,
      atMostOnceRetentionMs: parts.atMostOnceRetentionMs,
      link,
      member: this.member,
      metrics: parts.metrics,
      generateKey: parts.generateId,
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
      this.tasks.start(() =>
        control.replica.bootstrapOrJoin(() => controlBoxes),
      );
    }
    timeline.note(EVENT_KIND.started);
  }

  /** Starts a box; on a control box, opens the replicated log first. */
  static start(parts: BoxParts): ResultAsync<Box, StorageFailure> {
    const {topology} = parts;
    const self = topology.boxes.find(({name}) => name === topology.box);
    invariant(self !== undefined, 'a box must be listed in its fleet');
    const timeline = new Timeline(self.name, parts.clock);
    const control: Async<ControlComponents | undefined, StorageFailure> =
      self.control ? startControl(parts, self, timeline) : okAsync(undefined);
    return control.map((started) => new Box(parts, self, started, timeline));
  }

  /** Collects the events of all boxes that respond. */
  async collectTimelines(): Promise<TimelineEvent[][]> {
    const calls = this.parts.topology.boxes.map(async ({name}) => {
      const reply = await this.parts.link.call(
        name,
        TIMELINE_SERVICE,
        {},
        2_000,
      );
      return reply.isOk() ? (reply.value as TimelineEvent[]) : [];
    });
    return Promise.all(calls);
  }

  /**
   * Announces a graceful shutdown to the other boxes and gives up leadership.
   * Requests in flight continue until the box is disposed.
   */
  async announceShutdown(): Promise<void> {
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

function boxNames(boxes: readonly FleetBox[]): string[] {
  return boxes.map(({name}) => name);
}

function startControl(
  parts: BoxParts,
  self: FleetBox,
  timeline: Timeline,
): Async<ControlComponents, StorageFailure> {
  const {breakage, clock, disk, link, topology, random} = parts;
  const isPrimary = self.region === topology.primaryRegion;
  const ledger = new Ledger(self.region, isPrimary, breakage);
  const {logLink, serve} = createReplicaLink(link);
  return Replica.open({
    box: self.name,
    clock,
    disk,
    incarnationId: parts.generateId(),
    link: logLink,
    stateMachine: ledger,
    onDiskChange: ({failedWrites, failure}) => {
      parts.metrics.diskRefusesWrites.set(failure === undefined ? 0 : 1);
      timeline.note(EVENT_KIND.diskChanged, {
        detail: failure?.message ?? `${failedWrites} writes had failed`,
      });
    },
    onRoleChange: (role, term) =>
      timeline.note(EVENT_KIND.leaderChanged, {
        detail: `${role} in term ${term}`,
      }),
    random: new Random(random.integer(0, MAX_SEED)),
    timing: parts.timing ?? DEFAULT_TIMING,
    ...(breakage === undefined ? {} : {breakage}),
    ...(parts.snapshotIntervalEntries === undefined
      ? {}
      : {snapshotIntervalEntries: parts.snapshotIntervalEntries}),
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
          // A leader without a quorum steps down after two election timeouts;
          // doubling that tolerates clocks that run at different rates.
          leaderHandoverDelayMs:
            4 * timing.electionTimeoutMs + timing.callTimeoutMs,
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
        ...(parts.isGoneOnPlatform === undefined
          ? {}
          : {isGoneOnPlatform: parts.isGoneOnPlatform}),
      }),
      replica,
      service: new ControlService({
        box: self.name,
        clock,
        ledger,
        link,
        otherRegions: controlBoxesOfOtherRegions(topology, self.region),
        primaryRegion: topology.primaryRegion,
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

function controlBoxesOfOtherRegions(
  {boxes}: FleetTopology,
  ownRegion: string,
): Map<string, readonly string[]> {
  const controlBoxesByRegion = new Map<string, string[]>();
  for (const {control, name, region} of boxes) {
    if (control && region !== ownRegion) {
      controlBoxesByRegion.set(region, [
        ...(controlBoxesByRegion.get(region) ?? []),
        name,
      ]);
    }
  }
  return controlBoxesByRegion;
}
