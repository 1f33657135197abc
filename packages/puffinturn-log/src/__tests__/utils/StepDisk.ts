/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {ResultAsync} from 'neverthrow';
import {errAsync, okAsync} from 'neverthrow';

import type {DiskFailure} from '../../Disk';
import {Disk} from '../../Disk';

/** What a crash leaves of the steps that were not synced. */
export const CRASH = {
  /** The process is killed: all steps stay. */
  kill: 'kill',
  /** Power is lost, and no unsynced step stays. */
  powerLoss: 'power-loss',
} as const;

/** A value of {@link CRASH}. */
export type Crash = (typeof CRASH)[keyof typeof CRASH];

/**
 * A disk in memory that stops after a number of steps. Each write, sync, rename, removal
 * and sync of the folder is one step.
 */
export class StepDisk extends Disk {
  /** Steps until the disk stops; Infinity if it never does. */
  stepsLeft = Infinity;
  steps = 0;
  /** Files as a running process sees them. */
  private files = new Map<string, Buffer>();
  /** Files as a power loss leaves them. */
  private syncedFiles = new Map<string, Buffer>();

  get isStopped(): boolean {
    return this.stepsLeft <= 0;
  }

  /** Starts again after a crash. */
  restart(crash: Crash): void {
    if (crash === CRASH.powerLoss) {
      this.files = new Map(this.syncedFiles);
    }
    this.syncedFiles = new Map(this.files);
    this.stepsLeft = Infinity;
  }

  override list(): ResultAsync<string[], DiskFailure> {
    return okAsync([...this.files.keys()]);
  }

  override read(name: string): ResultAsync<Buffer, DiskFailure> {
    return okAsync(this.files.get(name) ?? Buffer.alloc(0));
  }

  override append(name: string, bytes: Buffer): ResultAsync<void, DiskFailure> {
    const previous = this.files.get(name) ?? Buffer.alloc(0);
    const torn = Buffer.concat([previous, bytes.subarray(0, bytes.length / 2)]);
    const whole = Buffer.concat([previous, bytes]);
    return this.run([
      () => this.syncedFiles.set(name, previous),
      () => this.files.set(name, torn),
      () => this.files.set(name, whole),
      () => this.syncedFiles.set(name, whole),
    ]);
  }

  override replace(
    name: string,
    bytes: Buffer,
  ): ResultAsync<void, DiskFailure> {
    const temporary = `${name}.tmp`;
    return this.run([
      () => this.files.set(temporary, bytes.subarray(0, bytes.length / 2)),
      () => this.files.set(temporary, bytes),
      () => {
        this.files.delete(temporary);
        this.files.set(name, bytes);
      },
      () => this.syncedFiles.set(name, bytes),
    ]);
  }

  /** The removal is synced with the next sync of the folder, if at all. */
  override remove(name: string): ResultAsync<void, DiskFailure> {
    return this.run([() => this.files.delete(name)]);
  }

  override async [Symbol.asyncDispose](): Promise<void> {}

  private run(
    steps: readonly (() => unknown)[],
  ): ResultAsync<void, DiskFailure> {
    for (const step of steps) {
      if (this.isStopped) {
        return errAsync({kind: 'disk', message: 'the disk has stopped'});
      }
      step();
      this.steps += 1;
      this.stepsLeft -= 1;
    }
    return okAsync(undefined);
  }
}
