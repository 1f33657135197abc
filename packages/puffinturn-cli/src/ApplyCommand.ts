/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Commands that check, compare and apply files of declarations. */
import type {DeclareOutcome, DeclareReply} from 'puffinturn-ledger';
import {checkPolicy} from 'puffinturn-policy';
import type {DeclarationKind, LoadedDeclaration} from 'puffinturn-settings';
import {readDeclarations, readSettings} from 'puffinturn-settings';

import type {Comparison} from './Comparison';
import {compareDeclarations, DIFFERENCE} from './Comparison';
import type {ExitCode} from './ExitCodes';
import {EXIT} from './ExitCodes';
import type {OperatorClient} from './OperatorClient';
import type {Cell, Output} from './Output';

/** Order of sending: budgets and pools before the policies that refer to them. */
const KIND_ORDER: readonly DeclarationKind[] = [
  'team',
  'budget',
  'pool',
  'service',
  'policy',
  'drain',
];

async function readValidDeclarations(
  path: string,
  output: Output,
): Promise<LoadedDeclaration[] | undefined> {
  const files = await readDeclarations(path);
  if (files.isErr()) {
    output.printError(files.error.message);
    return undefined;
  }
  const problems = files.value.flatMap(({declaration, file}) =>
    checkPolicy(declaration, file),
  );
  for (const {file, found, path: at, wanted} of problems) {
    output.printError(`${file}: ${at}: found ${found}; wanted ${wanted}`);
  }
  return problems.length > 0 ? undefined : files.value;
}

/** Validates files of declarations and settings without calling a fleet. */
export async function checkFiles(
  path: string | undefined,
  settingsFile: string | undefined,
  output: Output,
): Promise<ExitCode> {
  if (settingsFile !== undefined) {
    const settings = await readSettings(settingsFile);
    if (settings.isErr()) {
      output.printError(settings.error.message);
      return EXIT.usage;
    }
    output.printInfo(`${settingsFile}: the settings are valid`);
  }
  if (path !== undefined) {
    const files = await readValidDeclarations(path, output);
    if (files === undefined) {
      return EXIT.usage;
    }
    output.printInfo(`${path}: ${files.length} declarations are valid`);
  }
  return EXIT.ok;
}

function toRow({declaration, difference, numberInForce}: Comparison): Cell[] {
  const {kind, name, number} = declaration;
  const numbers =
    difference === DIFFERENCE.same
      ? `${numberInForce}`
      : `${numberInForce} → ${number}`;
  return [difference, kind, name, numbers];
}

/** Prints the changes that `apply` would make. */
export async function showDiff(
  client: OperatorClient,
  path: string,
  output: Output,
): Promise<ExitCode> {
  const compared = await compareWithFleet(client, path, output);
  if (!Array.isArray(compared)) {
    return compared;
  }
  output.print(
    compared,
    ['change', 'kind', 'name', 'number'],
    compared.map(toRow),
  );
  const hasDifferences = compared.some(
    ({difference}) => difference !== DIFFERENCE.same,
  );
  return hasDifferences ? EXIT.differs : EXIT.ok;
}

async function compareWithFleet(
  client: OperatorClient,
  path: string,
  output: Output,
): Promise<Comparison[] | ExitCode> {
  const files = await readValidDeclarations(path, output);
  if (files === undefined) {
    return EXIT.usage;
  }
  const entries = await client.config();
  if (entries.isErr()) {
    return output.fail(entries.error.message);
  }
  return compareDeclarations(files, entries.value);
}

interface AppliedChange {
  readonly comparison: Comparison;
  readonly reply: DeclareReply | undefined;
}

/** Sends the changes in a folder to the fleet. Repeating it is safe. */
export async function applyDeclarations(
  client: OperatorClient,
  path: string,
  prune: boolean,
  output: Output,
): Promise<ExitCode> {
  const compared = await compareWithFleet(client, path, output);
  if (!Array.isArray(compared)) {
    return compared;
  }
  const changes = compared
    .filter(({difference}) => difference !== DIFFERENCE.same)
    .filter(({difference}) => prune || difference !== DIFFERENCE.extra)
    .sort(
      (a, b) =>
        KIND_ORDER.indexOf(a.declaration.kind) -
        KIND_ORDER.indexOf(b.declaration.kind),
    );
  const applied: AppliedChange[] = [];
  for (const comparison of changes) {
    const reply = await client.declare(comparison.declaration);
    if (reply.isErr()) {
      return output.fail(reply.error.message);
    }
    applied.push({comparison, reply: reply.value});
  }
  const rows = applied.map(({comparison, reply}) => [
    ...toRow(comparison),
    reply === undefined ? '' : describeReply(reply),
  ]);
  if (applied.length === 0) {
    output.printInfo('nothing to change');
  }
  output.print(applied, ['change', 'kind', 'name', 'number', 'result'], rows);
  return exitCodeFor(applied.map(({reply}) => reply));
}

/** Describes the result of a change in one line. */
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

/** Exit code for the replies to several changes; the most severe result wins. */
export function exitCodeFor(
  replies: readonly (DeclareReply | undefined)[],
): ExitCode {
  const kinds = replies.map((reply) => reply?.outcome.kind);
  if (kinds.includes('conflict') || kinds.includes('stale')) {
    return EXIT.conflict;
  }
  if (kinds.includes('rejected')) {
    return EXIT.failed;
  }
  const isPending = replies.some((reply) => (reply?.pending.length ?? 0) > 0);
  return isPending ? EXIT.pending : EXIT.ok;
}
