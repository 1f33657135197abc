/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Exposes a process to a crowd of clients, and measures what the process uses meanwhile. */
import {readdirSync, readFileSync} from 'node:fs';

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

/** The parts of a trial. */
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
    await waitAtMost(pressureMs, crowd.awaitSettled());
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
  const deadline = Date.now() + ANSWER_TIMEOUT_MS;
  while (usage.isRunning && Date.now() < deadline) {
    const answer = sendOrdinary().catch(() => false);
    if ((await waitAtMost(deadline - Date.now(), answer)) === true) {
      return true;
    }
    await new Promise((resolve) => setTimeout(resolve, RETRY_INTERVAL_MS));
  }
  return false;
}

/** Resolves with the value, or with undefined after `ms`. */
async function waitAtMost<Value>(
  ms: number,
  value: Promise<Value>,
): Promise<Value | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timedOut = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), ms);
  });
  return Promise.race([value, timedOut]).finally(() => clearTimeout(timer));
}

/** Reads memory and descriptors of a process from the kernel. */
class ProcessUsage {
  peakDescriptors = 0;
  peakMemoryMb = 0;

  constructor(private readonly pid: number) {}

  /** False also for a process that has ended and is not reaped yet. */
  get isRunning(): boolean {
    return this.readMemoryMb() !== undefined;
  }

  sample(): void {
    this.peakMemoryMb = Math.max(this.peakMemoryMb, this.readMemoryMb() ?? 0);
    this.peakDescriptors = Math.max(
      this.peakDescriptors,
      this.countDescriptors(),
    );
  }

  /** Undefined if the process has ended. */
  private readMemoryMb(): number | undefined {
    try {
      const status = readFileSync(`/proc/${this.pid}/status`, 'utf8');
      const kilobytes = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1];
      return kilobytes === undefined ? undefined : Number(kilobytes) / 1_024;
    } catch {
      return undefined;
    }
  }

  private countDescriptors(): number {
    try {
      return readdirSync(`/proc/${this.pid}/fd`).length;
    } catch {
      return 0;
    }
  }
}
