/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Commands that show the state of the fleet or drain its members. */
import {randomBytes} from 'node:crypto';
import {writeFile} from 'node:fs/promises';

import type {Declaration} from 'puffinturn-settings';
import {formatEvent, toChromeTrace} from 'puffinturn-timeline';
import {digestBytes, digestValue} from 'shared';

import {describeReply, exitCodeFor} from './ApplyCommand';
import type {ExitCode} from './ExitCodes';
import {EXIT} from './ExitCodes';
import type {OperatorClient, TimelineQuery} from './OperatorClient';
import type {Output} from './Output';

const KEY_BYTES = 32;

/** Target of a drain; exactly one field must be set. */
export interface DrainTarget {
  readonly box?: string | undefined;
  /** Data hall, with all its upstreams. */
  readonly hall?: string | undefined;
  /** Upstream, as `POOL/UPSTREAM`. */
  readonly upstream?: string | undefined;
}

/** Prints the boxes and control groups of all regions. */
export async function showStatus(
  client: OperatorClient,
  output: Output,
): Promise<ExitCode> {
  const response = await client.status();
  if (response.isErr()) {
    return output.fail(response.error.message);
  }
  const {regions, unreachable} = response.value;
  const rows = regions.flatMap((region) =>
    region.boxes.map(({box, hall}) => {
      const isVoter = region.voters.some((voter) =>
        voter.startsWith(`${box}~`),
      );
      const role = region.leader === box ? 'leader' : isVoter ? 'control' : '';
      return [region.region, hall, box, role, region.configIndex];
    }),
  );
  output.print(
    response.value,
    ['region', 'hall', 'box', 'role', 'config'],
    rows,
  );
  for (const region of unreachable) {
    output.printError(`no leader of region ${region} answers`);
  }
  return unreachable.length > 0 ? EXIT.failed : EXIT.ok;
}

/** Prints the budgets in all regions. */
export async function showBudgets(
  client: OperatorClient,
  name: string | undefined,
  output: Output,
): Promise<ExitCode> {
  const response = await client.status();
  if (response.isErr()) {
    return output.fail(response.error.message);
  }
  const found = response.value.regions.flatMap(({budgets: all, region}) =>
    all
      .filter((budget) => name === undefined || budget.name === name)
      .map((budget) => ({...budget, region})),
  );
  const rows = found.map((budget) => [
    budget.name,
    budget.team,
    budget.region,
    budget.home === budget.region ? budget.limit : budget.received,
    budget.settled,
    budget.reserved,
    budget.granted,
    budget.available,
  ]);
  const head = [
    'budget',
    'team',
    'region',
    'holds',
    'settled',
    'reserved',
    'granted',
    'available',
  ];
  output.print(found, head, rows);
  return found.length === 0 && name !== undefined ? EXIT.failed : EXIT.ok;
}

/** Prints the declarations in force. */
export async function showDeclarations(
  client: OperatorClient,
  kind: string | undefined,
  name: string | undefined,
  output: Output,
): Promise<ExitCode> {
  const entries = await client.config();
  if (entries.isErr()) {
    return output.fail(entries.error.message);
  }
  const found = entries.value
    .filter(({declaration}) => kind === undefined || declaration.kind === kind)
    .filter(({declaration}) => name === undefined || declaration.name === name)
    .filter(({declaration}) => declaration.spec !== null);
  if (name !== undefined && found.length === 1) {
    output.printJson(found[0]?.declaration);
    return EXIT.ok;
  }
  const rows = found.map(({declaration, index, operator}) => [
    declaration.kind,
    declaration.name,
    declaration.number,
    declaration.scope,
    operator,
    index,
  ]);
  output.print(
    found.map(({declaration}) => declaration),
    ['kind', 'name', 'number', 'scope', 'operator', 'index'],
    rows,
  );
  return found.length === 0 && name !== undefined ? EXIT.failed : EXIT.ok;
}

function drainDeclaration(
  {box, hall, upstream}: DrainTarget,
  enabled: boolean,
): Omit<Extract<Declaration, {kind: 'drain'}>, 'number'> | undefined {
  const targets = [box, hall, upstream].filter((text) => text !== undefined);
  if (targets.length !== 1) {
    return undefined;
  }
  if (box !== undefined) {
    const spec = {on: enabled, target: {box}};
    return {kind: 'drain', name: `box.${box}`, scope: 'global', spec};
  }
  if (hall !== undefined) {
    const spec = {on: enabled, target: {hall}};
    return {kind: 'drain', name: `hall.${hall}`, scope: 'global', spec};
  }
  const [pool, name] = (upstream ?? '').split('/');
  if (pool && name) {
    const spec = {on: enabled, target: {pool, upstream: name}};
    const drain = `upstream.${pool}.${name}`;
    return {kind: 'drain', name: drain, scope: 'global', spec};
  }
  return undefined;
}

/** Starts or ends a drain. */
export async function setDrain(
  client: OperatorClient,
  target: DrainTarget,
  enabled: boolean,
  output: Output,
): Promise<ExitCode> {
  const content = drainDeclaration(target, enabled);
  if (content === undefined) {
    output.printError(
      'name one of --box BOX, --hall HALL and --upstream POOL/UPSTREAM',
    );
    return EXIT.usage;
  }
  const entries = await client.config();
  if (entries.isErr()) {
    return output.fail(entries.error.message);
  }
  const current = entries.value.find(
    ({declaration}) =>
      declaration.kind === 'drain' && declaration.name === content.name,
  )?.declaration;
  const isUnchanged =
    current !== undefined &&
    digestValue(current.spec) === digestValue(content.spec);
  const number = (current?.number ?? 0) + (isUnchanged ? 0 : 1);
  const reply = await client.declare({...content, number});
  if (reply.isErr()) {
    return output.fail(reply.error.message);
  }
  output.print(
    reply.value,
    ['drain', 'result'],
    [[content.name, describeReply(reply.value)]],
  );
  return exitCodeFor([reply.value]);
}

/** Prints the timeline, or writes it to a file as a Chrome trace. */
export async function showTimeline(
  client: OperatorClient,
  query: TimelineQuery,
  traceFile: string | undefined,
  output: Output,
): Promise<ExitCode> {
  const events = await client.timeline(query);
  if (events.isErr()) {
    return output.fail(events.error.message);
  }
  if (traceFile !== undefined) {
    await writeFile(traceFile, JSON.stringify(toChromeTrace(events.value)));
    output.printInfo(`${events.value.length} events are in ${traceFile}`);
    return EXIT.ok;
  }
  output.print(
    events.value,
    [],
    events.value.map((event) => [formatEvent(event)]),
  );
  return EXIT.ok;
}

/** Generates a key and its digest. Declarations and settings hold only the digest. */
export function generateKey(output: Output): ExitCode {
  const key = `pt-${randomBytes(KEY_BYTES).toString('base64url')}`;
  const sha256 = digestBytes(key);
  output.print({key, sha256}, ['key', 'sha256'], [[key, sha256]]);
  return EXIT.ok;
}
