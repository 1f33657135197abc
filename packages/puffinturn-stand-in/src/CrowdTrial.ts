/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Exposes a process to a crowd of clients, and measures what the process uses meanwhile. */
import {readdirSync, readFileSync} from 'node:fs';

import {resolveWithin, SystemClock} from 'shared';

import type {CrowdScript, CrowdTarget} from './Crowd';
import {Crowd} from './Crowd';

/** Interval at which memory and descriptors are read, ms. */
const SAMPLE_INTERVAL_MS = 20;

/** For how long a crowd presses if it does not settle earlier, ms. */
const PRESSURE_MS = 6_000;

/** How long to wait for a request to be answered, ms; guards against hanging. */
const ANSWER_TIMEOUT_MS = 90_000;

/** Interval at which the ordinary request is sent again, ms. */
const RETRY_INTERVAL_MS = 100;

const clock = new SystemClock();

/** What a process used beside a crowd. */
export interface CrowdOutcome {
  /** Whether the process still runs. */
  readonly alive: boolean;
  /** Whether an ordinary request was answered beside what was left of the crowd. */
  readonly answered: boolean;
  /** Highest resident memory of the process, MB. */
  readonly peakMemoryMb: number;
  /** Most descriptors that the process had open. */
  readonly peakDescriptors: number;
  /** Connections of the crowd that were open at the end. */
  readonly openConnections: number;
  /** Statuses of the first responses to clients of the crowd. */
  readonly statuses: readonly number[];
}

/** The process, the crowd, and the request that has to be answered beside it. */
export interface CrowdTrialParts {
  readonly pid: number;
  readonly target: CrowdTarget;
  readonly script: CrowdScript;
  /** Sends an ordinary request; whether it was answered as it should be. */
  readonly sendOrdinary: () => Promise<boolean>;
}

/** Lets a crowd press, then sends ordinary requests until one is answered. */
export async function runCrowdTrial({
  pid,
  script,
  sendOrdinary,
  target,
}: CrowdTrialParts): Promise<CrowdOutcome> {
  using crowd = new Crowd(target, script);
  const usage = new ProcessUsage(pid);
  const timer = setInterval(() => usage.sample(), SAMPLE_INTERVAL_MS);
  try {
    const pressureMs =
      script.awaitsResponse === true ? ANSWER_TIMEOUT_MS : PRESSURE_MS;
    await resolveWithin(clock, crowd.awaitSettled(), pressureMs);
    const answered = await isAnswered(usage, sendOrdinary);
    usage.sample();
    return {
      alive: usage.isRunning,
      answered,
      openConnections: crowd.openCount,
      peakDescriptors: usage.peakDescriptors,
      peakMemoryMb: Math.round(usage.peakMemoryMb),
      statuses: crowd.statuses,
    };
  } finally {
    clearInterval(timer);
  }
}

async function isAnswered(
  usage: ProcessUsage,
  sendOrdinary: () => Promise<boolean>,
): Promise<boolean> {
  const deadline = clock.now() + ANSWER_TIMEOUT_MS;
  while (usage.isRunning && clock.now() < deadline) {
    const answer = sendOrdinary().catch(() => false);
    const remainingMs = deadline - clock.now();
    if ((await resolveWithin(clock, answer, remainingMs)) === true) {
      return true;
    }
    await clock.sleep(RETRY_INTERVAL_MS);
  }
  return false;
}

/** Returns the highest resident memory of a process, MB; undefined if it has ended. */
export function readPeakMemoryMb(pid: number): number | undefined {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const kilobytes = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1];
    return kilobytes === undefined ? undefined : Number(kilobytes) / 1_024;
  } catch {
    return undefined;
  }
}

/** Reads memory and descriptors of a process from the kernel. */
class ProcessUsage {
  peakDescriptors = 0;
  peakMemoryMb = 0;

  constructor(private readonly pid: number) {}

  /** False also for a process that has ended and is not reaped yet. */
  get isRunning(): boolean {
    return readPeakMemoryMb(this.pid) !== undefined;
  }

  sample(): void {
    const memoryMb = readPeakMemoryMb(this.pid) ?? 0;
    this.peakMemoryMb = Math.max(this.peakMemoryMb, memoryMb);
    this.peakDescriptors = Math.max(
      this.peakDescriptors,
      this.countDescriptors(),
    );
  }

  private countDescriptors(): number {
    try {
      return readdirSync(`/proc/${this.pid}/fd`).length;
    } catch {
      return 0;
    }
  }
}
