/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against acknowledged records that a whole group loses at a restart, after its disks
 * have reported errors for operations that took effect.
 */
import {Random} from 'shared';

import type {DiskOperation, ReplicaBreakage} from '../../index';
import {ReplicaGroup} from '../utils/ReplicaFixture';

const BOXES = ['a', 'b', 'c'];
const SNAPSHOT_INTERVAL_ENTRIES = 5;
const ROUNDS = 4;
const RECORDS_PER_ROUND = 12;

/** Shares of the operations that fail. Few appends do, as a leader steps down then. */
const ERROR_SHARES: Readonly<Record<DiskOperation, number>> = {
  append: 0.02,
  replace: 0.7,
};

class FaultyGroup {
  readonly group: ReplicaGroup;
  private readonly random: Random;
  private readonly acknowledged: string[] = [];

  constructor(seed: number, breakage?: ReplicaBreakage) {
    this.random = new Random(seed);
    this.group = new ReplicaGroup(BOXES, SNAPSHOT_INTERVAL_ENTRIES, breakage);
  }

  setErrors(areOn: boolean): void {
    for (const {faults} of this.group.disks.values()) {
      faults.failAfterEffect = (operation) =>
        areOn && this.random.fraction() < ERROR_SHARES[operation];
    }
  }

  async propose(record: string): Promise<void> {
    const hasLeader = BOXES.some(
      (box) => this.group.member(box).replica.isLeader,
    );
    if (!hasLeader) {
      await this.group.clock.advance(500);
    } else if (await this.group.propose(record)) {
      this.acknowledged.push(record);
    }
  }

  /** Cuts one replica off for a while, so that it needs a snapshot later. */
  async proposeWithout(box: string, records: readonly string[]): Promise<void> {
    const others = BOXES.filter((other) => other !== box);
    this.group.network.partition([box], others);
    for (const record of records) {
      await this.propose(record);
    }
    this.group.network.heal();
  }

  /** Kills all boxes at once and starts them again. */
  async restartAll(): Promise<void> {
    await this.group.stopAll();
    for (const box of BOXES) {
      await this.group.start(box);
    }
    await this.group.clock.advance(8_000);
  }

  missingRecords(): string[] {
    const {records} = this.group.member(this.group.leader()).stateMachine;
    return this.acknowledged.filter((record) => !records.includes(record));
  }
}

/** Runs rounds of errors and restarts; returns the acknowledged records that are missing. */
async function run(seed: number, breakage?: ReplicaBreakage) {
  const faulty = new FaultyGroup(seed, breakage);
  const random = new Random(seed + 1_000);
  await faulty.group.startAll();
  const missing: string[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const records = Array.from(
      {length: RECORDS_PER_ROUND},
      (_, position) => `${round}-${position}`,
    );
    const half = RECORDS_PER_ROUND / 2;
    faulty.setErrors(true);
    const box = BOXES[random.integer(0, BOXES.length - 1)] ?? 'a';
    await faulty.proposeWithout(box, records.slice(0, half));
    for (const record of records.slice(half)) {
      await faulty.propose(record);
    }
    faulty.setErrors(false);
    await faulty.restartAll();
    missing.push(...faulty.missingRecords());
  }
  await faulty.group.stopAll();
  return missing;
}

const SEEDS = Array.from({length: 10}, (_, seed) => seed);

test.each(SEEDS)(
  'a group has all records that it acknowledged while its disks failed, seed %i',
  async (seed) => {
    expect(await run(seed)).toEqual([]);
  },
  600_000,
);

test('records are found missing if replicas go on with a segment after a failed write', async () => {
  const results = await Promise.all(
    SEEDS.map((seed) => run(seed, {keepFailedSegment: true})),
  );
  expect(results.flat()).not.toEqual([]);
}, 600_000);
