/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Runs random step sequences with fast-check and shrinks a failing one. */
import fc from 'fast-check';
import {invariant} from 'shared';

import type {Counts, FuzzBreakage} from './FuzzRun';
import {FuzzRun} from './FuzzRun';
import type {Breach} from './Oracle';
import type {Step} from './Step';
import {stepArbitrary} from './Step';

/** Deliberate faults in the code under test, by name; the fuzzer must detect each. */
export const BREAKAGES: Readonly<Record<string, FuzzBreakage>> = {
  'commit-without-quorum': {commitWithoutQuorum: true},
  'forget-tombstone': {forgetTombstone: true},
  'ignore-config': {ignoreConfigIndex: true},
  'keep-failed-segment': {keepFailedSegment: true},
  'receive-twice': {receiveTwice: true},
  'repeat-marked': {repeatMarked: true},
  'settle-twice': {settleTwice: true},
  'skip-sync': {skipSync: true},
  'vote-without-log-check': {voteWithoutLogCheck: true},
};

/** Options of a fuzzing session. */
export interface FuzzOptions {
  readonly seed: number;
  readonly runs: number;
  readonly steps: number;
  readonly breakage?: string | undefined;
  /** Whether a failing sequence is shrunk, which takes many more runs. */
  readonly shouldShrink?: boolean;
}

/** The result of a fuzzing session. */
export interface FuzzReport {
  readonly failed: boolean;
  readonly runs: number;
  readonly steps: number;
  readonly counts: Readonly<Record<string, number>>;
  readonly breaches: readonly Breach[];
  readonly counterexample: unknown;
  readonly text: string;
}

/** Runs the fuzzer. The report depends only on the options, unless the time limit ends it. */
export async function fuzz(options: FuzzOptions): Promise<FuzzReport> {
  const {breakage: name, runs, seed, steps: maxSteps} = options;
  const breakage = name === undefined ? {} : BREAKAGES[name];
  invariant(breakage !== undefined, `unknown breakage: ${name}`);
  const counts: Counts = new Map();
  let runCount = 0;
  let steps = 0;
  let breaches: readonly Breach[] = [];
  const property = fc.asyncProperty(
    fc.integer({max: 1_000_000, min: 1}),
    fc.array(stepArbitrary, {maxLength: maxSteps, minLength: 5, size: 'max'}),
    async (fleetSeed, sequence: Step[]) => {
      const report = await FuzzRun.run(fleetSeed, sequence, breakage);
      runCount += 1;
      steps += sequence.length;
      mergeCounts(counts, report.counts);
      if (report.breaches.length > 0) {
        breaches = report.breaches;
      }
      return report.breaches.length === 0;
    },
  );
  const details = await fc.check(property, {
    endOnFailure: options.shouldShrink === false,
    numRuns: runs,
    seed,
    ...(options.shouldShrink === false
      ? {}
      : {interruptAfterTimeLimit: 300_000}),
  });
  const summary = {
    breaches,
    counterexample: details.counterexample,
    counts: Object.fromEntries([...counts].sort()),
    failed: details.failed,
    runs: runCount,
    steps,
  };
  return {...summary, text: formatReport(summary, options)};
}

function mergeCounts(total: Counts, added: Counts): void {
  for (const [name, count] of added) {
    total.set(name, (total.get(name) ?? 0) + count);
  }
}

function formatReport(
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
