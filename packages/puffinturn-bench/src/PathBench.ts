/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** `bench -- path`: latency overhead and throughput of one box. */
import {DEFAULT_PROFILE, Engine} from 'puffinturn-stand-in';

import {LatencyHistogram, roundHundredths} from './LatencyHistogram';
import {requestCompletion, runStreams, streamCompletion} from './LoadGenerator';
import type {BoxProcess} from './ProcessFleet';
import {ProcessFleet, sleep} from './ProcessFleet';

/** One measurement, directly at an engine and through a box. */
export interface PathRow {
  readonly measure: string;
  readonly direct: number | string;
  readonly box: number | string;
  readonly added: number | string;
}

const ENGINE_COUNT = 4;
const SLOTS_PER_ENGINE = 2_000;
const FAST_ENGINE = {
  ...DEFAULT_PROFILE,
  prefillMsPerToken: 0,
  slots: SLOTS_PER_ENGINE,
  stepMs: 5,
  stepPerRequestMs: 0,
};
const BUDGET_LIMIT = 1_000_000_000;
const CPU_METRIC = 'process_cpu_seconds_total';
const MEMORY_METRIC = 'process_resident_memory_bytes';

/** Measures memory, latency and throughput of one box. */
export async function benchPath(seconds: number): Promise<PathRow[]> {
  const engines = await Promise.all(
    Array.from({length: ENGINE_COUNT}, () => new Engine(FAST_ENGINE).listen()),
  );
  const spec = {control: true, hall: 'hall-1', name: 'box-1', region: 'north'};
  await using fleet = await ProcessFleet.openAndConfigure(
    [spec],
    engines,
    BUDGET_LIMIT,
    SLOTS_PER_ENGINE,
  );
  const box = fleet.boxes[0] as BoxProcess;
  const directUrl = engines[0]?.url ?? '';
  // Memory is measured first: later loads leave unused heap behind.
  const memoryRow = await measureStreamMemory(fleet, box);
  return [
    memoryRow,
    ...(await measureFirstTokenLatency(directUrl, box.callerUrl, seconds)),
    await measureSmallRequests(fleet, box, seconds),
    await measureStreamedTokens(fleet, box, seconds),
  ];
}

async function measureFirstTokenLatency(
  directUrl: string,
  boxUrl: string,
  seconds: number,
): Promise<PathRow[]> {
  const rows: PathRow[] = [];
  for (const concurrency of [1, 50, 500]) {
    await runStreams(boxUrl, concurrency, 8, 1);
    const directResult = await runStreams(directUrl, concurrency, 8, seconds);
    const boxResult = await runStreams(boxUrl, concurrency, 8, seconds);
    for (const percent of [50, 99]) {
      const directMs = directResult.firstToken.percentile(percent);
      const boxMs = boxResult.firstToken.percentile(percent);
      rows.push({
        added: roundHundredths(boxMs - directMs),
        box: roundHundredths(boxMs),
        direct: roundHundredths(directMs),
        measure: `first token p${percent}, ${concurrency} streams, ms`,
      });
    }
  }
  return rows;
}

async function measureSmallRequests(
  fleet: ProcessFleet,
  box: BoxProcess,
  seconds: number,
): Promise<PathRow> {
  const cpuBefore = await fleet.readMetric(box, CPU_METRIC);
  const endsAt = performance.now() + seconds * 1_000;
  const startedAt = performance.now();
  let count = 0;
  const runCaller = async (): Promise<void> => {
    while (performance.now() < endsAt) {
      const {status} = await requestCompletion(box.callerUrl);
      count += status === 200 ? 1 : 0;
    }
  };
  await Promise.all(Array.from({length: 64}, runCaller));
  const elapsedSeconds = (performance.now() - startedAt) / 1_000;
  const cpuSeconds = (await fleet.readMetric(box, CPU_METRIC)) - cpuBefore;
  return {
    added: `${roundHundredths(cpuSeconds / elapsedSeconds)} cores used`,
    box: Math.round(count / cpuSeconds),
    direct: '',
    measure: 'small requests a second and core (entry and control in one)',
  };
}

async function measureStreamedTokens(
  fleet: ProcessFleet,
  box: BoxProcess,
  seconds: number,
): Promise<PathRow> {
  const cpuBefore = await fleet.readMetric(box, CPU_METRIC);
  const result = await runStreams(box.callerUrl, 200, 200, seconds);
  const cpuSeconds = (await fleet.readMetric(box, CPU_METRIC)) - cpuBefore;
  return {
    added: `${roundHundredths(cpuSeconds / result.elapsedSeconds)} cores used`,
    box: Math.round(result.tokens / cpuSeconds),
    direct: '',
    measure: 'streamed tokens a second and core, 200 streams',
  };
}

async function measureStreamMemory(
  fleet: ProcessFleet,
  box: BoxProcess,
): Promise<PathRow> {
  const streamCount = 1_000;
  const firstToken = new LatencyHistogram();
  const memoryBefore = await fleet.readMetric(box, MEMORY_METRIC);
  const pending = Array.from({length: streamCount}, () =>
    streamCompletion(box.callerUrl, 800, firstToken),
  );
  await sleep(2_500);
  const memoryDuring = await fleet.readMetric(box, MEMORY_METRIC);
  await Promise.all(pending);
  return {
    added: '',
    box: roundHundredths((memoryDuring - memoryBefore) / streamCount / 1_024),
    direct: '',
    measure: 'memory an open stream, KB (1,000 streams)',
  };
}
