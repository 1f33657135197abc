/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** `bench -- faults`: time without admissions after an injected fault. */
import {Engine} from 'puffinturn-stand-in';

import {LatencyHistogram} from './LatencyHistogram';
import {placeOrder} from './LoadGenerator';
import type {BoxProcess, BoxSpec} from './ProcessFleet';
import {ProcessFleet, sleep} from './ProcessFleet';

/** Results for one kind of fault. */
export interface FaultRow {
  readonly fault: string;
  readonly runs: number;
  /** Longest time between two executed orders of a run, ms. */
  readonly gapP50: number;
  readonly gapMax: number;
  readonly orders: number;
  /** Orders that were not executed, according to the response. */
  readonly refused: number;
  /** Orders whose outcome the caller does not know. */
  readonly unknown: number;
  /** Orders executed more than once; must be 0. */
  readonly doubled: number;
  /** Units charged above the limit; must be 0. */
  readonly overspent: number;
  /** Units charged without an execution, or not charged despite one. */
  readonly misbilled: number;
}

const BOX_SPECS: readonly BoxSpec[] = [
  {control: true, hall: 'hall-1', name: 'c1', region: 'north'},
  {control: true, hall: 'hall-2', name: 'c2', region: 'north'},
  {control: true, hall: 'hall-3', name: 'c3', region: 'north'},
  {control: false, hall: 'hall-1', name: 'e1', region: 'north'},
  {control: false, hall: 'hall-2', name: 'e2', region: 'north'},
  {control: false, hall: 'hall-3', name: 'e3', region: 'north'},
];
const BUDGET_LIMIT = 1_000_000;
const SLOTS_PER_ENGINE = 16;
const ORDER_INTERVAL_MS = 10;

/** Injects a fault and returns a function that recovers from it. */
type InjectFault = (fleet: ProcessFleet, leader: BoxProcess) => () => void;

const FAULTS: Readonly<Record<string, InjectFault>> = {
  'leader killed': (fleet, leader) => {
    fleet.sendSignal(leader);
    return () => fleet.start(leader);
  },
  'leader frozen': (fleet, leader) => {
    fleet.sendSignal(leader, 'SIGSTOP');
    return () => fleet.sendSignal(leader, 'SIGCONT');
  },
  'hall of the leader lost': (fleet, leader) => {
    const lost = fleet.boxes.filter(({hall}) => hall === leader.hall);
    lost.forEach((box) => fleet.sendSignal(box));
    return () => lost.forEach((box) => fleet.start(box));
  },
};

/** Measures every fault several times, each kind on a new fleet. */
export async function benchFaults(runs: number): Promise<FaultRow[]> {
  const rows: FaultRow[] = [];
  for (const [name, injectFault] of Object.entries(FAULTS)) {
    const engines = [await new Engine().listen()];
    await using fleet = await ProcessFleet.openAndConfigure(
      BOX_SPECS,
      engines,
      BUDGET_LIMIT,
      SLOTS_PER_ENGINE,
    );
    rows.push(await measureFault(name, injectFault, fleet, runs));
  }
  return rows;
}

async function measureFault(
  name: string,
  injectFault: InjectFault,
  fleet: ProcessFleet,
  runs: number,
): Promise<FaultRow> {
  const gapsMs = new LatencyHistogram();
  const load = new OrderLoad(fleet);
  for (let run = 0; run < runs; run += 1) {
    const {leader: leaderName} = await fleet.fetchRegionStatus();
    const leader = fleet.boxes.find((box) => box.name === leaderName);
    if (leader === undefined) {
      continue;
    }
    const stopLoad = load.start(leader.hall);
    await sleep(1_000);
    const recover = injectFault(fleet, leader);
    await sleep(5_000);
    gapsMs.record(await stopLoad());
    recover();
    await fleet.waitUntilReady();
    await sleep(1_500);
  }
  return load.summarize(name, runs, gapsMs);
}

/** Open-loop load of orders at a fixed rate. */
class OrderLoad {
  private sentCount = 0;
  private executedCount = 0;
  private rejectedCount = 0;
  private unknownCount = 0;

  constructor(private readonly fleet: ProcessFleet) {}

  /** Starts the load. The result stops it and returns the longest gap, ms. */
  start(excludedHall: string): () => Promise<number> {
    // A load balancer in front would no longer route to the affected hall.
    const boxes = this.fleet.boxes.filter(({hall}) => hall !== excludedHall);
    const pending: Promise<void>[] = [];
    let lastExecutedAt = performance.now();
    let longestGapMs = 0;
    let isRunning = true;
    const sendOrders = async (): Promise<void> => {
      while (isRunning) {
        this.sentCount += 1;
        const box = boxes[this.sentCount % boxes.length] as BoxProcess;
        const order = placeOrder(box.callerUrl, `order-${this.sentCount}`).then(
          ({outcome}) => {
            if (outcome === 'ran') {
              this.executedCount += 1;
              const now = performance.now();
              longestGapMs = Math.max(longestGapMs, now - lastExecutedAt);
              lastExecutedAt = now;
            } else if (outcome === 'not-run') {
              this.rejectedCount += 1;
            } else {
              this.unknownCount += 1;
            }
          },
        );
        pending.push(order);
        await sleep(ORDER_INTERVAL_MS);
      }
    };
    const sender = sendOrders();
    return async () => {
      isRunning = false;
      await sender;
      await Promise.all(pending);
      return longestGapMs;
    };
  }

  /** Compares outcomes at the callers, executions and charges. */
  async summarize(
    fault: string,
    runs: number,
    gapsMs: LatencyHistogram,
  ): Promise<FaultRow> {
    const {budgets} = await this.fleet.fetchRegionStatus();
    const settled = budgets[0]?.settled ?? NaN;
    const executionCounts = [...this.fleet.service.executions.values()];
    const maxBillable = this.executedCount + this.unknownCount;
    return {
      doubled: executionCounts.filter((count) => count > 1).length,
      fault,
      gapMax: Math.round(gapsMs.percentile(100)),
      gapP50: Math.round(gapsMs.percentile(50)),
      misbilled:
        Math.max(0, settled - maxBillable) +
        Math.max(0, this.executedCount - settled),
      orders: this.sentCount,
      overspent: Math.max(0, settled - BUDGET_LIMIT),
      refused: this.rejectedCount,
      runs,
      unknown: this.unknownCount,
    };
  }
}
