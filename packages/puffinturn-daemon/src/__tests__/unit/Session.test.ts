/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against changes of the HTTP behaviour seen by callers and operators. */
import fc from 'fast-check';
import {digestBytes} from 'shared';

import type {TextResponse} from '../utils/DaemonFixture';
import {DaemonFixture} from '../utils/DaemonFixture';

const CHAT = {
  max_tokens: 4,
  messages: [{content: 'hello', role: 'user'}],
  model: 'model-1',
};

function toSnapshotText({headers, status, text}: TextResponse): string {
  const headerLines = Object.entries(headers)
    .filter(([name]) => name.startsWith('puffinturn') || name === 'retry-after')
    .map(([name, value]) => `${name}: ${value}`)
    .sort();
  const body = text.replaceAll(/[0-9a-f]{8}-[0-9a-f-]{27}/g, 'ID');
  return [status, ...headerLines, '', body]
    .join('\n')
    .replaceAll(/[0-9a-f]{8}-[0-9a-f-]{27}/g, 'ID');
}

let fixture: DaemonFixture;
beforeAll(async () => {
  fixture = await DaemonFixture.open();
}, 300_000);
afterAll(async () => {
  await fixture[Symbol.asyncDispose]();
});

describe('sessions', () => {
  test('streams a chat completion', async () => {
    const body = {
      ...CHAT,
      stream: true,
      stream_options: {include_usage: true},
    };
    const response = await fixture.sendCallerRequest(
      '/v1/chat/completions',
      JSON.stringify(body),
    );
    expect(toSnapshotText(response)).toMatchSnapshot();
  });

  test('a repeated chat with an idempotency key returns the first response and is billed once', async () => {
    const headers = {'idempotency-key': 'chat-1'};
    const before = await fixture.budgetUsage();
    const body = JSON.stringify(CHAT);
    const first = await fixture.sendCallerRequest(
      '/v1/chat/completions',
      body,
      headers,
    );
    const second = await fixture.sendCallerRequest(
      '/v1/chat/completions',
      body,
      headers,
    );
    const after = await fixture.budgetUsage();
    expect(second.text).toBe(first.text);
    expect(after.settled - before.settled).toBe(
      Number(first.headers['puffinturn-billed']),
    );
    expect(toSnapshotText(first)).toMatchSnapshot();
  });

  test('a retried order runs once', async () => {
    const body = JSON.stringify({order: 'A-1'});
    const responses = [
      await fixture.sendCallerRequest('/services/orders/place', body),
      await fixture.sendCallerRequest('/services/orders/place', body),
      await fixture.sendCallerRequest(
        '/services/orders/place',
        JSON.stringify({count: 2, order: 'A-1'}),
      ),
    ];
    expect(responses.map(toSnapshotText).join('\n\n')).toMatchSnapshot();
    expect(fixture.service.executions.get('A-1')).toBe(1);
  });

  test('an order whose response was lost is not run again', async () => {
    fixture.service.faults.dropAfter = 1;
    const body = JSON.stringify({order: 'A-2'});
    const first = await fixture.sendCallerRequest(
      '/services/orders/place',
      body,
    );
    fixture.service.faults.dropAfter = 0;
    const second = await fixture.sendCallerRequest(
      '/services/orders/place',
      body,
    );
    expect([first, second].map(toSnapshotText).join('\n\n')).toMatchSnapshot();
    expect(fixture.service.executions.get('A-2')).toBe(1);
  });

  test('a stream continues without a gap after the engine drops the connection', async () => {
    fixture.engine.faults.dropAfter = 1;
    const pending = fixture.sendCallerRequest(
      '/v1/chat/completions',
      JSON.stringify({...CHAT, max_tokens: 6, stream: true}),
    );
    while (
      fixture.engine.generatedTokens < 20 &&
      fixture.engine.startedRequests < 4
    ) {
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
    fixture.engine.faults.dropAfter = 0;
    const {text} = await pending;
    const tokens = [...text.matchAll(/"content":"(t\d+) "/g)].map(
      ([, token]) => token,
    );
    expect(tokens).toEqual(['t0', 't1', 't2', 't3', 't4', 't5']);
    expect(text).toContain('[DONE]');
  });

  test('of two conflicting declarations one is accepted and the other gets a conflict', async () => {
    const change = (limit: number) => ({
      kind: 'budget',
      name: 'budget-1',
      number: 2,
      spec: {home: 'local', limit, team: 'team-1'},
    });
    const first = await fixture.sendOperatorRequest(
      '/v1/declarations',
      change(20_000),
    );
    const second = await fixture.sendOperatorRequest(
      '/v1/declarations',
      change(30_000),
    );
    const repeated = await fixture.sendOperatorRequest(
      '/v1/declarations',
      change(20_000),
    );
    expect([first.status, second.status, repeated.status]).toEqual([
      200, 409, 200,
    ]);
    expect(repeated.text).toBe(first.text);
    expect(JSON.parse(second.text).outcome).toMatchObject({
      kind: 'conflict',
      winner: {number: 2, operator: 'tester'},
    });
  });

  test('a key and a policy rule apply as soon as they are accepted', async () => {
    await using freshFixture = await DaemonFixture.open();
    const sha256 = digestBytes('newer-key');
    const team = {
      kind: 'team',
      name: 'team-2',
      number: 1,
      spec: {keys: [{name: 'k', sha256}]},
    };
    const rule = {
      action: 'allow',
      budget: "'budget-1'",
      name: 'look-ups',
      pool: 'orders',
      when: "request.team == 'team-2' && request.method == 'POST'",
    };
    const policy = {
      kind: 'policy',
      name: 'second',
      number: 1,
      spec: {order: 1, rules: [rule]},
    };
    expect(
      (await freshFixture.sendOperatorRequest('/v1/declarations', team)).status,
    ).toBe(200);
    expect(
      (await freshFixture.sendOperatorRequest('/v1/declarations', policy))
        .status,
    ).toBe(200);
    const response = await freshFixture.sendCallerRequest(
      '/services/orders/look-up',
      '{}',
      {
        authorization: 'Bearer newer-key',
      },
    );
    expect(response.status).toBe(200);
  }, 300_000);

  test('an exhausted budget rejects requests before they run', async () => {
    await using smallBudgetFixture = await DaemonFixture.open(25);
    const responses: string[] = [];
    for (const order of ['B-1', 'B-2', 'B-3']) {
      const body = JSON.stringify({order});
      responses.push(
        toSnapshotText(
          await smallBudgetFixture.sendCallerRequest(
            '/services/orders/place',
            body,
          ),
        ),
      );
    }
    expect(responses.join('\n\n')).toMatchSnapshot();
    expect(smallBudgetFixture.service.totalExecutions).toBe(2);
  }, 300_000);
});

describe('invalid input', () => {
  test('is rejected without being billed', async () => {
    const before = await fixture.budgetUsage();
    const oversizedBody = JSON.stringify({...CHAT, pad: 'x'.repeat(5_000)});
    const cases: [string | Uint8Array, Record<string, string | string[]>][] = [
      ['{', {}],
      [Buffer.from([0x22, 0xff, 0xfe, 0x22]), {}],
      [oversizedBody, {}],
      [JSON.stringify({...CHAT, max_tokens: -1}), {}],
      [JSON.stringify({...CHAT, max_tokens: 1e300}), {}],
      [JSON.stringify({...CHAT, n: 5}), {}],
      [JSON.stringify({...CHAT, model: 'unknown'}), {}],
      [JSON.stringify({...CHAT, messages: []}), {}],
      [JSON.stringify(CHAT), {authorization: 'Bearer wrong'}],
      [JSON.stringify(CHAT), {authorization: ''}],
      [JSON.stringify(CHAT), {'idempotency-key': ['a', 'b']}],
      [JSON.stringify(CHAT), {'idempotency-key': 'k'.repeat(300)}],
    ];
    const statuses: number[] = [];
    for (const [body, headers] of cases) {
      const {headers: responseHeaders, status} =
        await fixture.sendCallerRequest('/v1/chat/completions', body, headers);
      statuses.push(status);
      expect(responseHeaders['puffinturn-outcome']).toBe('not-run');
    }
    expect(statuses).toEqual([
      400, 400, 413, 400, 400, 400, 403, 400, 401, 401, 400, 400,
    ]);
    expect(await fixture.budgetUsage()).toEqual(before);
  });

  test('any JSON body that is not a chat request is rejected', async () => {
    const before = await fixture.budgetUsage();
    await fc.assert(
      fc.asyncProperty(fc.jsonValue(), async (value) => {
        const {status} = await fixture.sendCallerRequest(
          '/v1/chat/completions',
          JSON.stringify(value),
        );
        expect([400, 413]).toContain(status);
      }),
      {numRuns: 50, seed: 1},
    );
    expect(await fixture.budgetUsage()).toEqual(before);
  });

  test('operator requests without a valid key are rejected', async () => {
    expect(
      (await fixture.sendOperatorRequest('/v1/status', undefined, 'x')).status,
    ).toBe(401);
    expect(
      (await fixture.sendOperatorRequest('/v1/declarations', {}, 'x')).status,
    ).toBe(401);
  });
});
