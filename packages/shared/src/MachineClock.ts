/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Times that successive processes on one machine can compare. */
import {readFileSync} from 'node:fs';

import type {Clock} from './Clock';

const BOOT_ID_FILE = '/proc/sys/kernel/random/boot_id';

const NANOSECONDS_PER_MS = 1e6;

/**
 * Maximum difference between the elapsed wall time and the elapsed steady time, ms. A
 * larger one means that a clock has jumped or that the steady clock has a new origin.
 */
const MAX_CLOCK_DIFFERENCE_MS = 1_000;

/** A time on one machine; comparable until that machine boots again. */
export interface MachineTime {
  /** Identifies the boot of the machine. */
  readonly bootId: string;
  /** Milliseconds of the steady clock, from an origin that is fixed at boot. */
  readonly steadyMs: number;
  /** Milliseconds since the Unix epoch; may jump. */
  readonly wallMs: number;
}

/**
 * Time from `earlier` to `later` in ms; undefined if it can't be told, because the
 * machine may have booted in between or because the order is the other way round.
 * Containers may report the boot ID of their host, so the wall time must agree too.
 */
export function elapsedBetween(
  earlier: MachineTime,
  later: MachineTime,
): number | undefined {
  const steadyMs = later.steadyMs - earlier.steadyMs;
  const wallMs = later.wallMs - earlier.wallMs;
  const isComparable =
    earlier.bootId === later.bootId &&
    steadyMs >= 0 &&
    Math.abs(wallMs - steadyMs) <= MAX_CLOCK_DIFFERENCE_MS;
  return isComparable ? steadyMs : undefined;
}

/** Reads the clock of the machine. */
export abstract class MachineClock {
  /** The current time; undefined if the boot of the machine can't be identified. */
  abstract read(): MachineTime | undefined;
}

/** The machine clock of the operating system, on Linux only. */
export class SystemMachineClock extends MachineClock {
  private readonly bootId = readBootId();

  override read(): MachineTime | undefined {
    if (this.bootId === undefined) {
      return undefined;
    }
    return {
      bootId: this.bootId,
      steadyMs: Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS,
      wallMs: Date.now(),
    };
  }
}

/** A machine clock for tests: the time of a clock since the machine booted. */
export class ManualMachineClock extends MachineClock {
  private readonly bootedAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly bootId: string,
  ) {
    super();
    this.bootedAt = clock.now();
  }

  override read(): MachineTime {
    return {
      bootId: this.bootId,
      steadyMs: this.clock.now() - this.bootedAt,
      wallMs: this.clock.wallTime(),
    };
  }
}

/** The boot ID; undefined where the operating system has none. */
function readBootId(): string | undefined {
  try {
    return readFileSync(BOOT_ID_FILE, 'utf8').trim();
  } catch {
    return undefined;
  }
}
