/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A fleet of control boxes in virtual time, and edges that watch it. */
import {InMemoryDecisionLog, NoopDecisionLog} from 'puffinturn-decisions';
import type {LogRequest} from 'puffinturn-log';
import {DEFAULT_TIMING, MemoryDisk, Replica} from 'puffinturn-log';
import {MemoryNetwork} from 'puffinturn-wire';
import {Condition, invariant, ManualClock, Random} from 'shared';

import type {
  BoxRecord,
  ConfigurationChange,
  Evacuations,
  FleetConfiguration,
  RegisteredVersions,
  Rollouts,
  UpstreamRecord,
} from '../../index';
import {
  applyChange,
  BOX_ROLE,
  createReplicaLink,
  EMPTY_ROLLOUTS,
  FleetControl,
  FleetMachine,
  FleetUpdateHandler,
  FleetWatch,
  NO_EVACUATIONS,
} from '../../index';

/** Control boxes of the fleet by default. */
export const CONTROLS = ['c1:1', 'c2:1', 'c3:1'];

/** Control boxes of a fleet that bears the loss of two. */
export const FIVE_CONTROLS = [...CONTROLS, 'c4:1', 'c5:1'];

/** Edges, some of which do not poll the leader. */
const EDGES = ['e1:1', 'e2:1', 'e3:1', 'e4:1', 'e5:1', 'e6:1'];

/** Records the updates that an edge receives. */
export class RecordingHandler extends FleetUpdateHandler {
  configurationHeld: FleetConfiguration | undefined;
  changeCount = 0;
  boxListCount = 0;
  evacuationsHeld = NO_EVACUATIONS;
  rolloutsHeld = EMPTY_ROLLOUTS;
  versionsHeld: RegisteredVersions | undefined;
  upstreamRecords: UpstreamRecord[] = [];
  /** Records that came when their version was not listed yet. */
  readonly unlistedUpstreams: UpstreamRecord[] = [];
  boxRecords: BoxRecord[] = [];

  override get configurationVersion(): number {
    return this.configurationHeld?.version ?? -Infinity;
  }

  override onConfiguration(configuration: FleetConfiguration): void {
    if (configuration.version > this.configurationVersion) {
      this.configurationHeld = configuration;
    }
  }

  override onConfigurationChange(change: ConfigurationChange): void {
    if (this.configurationHeld?.version === change.base) {
      this.configurationHeld = applyChange(this.configurationHeld, change);
      this.changeCount += 1;
    }
  }

  override get evacuationRevision(): number {
    return this.evacuationsHeld.revision;
  }

  override onEvacuations(evacuations: Evacuations): void {
    this.evacuationsHeld = evacuations;
  }

  override get quarantineRevision(): number {
    return 0;
  }

  override onQuarantine(): void {}

  override get rolloutRevision(): number {
    return this.rolloutsHeld.revision;
  }

  override onRollouts(rollouts: Rollouts): void {
    this.rolloutsHeld = rollouts;
  }

  override get versionsRevision(): number {
    return this.versionsHeld?.revision ?? -Infinity;
  }

  override onVersions(update: RegisteredVersions): void {
    this.versionsHeld = update;
  }

  override onUpstreams(records: readonly UpstreamRecord[]): void {
    this.upstreamRecords.push(...records);
    this.unlistedUpstreams.push(
      ...records.filter((record) => !this.isListed(record)),
    );
  }

  private isListed({service, version = ''}: UpstreamRecord): boolean {
    const listed = this.versionsHeld?.versions ?? [];
    return listed.some(
      (known) => known.service === service && known.version === version,
    );
  }

  override onBoxes(records: readonly BoxRecord[]): void {
    this.boxRecords = [...records];
    this.boxListCount += 1;
  }
}

/** Starts control boxes and waits until they have a leader. */
export async function startFleet(
  boxes: readonly string[] = CONTROLS,
  simulatesTcp = false,
) {
  const clock = new ManualClock();
  const network = new MemoryNetwork(clock, new Random(3));
  network.simulatesTcp = simulatesTcp;
  const controls = new Map<string, FleetControl>();
  /** Control boxes that hear from the leader but get no more entries. */
  const withoutEntries = new Set<string>();
  /** Boxes whose process does not run. */
  const paused = new Set<string>();
  const resumed = new Condition();
  const waitUntilRunning = async (box: string): Promise<void> => {
    while (paused.has(box)) {
      await resumed.wait();
    }
  };
  const resume = (): void => {
    paused.clear();
    resumed.notify();
  };
  for (const box of boxes) {
    const link = network.connect(box, () => waitUntilRunning(box));
    const stateChanged = new Condition();
    const stateMachine = new FleetMachine(() => stateChanged.notify());
    const {logLink, serve} = createReplicaLink(link);
    const openResult = await Replica.open({
      box,
      clock,
      disk: new MemoryDisk(),
      incarnationId: '1',
      link: logLink,
      stateMachine,
      random: new Random(box.length + box.charCodeAt(1)),
      timing: DEFAULT_TIMING,
    });
    invariant(openResult.isOk(), 'the replica must open');
    const replica = openResult.value;
    serve((request: LogRequest) =>
      replica.handle(
        withoutEntries.has(box) && request.kind === 'append'
          ? {...request, entries: []}
          : request,
      ),
    );
    void replica.bootstrapOrJoin(() => boxes);
    const self = {box, incarnation: '1', role: BOX_ROLE.control, hall: 'z'};
    const log = new NoopDecisionLog();
    controls.set(
      box,
      new FleetControl({
        stateChanged,
        clock,
        link,
        log,
        machine: stateMachine,
        replica,
        seeds: () => boxes,
        self,
      }),
    );
  }
  await clock.advance(4_000);
  const startWatch = (box: string, maxPolledControls = 2) => {
    const handler = new RecordingHandler();
    const link = network.connect(box);
    const log = new InMemoryDecisionLog();
    const watch = new FleetWatch({
      maxPolledControls,
      clock,
      link,
      log,
      updateHandler: handler,
      seeds: () => boxes,
      self: {box, incarnation: '1', role: BOX_ROLE.edge, hall: 'z'},
    });
    return {handler, link, log, watch};
  };
  const control = (box: string): FleetControl => {
    const found = controls.get(box);
    invariant(found !== undefined, 'the control box must exist');
    return found;
  };
  return {
    clock,
    control,
    network,
    paused,
    resume,
    startWatch,
    withoutEntries,
  };
}

/** Advances the clock until a promise settles, for up to 5 s. */
export async function advanceUntilSettled<Value>(
  clock: ManualClock,
  promise: Promise<Value>,
) {
  let value: {readonly value: Value} | undefined;
  void promise.then((settled) => (value = {value: settled}));
  for (let step = 0; step < 100 && value === undefined; step += 1) {
    await clock.advance(50);
  }
  invariant(value !== undefined, 'the promise must settle within 5 s');
  return value.value;
}

/** A fleet of control boxes and what starts edges there. */
export type WatchedFleet = Awaited<ReturnType<typeof startFleet>>;

/** An edge that watches a fleet. */
export interface WatchingEdge extends ReturnType<WatchedFleet['startWatch']> {
  readonly edge: string;
}

/** Starts an edge that does not poll the leader. */
export async function startEdgeBesideLeader(
  fleet: WatchedFleet,
): Promise<WatchingEdge> {
  for (const edge of EDGES) {
    const watched = fleet.startWatch(edge);
    await fleet.clock.advance(3_000);
    const {leaderAddress = '', polledControls} = watched.watch;
    if (!polledControls.includes(leaderAddress)) {
      return {...watched, edge};
    }
    void watched.watch[Symbol.asyncDispose]();
  }
  throw new Error('every edge polls the leader');
}
