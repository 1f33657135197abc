/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against wrong output, exit codes and effects of commands on a running box. */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {jest} from '@jest/globals';

import {
  DaemonFixture,
  OPERATOR_KEY,
} from '../../../../puffinturn-daemon/src/__tests__/utils/DaemonFixture';
import {EXIT, runCli} from '../../index';

let fixture: DaemonFixture;
let folder: string;
let output = '';

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
  output = '';
  const captureOutput = (text: unknown): boolean => {
    output += String(text);
    return true;
  };
  jest.spyOn(process.stdout, 'write').mockImplementation(captureOutput);
  jest.spyOn(process.stderr, 'write').mockImplementation(captureOutput);
});
afterEach(() => {
  jest.restoreAllMocks();
});

function run(...args: string[]): Promise<number> {
  const url = `http://127.0.0.1:${fixture.daemon.operatorPort}`;
  return runCli([
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
  test('diff shows a change, apply makes it, and a second apply changes nothing', async () => {
    const file = await writeBudget(BUDGET);
    expect(await run('diff', '-f', file)).toBe(EXIT.differs);
    expect(await run('apply', '-f', file)).toBe(EXIT.ok);
    expect(output).toContain('in force from index');
    expect(await run('apply', '-f', file)).toBe(EXIT.ok);
    expect(output).toContain('nothing to change');
    expect(await run('budget', 'second', '--json')).toBe(EXIT.ok);
    expect(output).toContain('"limit": 500');
  });

  test('a conflict prints the accepted change and has its own exit code', async () => {
    const file = await writeBudget({
      ...BUDGET,
      number: 1,
      spec: {...BUDGET.spec, limit: 600},
    });
    expect(await run('apply', '-f', file)).toBe(EXIT.conflict);
    expect(output).toContain('tester has made another change 1');
  });

  test('check prints the file, path and value of an invalid field', async () => {
    const file = await writeBudget({...BUDGET, spec: {limit: 'many'}});
    expect(await run('check', '-f', file)).toBe(EXIT.usage);
    expect(output).toContain('budget.json: /spec/limit: found "many"');
  });

  test.each([
    ['upstream', 'orders/s-1', 'T-1'],
    ['hall', 'hall-1', 'T-3'],
  ])(
    'a drained %s gets no new requests until the drain ends',
    async (...row) => {
      const [kind, name, number] = row;
      expect(await run('drain', `--${kind}`, name)).toBe(EXIT.ok);
      const order = JSON.stringify({order: number});
      await fixture.waitForLatestConfig();
      const rejectedResponse = await fixture.sendCallerRequest(
        '/services/orders/place',
        order,
      );
      expect(rejectedResponse.status).toBe(503);
      expect(rejectedResponse.headers['puffinturn-outcome']).toBe('not-run');
      expect(await run('undrain', `--${kind}`, name)).toBe(EXIT.ok);
      await fixture.waitForLatestConfig();
      const served = await fixture.sendCallerRequest(
        '/services/orders/place',
        order,
      );
      expect(served.status).toBe(200);
      expect(fixture.service.executions.get(number)).toBe(1);
    },
  );

  test('a drained box fails its health check and still serves requests', async () => {
    const port = fixture.daemon.callerPort;
    const healthStatus = async () =>
      (await fetch(`http://127.0.0.1:${port}/healthz`)).status;
    expect(await run('drain', '--box', 'box-1')).toBe(EXIT.ok);
    await fixture.waitForLatestConfig();
    expect(await healthStatus()).toBe(503);
    const order = JSON.stringify({order: 'T-2'});
    const served = await fixture.sendCallerRequest(
      '/services/orders/place',
      order,
    );
    expect(served.status).toBe(200);
    expect(await run('undrain', '--box', 'box-1')).toBe(EXIT.ok);
    await fixture.waitForLatestConfig();
    expect(await healthStatus()).toBe(200);
  });

  test('status, get and timeline succeed, and invalid arguments fail', async () => {
    expect(await run('status')).toBe(EXIT.ok);
    expect(output).toContain('leader');
    expect(await run('get', 'pool')).toBe(EXIT.ok);
    expect(await run('timeline', '--box', 'box-1')).toBe(EXIT.ok);
    expect(await run('drain')).toBe(EXIT.usage);
    const twoTargets = ['--hall', 'hall-1', '--box', 'box-1'];
    expect(await run('drain', ...twoTargets)).toBe(EXIT.usage);
    expect(await run('no-such-command')).toBe(EXIT.usage);
  });
});
