/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The tool against a running box, as operators use it. */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {jest} from '@jest/globals';

import {
  DaemonFixture,
  OPERATOR_KEY,
} from '../../../../puffinturn-daemon/src/__tests__/utils/DaemonFixture';
import {EXIT, runTool} from '../../index';

let fixture: DaemonFixture;
let folder: string;
let printed = '';

beforeAll(async () => {
  fixture = await DaemonFixture.open();
  folder = await mkdtemp(join(tmpdir(), 'tool-'));
  await writeFile(join(folder, 'key'), OPERATOR_KEY, {mode: 0o600});
}, 300_000);
afterAll(async () => {
  await fixture[Symbol.asyncDispose]();
  await rm(folder, {recursive: true});
});
beforeEach(() => {
  printed = '';
  const note = (text: unknown): boolean => {
    printed += String(text);
    return true;
  };
  jest.spyOn(process.stdout, 'write').mockImplementation(note);
  jest.spyOn(process.stderr, 'write').mockImplementation(note);
});
afterEach(() => {
  jest.restoreAllMocks();
});

function run(...args: string[]): Promise<number> {
  const url = `http://127.0.0.1:${fixture.daemon.operatorPort}`;
  return runTool([
    'node',
    'puffinturn',
    ...args,
    '--url',
    url,
    '--key-file',
    join(folder, 'key'),
  ]);
}

async function writeBudget(content: object): Promise<string> {
  const file = join(folder, 'budget.json');
  await writeFile(file, JSON.stringify(content));
  return file;
}

const BUDGET = {
  kind: 'budget',
  name: 'second',
  spec: {home: 'local', limit: 500, team: 'team-1'},
};

describe('puffinturn', () => {
  test('diff, apply, apply again: shown, in force, nothing to change', async () => {
    const file = await writeBudget(BUDGET);
    expect(await run('diff', '-f', file)).toBe(EXIT.differs);
    expect(await run('apply', '-f', file)).toBe(EXIT.ok);
    expect(printed).toContain('in force from index');
    expect(await run('apply', '-f', file)).toBe(EXIT.ok);
    expect(printed).toContain('nothing to change');
    expect(await run('budget', 'second', '--json')).toBe(EXIT.ok);
    expect(printed).toContain('"limit": 500');
  });

  test('a conflict shows what won and has its own exit code', async () => {
    const file = await writeBudget({
      ...BUDGET,
      number: 1,
      spec: {...BUDGET.spec, limit: 600},
    });
    expect(await run('apply', '-f', file)).toBe(EXIT.conflict);
    expect(printed).toContain('tester has made another change 1');
  });

  test('check names the file, the path and what is wanted', async () => {
    const file = await writeBudget({...BUDGET, spec: {limit: 'many'}});
    expect(await run('check', '-f', file)).toBe(EXIT.usage);
    expect(printed).toContain('budget.json: /spec/limit: found "many"');
  });

  test.each([
    ['upstream', 'orders/s-1', 'T-1'],
    ['hall', 'hall-1', 'T-3'],
  ])('a drained %s takes no new work until the drain ends', async (...row) => {
    const [kind, name, number] = row;
    expect(await run('drain', `--${kind}`, name)).toBe(EXIT.ok);
    const order = JSON.stringify({order: number});
    await fixture.waitForLatestConfig();
    const refused = await fixture.sendCallerRequest(
      '/services/orders/place',
      order,
    );
    expect(refused.status).toBe(503);
    expect(refused.headers['puffinturn-outcome']).toBe('not-run');
    expect(await run('undrain', `--${kind}`, name)).toBe(EXIT.ok);
    await fixture.waitForLatestConfig();
    const served = await fixture.sendCallerRequest(
      '/services/orders/place',
      order,
    );
    expect(served.status).toBe(200);
    expect(fixture.service.executions.get(number)).toBe(1);
  });

  test('a drained box turns its health check red and still serves', async () => {
    const port = fixture.daemon.callerPort;
    const health = async () =>
      (await fetch(`http://127.0.0.1:${port}/healthz`)).status;
    expect(await run('drain', '--box', 'box-1')).toBe(EXIT.ok);
    await fixture.waitForLatestConfig();
    expect(await health()).toBe(503);
    const order = JSON.stringify({order: 'T-2'});
    const served = await fixture.sendCallerRequest(
      '/services/orders/place',
      order,
    );
    expect(served.status).toBe(200);
    expect(await run('undrain', '--box', 'box-1')).toBe(EXIT.ok);
    await fixture.waitForLatestConfig();
    expect(await health()).toBe(200);
  });

  test('status, get and timeline answer; wrong use is told', async () => {
    expect(await run('status')).toBe(EXIT.ok);
    expect(printed).toContain('leader');
    expect(await run('get', 'pool')).toBe(EXIT.ok);
    expect(await run('timeline', '--box', 'box-1')).toBe(EXIT.ok);
    expect(await run('drain')).toBe(EXIT.usage);
    const both = ['--hall', 'hall-1', '--box', 'box-1'];
    expect(await run('drain', ...both)).toBe(EXIT.usage);
    expect(await run('no-such-command')).toBe(EXIT.usage);
  });
});
