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
import type {Result} from 'neverthrow';
import {err, errAsync, ok, ResultAsync, safeTry} from 'neverthrow';
import type {Failure} from 'shared';

import type {Disk, DiskFailure} from './Disk';
import type {Entry, Members, ReplicaId} from './LogMessages';

const STATE_FILE = 'state';
const SNAPSHOT_FILE = 'snapshot';
const BOOTSTRAP_FILE = 'bootstrap';
const SEGMENT_PREFIX = 'segment-';
const SEGMENT_DIGITS = 16;
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

/** Returns the bodies of all frames, but for a torn one at the end. */
function readFrames(
  name: string,
  bytes: Buffer,
): Result<Buffer[], CorruptionFailure> {
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
  return ok(bodies);
}

/**
 * Reads and writes the files of one replica. Calls must not overlap.
 *
 * What a failed write has left on the disk is unknown, and so is how much of what a start
 * reads was ever synced. Both therefore end the use of the current segment: the next
 * write has to start a new one, with all entries and under a name that isn't in use. Until
 * that has succeeded no entry is appended, so that every segment on the disk, in use or
 * not, holds all entries whose append has succeeded.
 */
export class LogStorage {
  /** The segment in use; undefined if a new one has to be started. */
  private segment: string | undefined;
  private lastSegmentNumber = 0;

  /** `keepFailedSegment` injects a bug, so that the fuzzer can check that it detects it. */
  constructor(
    private readonly disk: Disk,
    private readonly keepFailedSegment = false,
  ) {}

  /** Whether entries can be appended, otherwise a new segment has to be started. */
  get hasSegment(): boolean {
    return this.segment !== undefined;
  }

  /** Reads all files and changes none. */
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
   * Appends and syncs entries to the segment in use. An entry replaces the stored entry
   * with the same index and all that follow it.
   */
  append(entries: readonly Entry[]): ResultAsync<void, DiskFailure> {
    const {segment} = this;
    if (segment === undefined) {
      return errAsync({kind: 'disk', message: 'no segment is in use'});
    }
    return this.disk
      .append(segment, encodeFrame(entries))
      .mapErr((failure) => this.abandonSegment(failure));
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
      .mapErr((failure) => this.abandonSegment(failure))
      .andThen(() => this.startSegment(entries));
  }

  /** Starts a new segment with all entries of the log, and removes the others. */
  startSegment(entries: readonly Entry[]): ResultAsync<void, DiskFailure> {
    this.lastSegmentNumber += 1;
    const name = segmentName(this.lastSegmentNumber);
    return this.disk
      .replace(name, encodeFrame(entries))
      .mapErr((failure) => this.abandonSegment(failure))
      .orElse((failure) => this.removeFailedSegment(name, failure))
      .andThen(() => {
        this.segment = name;
        return this.removeOtherSegments(name);
      });
  }

  private async *loadSteps() {
    const state = yield* this.readFile<StoredState>(STATE_FILE);
    const bootstrap = yield* this.readFile<StoredBootstrap>(BOOTSTRAP_FILE);
    const snapshot = yield* this.readFile<Snapshot>(SNAPSHOT_FILE);
    const names = yield* this.disk.list();
    // Each segment starts with all entries that were kept when it was created, so the
    // newest one is complete. Others remain after a crash before their removal.
    const newest = names.filter(isSegment).sort().pop();
    const entries = newest === undefined ? [] : yield* this.loadSegment(newest);
    yield* checkContinuity(entries, snapshot);
    return ok<StoredLog, StorageFailure>({
      bootstrap,
      entries: entriesAfterSnapshot(entries, snapshot),
      snapshot,
      state,
    });
  }

  /** Reads a segment, but for a torn frame at its end. */
  private async *loadSegment(name: string) {
    this.lastSegmentNumber = Number(name.slice(SEGMENT_PREFIX.length));
    const bytes = yield* this.disk.read(name);
    const bodies = yield* readFrames(name, bytes);
    const entries: Entry[] = [];
    for (const body of bodies) {
      mergeBatch(entries, decoder.decode(body) as Entry[]);
    }
    return entries;
  }

  private abandonSegment(failure: DiskFailure): DiskFailure {
    if (!this.keepFailedSegment) {
      this.segment = undefined;
    }
    return failure;
  }

  /** Removes what a failed start may have left, so that retries don't fill the disk. */
  private removeFailedSegment(
    name: string,
    failure: DiskFailure,
  ): ResultAsync<void, DiskFailure> {
    if (this.keepFailedSegment) {
      return errAsync(failure);
    }
    return this.disk
      .remove(name)
      .orElse(() => ok(undefined))
      .andThen(() => err(failure));
  }

  /** Removes former segments. Those that can't be removed stay until the next segment. */
  private removeOtherSegments(segment: string): ResultAsync<void, DiskFailure> {
    return this.disk
      .list()
      .andThen((names) =>
        ResultAsync.combine(
          names
            .filter((name) => isSegment(name) && name !== segment)
            .map((name) => this.disk.remove(name)),
        ),
      )
      .map(() => undefined)
      .orElse(() => ok(undefined));
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

function segmentName(number: number): string {
  return `${SEGMENT_PREFIX}${String(number).padStart(SEGMENT_DIGITS, '0')}`;
}

function isSegment(name: string): boolean {
  return (
    name.startsWith(SEGMENT_PREFIX) &&
    name.length === SEGMENT_PREFIX.length + SEGMENT_DIGITS
  );
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
