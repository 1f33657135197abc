/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Runs a group of replicas in one process on a manual clock. */
import type {Link} from 'puffinturn-wire';
import {MemoryNetwork} from 'puffinturn-wire';
import {invariant, ManualClock, Random, TaskGroup} from 'shared';

import type {LogRequest, ReplicaBreakage, ReplicaId} from '../../index';
import {
  boxOf,
  DEFAULT_TIMING,
  LogLink,
  MemoryDisk,
  Replica,
  StateMachine,
} from '../../index';

/** A state machine that lists the applied records. */
export class ListMachine extends StateMachine {
  records: unknown[] = [];

  override apply(record: unknown): unknown {
    this.records.push(record);
    return this.records.length;
  }

  override snapshot(): Uint8Array {
    return Buffer.from(JSON.stringify(this.records));
  }

  override restore(bytes: Uint8Array): void {
    this.records = JSON.parse(Buffer.from(bytes).toString());
  }
}

/** Connects a replica to the in-memory network. */
class NetworkLogLink extends LogLink {
  constructor(private readonly link: Link) {
    super();
  }

  override call(to: ReplicaId, request: LogRequest, timeoutMs: number) {
    return this.link
      .call(boxOf(to), 'log', request, timeoutMs)
      .mapErr(({message}) => ({kind: 'unreachable', message}) as const);
  }
}

/** A link of a replica that never calls another one, as its clock stands still. */
export class SilentLink extends LogLink {
  override call(): never {
    throw new Error('the clock stands still, so no replica starts an election');
  }
}

/** A running replica with its state machine and tasks. */
export interface RunningReplica {
  readonly replica: Replica;
  readonly stateMachine: ListMachine;
  readonly tasks: TaskGroup;
}

/** A group of boxes with one replica each. */
export class ReplicaGroup {
  readonly clock = new ManualClock();
  readonly network: MemoryNetwork;
  readonly disks = new Map<string, MemoryDisk>();
  readonly members = new Map<string, RunningReplica>();
  private incarnations = 0;

  constructor(
    readonly boxes: readonly string[],
    private readonly snapshotIntervalEntries = 1_000,
    private readonly breakage?: ReplicaBreakage,
    /** Configured boxes that may bootstrap the group; all boxes by default. */
    private readonly seeds: readonly string[] = boxes,
    private readonly maxVoters?: number,
    private readonly minVoters?: number,
  ) {
    this.network = new MemoryNetwork(this.clock, new Random(7));
  }

  async start(
    box: string,
    mayBootstrap = true,
    seeds: readonly string[] = this.seeds,
  ): Promise<void> {
    const disk = this.disks.get(box) ?? new MemoryDisk();
    this.disks.set(box, disk);
    const link = this.network.connect(box);
    const stateMachine = new ListMachine();
    this.incarnations += 1;
    const opened = await Replica.open({
      box,
      breakage: this.breakage,
      clock: this.clock,
      disk,
      incarnationId: String(this.incarnations),
      link: new NetworkLogLink(link),
      stateMachine,
      maxVoters: this.maxVoters,
      minVoters: this.minVoters,
      random: new Random(100 + this.incarnations),
      snapshotIntervalEntries: this.snapshotIntervalEntries,
      timing: DEFAULT_TIMING,
    });
    invariant(opened.isOk(), 'the replica failed to open');
    const replica = opened.value;
    link.register('log', (body) => replica.handle(body as LogRequest));
    const tasks = new TaskGroup();
    tasks.start(() => replica.bootstrapOrJoin(() => seeds, mayBootstrap));
    this.members.set(box, {replica, stateMachine, tasks});
  }

  async startAll(): Promise<void> {
    for (const box of this.boxes) {
      await this.start(box);
    }
    await this.clock.advance(5_000);
  }

  /** Crashes a box; unsynced data is lost. */
  kill(box: string): void {
    this.network.disconnect(box);
    this.disks.get(box)?.crash();
    void this.members.get(box)?.replica[Symbol.asyncDispose]();
    this.members.delete(box);
  }

  async stopAll(): Promise<void> {
    for (const box of [...this.members.keys()]) {
      this.kill(box);
    }
    await this.clock.advance(5_000);
  }

  member(box: string): RunningReplica {
    const member = this.members.get(box);
    invariant(member !== undefined, `${box} is not running`);
    return member;
  }

  /** Returns the box of the leader with the highest term. */
  leader(): string {
    const leaders = [...this.members.entries()]
      .filter(([, {replica}]) => replica.isLeader)
      .sort(
        ([, a], [, b]) => b.replica.status().term - a.replica.status().term,
      );
    invariant(leaders[0] !== undefined, 'no replica is the leader');
    return leaders[0][0];
  }

  /** Proposes a record and advances the clock until it succeeds or fails. */
  async propose(record: unknown, box = this.leader()): Promise<boolean> {
    let isCommitted: boolean | undefined;
    void this.member(box)
      .replica.propose(record)
      .match(
        () => (isCommitted = true),
        () => (isCommitted = false),
      );
    for (
      let attempt = 0;
      attempt < 100 && isCommitted === undefined;
      attempt += 1
    ) {
      await this.clock.advance(50);
    }
    return isCommitted ?? false;
  }
}
