/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * What of a replica's log, snapshot and hard state is on its disk for sure, so that the
 * replica may acknowledge it.
 */
import type {Result} from 'neverthrow';
import {ok} from 'neverthrow';

import type {DiskFailure} from './Disk';
import type {EntryList} from './EntryList';
import type {Entry} from './LogMessages';
import type {LogStorage, Snapshot, StoredState} from './LogStorage';

/** The disk refused a write, or takes writes again. */
export interface DiskChange {
  /** Why it refused; undefined if it takes writes again. */
  readonly failure: DiskFailure | undefined;
  /** Number of writes in a row that have failed. */
  readonly failedWrites: number;
}

/** Writes a log to a disk. Calls must not overlap, nor with a removal of entries. */
export class DurableLog {
  /**
   * Nothing counts as synced after a start: the process before may have ended between a
   * write and its sync.
   */
  private lastSyncedIndex: number;
  private syncedState: StoredState | undefined;
  private failedWrites = 0;

  constructor(
    private readonly storage: LogStorage,
    private readonly log: EntryList,
    private readonly onDiskChange?: (change: DiskChange) => void,
  ) {
    this.lastSyncedIndex = log.compactedIndex;
  }

  /** Index of the last entry that is on the disk. */
  get syncedIndex(): number {
    return this.lastSyncedIndex;
  }

  /** Whether all entries of the log are on the disk. */
  get isSynced(): boolean {
    return (
      this.storage.hasSegment && this.lastSyncedIndex >= this.log.lastIndex
    );
  }

  /** Syncs the hard state, unless it is known to be on the disk. */
  async saveState(state: StoredState): Promise<Result<void, DiskFailure>> {
    const {syncedState} = this;
    if (
      syncedState?.term === state.term &&
      syncedState.votedFor === state.votedFor
    ) {
      return ok(undefined);
    }
    this.syncedState = undefined;
    const written = await this.storage.writeState(state);
    if (written.isOk()) {
      this.syncedState = state;
    }
    this.report(written);
    return written;
  }

  /** Syncs all entries of the log; resolves to whether they are on the disk. */
  async flush(): Promise<boolean> {
    if (this.isSynced) {
      return true;
    }
    const {lastIndex} = this.log;
    const written = this.storage.hasSegment
      ? await this.storage.append(
          this.log.entriesFrom(this.lastSyncedIndex + 1),
        )
      : await this.storage.startSegment(this.log.entriesFrom(1));
    if (written.isOk()) {
      this.lastSyncedIndex = lastIndex;
    }
    return this.report(written);
  }

  /**
   * Syncs a snapshot and the entries that are kept, which replace the log on the disk.
   * Resolves to whether both are on the disk. The log itself isn't changed.
   */
  async compact(snapshot: Snapshot, kept: readonly Entry[]): Promise<boolean> {
    const written = await this.storage.compact(snapshot, kept);
    if (written.isOk()) {
      this.lastSyncedIndex = kept.at(-1)?.index ?? snapshot.lastIndex;
    }
    return this.report(written);
  }

  /** Takes note that the entries from `index` on were removed from the log. */
  truncateFrom(index: number): void {
    this.lastSyncedIndex = Math.min(this.lastSyncedIndex, index - 1);
  }

  /** Reports the first failure in a row, and the first success after it. */
  private report(written: Result<void, DiskFailure>): boolean {
    const {failedWrites} = this;
    this.failedWrites = written.isOk() ? 0 : failedWrites + 1;
    if (written.isErr() && failedWrites === 0) {
      this.onDiskChange?.({failedWrites: 1, failure: written.error});
    }
    if (written.isOk() && failedWrites > 0) {
      this.onDiskChange?.({failedWrites, failure: undefined});
    }
    return written.isOk();
  }
}
