/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against edges that ignore, misread or forget the rate limit that an upstream
 * states in its responses.
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

/** Time in which permits accumulate to their maximum, ms. */
const PERMIT_FILL_MS = 60_000;

type ResponseHandler = (_: IncomingMessage, response: ServerResponse) => void;

/** Responds with success and states a limit. */
function respondWithLimit(limit: string): ResponseHandler {
  return (_, response) => {
    response.setHeader('x-limit', limit);
    response.end('done');
  };
}

/** Responds with a status and states no limit. */
function respondWithStatus(status: number): ResponseHandler {
  return (_, response) => {
    response.writeHead(status, status === 503 ? {'x-not-run': '1'} : {});
    response.end();
  };
}

const respondWithoutLimit: ResponseHandler = (_, response) =>
  response.end('done');

describe('A rate limit in the responses of an upstream', () => {
  let clock: ManualClock;
  let first: TestUpstream;
  let second: TestUpstream;
  let fixture: ForwardingFixture;

  beforeEach(async () => {
    clock = new ManualClock();
    first = await TestUpstream.start('i-1');
    second = await TestUpstream.start('i-2');
    const route = createRoute('look', {maxAttempts: 2});
    fixture = await ForwardingFixture.start([route], () => ({}), clock);
    fixture.pool.merge([first.record(), second.record()], 'c1');
    await clock.advance(PERMIT_FILL_MS);
  });

  afterEach(async () => {
    await fixture[Symbol.asyncDispose]();
    await first[Symbol.asyncDispose]();
    await second[Symbol.asyncDispose]();
  });

  const sendRequests = (count: number) => fixture.sendRequests('look', count);

  /** Sends requests and returns how many reach the first upstream. */
  async function countReachingFirst(count: number): Promise<number> {
    const before = first.requestPaths.length;
    await sendRequests(count);
    return first.requestPaths.length - before;
  }

  /** Makes the first upstream state a limit and uses up its permits. */
  async function exhaustFirst(limit: string): Promise<void> {
    first.handler = respondWithLimit(limit);
    await sendRequests(REQUEST_COUNT);
    expect(await countReachingFirst(REQUEST_COUNT)).toBe(0);
  }

  test('bounds its requests while others serve the rest', async () => {
    first.handler = respondWithLimit('1');
    expect(await sendRequests(REQUEST_COUNT)).toEqual(
      Array(REQUEST_COUNT).fill(200),
    );
    // The request that learned the limit, plus the accumulated permits.
    expect(first.requestPaths.length).toBeLessThanOrEqual(3);
    await clock.advance(2_000);
    expect(await countReachingFirst(REQUEST_COUNT)).toBeGreaterThan(0);
  });

  test('rejects requests at once if all upstreams are at their limits', async () => {
    first.handler = respondWithLimit('1');
    second.handler = respondWithLimit('0.5');
    const statuses = await sendRequests(REQUEST_COUNT);
    expect(statuses.filter((status) => status === 200).length).toBeLessThan(8);
    const rejected = [
      await fixture.sendRequest('look'),
      await fixture.sendRequest('look'),
    ];
    expect(rejected).toMatchObject([
      {body: '{"error":"upstreams-limited"}', status: 503},
      {body: '{"error":"upstreams-limited"}', status: 503},
    ]);
    const [firstRetry, secondRetry] = rejected.map(
      ({retryAfterS = 0}) => retryAfterS,
    );
    expect(firstRetry).toBeGreaterThan(0);
    expect(secondRetry).not.toBe(firstRetry);
    expect(fixture.log.decisions.at(-1)).toMatchObject({
      attempts: 0,
      cause: 'upstreams-limited',
    });
  });

  test('does not count a denied permit as an attempt', async () => {
    await exhaustFirst('1');
    const statuses = await sendRequests(REQUEST_COUNT);
    expect(statuses).toEqual(Array(REQUEST_COUNT).fill(200));
    const ended = fixture.log.decisions.filter(
      ({event}) => event === 'request-ended',
    );
    expect(ended.at(-1)).toMatchObject({attempts: 1, upstream: 'i-2'});
  });

  test('ends with a response that states none', async () => {
    await exhaustFirst('1');
    first.handler = respondWithoutLimit;
    await clock.advance(2_000);
    expect(await countReachingFirst(REQUEST_COUNT)).toBeGreaterThan(5);
  });

  test('does not end with the response to an earlier request', async () => {
    const pendingResponses: ServerResponse[] = [];
    first.handler = (_, response) => void pendingResponses.push(response);
    second.handler = (_, response) => void pendingResponses.push(response);
    const earlierRequests = [
      fixture.sendRequest('look'),
      fixture.sendRequest('look'),
    ];
    await waitUntil(() => pendingResponses.length === 2);
    await clock.advance(10);
    second.handler = respondWithoutLimit;
    first.handler = respondWithLimit('1');
    await sendRequests(REQUEST_COUNT);
    pendingResponses.forEach((response) => response.end('done'));
    await Promise.all(earlierRequests);
    expect(await countReachingFirst(REQUEST_COUNT)).toBe(0);
  });

  test.each([503, 500])('does not end with a %i response', async (status) => {
    await exhaustFirst('1');
    first.handler = respondWithStatus(status);
    await clock.advance(1_500);
    expect(await countReachingFirst(REQUEST_COUNT)).toBeGreaterThan(0);
    await clock.advance(100);
    expect(await countReachingFirst(REQUEST_COUNT)).toBe(0);
  });

  test.each(['soon', '-5', 'NaN', '1e400', ''])(
    'is neither set nor removed by the invalid value %p',
    async (value) => {
      first.handler = respondWithLimit(value);
      expect(await countReachingFirst(REQUEST_COUNT)).toBeGreaterThan(5);
      await exhaustFirst('1');
      await clock.advance(2_000);
      first.handler = respondWithLimit(value);
      expect(await countReachingFirst(REQUEST_COUNT)).toBeLessThanOrEqual(2);
      expect(await countReachingFirst(REQUEST_COUNT)).toBe(0);
    },
  );

  test('of 0 stops requests except for occasional probes', async () => {
    await exhaustFirst('0');
    await clock.advance(5_000);
    expect(await countReachingFirst(REQUEST_COUNT)).toBe(0);
    await clock.advance(10_000);
    expect(await countReachingFirst(REQUEST_COUNT)).toBe(1);
  });

  test('also applies to an incarnation discovered later', async () => {
    await exhaustFirst('1');
    fixture.pool.merge([first.record({bornAt: 5})], 'c1');
    expect(await countReachingFirst(REQUEST_COUNT)).toBe(0);
  });

  test('is adopted from other boxes, as is its removal', async () => {
    const limit = {perSecond: 1, revision: 3};
    fixture.pool.merge([first.record({limit})], 'c1');
    expect(await countReachingFirst(REQUEST_COUNT)).toBeLessThanOrEqual(2);
    expect(fixture.log.decisions).toContainEqual({
      event: 'upstream-limited',
      ...limit,
      source: 'c1',
      upstream: 'i-1',
    });
    const ended = {perSecond: undefined, revision: 4};
    fixture.pool.merge([first.record({limit: ended})], 'c1');
    await clock.advance(2_000);
    expect(await countReachingFirst(REQUEST_COUNT)).toBeGreaterThan(5);
    expect(fixture.pool.records()).toContainEqual(first.record({limit: ended}));
  });

  test('is logged with the request that received it', async () => {
    first.handler = respondWithLimit('1.25');
    await sendRequests(REQUEST_COUNT);
    const logged = fixture.log.decisions.filter(
      ({event}) => event === 'upstream-told',
    );
    expect(logged).toMatchObject([{limitPerS: 1.25, upstream: 'i-1'}]);
  });
});
