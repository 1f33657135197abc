/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** `puffinturn apply`, `diff` and `check`: declarations from files. */
import type {DeclareOutcome, DeclareReply} from 'puffinturn-ledger';
import {checkPolicy} from 'puffinturn-policy';
import type {DeclarationFile, DeclarationKind} from 'puffinturn-settings';
import {readDeclarations, readSettings} from 'puffinturn-settings';

import type {Comparison} from './Comparison';
import {compareAll, DIFFERENCE} from './Comparison';
import type {ExitCode} from './ExitCodes';
import {EXIT} from './ExitCodes';
import type {OperatorClient} from './OperatorClient';
import type {Cell, Output} from './Output';

/** Budgets and pools come before the policies that name them. */
const KIND_ORDER: readonly DeclarationKind[] = [
  'team',
  'budget',
  'pool',
  'service',
  'policy',
  'drain',
];

async function readFiles(
  path: string,
  output: Output,
): Promise<DeclarationFile[] | undefined> {
  const files = await readDeclarations(path);
  if (files.isErr()) {
    output.problem(files.error.message);
    return undefined;
  }
  const problems = files.value.flatMap(({declaration, file}) =>
    checkPolicy(declaration, file),
  );
  for (const {file, found, path: at, wanted} of problems) {
    output.problem(`${file}: ${at}: found ${found}; wanted ${wanted}`);
  }
  return problems.length > 0 ? undefined : files.value;
}

/** Checks declarations, and settings when `settingsFile` is given, offline. */
export async function check(
  path: string | undefined,
  settingsFile: string | undefined,
  output: Output,
): Promise<ExitCode> {
  if (settingsFile !== undefined) {
    const settings = await readSettings(settingsFile);
    if (settings.isErr()) {
      output.problem(settings.error.message);
      return EXIT.usage;
    }
    output.note(`${settingsFile}: the settings are valid`);
  }
  if (path !== undefined) {
    const files = await readFiles(path, output);
    if (files === undefined) {
      return EXIT.usage;
    }
    output.note(`${path}: ${files.length} declarations are valid`);
  }
  return EXIT.ok;
}

function rowOf({declaration, difference, numberInForce}: Comparison): Cell[] {
  const {kind, name, number} = declaration;
  const numbers =
    difference === DIFFERENCE.same
      ? `${numberInForce}`
      : `${numberInForce} → ${number}`;
  return [difference, kind, name, numbers];
}

/** Shows what `apply` would do. */
export async function diff(
  client: OperatorClient,
  path: string,
  output: Output,
): Promise<ExitCode> {
  const compared = await compareWithFleet(client, path, output);
  if (!Array.isArray(compared)) {
    return compared;
  }
  output.show(
    compared,
    ['change', 'kind', 'name', 'number'],
    compared.map(rowOf),
  );
  const differs = compared.some(
    ({difference}) => difference !== DIFFERENCE.same,
  );
  return differs ? EXIT.differs : EXIT.ok;
}

async function compareWithFleet(
  client: OperatorClient,
  path: string,
  output: Output,
): Promise<Comparison[] | ExitCode> {
  const files = await readFiles(path, output);
  if (files === undefined) {
    return EXIT.usage;
  }
  const entries = await client.config();
  if (entries.isErr()) {
    return output.fail(entries.error.message);
  }
  return compareAll(files, entries.value);
}

interface Applied {
  readonly comparison: Comparison;
  readonly reply: DeclareReply | undefined;
}

/** Sends every change of a folder; safe to repeat. */
export async function apply(
  client: OperatorClient,
  path: string,
  prune: boolean,
  output: Output,
): Promise<ExitCode> {
  const compared = await compareWithFleet(client, path, output);
  if (!Array.isArray(compared)) {
    return compared;
  }
  const wanted = compared
    .filter(({difference}) => difference !== DIFFERENCE.same)
    .filter(({difference}) => prune || difference !== DIFFERENCE.extra)
    .sort(
      (a, b) =>
        KIND_ORDER.indexOf(a.declaration.kind) -
        KIND_ORDER.indexOf(b.declaration.kind),
    );
  const applied: Applied[] = [];
  for (const comparison of wanted) {
    const reply = await client.declare(comparison.declaration);
    if (reply.isErr()) {
      return output.fail(reply.error.message);
    }
    applied.push({comparison, reply: reply.value});
  }
  const rows = applied.map(({comparison, reply}) => [
    ...rowOf(comparison),
    reply === undefined ? '' : describeReply(reply),
  ]);
  if (applied.length === 0) {
    output.note('nothing to change');
  }
  output.show(applied, ['change', 'kind', 'name', 'number', 'result'], rows);
  return exitOf(applied.map(({reply}) => reply));
}

/** One line on what became of a change. */
export function describeReply({outcome, pending}: DeclareReply): string {
  return pending.length > 0
    ? `pending in ${pending.join(', ')}`
    : describeOutcome(outcome);
}

function describeOutcome(outcome: DeclareOutcome): string {
  switch (outcome.kind) {
    case 'accepted':
      return `in force from index ${outcome.index}`;
    case 'conflict': {
      const {number, operator} = outcome.winner;
      return `conflict: ${operator} has made another change ${number}`;
    }
    case 'stale': {
      const {number, operator} = outcome.current;
      return `stale: number ${number} by ${operator} is in force`;
    }
    case 'rejected':
      return `rejected: ${outcome.reason}`;
  }
}

/** The exit code for the answers to changes; the worst one counts. */
export function exitOf(
  replies: readonly (DeclareReply | undefined)[],
): ExitCode {
  const kinds = replies.map((reply) => reply?.outcome.kind);
  if (kinds.includes('conflict') || kinds.includes('stale')) {
    return EXIT.conflict;
  }
  if (kinds.includes('rejected')) {
    return EXIT.failed;
  }
  const pending = replies.some((reply) => (reply?.pending.length ?? 0) > 0);
  return pending ? EXIT.pending : EXIT.ok;
}
