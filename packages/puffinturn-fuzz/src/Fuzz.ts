/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Stateful fuzzing by fast-check: many runs, shrunk when one fails. */
import fc from 'fast-check';
import {invariant} from 'shared';

import type {Counts, FuzzBreakage} from './FuzzRun';
import {FuzzRun} from './FuzzRun';
import type {Breach} from './Oracle';
import type {Step} from './Step';
import {stepArbitrary} from './Step';

/** Deliberate breakages; each must be found. */
export const BREAKAGES: Readonly<Record<string, FuzzBreakage>> = {
  'commit-without-quorum': {commitWithoutQuorum: true},
  'forget-tombstone': {forgetTombstone: true},
  'ignore-config': {ignoreConfigIndex: true},
  'receive-twice': {receiveTwice: true},
  'repeat-marked': {repeatMarked: true},
  'settle-twice': {settleTwice: true},
  'skip-sync': {skipSync: true},
  'vote-without-log-check': {voteWithoutLogCheck: true},
};

/** What to run. */
export interface FuzzOptions {
  readonly seed: number;
  readonly runs: number;
  readonly steps: number;
  readonly breakage?: string | undefined;
  /** Whether a failure is shrunk; takes many runs. */
  readonly shrinks?: boolean;
}

/** What was run and found. */
export interface FuzzReport {
  readonly failed: boolean;
  readonly runs: number;
  readonly steps: number;
  readonly counts: Readonly<Record<string, number>>;
  readonly breaches: readonly Breach[];
  readonly counterexample: unknown;
  readonly text: string;
}

/** Runs the fuzzer; the same options give the same report. */
export async function fuzz(options: FuzzOptions): Promise<FuzzReport> {
  const {breakage: name, runs, seed, steps: maxSteps} = options;
  const breakage = name === undefined ? {} : BREAKAGES[name];
  invariant(breakage !== undefined, `there is no breakage ${name}`);
  const counts: Counts = new Map();
  let ran = 0;
  let steps = 0;
  let breaches: readonly Breach[] = [];
  const property = fc.asyncProperty(
    fc.integer({max: 1_000_000, min: 1}),
    fc.array(stepArbitrary, {maxLength: maxSteps, minLength: 5, size: 'max'}),
    async (fleetSeed, list: Step[]) => {
      const report = await FuzzRun.run(fleetSeed, list, breakage);
      ran += 1;
      steps += list.length;
      addCounts(counts, report.counts);
      if (report.breaches.length > 0) {
        breaches = report.breaches;
      }
      return report.breaches.length === 0;
    },
  );
  const details = await fc.check(property, {
    endOnFailure: options.shrinks === false,
    numRuns: runs,
    seed,
    ...(options.shrinks === false ? {} : {interruptAfterTimeLimit: 300_000}),
  });
  const summary = {
    breaches,
    counterexample: details.counterexample,
    counts: Object.fromEntries([...counts].sort()),
    failed: details.failed,
    runs: ran,
    steps,
  };
  return {...summary, text: textOf(summary, options)};
}

function addCounts(sum: Counts, more: Counts): void {
  for (const [name, count] of more) {
    sum.set(name, (sum.get(name) ?? 0) + count);
  }
}

function textOf(
  report: Omit<FuzzReport, 'text'>,
  {breakage, seed}: FuzzOptions,
): string {
  const {breaches, counterexample, counts, failed, runs, steps} = report;
  const lines = [
    `seed ${seed}${breakage === undefined ? '' : `, broken: ${breakage}`}`,
    `${runs} runs, ${steps} steps`,
    ...Object.entries(counts).map(([name, count]) => `  ${count}\t${name}`),
  ];
  if (failed) {
    lines.push('a promise was broken:');
    lines.push(
      ...breaches.map(({detail, promise}) => `  ${promise}: ${detail}`),
    );
    lines.push(JSON.stringify(counterexample));
  } else {
    lines.push('every promise held');
  }
  return lines.join('\n');
}
