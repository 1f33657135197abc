/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against a replica that goes on after a failed disk operation and, after its next
 * start, lacks entries or a term that it has acknowledged.
 */
import {invariant, ManualClock, Random} from 'shared';

import type {DiskChange} from '../../index';
import {DEFAULT_TIMING, Replica, replicaIdOf} from '../../index';
import type {AppendReply, Entry, SnapshotReply} from '../../LogMessages';
import {ListMachine, SilentLink} from '../utils/ReplicaFixture';
import type {Crash} from '../utils/StepDisk';
import {CRASH, StepDisk} from '../utils/StepDisk';

const SNAPSHOT_INTERVAL_ENTRIES = 6;
const LIVES = 6;
const OPERATIONS_PER_LIFE = 25;

/** One in this many disk operations fails. */
const FAILURE_INTERVAL = 4;

/** The leader's log, and what the follower has acknowledged of it. */
class Leader {
  term = 1;
  acknowledgedIndex = 1;
  acknowledgedTerm = 0;
  /** Snapshots hold committed entries only, whether or not the follower installs them. */
  private committedIndex = 1;
  /** Starts with the member list, at index 1. */
  private readonly entries: Entry[];
  private readonly members;
  private readonly id = replicaIdOf('a', 'leader');

  constructor(
    private readonly follower: Follower,
    private readonly random: Random,
  ) {
    this.members = {
      learners: [],
      voters: [this.id, replicaIdOf('b', '1'), replicaIdOf('c', '1')],
    };
    const body = {kind: 'members', members: this.members} as const;
    this.entries = [{body, index: 1, term: 0}];
  }

  get lastIndex(): number {
    return this.entries.length;
  }

  /** The records up to an index. */
  recordsThrough(index: number): unknown[] {
    return this.entries
      .slice(0, index)
      .flatMap(({body}) => (body.kind === 'record' ? [body.record] : []));
  }

  async found(): Promise<void> {
    const to = this.follower.replica.id;
    await this.follower.replica.handle({
      kind: 'found',
      members: this.members,
      to,
    });
  }

  async operate(): Promise<void> {
    switch (this.random.integer(0, 5)) {
      case 0:
        this.changeLeader();
        return this.sendEntries(this.acknowledgedIndex);
      case 1:
        return this.sendSnapshot();
      default:
        return this.sendEntries(
          this.random.integer(this.acknowledgedIndex, this.lastIndex),
        );
    }
  }

  /** Sends what follows an index that the follower should have, and some new entries. */
  async sendEntries(previousIndex: number): Promise<void> {
    this.addEntries(this.random.integer(1, 3));
    const reply = await this.append(
      this.term,
      previousIndex,
      this.entries.slice(previousIndex),
    );
    if (reply.success) {
      this.acknowledge(reply.matchIndex);
    }
  }

  /** Whether an older leader could replace the last acknowledged entry. */
  async isReplacedByOlderLeader(): Promise<boolean> {
    const previousIndex = this.acknowledgedIndex - 1;
    const term = this.acknowledgedTerm - 1;
    if (term < 1 || previousIndex < 1) {
      return false;
    }
    const body = {kind: 'record', record: 'of an older term'} as const;
    const reply = await this.append(term, previousIndex, [
      {body, index: previousIndex + 1, term},
    ]);
    return reply.success;
  }

  /** Whether the follower confirms that it has the last acknowledged entry. */
  async isHeld(): Promise<boolean> {
    const reply = await this.append(this.term, this.acknowledgedIndex, []);
    return reply.success;
  }

  private async append(
    term: number,
    previousIndex: number,
    entries: readonly Entry[],
  ): Promise<AppendReply> {
    const previousTerm = this.entries[previousIndex - 1]?.term;
    invariant(previousTerm !== undefined, `no entry at ${previousIndex}`);
    const {replica} = this.follower;
    return (await replica.handle({
      commitIndex: this.acknowledgedIndex,
      entries,
      from: this.id,
      kind: 'append',
      previousIndex,
      previousTerm,
      term,
      to: replica.id,
    })) as AppendReply;
  }

  private async sendSnapshot(): Promise<void> {
    this.addEntries(2);
    const lastIndex = this.random.integer(
      this.acknowledgedIndex,
      this.lastIndex,
    );
    this.committedIndex = Math.max(this.committedIndex, lastIndex);
    const {replica} = this.follower;
    const bytes = Buffer.from(JSON.stringify(this.recordsThrough(lastIndex)));
    const reply = (await replica.handle({
      bytes,
      done: true,
      from: this.id,
      kind: 'snapshot',
      lastIndex,
      lastTerm: this.entries[lastIndex - 1]?.term ?? 0,
      members: this.members,
      offset: 0,
      term: this.term,
      to: replica.id,
    })) as SnapshotReply;
    if (reply.nextOffset === bytes.length) {
      this.acknowledge(lastIndex);
    }
  }

  /** A new leader has all committed entries, and maybe others after them. */
  private changeLeader(): void {
    this.term += 1;
    this.entries.length = this.random.integer(
      this.committedIndex,
      this.lastIndex,
    );
  }

  private addEntries(count: number): void {
    for (let added = 0; added < count; added += 1) {
      const index = this.lastIndex + 1;
      const body = {kind: 'record', record: `${index}:${this.term}`} as const;
      this.entries.push({body, index, term: this.term});
    }
  }

  private acknowledge(index: number): void {
    this.acknowledgedIndex = Math.max(this.acknowledgedIndex, index);
    this.committedIndex = Math.max(this.committedIndex, index);
    this.acknowledgedTerm = this.term;
  }
}

/** A replica that is started again and again on the same disk. */
class Follower {
  readonly disk = new StepDisk();
  stateMachine = new ListMachine();
  private current: Replica | undefined;

  get replica(): Replica {
    invariant(this.current !== undefined, 'the follower has not been started');
    return this.current;
  }

  /** Changes of the disk that the replica has reported. */
  readonly diskChanges: DiskChange[] = [];

  async start(): Promise<void> {
    this.stateMachine = new ListMachine();
    const opened = await Replica.open({
      box: 'b',
      clock: new ManualClock(),
      disk: this.disk,
      incarnationId: '1',
      link: new SilentLink(),
      onDiskChange: (change) => this.diskChanges.push(change),
      random: new Random(1),
      snapshotIntervalEntries: SNAPSHOT_INTERVAL_ENTRIES,
      stateMachine: this.stateMachine,
      timing: DEFAULT_TIMING,
    });
    this.current = opened._unsafeUnwrap();
  }

  async crash(crash: Crash, random: Random): Promise<void> {
    this.disk.stepsLeft = 0;
    await this.current?.[Symbol.asyncDispose]();
    this.disk.restart(crash, random);
  }
}

/** Files whose operations fail. */
const FAULTY_FILES = {
  any: /./,
  log: /^(segment|snapshot)/,
} as const;

/** Runs several lives with failing operations; describes what was lost at a start. */
async function runLives(
  seed: number,
  crash: Crash,
  faultyFiles: RegExp,
): Promise<string[]> {
  const random = new Random(seed);
  const follower = new Follower();
  const leader = new Leader(follower, random);
  const losses: string[] = [];
  await follower.start();
  await leader.found();
  for (let life = 1; life <= LIVES; life += 1) {
    follower.disk.chooseFailure = (name, stepCount) =>
      faultyFiles.test(name) && random.integer(1, FAILURE_INTERVAL) === 1
        ? random.integer(0, stepCount)
        : undefined;
    for (let count = 0; count < OPERATIONS_PER_LIFE; count += 1) {
      await leader.operate();
    }
    follower.disk.stepsLeft = random.integer(1, 30);
    while (!follower.disk.isStopped) {
      await leader.operate();
    }
    await follower.crash(crash, random);
    follower.disk.chooseFailure = () => undefined;
    await follower.start();
    if (await leader.isReplacedByOlderLeader()) {
      losses.push(`life ${life}: the term ${leader.acknowledgedTerm}`);
    }
    const {lastIndex} = follower.replica.status();
    const isHeld = await leader.isHeld();
    if (!isHeld || lastIndex < leader.acknowledgedIndex) {
      losses.push(
        `life ${life}: entries ${lastIndex + 1} to ${leader.acknowledgedIndex}`,
      );
      break;
    }
    await new Promise(setImmediate);
    const {appliedIndex} = follower.replica.status();
    expect(appliedIndex).toBeGreaterThanOrEqual(leader.acknowledgedIndex);
    expect(follower.stateMachine.records).toEqual(
      leader.recordsThrough(appliedIndex),
    );
  }
  return losses;
}

describe.each(Object.values(CRASH))('After a crash by %s', (crash) => {
  test.each(Array.from({length: 40}, (_, seed) => seed))(
    'a replica has all entries that it acknowledged after failed writes of its log, seed %i',
    async (seed) => {
      expect(await runLives(seed, crash, FAULTY_FILES.log)).toEqual([]);
    },
  );

  test.each(Array.from({length: 40}, (_, seed) => seed))(
    'a replica has the term of all that it acknowledged after failed writes of any file, seed %i',
    async (seed) => {
      expect(await runLives(seed, crash, FAULTY_FILES.any)).toEqual([]);
    },
  );
});

test('a disk that refuses writes is reported once, and once more when it takes them again', async () => {
  const follower = new Follower();
  const leader = new Leader(follower, new Random(1));
  await follower.start();
  await leader.found();
  await leader.sendEntries(1);
  expect(follower.diskChanges).toEqual([]);
  follower.disk.chooseFailure = () => 0;
  const {acknowledgedIndex} = leader;
  await leader.sendEntries(1);
  await leader.sendEntries(1);
  expect(leader.acknowledgedIndex).toBe(acknowledgedIndex);
  const failure = {kind: 'disk', message: 'step 0 failed'};
  expect(follower.diskChanges).toEqual([{failedWrites: 1, failure}]);
  follower.disk.chooseFailure = () => undefined;
  await leader.sendEntries(1);
  expect(leader.acknowledgedIndex).toBe(leader.lastIndex);
  expect(follower.diskChanges[1]).toMatchObject({failure: undefined});
  expect(follower.diskChanges).toHaveLength(2);
  await follower.replica[Symbol.asyncDispose]();
});
