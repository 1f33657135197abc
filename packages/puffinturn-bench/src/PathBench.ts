/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** `bench -- path`: what one box adds and carries, against the raw engine. */
import {DEFAULT_PROFILE, Engine} from 'puffinturn-stand-in';

import {oneStream, runStreams, smallRequest} from './Load';
import type {BoxProcess} from './ProcessFleet';
import {pause, ProcessFleet} from './ProcessFleet';
import {Quantiles, roundHundredths} from './Quantiles';

/** One measured figure. */
export interface PathRow {
  readonly measure: string;
  readonly direct: number | string;
  readonly box: number | string;
  readonly added: number | string;
}

const ENGINES = 4;
const SLOTS = 2_000;
const FAST_ENGINE = {
  ...DEFAULT_PROFILE,
  prefillMsPerToken: 0,
  slots: SLOTS,
  stepMs: 5,
  stepPerRequestMs: 0,
};
const LIMIT = 1_000_000_000;
const CPU_SECONDS = 'process_cpu_seconds_total';
const MEMORY = 'process_resident_memory_bytes';

/** Runs all measurements of one box. */
export async function benchPath(seconds: number): Promise<PathRow[]> {
  const engines = await Promise.all(
    Array.from({length: ENGINES}, () => new Engine(FAST_ENGINE).listen()),
  );
  const plan = {control: true, hall: 'hall-1', name: 'box-1', region: 'north'};
  await using fleet = await ProcessFleet.openReady(
    [plan],
    engines,
    LIMIT,
    SLOTS,
  );
  const box = fleet.boxes[0] as BoxProcess;
  const direct = engines[0]?.url ?? '';
  // Memory goes first, while the heap has no slack from other loads.
  const memory = await streamMemory(fleet, box);
  return [
    memory,
    ...(await firstTokens(direct, box.callerUrl, seconds)),
    await smallRequests(fleet, box, seconds),
    await streamedTokens(fleet, box, seconds),
  ];
}

async function firstTokens(
  direct: string,
  box: string,
  seconds: number,
): Promise<PathRow[]> {
  const rows: PathRow[] = [];
  for (const atOnce of [1, 50, 500]) {
    await runStreams(box, atOnce, 8, 1);
    const raw = await runStreams(direct, atOnce, 8, seconds);
    const through = await runStreams(box, atOnce, 8, seconds);
    for (const percent of [50, 99]) {
      const before = raw.firstToken.at(percent);
      const after = through.firstToken.at(percent);
      rows.push({
        added: roundHundredths(after - before),
        box: roundHundredths(after),
        direct: roundHundredths(before),
        measure: `first token p${percent}, ${atOnce} streams, ms`,
      });
    }
  }
  return rows;
}

async function smallRequests(
  fleet: ProcessFleet,
  box: BoxProcess,
  seconds: number,
): Promise<PathRow> {
  const cpu = await fleet.metric(box, CPU_SECONDS);
  const end = performance.now() + seconds * 1_000;
  const started = performance.now();
  let count = 0;
  const caller = async (): Promise<void> => {
    while (performance.now() < end) {
      const {status} = await smallRequest(box.callerUrl);
      count += status === 200 ? 1 : 0;
    }
  };
  await Promise.all(Array.from({length: 64}, caller));
  const took = (performance.now() - started) / 1_000;
  const used = (await fleet.metric(box, CPU_SECONDS)) - cpu;
  return {
    added: `${roundHundredths(used / took)} cores used`,
    box: Math.round(count / used),
    direct: '',
    measure: 'small requests a second and core (entry and control in one)',
  };
}

async function streamedTokens(
  fleet: ProcessFleet,
  box: BoxProcess,
  seconds: number,
): Promise<PathRow> {
  const cpu = await fleet.metric(box, CPU_SECONDS);
  const figures = await runStreams(box.callerUrl, 200, 200, seconds);
  const used = (await fleet.metric(box, CPU_SECONDS)) - cpu;
  return {
    added: `${roundHundredths(used / figures.seconds)} cores used`,
    box: Math.round(figures.tokens / used),
    direct: '',
    measure: 'streamed tokens a second and core, 200 streams',
  };
}

async function streamMemory(
  fleet: ProcessFleet,
  box: BoxProcess,
): Promise<PathRow> {
  const streams = 1_000;
  const quantiles = new Quantiles();
  const before = await fleet.metric(box, MEMORY);
  const open = Array.from({length: streams}, () =>
    oneStream(box.callerUrl, 800, quantiles),
  );
  await pause(2_500);
  const during = await fleet.metric(box, MEMORY);
  await Promise.all(open);
  return {
    added: '',
    box: roundHundredths((during - before) / streams / 1_024),
    direct: '',
    measure: 'memory an open stream, KB (1,000 streams)',
  };
}
