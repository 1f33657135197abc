/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** `bench -- ledger`: throughput and cost of a control group. */
import {Engine} from 'puffinturn-stand-in';

import {LatencyHistogram, roundHundredths} from './LatencyHistogram';
import {placeOrder} from './LoadGenerator';
import type {BoxProcess, BoxSpec} from './ProcessFleet';
import {ProcessFleet} from './ProcessFleet';

/** Results of one control group at one load. */
export interface LedgerRow {
  readonly voters: number;
  readonly callers: number;
  readonly ordersPerSecond: number;
  readonly recordsPerSecond: number;
  readonly p50: number;
  readonly p99: number;
  /** CPU time of the leader per log record, µs. It serves no callers. */
  readonly leaderMicrosPerRecord: number;
  /** CPU time of a follower per log record, µs. */
  readonly followerMicrosPerRecord: number;
  /** CPU time of the entry boxes per order, µs. */
  readonly entryMicrosPerOrder: number;
  /** Heap growth of the leader per order, bytes. */
  readonly bytesPerOrder: number;
}

const BUDGET_LIMIT = 1_000_000_000;
const SLOTS_PER_ENGINE = 16;
const CPU_METRIC = 'process_cpu_seconds_total';
const HEAP_METRIC = 'nodejs_heap_size_used_bytes';

function boxSpecs(voters: number): BoxSpec[] {
  const control = Array.from({length: voters}, (_, index) => ({
    control: true,
    hall: `hall-${index % 3}`,
    name: `c${index + 1}`,
    region: 'north',
  }));
  const entry = [1, 2].map((index) => ({
    control: false,
    hall: 'hall-1',
    name: `e${index}`,
    region: 'north',
  }));
  return [...control, ...entry];
}

/** Measures groups of 3 and 5 voters with few and many callers. */
export async function benchLedger(seconds: number): Promise<LedgerRow[]> {
  const rows: LedgerRow[] = [];
  for (const voters of [3, 5]) {
    const engines = [await new Engine().listen()];
    await using fleet = await ProcessFleet.openAndConfigure(
      boxSpecs(voters),
      engines,
      BUDGET_LIMIT,
      SLOTS_PER_ENGINE,
    );
    for (const callers of [4, 64]) {
      rows.push(await runLoad(fleet, voters, callers, seconds));
    }
  }
  return rows;
}

async function runLoad(
  fleet: ProcessFleet,
  voters: number,
  callers: number,
  seconds: number,
): Promise<LedgerRow> {
  const {commitIndex: firstCommitIndex, leader: leaderName} =
    await fleet.fetchRegionStatus();
  const leader = findBox(fleet, ({name}) => name === leaderName);
  const follower = findBox(
    fleet,
    (box) => box.control && box.name !== leaderName,
  );
  const entryBoxes = fleet.boxes.filter(({control}) => !control);
  const cpuBefore = await readCpuSeconds(fleet, [
    leader,
    follower,
    ...entryBoxes,
  ]);
  const heapBefore = await fleet.readMetric(leader, HEAP_METRIC);
  const latencies = new LatencyHistogram();
  const endsAt = performance.now() + seconds * 1_000;
  const startedAt = performance.now();
  let orderCount = 0;
  const runCaller = async (index: number): Promise<void> => {
    const box = entryBoxes[index % entryBoxes.length] as BoxProcess;
    while (performance.now() < endsAt) {
      const sentAt = performance.now();
      orderCount += 1;
      await placeOrder(box.callerUrl, `${voters}-${callers}-${orderCount}`);
      latencies.record(performance.now() - sentAt);
    }
  };
  await Promise.all(
    Array.from({length: callers}, (_, index) => runCaller(index)),
  );
  const elapsedSeconds = (performance.now() - startedAt) / 1_000;
  const cpuAfter = await readCpuSeconds(fleet, [
    leader,
    follower,
    ...entryBoxes,
  ]);
  const heapAfter = await fleet.readMetric(leader, HEAP_METRIC);
  const recordCount =
    (await fleet.fetchRegionStatus()).commitIndex - firstCommitIndex;
  const cpuMicros = cpuAfter.map(
    (cpu, index) => 1e6 * (cpu - (cpuBefore[index] ?? 0)),
  );
  const entryMicros = cpuMicros
    .slice(2)
    .reduce((sum, micros) => sum + micros, 0);
  return {
    bytesPerOrder: Math.round((heapAfter - heapBefore) / orderCount),
    callers,
    entryMicrosPerOrder: Math.round(entryMicros / orderCount),
    followerMicrosPerRecord: Math.round((cpuMicros[1] ?? NaN) / recordCount),
    leaderMicrosPerRecord: Math.round((cpuMicros[0] ?? NaN) / recordCount),
    ordersPerSecond: Math.round(orderCount / elapsedSeconds),
    p50: roundHundredths(latencies.percentile(50)),
    p99: roundHundredths(latencies.percentile(99)),
    recordsPerSecond: Math.round(recordCount / elapsedSeconds),
    voters,
  };
}

function findBox(
  fleet: ProcessFleet,
  predicate: (box: BoxProcess) => boolean,
): BoxProcess {
  return fleet.boxes.find(predicate) as BoxProcess;
}

function readCpuSeconds(
  fleet: ProcessFleet,
  boxes: readonly BoxProcess[],
): Promise<number[]> {
  return Promise.all(boxes.map((box) => fleet.readMetric(box, CPU_METRIC)));
}
