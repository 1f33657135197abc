/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {appendFile, mkdtemp, readdir, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {ManualClock, Random} from 'shared';

import {DEFAULT_TIMING, FolderDisk, LogLink, Replica} from '../../index';
import {ListMachine} from '../utils/ReplicaFixture';

class NoLink extends LogLink {
  override call(): never {
    throw new Error('a group of one calls nobody');
  }
}

async function open(folder: string, snapshotEvery = 1_000) {
  const clock = new ManualClock();
  const machine = new ListMachine();
  const disk = (await FolderDisk.open(folder))._unsafeUnwrap();
  disks.push(disk);
  const opened = await Replica.open({
    box: 'a',
    clock,
    disk,
    incarnation: '1',
    link: new NoLink(),
    machine,
    random: new Random(1),
    snapshotEvery,
    timing: DEFAULT_TIMING,
  });
  return {clock, machine, opened};
}

async function lead(folder: string, snapshotEvery?: number) {
  const {clock, machine, opened} = await open(folder, snapshotEvery);
  const replica = opened._unsafeUnwrap();
  void replica.takePart(() => ['a']);
  while (!replica.isLeader) {
    await clock.advance(100);
  }
  return {machine, replica};
}

const disks: FolderDisk[] = [];
let folder: string;
beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'disk-'));
});
afterEach(async () => {
  for (const disk of disks.splice(0)) {
    await disk[Symbol.asyncDispose]();
  }
  await rm(folder, {force: true, recursive: true});
});

describe('a replica on a folder', () => {
  test('has every acknowledged record after its process just ends', async () => {
    const first = await lead(folder);
    for (let record = 0; record < 20; record += 1) {
      expect((await first.replica.propose(record)).isOk()).toBe(true);
    }
    // The first one is left as it is, as kill -9 would.
    const second = await lead(folder);
    expect((await second.replica.barrier()).isOk()).toBe(true);
    expect(second.machine.records).toHaveLength(20);
    expect(second.replica.id).toBe(first.replica.id);
  });

  test('starts from its snapshot and the segment behind it', async () => {
    const first = await lead(folder, 10);
    for (let record = 0; record < 35; record += 1) {
      await first.replica.propose(record);
    }
    const second = await lead(folder, 10);
    await second.replica.barrier();
    expect(second.machine.records).toEqual(
      Array.from({length: 35}, (_, record) => record),
    );
    const names = await readdir(folder);
    expect(names.filter((name) => name.startsWith('segment'))).toHaveLength(1);
  });

  test('cuts off a torn tail, but refuses damage before good frames', async () => {
    const first = await lead(folder);
    await first.replica.propose('kept');
    const names = await readdir(folder);
    const segment = names.find((name) => name.startsWith('segment')) ?? '';
    const path = join(folder, segment);
    await appendFile(path, Buffer.from([9, 0, 0, 0, 1, 2]));
    const second = await lead(folder);
    await second.replica.barrier();
    expect(second.machine.records).toEqual(['kept']);
    // A frame of garbage with a good frame after it cannot be a torn write.
    await appendFile(path, Buffer.from([2, 0, 0, 0, 0, 0, 0, 0, 7, 7]));
    await second.replica.propose('after');
    const {opened} = await open(folder);
    expect(opened._unsafeUnwrapErr().kind).toBe('corrupt');
  });
});
