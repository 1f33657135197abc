/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The disk of one box: files in one flat folder that last only once synced.
 * MemoryDisk loses what was not synced, as a crash does.
 */
import type {FileHandle} from 'node:fs/promises';
import {mkdir, open, readdir, readFile, rename, rm} from 'node:fs/promises';
import {join} from 'node:path';

import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import type {Failure} from 'shared';
import {describeError} from 'shared';

/** A read, write or sync that the operating system refused. */
export type DiskFailure = Failure<'disk'>;

/** Files of one box. Names are plain, without folders. */
export abstract class Disk implements AsyncDisposable {
  /** The names of all files. */
  abstract list(): ResultAsync<string[], DiskFailure>;

  /** The content of a file; empty when there is none. */
  abstract read(name: string): ResultAsync<Buffer, DiskFailure>;

  /** Adds bytes at the end and syncs them before it answers. */
  abstract append(name: string, bytes: Buffer): ResultAsync<void, DiskFailure>;

  /** Replaces a whole file: after a crash either the old or the new is there. */
  abstract replace(name: string, bytes: Buffer): ResultAsync<void, DiskFailure>;

  /** Removes a file; one that is absent is no failure. */
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
  /** Bytes up to the end of the last write that was synced. */
  length: number;
  /** False from the start of a write until it is synced. */
  clean: boolean;
}

/** A folder of the operating system. */
export class FolderDisk extends Disk {
  private readonly files = new Map<string, OpenFile>();

  private constructor(private readonly folder: string) {
    super();
  }

  /** Opens the folder, making it when absent. */
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
    const write = async (): Promise<void> => {
      await this.close(name);
      const temporary = join(this.folder, `${name}.tmp`);
      {
        await using handle = await open(temporary, 'w', 0o600);
        await handle.writeFile(bytes);
        await handle.sync();
      }
      await rename(temporary, join(this.folder, name));
      await syncFolder(this.folder);
    };
    return ResultAsync.fromPromise(write(), diskFailure);
  }

  override remove(name: string): ResultAsync<void, DiskFailure> {
    const unlink = async (): Promise<void> => {
      await this.close(name);
      await rm(join(this.folder, name), {force: true});
    };
    return ResultAsync.fromPromise(unlink(), diskFailure);
  }

  override async [Symbol.asyncDispose](): Promise<void> {
    for (const name of [...this.files.keys()]) {
      await this.close(name);
    }
  }

  private async write(name: string, bytes: Buffer): Promise<void> {
    const file = await this.openFile(name);
    if (!file.clean) {
      // Half of a failed write must not stand before the next one.
      await file.handle.truncate(file.length);
      file.clean = true;
    }
    file.clean = false;
    await file.handle.appendFile(bytes);
    await file.handle.datasync();
    file.length += bytes.length;
    file.clean = true;
  }

  private async openFile(name: string): Promise<OpenFile> {
    const known = this.files.get(name);
    if (known !== undefined) {
      return known;
    }
    const handle = await open(join(this.folder, name), 'a', 0o600);
    const {size: length} = await handle.stat();
    const file = {clean: true, handle, length};
    this.files.set(name, file);
    await syncFolder(this.folder);
    return file;
  }

  private async close(name: string): Promise<void> {
    const file = this.files.get(name);
    this.files.delete(name);
    await file?.handle.close();
  }
}

/** How a MemoryDisk treats the next append. */
export interface DiskFault {
  /** Answer before the bytes are safe, as a broken sync does. */
  skipSync: boolean;
  /** Refuse every write. */
  refuse: boolean;
}

/** Files in memory for tests; `crash` forgets what was not synced. */
export class MemoryDisk extends Disk {
  /** Faults that tests switch on. */
  readonly fault: DiskFault = {refuse: false, skipSync: false};
  private files = new Map<string, Buffer>();
  private unsynced = new Map<string, Buffer>();

  override list(): ResultAsync<string[], DiskFailure> {
    const names = new Set([...this.files.keys(), ...this.unsynced.keys()]);
    return okAsync([...names]);
  }

  override read(name: string): ResultAsync<Buffer, DiskFailure> {
    return okAsync(
      this.unsynced.get(name) ?? this.files.get(name) ?? Buffer.alloc(0),
    );
  }

  override append(name: string, bytes: Buffer): ResultAsync<void, DiskFailure> {
    const former =
      this.unsynced.get(name) ?? this.files.get(name) ?? Buffer.alloc(0);
    return this.store(name, Buffer.concat([former, bytes]));
  }

  override replace(
    name: string,
    bytes: Buffer,
  ): ResultAsync<void, DiskFailure> {
    return this.store(name, Buffer.from(bytes));
  }

  override remove(name: string): ResultAsync<void, DiskFailure> {
    this.files.delete(name);
    this.unsynced.delete(name);
    return okAsync(undefined);
  }

  /** Forgets unsynced bytes, but for the first `kept` of each file's tail. */
  crash(kept = 0): void {
    for (const [name, bytes] of this.unsynced) {
      const synced = this.files.get(name)?.length ?? 0;
      this.files.set(name, bytes.subarray(0, synced + kept));
    }
    this.unsynced.clear();
  }

  /** Cuts the last `count` bytes off a file, as a torn write does. */
  tear(name: string, count: number): void {
    const bytes = this.files.get(name) ?? Buffer.alloc(0);
    this.files.set(name, bytes.subarray(0, Math.max(0, bytes.length - count)));
  }

  override async [Symbol.asyncDispose](): Promise<void> {}

  private store(name: string, bytes: Buffer): ResultAsync<void, DiskFailure> {
    if (this.fault.refuse) {
      return errAsync({kind: 'disk', message: 'write refused'});
    }
    if (this.fault.skipSync) {
      this.unsynced.set(name, bytes);
    } else {
      this.unsynced.delete(name);
      this.files.set(name, bytes);
    }
    return okAsync(undefined);
  }
}
