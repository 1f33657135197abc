#!/usr/bin/env node
/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Entry point: `npm run fuzz -- --seed N --runs N [--steps N] [--break NAME]`. */
import {cac} from 'cac';

import {BREAKAGES, fuzz} from './Fuzz';

const cli = cac('puffinturn-fuzz');
cli
  .option('--seed <n>', 'Seed of the first run', {default: 1})
  .option('--runs <n>', 'Number of runs', {default: 20})
  .option('--steps <n>', 'Maximum number of steps in a run', {default: 60})
  .option(
    '--break <name>',
    `Fault to plant in the code under test: ${Object.keys(BREAKAGES).join(', ')}`,
  )
  .option('--fast', 'Stop at the first failure without shrinking it')
  .option('--json', 'Print the report as JSON');
cli.help();

const {options} = cli.parse();
if (options.help !== true) {
  const report = await fuzz({
    breakage: options.break,
    runs: Number(options.runs),
    seed: Number(options.seed),
    shouldShrink: options.fast !== true,
    steps: Number(options.steps),
  });
  process.stdout.write(
    options.json === true ? `${JSON.stringify(report)}\n` : `${report.text}\n`,
  );
  process.exitCode = report.failed ? 1 : 0;
}
