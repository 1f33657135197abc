/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against dropping acknowledged entries at a start after crashes. */
import {Random} from 'shared';

import type {Entry} from '../../LogMessages';
import type {Snapshot, StoredLog} from '../../LogStorage';
import {LogStorage} from '../../LogStorage';
import type {Crash} from '../utils/StepDisk';
import {CRASH, StepDisk} from '../utils/StepDisk';

const TERM = 3;

/** What a replica relies on: a snapshot and the entries after it. */
interface Contents {
  readonly snapshotIndex: number;
  readonly entries: readonly Entry[];
}

function makeEntry(index: number, term: number): Entry {
  return {
    body: {kind: 'record', record: index},
    index,
    term,
  };
}

function makeSnapshot(lastIndex: number, lastTerm: number): Snapshot {
  return {
    bytes: new Uint8Array([1]),
    lastIndex,
    lastTerm,
    members: {learners: [], voters: []},
  };
}

function contentsOf({entries, snapshot}: StoredLog): Contents {
  const snapshotIndex = snapshot?.lastIndex ?? 0;
  return {
    entries: entries.filter(({index}) => index > snapshotIndex),
    snapshotIndex,
  };
}

/** The last index and the terms, for comparisons. */
function describeContents({entries, snapshotIndex}: Contents): string {
  return entries.reduce(
    (text, {index, term}) => `${text} ${index}:${term}`,
    `after ${snapshotIndex}:`,
  );
}

/** A replica's use of its storage, and the contents that it relies on. */
class Writer {
  contents: Contents = {entries: [], snapshotIndex: 0};
  private term = TERM;

  constructor(
    private readonly storage: LogStorage,
    loaded: StoredLog,
    private readonly random: Random,
  ) {
    this.contents = contentsOf(loaded);
    this.term = Math.max(TERM, ...this.contents.entries.map(({term}) => term));
  }

  private get lastIndex(): number {
    return this.contents.entries.at(-1)?.index ?? this.contents.snapshotIndex;
  }

  /** Runs one operation; returns the contents that it leads to. */
  async operate(): Promise<Contents> {
    if (!this.storage.hasSegment) {
      await this.storage.startSegment(this.contents.entries);
    }
    switch (this.random.integer(0, 5)) {
      case 0:
        return this.takeSnapshot();
      case 1:
        return this.installSnapshot();
      case 2:
        return this.replaceTail();
      default:
        return this.append(this.lastIndex + 1);
    }
  }

  private async append(from: number): Promise<Contents> {
    const count = this.random.integer(1, 4);
    const added = Array.from({length: count}, (_, offset) =>
      makeEntry(from + offset, this.term),
    );
    const kept = this.contents.entries.filter(({index}) => index < from);
    await this.storage.append(added);
    return {...this.contents, entries: [...kept, ...added]};
  }

  private replaceTail(): Promise<Contents> {
    this.term += 1;
    const from = Math.max(this.contents.snapshotIndex, this.lastIndex - 2) + 1;
    return this.append(from);
  }

  /** A snapshot that keeps up to three entries before it. */
  private async takeSnapshot(): Promise<Contents> {
    const {entries} = this.contents;
    const last = entries[this.random.integer(0, entries.length)];
    if (last === undefined) {
      return this.contents;
    }
    await this.storage.compact(
      makeSnapshot(last.index, last.term),
      entries.filter(({index}) => index > last.index - 3),
    );
    return {
      entries: entries.filter(({index}) => index > last.index),
      snapshotIndex: last.index,
    };
  }

  private async installSnapshot(): Promise<Contents> {
    const index = this.lastIndex + this.random.integer(1, 5);
    await this.storage.compact(makeSnapshot(index, this.term), []);
    return {entries: [], snapshotIndex: index};
  }
}

/**
 * Runs operations with a crash after some steps, again and again, and returns the
 * differences between what was loaded and what had to be there.
 */
async function runWithCrashes(
  seed: number,
  crashAfterSteps: (round: number) => number,
  crash: Crash,
): Promise<string[]> {
  const random = new Random(seed);
  const disk = new StepDisk();
  const differences: string[] = [];
  let expected: readonly Contents[] = [{entries: [], snapshotIndex: 0}];
  for (let round = 0; round < 12; round += 1) {
    const storage = new LogStorage(disk);
    const loaded = (await storage.load())._unsafeUnwrap();
    const found = describeContents(contentsOf(loaded));
    const allowed = expected.map(describeContents);
    if (!allowed.includes(found)) {
      differences.push(`round ${round}: ${found}, not ${allowed.join(' or ')}`);
    }
    const writer = new Writer(storage, loaded, random);
    disk.stepsLeft = crashAfterSteps(round);
    expected = [writer.contents];
    while (!disk.isStopped) {
      const before = writer.contents;
      const after = await writer.operate();
      expected = disk.isStopped ? [before, after] : [after];
      writer.contents = after;
    }
    disk.restart(crash, random);
  }
  return differences;
}

describe.each(Object.values(CRASH))('After crashes by %s', (crash) => {
  test.each(Array.from({length: 60}, (_, seed) => seed))(
    'at any step a log starts with all that was synced, seed %i',
    async (seed) => {
      const random = new Random(seed + 1_000);
      expect(
        await runWithCrashes(seed, () => random.integer(1, 40), crash),
      ).toEqual([]);
    },
  );
});

test('segments that were left by earlier crashes are removed', async () => {
  const disk = new StepDisk();
  const storage = new LogStorage(disk);
  await storage.load();
  const entries = Array.from({length: 5}, (_, index) =>
    makeEntry(index + 1, TERM),
  );
  await storage.startSegment(entries);
  const [segment = ''] = (await disk.list())._unsafeUnwrap();
  const left = (await disk.read(segment))._unsafeUnwrap();
  await storage.compact(makeSnapshot(4, TERM), entries.slice(4));
  await disk.replace(segment, left);
  const restarted = new LogStorage(disk);
  const loaded = (await restarted.load())._unsafeUnwrap();
  expect(describeContents(contentsOf(loaded))).toBe('after 4: 5:3');
  await restarted.startSegment(loaded.entries);
  const names = (await disk.list())._unsafeUnwrap();
  expect(names).not.toContain(segment);
  expect(names.filter((name) => name.startsWith('segment'))).toHaveLength(1);
});

test('a gap between the snapshot and the entries fails the start', async () => {
  const disk = new StepDisk();
  const storage = new LogStorage(disk);
  await storage.load();
  await storage.compact(makeSnapshot(4, TERM), [makeEntry(9, TERM)]);
  const loaded = await new LogStorage(disk).load();
  expect(loaded._unsafeUnwrapErr()).toEqual({
    kind: 'corrupt',
    message: 'entries 5 to 8 are missing between the snapshot and the segment',
  });
});
