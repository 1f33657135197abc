/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Stores the log of a replica on disk: a state file (replica id, term and vote),
 * a snapshot and a segment with batches of entries. Each batch is one frame:
 * body length (uint32 LE), CRC-32 of the body (uint32 LE) and the CBOR body.
 * Each frame is written and synced in one step, so a torn write affects the last
 * frame only. An invalid frame before a valid one means that synced data is
 * corrupt, and loading fails.
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
const BOOTSTRAP_FILE = 'bootstrap';
const SEGMENT_PREFIX = 'segment-';
const FRAME_HEADER_BYTES = 8;

const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false});

/** Synced data is corrupt. */
export type CorruptionFailure = Failure<'corrupt'>;

/** Why reading the stored log failed. */
export type StorageFailure = CorruptionFailure | DiskFailure;

/**
 * Hard state of a replica. Must be synced before a reply that depends on the term
 * or the vote is sent.
 */
export interface StoredState {
  readonly replica: ReplicaId;
  readonly term: number;
  readonly votedFor: ReplicaId | null;
}

/**
 * What a replica without a group has to remember of the first start of all boxes. Must be
 * synced before another replica learns of it.
 */
export interface StoredBootstrap {
  /** The boxes configured at the first start, sorted. */
  readonly boxes: readonly string[];
  /** The first member list that this replica proposed. */
  readonly proposed?: Members | undefined;
}

/** State of the state machine after applying the entry at `lastIndex`. */
export interface Snapshot {
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly members: Members;
  readonly bytes: Uint8Array;
}

/** Everything that a replica reads when it starts. */
export interface StoredLog {
  readonly bootstrap: StoredBootstrap | undefined;
  readonly state: StoredState | undefined;
  readonly snapshot: Snapshot | undefined;
  readonly entries: Entry[];
}

/** Encodes a value as a frame. */
function encodeFrame(value: unknown): Buffer {
  const body = encoder.encode(value);
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length);
  frame.writeUInt32LE(body.length, 0);
  frame.writeUInt32LE(crc32(body), 4);
  body.copy(frame, FRAME_HEADER_BYTES);
  return frame;
}

/** Returns the body of the frame at an offset, or undefined if it is invalid. */
function decodeFrame(bytes: Buffer, offset: number): Buffer | undefined {
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

/** Whether a valid frame starts anywhere after an offset. */
function hasFrameAfter(bytes: Buffer, offset: number): boolean {
  for (
    let start = offset + 1;
    start + FRAME_HEADER_BYTES < bytes.length;
    start += 1
  ) {
    if (decodeFrame(bytes, start) !== undefined) {
      return true;
    }
  }
  return false;
}

/** The valid frames of a segment. */
interface Frames {
  readonly bodies: Buffer[];
  /** Length in bytes up to the end of the last valid frame. */
  readonly validBytes: number;
}

function readFrames(
  name: string,
  bytes: Buffer,
): Result<Frames, CorruptionFailure> {
  const bodies: Buffer[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const body = decodeFrame(bytes, offset);
    if (body === undefined) {
      if (hasFrameAfter(bytes, offset)) {
        const message = `${name}: invalid frame at byte ${offset}`;
        return err({kind: 'corrupt', message});
      }
      break;
    }
    bodies.push(body);
    offset += FRAME_HEADER_BYTES + body.length;
  }
  return ok({bodies, validBytes: offset});
}

/** Reads and writes the files of one replica. Calls must not overlap. */
export class LogStorage {
  private segment = `${SEGMENT_PREFIX}${'0'.padStart(16, '0')}`;

  constructor(private readonly disk: Disk) {}

  /** Reads all files and removes a torn frame at the end of a segment. */
  load(): ResultAsync<StoredLog, StorageFailure> {
    return safeTry(this.loadSteps.bind(this));
  }

  /** Writes and syncs the hard state. */
  writeState(state: StoredState): ResultAsync<void, DiskFailure> {
    return this.disk.replace(STATE_FILE, encodeFrame(state));
  }

  /** Writes and syncs what is known of the first start. */
  writeBootstrap(bootstrap: StoredBootstrap): ResultAsync<void, DiskFailure> {
    return this.disk.replace(BOOTSTRAP_FILE, encodeFrame(bootstrap));
  }

  /**
   * Appends and syncs entries. An entry replaces the stored entry with the same
   * index and all that follow it.
   */
  append(entries: readonly Entry[]): ResultAsync<void, DiskFailure> {
    return this.disk.append(this.segment, encodeFrame(entries));
  }

  /**
   * Writes a snapshot, then replaces the log by `entries`. The snapshot is synced
   * first, so that a crash between the two steps loses no entry.
   */
  compact(
    snapshot: Snapshot,
    entries: readonly Entry[],
  ): ResultAsync<void, DiskFailure> {
    return this.disk
      .replace(SNAPSHOT_FILE, encodeFrame(snapshot))
      .andThen(() => this.startSegment(entries));
  }

  private async *loadSteps() {
    const state = yield* this.readFile<StoredState>(STATE_FILE);
    const bootstrap = yield* this.readFile<StoredBootstrap>(BOOTSTRAP_FILE);
    const snapshot = yield* this.readFile<Snapshot>(SNAPSHOT_FILE);
    const names = yield* this.disk.list();
    const segments = names
      .filter((name) => /^segment-\d{16}$/.test(name))
      .sort();
    // Each segment starts with all entries that were kept when it was created, so the
    // newest one is complete. Others remain after a crash before their removal.
    const newest = segments.pop();
    for (const name of segments) {
      yield* this.disk.remove(name);
    }
    const entries = newest === undefined ? [] : yield* this.loadSegment(newest);
    yield* checkContinuity(entries, snapshot);
    const kept = entriesAfterSnapshot(entries, snapshot);
    if (kept.length < entries.length) {
      yield* this.startSegment(kept);
    }
    return ok<StoredLog, StorageFailure>({
      bootstrap,
      entries: kept,
      snapshot,
      state,
    });
  }

  /** Replaces the segment by a new one that starts with `entries`. */
  private startSegment(
    entries: readonly Entry[],
  ): ResultAsync<void, DiskFailure> {
    const previousSegment = this.segment;
    const nextNumber = Number(previousSegment.slice(SEGMENT_PREFIX.length)) + 1;
    const nextSegment = `${SEGMENT_PREFIX}${String(nextNumber).padStart(16, '0')}`;
    return this.disk.replace(nextSegment, encodeFrame(entries)).andThen(() => {
      this.segment = nextSegment;
      return this.disk.remove(previousSegment);
    });
  }

  /** Reads a segment, removes a torn frame at its end and uses it from now on. */
  private async *loadSegment(name: string) {
    const bytes = yield* this.disk.read(name);
    const frames = yield* readFrames(name, bytes);
    if (frames.validBytes < bytes.length) {
      const validPart = bytes.subarray(0, frames.validBytes);
      yield* this.disk.replace(name, Buffer.from(validPart));
    }
    const entries: Entry[] = [];
    for (const body of frames.bodies) {
      mergeBatch(entries, decoder.decode(body) as Entry[]);
    }
    this.segment = name;
    return entries;
  }

  private readFile<Value>(
    name: string,
  ): ResultAsync<Value | undefined, StorageFailure> {
    return this.disk.read(name).andThen((bytes) => {
      if (bytes.length === 0) {
        return ok(undefined);
      }
      const body = decodeFrame(bytes, 0);
      return body === undefined
        ? err<undefined, StorageFailure>({
            kind: 'corrupt',
            message: `${name}: invalid frame`,
          })
        : ok(decoder.decode(body) as Value);
    });
  }
}

/**
 * Appends a batch; its entries replace those with the same or a higher index, and all
 * others if they don't follow them, as after the installation of a snapshot.
 */
function mergeBatch(entries: Entry[], batch: readonly Entry[]): void {
  for (const entry of batch) {
    const first = entries[0]?.index ?? entry.index;
    const isDetached =
      entry.index < first || entry.index > first + entries.length;
    if (isDetached) {
      entries.length = 0;
    } else {
      entries.length = Math.min(entries.length, entry.index - first);
    }
    entries.push(entry);
  }
}

/** Fails if entries between the snapshot and the stored ones are missing. */
function checkContinuity(
  entries: readonly Entry[],
  snapshot: Snapshot | undefined,
): Result<void, CorruptionFailure> {
  const first = entries[0]?.index;
  const lastIndex = snapshot?.lastIndex ?? 0;
  if (first === undefined || first <= lastIndex + 1) {
    return ok(undefined);
  }
  const message = `entries ${lastIndex + 1} to ${first - 1} are missing between the snapshot and the segment`;
  return err({kind: 'corrupt', message});
}

/**
 * Returns the entries if they are consistent with the snapshot, otherwise none.
 * They may be inconsistent after a crash between the steps of `compact`.
 */
function entriesAfterSnapshot(
  entries: Entry[],
  snapshot: Snapshot | undefined,
): Entry[] {
  const first = entries[0]?.index;
  if (snapshot === undefined || first === undefined) {
    return first === 1 ? entries : [];
  }
  const entryAtSnapshot = entries[snapshot.lastIndex - first];
  const startsAfterSnapshot = first === snapshot.lastIndex + 1;
  return startsAfterSnapshot || entryAtSnapshot?.term === snapshot.lastTerm
    ? entries
    : [];
}
