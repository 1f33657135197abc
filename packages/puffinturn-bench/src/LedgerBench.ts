/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** `bench -- ledger`: admissions and settlements of a control group. */
import {Engine} from 'puffinturn-stand-in';

import {placeOrder} from './Load';
import type {BoxPlan, BoxProcess} from './ProcessFleet';
import {ProcessFleet} from './ProcessFleet';
import {Quantiles, roundHundredths} from './Quantiles';

/** Figures of one group at one load. */
export interface LedgerRow {
  readonly voters: number;
  readonly callers: number;
  readonly ordersPerSecond: number;
  readonly recordsPerSecond: number;
  readonly p50: number;
  readonly p99: number;
  /** Leader's processor time for one record, µs; it is no entry box. */
  readonly leaderMicrosPerRecord: number;
  /** Follower's processor time for one record, µs. */
  readonly followerMicrosPerRecord: number;
  /** Entry box's processor time for one order, µs. */
  readonly entryMicrosPerOrder: number;
  /** Leader's memory growth for one kept order, bytes. */
  readonly bytesPerOrder: number;
}

const LIMIT = 1_000_000_000;
const SLOTS = 16;
const CPU = 'process_cpu_seconds_total';
const HEAP = 'nodejs_heap_size_used_bytes';

function plans(voters: number): BoxPlan[] {
  const control = Array.from({length: voters}, (_, at) => ({
    control: true,
    hall: `hall-${at % 3}`,
    name: `c${at + 1}`,
    region: 'north',
  }));
  const entry = [1, 2].map((at) => ({
    control: false,
    hall: 'hall-1',
    name: `e${at}`,
    region: 'north',
  }));
  return [...control, ...entry];
}

/** Measures a 3-box and a 5-box group with few and many callers. */
export async function benchLedger(seconds: number): Promise<LedgerRow[]> {
  const rows: LedgerRow[] = [];
  for (const voters of [3, 5]) {
    const engines = [await new Engine().listen()];
    await using fleet = await ProcessFleet.openReady(
      plans(voters),
      engines,
      LIMIT,
      SLOTS,
    );
    for (const callers of [4, 64]) {
      rows.push(await measure(fleet, voters, callers, seconds));
    }
  }
  return rows;
}

async function measure(
  fleet: ProcessFleet,
  voters: number,
  callers: number,
  seconds: number,
): Promise<LedgerRow> {
  const {commitIndex: firstIndex, leader: name} = await fleet.report();
  const leader = find(fleet, ({name: one}) => one === name);
  const follower = find(fleet, (box) => box.control && box.name !== name);
  const entries = fleet.boxes.filter(({control}) => !control);
  const before = await cpuOf(fleet, [leader, follower, ...entries]);
  const heap = await fleet.metric(leader, HEAP);
  const times = new Quantiles();
  const end = performance.now() + seconds * 1_000;
  const started = performance.now();
  let orders = 0;
  const caller = async (at: number): Promise<void> => {
    const box = entries[at % entries.length] as BoxProcess;
    while (performance.now() < end) {
      const sentAt = performance.now();
      orders += 1;
      await placeOrder(box.callerUrl, `${voters}-${callers}-${orders}`);
      times.add(performance.now() - sentAt);
    }
  };
  await Promise.all(Array.from({length: callers}, (_, at) => caller(at)));
  const took = (performance.now() - started) / 1_000;
  const after = await cpuOf(fleet, [leader, follower, ...entries]);
  const heapAfter = await fleet.metric(leader, HEAP);
  const records = (await fleet.report()).commitIndex - firstIndex;
  const used = after.map((cpu, at) => 1e6 * (cpu - (before[at] ?? 0)));
  const entryUsed = used.slice(2).reduce((sum, one) => sum + one, 0);
  return {
    bytesPerOrder: Math.round((heapAfter - heap) / orders),
    callers,
    entryMicrosPerOrder: Math.round(entryUsed / orders),
    followerMicrosPerRecord: Math.round((used[1] ?? NaN) / records),
    leaderMicrosPerRecord: Math.round((used[0] ?? NaN) / records),
    ordersPerSecond: Math.round(orders / took),
    p50: roundHundredths(times.at(50)),
    p99: roundHundredths(times.at(99)),
    recordsPerSecond: Math.round(records / took),
    voters,
  };
}

function find(
  fleet: ProcessFleet,
  matches: (box: BoxProcess) => boolean,
): BoxProcess {
  return fleet.boxes.find(matches) as BoxProcess;
}

function cpuOf(
  fleet: ProcessFleet,
  boxes: readonly BoxProcess[],
): Promise<number[]> {
  return Promise.all(boxes.map((box) => fleet.metric(box, CPU)));
}
