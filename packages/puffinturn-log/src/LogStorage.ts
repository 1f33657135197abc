/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The log of one replica on its disk: a small state file (term, vote,
 * incarnation), one snapshot and segments of entry batches. Each batch is one
 * frame (length, CRC-32, CBOR), written and synced in one step, so that a torn
 * write can only be the last frame. A bad frame with a good one after it means
 * that synced data is damaged; the replica then must not go on.
 */
import {crc32} from 'node:zlib';

import {Decoder, Encoder} from 'cbor-x';
import type {Result, ResultAsync} from 'neverthrow';
import {err, ok, safeTry} from 'neverthrow';
import type {Failure} from 'shared';

import type {Disk, DiskFailure} from './Disk';
import type {Entry, Members, ReplicaId} from './LogMessages';

const STATE_FILE = 'state';
const SNAPSHOT_FILE = 'snapshot';
const SEGMENT_PREFIX = 'segment-';
const FRAME_HEADER_BYTES = 8;

const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false});

/** Damage to data that had been synced. */
export type CorruptionFailure = Failure<'corrupt'>;

/** What the disk can answer with instead of data. */
export type StorageFailure = CorruptionFailure | DiskFailure;

/** Term and vote; must be synced before a vote or a term is answered. */
export interface StoredState {
  readonly replica: ReplicaId;
  readonly term: number;
  readonly votedFor: ReplicaId | null;
}

/** A whole state of the application at one index. */
export interface Snapshot {
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly members: Members;
  readonly bytes: Uint8Array;
}

/** Everything that a replica reads at start. */
export interface StoredLog {
  readonly state: StoredState | undefined;
  readonly snapshot: Snapshot | undefined;
  readonly entries: Entry[];
}

function frameOf(value: unknown): Buffer {
  const body = encoder.encode(value);
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length);
  frame.writeUInt32LE(body.length, 0);
  frame.writeUInt32LE(crc32(body), 4);
  body.copy(frame, FRAME_HEADER_BYTES);
  return frame;
}

function frameAt(bytes: Buffer, offset: number): Buffer | undefined {
  if (offset + FRAME_HEADER_BYTES > bytes.length) {
    return undefined;
  }
  const start = offset + FRAME_HEADER_BYTES;
  const end = start + bytes.readUInt32LE(offset);
  if (end > bytes.length || end === start) {
    return undefined;
  }
  const body = bytes.subarray(start, end);
  return crc32(body) === bytes.readUInt32LE(offset + 4) ? body : undefined;
}

function holdsFrameAfter(bytes: Buffer, offset: number): boolean {
  for (let at = offset + 1; at + FRAME_HEADER_BYTES < bytes.length; at += 1) {
    if (frameAt(bytes, at) !== undefined) {
      return true;
    }
  }
  return false;
}

interface Frames {
  readonly bodies: Buffer[];
  /** Bytes up to the end of the last good frame. */
  readonly goodBytes: number;
}

function readFrames(
  name: string,
  bytes: Buffer,
): Result<Frames, CorruptionFailure> {
  const bodies: Buffer[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const body = frameAt(bytes, offset);
    if (body === undefined) {
      if (holdsFrameAfter(bytes, offset)) {
        const message = `${name}: damaged frame at byte ${offset}`;
        return err({kind: 'corrupt', message});
      }
      break;
    }
    bodies.push(body);
    offset += FRAME_HEADER_BYTES + body.length;
  }
  return ok({bodies, goodBytes: offset});
}

/** Reads and writes the files of one replica. Calls must not overlap. */
export class LogStorage {
  private segment = `${SEGMENT_PREFIX}${'0'.padStart(16, '0')}`;

  constructor(private readonly disk: Disk) {}

  /** Reads everything, cutting a torn last frame off the last segment. */
  load(): ResultAsync<StoredLog, StorageFailure> {
    return safeTry(this.loadSteps.bind(this));
  }

  /** Syncs term and vote. */
  writeState(state: StoredState): ResultAsync<void, DiskFailure> {
    return this.disk.replace(STATE_FILE, frameOf(state));
  }

  /** Syncs entries; an index that is there already cuts off all from it on. */
  append(entries: readonly Entry[]): ResultAsync<void, DiskFailure> {
    return this.disk.append(this.segment, frameOf(entries));
  }

  /** Syncs a snapshot, then keeps just `entries` as the log behind it. */
  compact(
    snapshot: Snapshot,
    entries: readonly Entry[],
  ): ResultAsync<void, DiskFailure> {
    const former = this.segment;
    const number = Number(former.slice(SEGMENT_PREFIX.length)) + 1;
    const next = `${SEGMENT_PREFIX}${String(number).padStart(16, '0')}`;
    return this.disk
      .replace(SNAPSHOT_FILE, frameOf(snapshot))
      .andThen(() => this.disk.replace(next, frameOf(entries)))
      .andThen(() => {
        this.segment = next;
        return this.disk.remove(former);
      });
  }

  private async *loadSteps() {
    const state = yield* this.readFile<StoredState>(STATE_FILE);
    const snapshot = yield* this.readFile<Snapshot>(SNAPSHOT_FILE);
    const names = yield* this.disk.list();
    const segments = names
      .filter((name) => /^segment-\d{16}$/.test(name))
      .sort();
    const entries: Entry[] = [];
    for (const name of segments) {
      const bytes = yield* this.disk.read(name);
      const frames = yield* readFrames(name, bytes);
      if (frames.goodBytes < bytes.length) {
        const good = bytes.subarray(0, frames.goodBytes);
        yield* this.disk.replace(name, Buffer.from(good));
      }
      for (const body of frames.bodies) {
        overlay(entries, decoder.decode(body) as Entry[]);
      }
      this.segment = name;
    }
    return ok<StoredLog, StorageFailure>({
      entries: contiguousAfter(entries, snapshot),
      snapshot,
      state,
    });
  }

  private readFile<Value>(
    name: string,
  ): ResultAsync<Value | undefined, StorageFailure> {
    return this.disk.read(name).andThen((bytes) => {
      if (bytes.length === 0) {
        return ok(undefined);
      }
      const body = frameAt(bytes, 0);
      return body === undefined
        ? err<undefined, StorageFailure>({
            kind: 'corrupt',
            message: `${name}: damaged`,
          })
        : ok(decoder.decode(body) as Value);
    });
  }
}

function overlay(entries: Entry[], batch: readonly Entry[]): void {
  for (const entry of batch) {
    const first = entries[0]?.index ?? entry.index;
    if (entry.index < first) {
      entries.length = 0;
    } else {
      entries.length = Math.min(entries.length, entry.index - first);
    }
    entries.push(entry);
  }
}

/**
 * Drops entries that do not continue the snapshot, as after a crash between
 * the two steps of `compact`.
 */
function contiguousAfter(
  entries: Entry[],
  snapshot: Snapshot | undefined,
): Entry[] {
  const first = entries[0]?.index;
  if (snapshot === undefined || first === undefined) {
    return first === 1 ? entries : [];
  }
  const joint = entries[snapshot.lastIndex - first];
  const follows = first === snapshot.lastIndex + 1;
  return follows || joint?.term === snapshot.lastTerm ? entries : [];
}
