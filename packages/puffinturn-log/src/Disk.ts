/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Durable storage of a box: a flat set of files. */
import type {FileHandle} from 'node:fs/promises';
import {mkdir, open, readdir, readFile, rename, rm} from 'node:fs/promises';
import {join} from 'node:path';

import {err, errAsync, ok, okAsync, ResultAsync} from 'neverthrow';
import type {Failure} from 'shared';
import {describeError} from 'shared';

/** A read, write or sync failed. */
export type DiskFailure = Failure<'disk'>;

/** The files of one box. A file name contains no path. */
export abstract class Disk implements AsyncDisposable {
  /** Lists the names of all files. */
  abstract list(): ResultAsync<string[], DiskFailure>;

  /** Reads a file; a missing file reads as empty. */
  abstract read(name: string): ResultAsync<Buffer, DiskFailure>;

  /** Appends bytes to a file. Resolves once they are synced. */
  abstract append(name: string, bytes: Buffer): ResultAsync<void, DiskFailure>;

  /** Replaces a file atomically: a crash leaves the old or the new content. */
  abstract replace(name: string, bytes: Buffer): ResultAsync<void, DiskFailure>;

  /** Removes a file. A missing file is not an error. */
  abstract remove(name: string): ResultAsync<void, DiskFailure>;

  abstract [Symbol.asyncDispose](): Promise<void>;
}

function diskFailure(error: unknown): DiskFailure {
  return {kind: 'disk', message: describeError(error)};
}

async function syncFolder(folder: string): Promise<void> {
  await using handle = await open(folder, 'r');
  await handle.sync();
}

interface OpenFile {
  readonly handle: FileHandle;
  /** Length in bytes, up to the last synced write. */
  length: number;
  /** Whether the last write was synced completely. */
  isClean: boolean;
}

/** Stores files in a folder of the file system. */
export class FolderDisk extends Disk {
  private readonly openFiles = new Map<string, OpenFile>();

  private constructor(private readonly folder: string) {
    super();
  }

  /** Opens the folder and creates it if it does not exist. */
  static open(folder: string): ResultAsync<FolderDisk, DiskFailure> {
    return ResultAsync.fromPromise(
      mkdir(folder, {mode: 0o700, recursive: true}).then(
        () => new FolderDisk(folder),
      ),
      diskFailure,
    );
  }

  override list(): ResultAsync<string[], DiskFailure> {
    return ResultAsync.fromPromise(readdir(this.folder), diskFailure);
  }

  override read(name: string): ResultAsync<Buffer, DiskFailure> {
    const content = readFile(join(this.folder, name)).catch((error) => {
      if (error.code === 'ENOENT') {
        return Buffer.alloc(0);
      }
      throw error;
    });
    return ResultAsync.fromPromise(content, diskFailure);
  }

  override append(name: string, bytes: Buffer): ResultAsync<void, DiskFailure> {
    return ResultAsync.fromPromise(this.write(name, bytes), diskFailure);
  }

  override replace(
    name: string,
    bytes: Buffer,
  ): ResultAsync<void, DiskFailure> {
    const temporary = join(this.folder, `${name}.tmp`);
    const write = async (): Promise<void> => {
      await this.close(name);
      {
        await using handle = await open(temporary, 'w', 0o600);
        await handle.writeFile(bytes);
        await handle.sync();
      }
      await rename(temporary, join(this.folder, name));
      await syncFolder(this.folder);
    };
    return ResultAsync.fromPromise(write(), diskFailure).orElse((failure) =>
      // Partial content would take space on a full disk from the next attempt.
      ResultAsync.fromPromise(rm(temporary, {force: true}), diskFailure)
        .orElse(() => ok(undefined))
        .andThen(() => err(failure)),
    );
  }

  override remove(name: string): ResultAsync<void, DiskFailure> {
    const unlink = async (): Promise<void> => {
      await this.close(name);
      await rm(join(this.folder, name), {force: true});
    };
    return ResultAsync.fromPromise(unlink(), diskFailure);
  }

  override async [Symbol.asyncDispose](): Promise<void> {
    for (const name of [...this.openFiles.keys()]) {
      await this.close(name);
    }
  }

  private async write(name: string, bytes: Buffer): Promise<void> {
    const file = await this.openFile(name);
    if (!file.isClean) {
      // Removes the partial data of a failed write.
      await file.handle.truncate(file.length);
      file.isClean = true;
    }
    file.isClean = false;
    await file.handle.appendFile(bytes);
    await file.handle.datasync();
    file.length += bytes.length;
    file.isClean = true;
  }

  private async openFile(name: string): Promise<OpenFile> {
    const alreadyOpen = this.openFiles.get(name);
    if (alreadyOpen !== undefined) {
      return alreadyOpen;
    }
    // The name of a new file is synced before any append to it may succeed.
    const handle = await open(join(this.folder, name), 'a', 0o600);
    try {
      const {size: length} = await handle.stat();
      await syncFolder(this.folder);
      const file = {handle, isClean: true, length};
      this.openFiles.set(name, file);
      return file;
    } catch (error) {
      await handle.close();
      throw error;
    }
  }

  private async close(name: string): Promise<void> {
    const file = this.openFiles.get(name);
    this.openFiles.delete(name);
    await file?.handle.close();
  }
}

/** Faults that a MemoryDisk injects into writes. */
export interface DiskFaults {
  /** Report success without syncing. */
  skipSync: boolean;
  /** Fail every write. */
  failWrites: boolean;
  /** Chooses whether a write fails although it took effect. */
  failAfterEffect: (operation: DiskOperation) => boolean;
}

/** Operations of a disk that may fail after their effect. */
export type DiskOperation = 'append' | 'replace';

/** Keeps files in memory for tests and can simulate a crash. */
export class MemoryDisk extends Disk {
  /** Faults to inject; tests change them at any time. */
  readonly faults: DiskFaults = {
    failAfterEffect: () => false,
    failWrites: false,
    skipSync: false,
  };
  private syncedFiles = new Map<string, Buffer>();
  private unsyncedFiles = new Map<string, Buffer>();

  override list(): ResultAsync<string[], DiskFailure> {
    const names = new Set([
      ...this.syncedFiles.keys(),
      ...this.unsyncedFiles.keys(),
    ]);
    return okAsync([...names]);
  }

  override read(name: string): ResultAsync<Buffer, DiskFailure> {
    return okAsync(
      this.unsyncedFiles.get(name) ??
        this.syncedFiles.get(name) ??
        Buffer.alloc(0),
    );
  }

  override append(name: string, bytes: Buffer): ResultAsync<void, DiskFailure> {
    const previous =
      this.unsyncedFiles.get(name) ??
      this.syncedFiles.get(name) ??
      Buffer.alloc(0);
    return this.store('append', name, Buffer.concat([previous, bytes]));
  }

  override replace(
    name: string,
    bytes: Buffer,
  ): ResultAsync<void, DiskFailure> {
    return this.store('replace', name, Buffer.from(bytes));
  }

  override remove(name: string): ResultAsync<void, DiskFailure> {
    this.syncedFiles.delete(name);
    this.unsyncedFiles.delete(name);
    return okAsync(undefined);
  }

  /** Drops unsynced bytes, except the first `keptBytes` of each file. */
  crash(keptBytes = 0): void {
    for (const [name, bytes] of this.unsyncedFiles) {
      const synced = this.syncedFiles.get(name)?.length ?? 0;
      this.syncedFiles.set(name, bytes.subarray(0, synced + keptBytes));
    }
    this.unsyncedFiles.clear();
  }

  /** Removes the last `count` bytes of a file, as after a torn write. */
  truncateTail(name: string, count: number): void {
    const bytes = this.syncedFiles.get(name) ?? Buffer.alloc(0);
    this.syncedFiles.set(
      name,
      bytes.subarray(0, Math.max(0, bytes.length - count)),
    );
  }

  override async [Symbol.asyncDispose](): Promise<void> {}

  private store(
    operation: DiskOperation,
    name: string,
    bytes: Buffer,
  ): ResultAsync<void, DiskFailure> {
    if (this.faults.failWrites) {
      return errAsync({
        kind: 'disk',
        message: 'write failed by an injected fault',
      });
    }
    if (this.faults.skipSync) {
      this.unsyncedFiles.set(name, bytes);
    } else {
      this.unsyncedFiles.delete(name);
      this.syncedFiles.set(name, bytes);
    }
    return this.faults.failAfterEffect(operation)
      ? errAsync({
          kind: 'disk',
          message: `${operation} failed by an injected fault after its effect`,
        })
      : okAsync(undefined);
  }
}
