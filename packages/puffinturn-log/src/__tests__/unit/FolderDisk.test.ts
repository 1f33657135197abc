/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against loss of acknowledged records and undetected corruption on disk. */
import {appendFile, mkdtemp, readdir, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {ManualClock, Random} from 'shared';

import {DEFAULT_TIMING, FolderDisk, LogLink, Replica} from '../../index';
import {ListMachine} from '../utils/ReplicaFixture';

class NoPeersLink extends LogLink {
  override call(): never {
    throw new Error('a group with one replica must not send messages');
  }
}

async function openReplica(folder: string, snapshotIntervalEntries = 1_000) {
  const clock = new ManualClock();
  const stateMachine = new ListMachine();
  const disk = (await FolderDisk.open(folder))._unsafeUnwrap();
  disks.push(disk);
  const opened = await Replica.open({
    box: 'a',
    clock,
    disk,
    incarnationId: '1',
    link: new NoPeersLink(),
    stateMachine,
    random: new Random(1),
    snapshotIntervalEntries,
    timing: DEFAULT_TIMING,
  });
  return {clock, stateMachine, opened};
}

async function startLeader(folder: string, snapshotIntervalEntries?: number) {
  const {clock, stateMachine, opened} = await openReplica(
    folder,
    snapshotIntervalEntries,
  );
  const replica = opened._unsafeUnwrap();
  void replica.bootstrapOrJoin(() => ['a']);
  while (!replica.isLeader) {
    await clock.advance(100);
  }
  return {stateMachine, replica};
}

/** The path of the only segment. */
async function segmentPath(): Promise<string> {
  const names = await readdir(folder);
  const segments = names.filter((name) => name.startsWith('segment'));
  expect(segments).toHaveLength(1);
  return join(folder, segments[0] ?? '');
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

describe('a replica that stores its log in a folder', () => {
  test('keeps every acknowledged record after its process is killed', async () => {
    const first = await startLeader(folder);
    for (let record = 0; record < 20; record += 1) {
      expect((await first.replica.propose(record)).isOk()).toBe(true);
    }
    // The first replica is not disposed, as after kill -9.
    const second = await startLeader(folder);
    expect((await second.replica.barrier()).isOk()).toBe(true);
    expect(second.stateMachine.records).toHaveLength(20);
    expect(second.replica.id).toBe(first.replica.id);
  });

  test('restores its snapshot and the entries that follow it', async () => {
    const first = await startLeader(folder, 10);
    for (let record = 0; record < 35; record += 1) {
      await first.replica.propose(record);
    }
    const second = await startLeader(folder, 10);
    await second.replica.barrier();
    expect(second.stateMachine.records).toEqual(
      Array.from({length: 35}, (_, record) => record),
    );
    const names = await readdir(folder);
    expect(names.filter((name) => name.startsWith('segment'))).toHaveLength(1);
  });

  test('removes a torn frame at the end but rejects an invalid frame before a valid one', async () => {
    const first = await startLeader(folder);
    await first.replica.propose('kept');
    await appendFile(await segmentPath(), Buffer.from([9, 0, 0, 0, 1, 2]));
    const second = await startLeader(folder);
    await second.replica.barrier();
    expect(second.stateMachine.records).toEqual(['kept']);
    // An invalid frame before a valid one cannot result from a torn write.
    await appendFile(
      await segmentPath(),
      Buffer.from([2, 0, 0, 0, 0, 0, 0, 0, 7, 7]),
    );
    await second.replica.propose('after');
    const {opened} = await openReplica(folder);
    expect(opened._unsafeUnwrapErr().kind).toBe('corrupt');
  });
});
