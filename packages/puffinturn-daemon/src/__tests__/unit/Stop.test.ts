/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against requests that are lost or unsettled in a graceful shutdown. */
import {DaemonFixture} from '../utils/DaemonFixture';

const STREAM = JSON.stringify({
  max_tokens: 30,
  messages: [{content: 'hello', role: 'user'}],
  model: 'model-1',
  stream: true,
});

test('a graceful shutdown finishes and settles every open stream', async () => {
  await using fixture = await DaemonFixture.open();
  fixture.engine.faults.slowMs = 100;
  const streams = Array.from({length: 5}, () =>
    fixture.sendCallerRequest('/v1/chat/completions', STREAM),
  );
  while (fixture.engine.startedRequests < 5) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  const cutOff = await fixture.daemon.stop(new AbortController().signal);
  expect(cutOff).toBe(0);
  for (const {text} of await Promise.all(streams)) {
    expect(text).toContain('"t29 "');
    expect(text).toContain('data: [DONE]');
  }
  const lateResponse = await fixture.sendCallerRequest(
    '/v1/chat/completions',
    STREAM,
  );
  expect(lateResponse.status).toBe(503);
  expect(lateResponse.headers['puffinturn-outcome']).toBe('not-run');
  expect(await fixture.budgetUsage()).toMatchObject({reserved: 0});
}, 300_000);

test('the health check fails as soon as a shutdown starts', async () => {
  await using fixture = await DaemonFixture.open();
  const port = fixture.daemon.callerPort;
  const healthStatus = async () =>
    (await fetch(`http://127.0.0.1:${port}/healthz`)).status;
  expect(await healthStatus()).toBe(200);
  const stopping = fixture.daemon.stop(new AbortController().signal);
  expect(await healthStatus()).toBe(503);
  await stopping;
}, 300_000);
