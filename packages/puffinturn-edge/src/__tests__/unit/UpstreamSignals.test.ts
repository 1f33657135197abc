/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against edges that ignore drain and Retry-After signals in responses and keep
 * sending requests to the upstream.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {ManualClock} from 'shared';

import {
  createRoute,
  ForwardingFixture,
  TestUpstream,
  waitUntil,
} from '../utils/ForwardingFixture';

/** Number of requests, enough for both upstreams to be chosen. */
const REQUEST_COUNT = 20;

/** `Retry-After` of a rejected request, s. */
const BACKOFF_S = 3;

function requestBackoff(_: IncomingMessage, response: ServerResponse): void {
  response.writeHead(503, {'retry-after': String(BACKOFF_S), 'x-not-run': '1'});
  response.end();
}

function announceDrain(_: IncomingMessage, response: ServerResponse): void {
  response.setHeader('x-leaving', '1');
  response.end();
}

describe('Signals in the responses of an upstream', () => {
  let clock: ManualClock;
  let first: TestUpstream;
  let second: TestUpstream;
  let fixture: ForwardingFixture;

  beforeEach(async () => {
    clock = new ManualClock();
    first = await TestUpstream.start('i-1');
    second = await TestUpstream.start('i-2');
    fixture = await ForwardingFixture.start(
      [createRoute('look')],
      () => ({}),
      clock,
    );
    fixture.pool.merge([first.record(), second.record()], 'c1');
  });

  afterEach(async () => {
    await fixture[Symbol.asyncDispose]();
    await first[Symbol.asyncDispose]();
    await second[Symbol.asyncDispose]();
  });

  const sendRequests = (count: number) => fixture.sendRequests('look', count);

  function loggedSignals() {
    return fixture.log.decisions.filter(({event}) => event === 'upstream-told');
  }

  test('a drain excludes the upstream even if a heartbeat reports ready', async () => {
    first.handler = announceDrain;
    await sendRequests(REQUEST_COUNT);
    expect(first.requestPaths).toHaveLength(1);
    fixture.pool.merge([first.record({sequence: 9})], 'c1');
    expect(await sendRequests(REQUEST_COUNT)).toEqual(
      Array(REQUEST_COUNT).fill(200),
    );
    expect(first.requestPaths).toHaveLength(1);
  });

  test('a back-off stops requests for its duration', async () => {
    first.handler = requestBackoff;
    second.handler = requestBackoff;
    await sendRequests(REQUEST_COUNT);
    expect([first.requestPaths.length, second.requestPaths.length]).toEqual([
      1, 1,
    ]);
    await clock.advance(BACKOFF_S * 1_000 - 1);
    await sendRequests(REQUEST_COUNT);
    expect([first.requestPaths.length, second.requestPaths.length]).toEqual([
      1, 1,
    ]);
    await clock.advance(2);
    await sendRequests(REQUEST_COUNT);
    expect([first.requestPaths.length, second.requestPaths.length]).toEqual([
      2, 2,
    ]);
  });

  test('a drain applies only to the incarnation that announced it', async () => {
    fixture.pool.merge([first.record({bornAt: 1, sequence: 2})], 'c1');
    first.handler = announceDrain;
    await sendRequests(REQUEST_COUNT);
    expect(first.requestPaths).toHaveLength(1);
    fixture.pool.merge([first.record({bornAt: 2})], 'c1');
    await sendRequests(REQUEST_COUNT);
    expect(first.requestPaths).toHaveLength(2);
  });

  test('a back-off also applies to an incarnation discovered later', async () => {
    // A restarted upstream may reject requests before its first heartbeat arrives, and
    // responses don't identify the incarnation.
    first.handler = requestBackoff;
    second.handler = requestBackoff;
    await sendRequests(1);
    const restarted = [first.record({bornAt: 1}), second.record({bornAt: 1})];
    fixture.pool.merge(restarted, 'c1');
    expect(await sendRequests(REQUEST_COUNT)).toEqual(
      Array(REQUEST_COUNT).fill(503),
    );
    expect([first.requestPaths.length, second.requestPaths.length]).toEqual([
      1, 1,
    ]);
    await clock.advance(BACKOFF_S * 1_000);
    await sendRequests(1);
    expect([first.requestPaths.length, second.requestPaths.length]).toEqual([
      2, 2,
    ]);
  });

  test('both apply after the same incarnation moved to another address', async () => {
    const moved = await TestUpstream.start('i-1');
    first.handler = announceDrain;
    second.handler = requestBackoff;
    await sendRequests(REQUEST_COUNT);
    const records = [moved.record({sequence: 2}), second.record({slots: 5})];
    fixture.pool.merge(records, 'c1');
    expect((await fixture.sendRequest('look')).status).toBe(503);
    expect([
      first.requestPaths.length,
      second.requestPaths.length,
      moved.requestPaths.length,
    ]).toEqual([1, 1, 0]);
    await moved[Symbol.asyncDispose]();
  });

  test('are ignored in responses of another upstream at the address', async () => {
    second.handler = (_, response) => {
      response.writeHead(421, {'x-leaving': '1'}).end();
    };
    await sendRequests(REQUEST_COUNT);
    expect(loggedSignals()).toEqual([]);
  });

  test('requests are rejected with the shortest remaining back-off if all back off', async () => {
    first.handler = requestBackoff;
    second.handler = requestBackoff;
    await sendRequests(1);
    await clock.advance(1_000);
    expect(await fixture.sendRequest('look')).toMatchObject({
      body: '{"error":"upstreams-rest"}',
      retryAfterS: BACKOFF_S - 1,
      status: 503,
    });
  });

  test('a back-off is not ended by the success of an earlier request', async () => {
    const pendingResponses: ServerResponse[] = [];
    first.handler = (_, response) => void pendingResponses.push(response);
    second.handler = (_, response) => void pendingResponses.push(response);
    const earlierRequests = [
      fixture.sendRequest('look'),
      fixture.sendRequest('look'),
    ];
    await waitUntil(() => pendingResponses.length === 2);
    first.handler = requestBackoff;
    second.handler = requestBackoff;
    expect(await sendRequests(1)).toEqual([503]);
    pendingResponses.forEach((response) => response.end('done'));
    expect(
      (await Promise.all(earlierRequests)).map(({status}) => status),
    ).toEqual([200, 200]);
    expect(await sendRequests(REQUEST_COUNT)).toEqual(
      Array(REQUEST_COUNT).fill(503),
    );
    expect([first.requestPaths.length, second.requestPaths.length]).toEqual([
      2, 2,
    ]);
  });

  test('a rejection with an invalid Retry-After starts no back-off', async () => {
    first.handler = (_, response) => {
      response.writeHead(503, {'retry-after': 'soon', 'x-not-run': '1'}).end();
    };
    second.handler = first.handler;
    expect(await sendRequests(3)).toEqual([503, 503, 503]);
    expect([first.requestPaths.length, second.requestPaths.length]).toEqual([
      3, 3,
    ]);
    expect(loggedSignals()).toEqual([]);
  });

  test('are logged once, with the request that received them', async () => {
    first.handler = announceDrain;
    second.handler = requestBackoff;
    await sendRequests(REQUEST_COUNT);
    expect(loggedSignals()).toHaveLength(2);
    expect(loggedSignals()).toContainEqual(
      expect.objectContaining({leaving: true, status: 200, upstream: 'i-1'}),
    );
    expect(loggedSignals()).toContainEqual(
      expect.objectContaining({restMs: BACKOFF_S * 1_000, upstream: 'i-2'}),
    );
  });
});
