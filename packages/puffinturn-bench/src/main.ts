#!/usr/bin/env node
/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Entry point: `npm run bench -- NAME [--json] [--seed N] [--seconds N]`. */
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

/** No lines between rows. */
const NO_LINES = {'left-mid': '', mid: '', 'mid-mid': '', 'right-mid': ''};

const cli = cac('puffinturn-bench');

function show(rows: readonly object[], options: Options): void {
  if (options.json === true) {
    process.stdout.write(`${JSON.stringify(rows, null, 2)}\n`);
    return;
  }
  const flat = rows as readonly Record<string, number | string>[];
  const head = Object.keys(flat[0] ?? {});
  const table = new Table({
    chars: NO_LINES,
    head,
    style: {border: [], head: []},
  });
  table.push(...flat.map((row) => head.map((name) => String(row[name] ?? ''))));
  process.stdout.write(`${table.toString()}\n`);
}

function percent(share: number): string {
  return `${(100 * share).toFixed(1)}%`;
}

function routingTable(rows: readonly RoutingRow[]): object[] {
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
    'prefix hits': percent(figures.hitShare),
    wasted: percent(figures.wastedShare),
    'worst team': percent(figures.worstTeam),
  }));
}

function command(
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

command('routing', 'Choice, limits and retries in virtual time', async (o) => {
  const rows = await benchRouting(Number(o.seed), Number(o.seconds) * 1_000);
  show(o.json === true ? rows : routingTable(rows), o);
});
command('overload', 'Load beyond the capacity in virtual time', async (o) => {
  const rows = await benchOverload(Number(o.seed), Number(o.seconds) * 1_000);
  show(o.json === true ? rows : routingTable(rows), o);
});

command('budgets', 'False refusals and overspend of two regions', async (o) => {
  show(await benchBudgets(Number(o.seed)), o);
});
command('path', 'What one box adds and carries', async (o) => {
  const seconds = Math.min(10, Number(o.seconds));
  show([...(await benchPath(seconds)), ...(await benchEdge(seconds))], o);
});
command('edge', 'Processor time that requests cost an edge', async (o) => {
  show(await benchEdge(Math.min(10, Number(o.seconds))), o);
});
command('faults', 'Time without admissions after faults', async (o) => {
  show(await benchFaults(Math.ceil(Number(o.seconds) / 12)), o);
});
command('ledger', 'Admissions and settlements of a group', async (o) => {
  show(await benchLedger(Math.min(10, Number(o.seconds))), o);
});

cli
  .command('edge-process <settings>', 'The edge that `edge` measures')
  .action(runEdgeProcess);

cli.help();
cli.parse(process.argv, {run: false});
await cli.runMatchedCommand();
process.exit(0);
