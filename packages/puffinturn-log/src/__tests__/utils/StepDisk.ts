/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {ResultAsync} from 'neverthrow';
import {errAsync, okAsync} from 'neverthrow';
import type {Random} from 'shared';

import type {DiskFailure} from '../../Disk';
import {Disk} from '../../Disk';

/** What a crash leaves of the steps that were not synced. */
export const CRASH = {
  /** The process is killed: all steps stay, but they aren't synced by it. */
  kill: 'kill',
  /** Power is lost: no unsynced content stays, and some unsynced changes of the folder. */
  powerLoss: 'power-loss',
} as const;

/** A value of {@link CRASH}. */
export type Crash = (typeof CRASH)[keyof typeof CRASH];

/** Content of a file, whatever its name. */
class Content {
  /** Length up to the last write that succeeded, bytes; set while the file is open. */
  cleanLength: number | undefined;
  /** Bytes whose sync failed. A later sync doesn't write them again. */
  private lost: {from: number; to: number} | undefined;
  private synced: Buffer = Buffer.alloc(0);

  /** `bytes` is what a running process reads. */
  constructor(public bytes: Buffer = Buffer.alloc(0)) {}

  truncate(length: number): void {
    this.bytes = this.bytes.subarray(0, length);
    if (this.lost !== undefined && this.lost.to > length) {
      this.lost = undefined;
    }
  }

  sync(): void {
    const synced = Buffer.from(this.bytes);
    if (this.lost !== undefined) {
      synced.fill(0, this.lost.from, this.lost.to);
    }
    this.synced = synced;
  }

  failSync(): void {
    this.lost = {from: this.synced.length, to: this.bytes.length};
  }

  losePower(): void {
    this.bytes = this.synced;
    this.lost = undefined;
  }
}

/** One step of an operation. */
interface Step {
  readonly run: () => void;
  /** Called if this step fails. */
  readonly fail?: () => void;
}

/**
 * A disk in memory that stops after a number of steps, or lets operations fail after some of
 * their steps. Each write, sync, rename, removal and sync of the folder is one step.
 */
export class StepDisk extends Disk {
  /** Steps until the disk stops; Infinity if it never does. */
  stepsLeft = Infinity;
  /**
   * Chooses how many of the steps of the next operation on a file are done before it fails:
   * from 0 to all of them. Undefined if it succeeds.
   */
  chooseFailure: (name: string, stepCount: number) => number | undefined = () =>
    undefined;
  steps = 0;
  private folder = new Map<string, Content>();
  private syncedFolder = new Map<string, Content>();

  get isStopped(): boolean {
    return this.stepsLeft <= 0;
  }

  /** Starts again after a crash. */
  restart(crash: Crash, random: Random): void {
    if (crash === CRASH.powerLoss) {
      this.losePower(random);
    }
    for (const content of this.folder.values()) {
      content.cleanLength = undefined;
    }
    this.stepsLeft = Infinity;
  }

  override list(): ResultAsync<string[], DiskFailure> {
    return okAsync([...this.folder.keys()]);
  }

  override read(name: string): ResultAsync<Buffer, DiskFailure> {
    return okAsync(this.folder.get(name)?.bytes ?? Buffer.alloc(0));
  }

  override append(name: string, bytes: Buffer): ResultAsync<void, DiskFailure> {
    const content = this.folder.get(name) ?? new Content();
    const open = (): void => {
      this.folder.set(name, content);
      this.syncFolder();
      content.cleanLength ??= content.bytes.length;
      content.truncate(content.cleanLength);
    };
    const write = (part: Buffer): void => {
      content.bytes = Buffer.concat([content.bytes, part]);
    };
    const half = Math.floor(bytes.length / 2);
    return this.runSteps(name, [
      {run: open},
      {run: () => write(bytes.subarray(0, half))},
      {run: () => write(bytes.subarray(half))},
      {fail: () => content.failSync(), run: () => content.sync()},
    ]).map(() => {
      content.cleanLength = content.bytes.length;
    });
  }

  override replace(
    name: string,
    bytes: Buffer,
  ): ResultAsync<void, DiskFailure> {
    const temporary = `${name}.tmp`;
    const content = new Content(bytes.subarray(0, bytes.length / 2));
    return this.runSteps(name, [
      {run: () => this.folder.set(temporary, content)},
      {run: () => (content.bytes = Buffer.from(bytes))},
      {run: () => content.sync()},
      {
        run: () => {
          this.folder.delete(temporary);
          this.folder.set(name, content);
        },
      },
      {run: () => this.syncFolder()},
    ]);
  }

  /** The removal is synced with the next sync of the folder. */
  override remove(name: string): ResultAsync<void, DiskFailure> {
    return this.runSteps(name, [{run: () => this.folder.delete(name)}]);
  }

  override async [Symbol.asyncDispose](): Promise<void> {}

  private syncFolder(): void {
    this.syncedFolder = new Map(this.folder);
  }

  /** Any of the changes of the folder since its last sync may stay. */
  private losePower(random: Random): void {
    const names = [...this.folder.keys(), ...this.syncedFolder.keys()];
    const folder = new Map<string, Content>();
    for (const name of new Set(names)) {
      const source =
        random.integer(0, 1) === 0 ? this.folder : this.syncedFolder;
      const content = source.get(name);
      if (content !== undefined) {
        folder.set(name, content);
      }
    }
    for (const content of folder.values()) {
      content.losePower();
    }
    this.folder = folder;
    this.syncFolder();
  }

  private runSteps(
    name: string,
    steps: readonly Step[],
  ): ResultAsync<void, DiskFailure> {
    const doneBeforeFailure = this.chooseFailure(name, steps.length);
    for (const [position, step] of steps.entries()) {
      if (this.isStopped) {
        return errAsync({kind: 'disk', message: 'the disk has stopped'});
      }
      if (position === doneBeforeFailure) {
        step.fail?.();
        return errAsync({kind: 'disk', message: `step ${position} failed`});
      }
      step.run();
      this.steps += 1;
      this.stepsLeft -= 1;
    }
    return doneBeforeFailure === steps.length
      ? errAsync({kind: 'disk', message: 'failed after its last step'})
      : okAsync(undefined);
  }
}
