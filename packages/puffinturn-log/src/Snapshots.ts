/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The latest snapshot of a replica, which it takes of its own state machine or gets from a
 * leader, and the compaction of the log that goes with it.
 */
import type {DurableLog} from './DurableLog';
import type {EntryList} from './EntryList';
import {SNAPSHOT_INTERVAL_ENTRIES, TRAILING_ENTRIES} from './LogConstants';
import type {StateMachine} from './LogLink';
import type {Entry, Members, SnapshotRequest} from './LogMessages';
import type {Snapshot} from './LogStorage';
import {SnapshotAssembler} from './SnapshotAssembler';

/** Dependencies of Snapshots. */
export interface SnapshotsParts {
  readonly durable: DurableLog;
  readonly log: EntryList;
  readonly stateMachine: StateMachine;
  /** Number of applied entries between two snapshots. */
  readonly intervalEntries?: number | undefined;
  /** Called when the disk refused a snapshot. */
  readonly onFailure: () => void;
}

/** What became of a part of a snapshot that a leader sent. */
export interface SnapshotReceipt {
  /** Offset in bytes of the part that is wanted next; 0 to begin anew. */
  readonly nextOffset: number;
  /** Index up to which the state machine was restored; undefined if it was not. */
  readonly restoredThrough: number | undefined;
}

/** Takes and installs snapshots. Calls must not overlap with other writes to the disk. */
export class Snapshots {
  private current: Snapshot | undefined;
  private readonly assembler = new SnapshotAssembler();

  /** `stored` is the snapshot on the disk, which the state machine is restored from. */
  constructor(
    private readonly parts: SnapshotsParts,
    stored: Snapshot | undefined,
  ) {
    this.current = stored;
    if (stored !== undefined) {
      parts.stateMachine.restore(stored.bytes);
    }
  }

  /** The latest snapshot on the disk; undefined if there is none. */
  get latest(): Snapshot | undefined {
    return this.current;
  }

  /** Index of the last entry that the latest snapshot covers; 0 if there is none. */
  get lastIndex(): number {
    return this.current?.lastIndex ?? 0;
  }

  /** Whether so many entries were applied since the latest one that another one is due. */
  isDue(appliedIndex: number): boolean {
    const interval = this.parts.intervalEntries ?? SNAPSHOT_INTERVAL_ENTRIES;
    return appliedIndex - this.lastIndex >= interval;
  }

  /** Takes a snapshot of the entries applied so far, with the members at the last one. */
  async take(lastIndex: number, members: Members): Promise<void> {
    const {durable, log, stateMachine} = this.parts;
    const lastTerm = log.termAt(lastIndex);
    if (lastTerm === undefined) {
      return;
    }
    const bytes = stateMachine.snapshot();
    if (!(await durable.flush())) {
      return;
    }
    const compactThrough = Math.max(
      log.compactedIndex,
      lastIndex - this.trailingEntries,
    );
    const kept = log.entriesFrom(compactThrough + 1);
    if (await this.store({bytes, lastIndex, lastTerm, members}, kept)) {
      log.compactThrough(compactThrough);
    }
  }

  /** Adds a part of a snapshot that a leader sent; installs the snapshot with the last one. */
  async receive(
    request: SnapshotRequest,
    commitIndex: number,
  ): Promise<SnapshotReceipt> {
    const nextOffset = this.assembler.addChunk(request);
    const isComplete =
      request.done && nextOffset === request.offset + request.bytes.length;
    if (!isComplete) {
      return {nextOffset, restoredThrough: undefined};
    }
    const bytes = this.assembler.finish();
    const {lastIndex, lastTerm, members} = request;
    if (lastIndex <= commitIndex) {
      return {nextOffset, restoredThrough: undefined};
    }
    const snapshot = {bytes, lastIndex, lastTerm, members};
    return (await this.install(snapshot))
      ? {nextOffset, restoredThrough: lastIndex}
      : {nextOffset: 0, restoredThrough: undefined};
  }

  private get trailingEntries(): number {
    return Math.min(
      TRAILING_ENTRIES,
      this.parts.intervalEntries ?? TRAILING_ENTRIES,
    );
  }

  private async install(snapshot: Snapshot): Promise<boolean> {
    const {log, stateMachine} = this.parts;
    const {bytes, lastIndex, lastTerm} = snapshot;
    // Entries that follow the snapshot's last one may count towards a quorum.
    const isInLog = log.termAt(lastIndex) === lastTerm;
    const following = isInLog ? log.entriesFrom(lastIndex + 1) : [];
    if (!(await this.store(snapshot, following))) {
      return false;
    }
    stateMachine.restore(bytes);
    if (isInLog) {
      log.compactThrough(lastIndex);
    } else {
      log.reset(lastIndex, lastTerm);
    }
    return true;
  }

  /** Syncs a snapshot and the entries that are kept. */
  private async store(
    snapshot: Snapshot,
    kept: readonly Entry[],
  ): Promise<boolean> {
    const isStored = await this.parts.durable.compact(snapshot, kept);
    if (isStored) {
      this.current = snapshot;
    } else {
      this.parts.onFailure();
    }
    return isStored;
  }
}
