#!/usr/bin/env node
/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Command line: `npm run bench -- NAME [--json] [--seed N] [--seconds N]`. */
import {cac} from 'cac';
import Table from 'cli-table3';

import {benchBudgets} from './BudgetsBench';
import {benchEdge} from './EdgeBench';
import {runEdgeProcess} from './EdgeProcess';
import {benchFaults} from './FaultsBench';
import {benchLedger} from './LedgerBench';
import {benchPath} from './PathBench';
import type {RoutingRow} from './RoutingBench';
import {benchOverload, benchRouting} from './RoutingBench';

interface Options {
  readonly json?: boolean;
  readonly seconds: number;
  readonly seed: number;
}

const NO_ROW_SEPARATORS = {
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  'right-mid': '',
};

const cli = cac('puffinturn-bench');

function printRows(rows: readonly object[], options: Options): void {
  if (options.json === true) {
    process.stdout.write(`${JSON.stringify(rows, null, 2)}\n`);
    return;
  }
  const records = rows as readonly Record<string, number | string>[];
  const columns = Object.keys(records[0] ?? {});
  const table = new Table({
    chars: NO_ROW_SEPARATORS,
    head: columns,
    style: {border: [], head: []},
  });
  table.push(
    ...records.map((row) => columns.map((name) => String(row[name] ?? ''))),
  );
  process.stdout.write(`${table.toString()}\n`);
}

function formatPercent(fraction: number): string {
  return `${(100 * fraction).toFixed(1)}%`;
}

function toRoutingTable(rows: readonly RoutingRow[]): object[] {
  return rows.map(({decisions, figures, situation}) => ({
    situation,
    decisions,
    'first p50': figures.firstToken.p50,
    'first p95': figures.firstToken.p95,
    'first p99': figures.firstToken.p99,
    'between p95': figures.betweenTokens.p95,
    asked: figures.asked,
    'in target': figures.inTarget,
    refused: figures.refused,
    failed: figures.failed,
    'prefix hits': formatPercent(figures.hitShare),
    wasted: formatPercent(figures.wastedShare),
    'worst team': formatPercent(figures.worstTeam),
  }));
}

function addCommand(
  name: string,
  description: string,
  run: (options: Options) => Promise<void>,
): void {
  cli.command(name, description).action(run);
}

cli
  .option('--json', 'Print JSON')
  .option('--seed <n>', 'Seed', {default: 1})
  .option('--seconds <n>', 'Length of a measurement', {default: 60});

addCommand(
  'routing',
  'Choice, limits and retries in virtual time',
  async (options) => {
    const rows = await benchRouting(
      Number(options.seed),
      Number(options.seconds) * 1_000,
    );
    printRows(options.json === true ? rows : toRoutingTable(rows), options);
  },
);
addCommand(
  'overload',
  'Load beyond the capacity in virtual time',
  async (options) => {
    const rows = await benchOverload(
      Number(options.seed),
      Number(options.seconds) * 1_000,
    );
    printRows(options.json === true ? rows : toRoutingTable(rows), options);
  },
);

addCommand(
  'budgets',
  'False refusals and overspend of two regions',
  async (options) => {
    printRows(await benchBudgets(Number(options.seed)), options);
  },
);
addCommand('path', 'What one box adds and carries', async (options) => {
  const seconds = Math.min(10, Number(options.seconds));
  printRows(
    [...(await benchPath(seconds)), ...(await benchEdge(seconds))],
    options,
  );
});
addCommand(
  'edge',
  'Processor time that requests cost an edge',
  async (options) => {
    printRows(await benchEdge(Math.min(10, Number(options.seconds))), options);
  },
);
addCommand(
  'faults',
  'Time without admissions after faults',
  async (options) => {
    printRows(
      await benchFaults(Math.ceil(Number(options.seconds) / 12)),
      options,
    );
  },
);
addCommand(
  'ledger',
  'Admissions and settlements of a group',
  async (options) => {
    printRows(
      await benchLedger(Math.min(10, Number(options.seconds))),
      options,
    );
  },
);

cli
  .command('edge-process <settings>', 'The edge that `edge` measures')
  .action(runEdgeProcess);

cli.help();
cli.parse(process.argv, {run: false});
await cli.runMatchedCommand();
process.exit(0);
