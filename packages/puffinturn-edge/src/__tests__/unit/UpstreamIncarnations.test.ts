/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against state, connections or requests of a crashed upstream being carried over to
 * its next incarnation.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {NoopDecisionLog} from 'puffinturn-decisions';
import {RETRY_POLICY, UPSTREAM_STATE} from 'puffinturn-fleet';
import {ManualClock} from 'shared';

import {UpstreamPool} from '../../upstreams/UpstreamPool';
import {makeUpstream} from '../utils/EdgeFixture';
import {
  createRoute,
  ForwardingFixture,
  TestUpstream,
  waitUntil,
} from '../utils/ForwardingFixture';

const ROUTES = [
  createRoute('look'),
  createRoute('order', {repetition: RETRY_POLICY.never}),
  createRoute('chat', {repetition: RETRY_POLICY.resumable, streams: true}),
];

/** Keeps the request open without responding. */
function neverRespond(): void {}

describe('An upstream that restarts with the same id', () => {
  const previous = makeUpstream('i-1', {bornAt: 1_000, sequence: 40});
  const next = makeUpstream('i-1', {bornAt: 2_000, sequence: 1});

  function createPool(...records: ReturnType<typeof makeUpstream>[]) {
    const clock = new ManualClock();
    const pool = new UpstreamPool(clock, new NoopDecisionLog());
    pool.merge(records, 'c1');
    const [upstream] = pool.all();
    if (upstream === undefined) {
      throw new Error('no upstream');
    }
    return {clock, pool, upstream};
  }

  test('starts with fresh statistics and health', () => {
    const {clock, pool, upstream} = createPool({...previous, coldMs: 9_000});
    const prompt = [{id: 'aa', tokens: 4_000}];
    upstream.cachedPrefixes.recordPrompt(prompt);
    upstream.prefillSpeed.recordPrefill(4_000, 4_000);
    upstream.responseTime.recordDuration(900);
    upstream.recordErrorResponse();
    upstream.recordConnectFailure();
    upstream.markReplaced();
    pool.merge([next], 'c1');
    const [replacement] = pool.servingUpstreams('s');
    expect(replacement).not.toBe(upstream);
    expect(replacement).toMatchObject({
      isCold: false,
      errorRate: 0,
      inFlight: 0,
      isPaused: false,
      isServing: true,
    });
    const unused = createPool(next).upstream;
    expect(replacement?.cachedPrefixes.cachedTokens(prompt)).toBe(0);
    expect(replacement?.responseTime.expectedMs).toBe(0);
    expect(replacement?.prefillSpeed.tokensPerMs).toBe(
      unused.prefillSpeed.tokensPerMs,
    );
    expect(upstream.isServing).toBe(false);
    expect(clock.now()).toBe(0);
  });

  test('is not affected by late records of its previous incarnation', () => {
    const {pool} = createPool(previous);
    pool.merge([next], 'c1');
    const replacement = pool.servingUpstreams('s');
    pool.merge([{...previous, sequence: 41}], 'c2');
    pool.merge([{...previous, state: UPSTREAM_STATE.gone}], 'c2');
    pool.merge([next, next], 'c2');
    expect(pool.servingUpstreams('s')).toEqual(replacement);
  });

  test('serves again after its previous incarnation was gone', () => {
    const {pool} = createPool(previous);
    pool.merge([{...previous, state: UPSTREAM_STATE.gone}], 'c1');
    expect(pool.servingUpstreams('s')).toEqual([]);
    pool.merge([{...previous, sequence: 41}], 'c1');
    expect(pool.servingUpstreams('s')).toEqual([]);
    pool.merge([next], 'c1');
    expect(pool.servingUpstreams('s').map(({id}) => id)).toEqual(['i-1']);
  });

  test('uses the service and address of its new incarnation', () => {
    const {pool} = createPool(previous);
    const moved = {...next, address: '10.0.0.7:1', service: 'other'};
    pool.merge([moved], 'c1');
    expect(pool.servingUpstreams('s')).toEqual([]);
    expect(pool.servingUpstreams('other').map(({port}) => port)).toEqual([1]);
  });

  test('moves to another service within one incarnation', () => {
    const {pool} = createPool(previous);
    pool.merge([{...previous, sequence: 41, service: 'other'}], 'c1');
    expect(pool.servingUpstreams('s')).toEqual([]);
    expect(pool.servingUpstreams('other').map(({id}) => id)).toEqual(['i-1']);
  });

  test('is found under a service that is not configured yet', () => {
    const {pool} = createPool({...previous, service: 'not-named-yet'});
    expect(pool.servingUpstreams('not-named-yet').map(({id}) => id)).toEqual([
      'i-1',
    ]);
  });
});

/**
 * Guards against requests to an upstream that has announced its drain before the edge heard
 * of its restart, and against a restarted upstream that stays unused for a notice of before.
 */
describe('A drain notice that counted for the previous incarnation', () => {
  /** More than the time for which a notice is inherited, ms. */
  const LONG_AFTER_MS = 11_000;

  /** A pool that received a notice of an upstream at the start of its clock. */
  function createNotifiedPool() {
    const clock = new ManualClock();
    const noticeAt = clock.wallTime();
    const pool = new UpstreamPool(clock, new NoopDecisionLog());
    pool.merge([makeUpstream('i-1', {bornAt: noticeAt - 60_000})], 'c1');
    pool.find('i-1')?.markDraining();
    return {clock, noticeAt, pool};
  }

  function mayBeSentTo(pool: UpstreamPool): boolean | undefined {
    return pool.find('i-1')?.mayBeSentTo;
  }

  test('holds for one that had started before it', async () => {
    const {clock, noticeAt, pool} = createNotifiedPool();
    await clock.advance(104);
    pool.merge([makeUpstream('i-1', {bornAt: noticeAt - 2_925})], 'c1');
    expect(mayBeSentTo(pool)).toBe(false);
    await clock.advance(5_000);
    pool.merge(
      [makeUpstream('i-1', {bornAt: noticeAt - 2_925, sequence: 9})],
      'c1',
    );
    pool.find('i-1')?.recordSuccess();
    expect(mayBeSentTo(pool)).toBe(false);
  });

  test('does not hold for one that started after it', async () => {
    const {clock, noticeAt, pool} = createNotifiedPool();
    await clock.advance(300);
    pool.merge([makeUpstream('i-1', {bornAt: noticeAt + 200})], 'c1');
    expect(mayBeSentTo(pool)).toBe(true);
  });

  test('does not hold for one at another address', async () => {
    const {clock, noticeAt, pool} = createNotifiedPool();
    await clock.advance(100);
    const bornAt = noticeAt - 2_000;
    pool.merge([makeUpstream('i-1', {address: '10.0.0.9:1', bornAt})], 'c1');
    expect(mayBeSentTo(pool)).toBe(true);
  });

  test('does not hold for one whose clock is far behind', async () => {
    const {clock, noticeAt, pool} = createNotifiedPool();
    await clock.advance(300);
    pool.merge([makeUpstream('i-1', {bornAt: noticeAt - 40_000})], 'c1');
    expect(mayBeSentTo(pool)).toBe(true);
  });

  test('ends by itself, as start times come from clocks that may be wrong', async () => {
    const {clock, noticeAt, pool} = createNotifiedPool();
    await clock.advance(100);
    pool.merge([makeUpstream('i-1', {bornAt: noticeAt - 2_000})], 'c1');
    await clock.advance(LONG_AFTER_MS);
    expect(mayBeSentTo(pool)).toBe(true);
  });

  test('holds for the latest of several that had started before it', async () => {
    const {clock, noticeAt, pool} = createNotifiedPool();
    await clock.advance(100);
    pool.merge([makeUpstream('i-1', {bornAt: noticeAt - 9_000})], 'c1');
    pool.merge([makeUpstream('i-1', {bornAt: noticeAt - 2_000})], 'c1');
    expect(mayBeSentTo(pool)).toBe(false);
    pool.merge([makeUpstream('i-1', {bornAt: noticeAt + 50})], 'c1');
    expect(mayBeSentTo(pool)).toBe(true);
  });
});

describe('Requests in flight at a previous incarnation', () => {
  test('are retried at another upstream if they may be repeated', async () => {
    await using first = await TestUpstream.start('i-1');
    await using second = await TestUpstream.start('i-2');
    await using fixture = await ForwardingFixture.start(ROUTES);
    first.handler = neverRespond;
    fixture.pool.merge([first.record({bornAt: 1_000})], 'c1');
    const response = fixture.sendRequest('look');
    await waitUntil(() => first.requestPaths.length === 1);
    const draining = {bornAt: 2_000, state: UPSTREAM_STATE.draining};
    fixture.pool.merge([second.record(), first.record(draining)], 'c1');
    expect(await response).toMatchObject({body: 'i-2', status: 200});
    expect(fixture.log.decisions).toContainEqual(
      expect.objectContaining({
        bornAt: 2_000,
        event: 'upstream-restarted',
        former: 1_000,
        open: 1,
        upstream: 'i-1',
      }),
    );
  });

  test('fail with 502 if they may not be repeated', async () => {
    await using first = await TestUpstream.start('i-1');
    await using second = await TestUpstream.start('i-2');
    await using fixture = await ForwardingFixture.start(ROUTES);
    first.handler = neverRespond;
    fixture.pool.merge([first.record({bornAt: 1_000})], 'c1');
    const response = fixture.sendRequest('order');
    await waitUntil(() => first.requestPaths.length === 1);
    const next = first.record({bornAt: 2_000});
    fixture.pool.merge([second.record(), next], 'c1');
    expect((await response).status).toBe(502);
    expect(first.requestPaths).toHaveLength(1);
    expect(second.requestPaths).toHaveLength(0);
  });

  test('resume a stream at another upstream after its last event', async () => {
    await using first = await TestUpstream.start('i-1');
    await using second = await TestUpstream.start('i-2');
    await using fixture = await ForwardingFixture.start(ROUTES);
    let lastEvent: unknown;
    const respondWithStream = (text: string, isComplete: boolean) => {
      return (incoming: IncomingMessage, response: ServerResponse): void => {
        lastEvent = incoming.headers['x-last-event'];
        response.setHeader('Content-Type', 'text/event-stream');
        response.write(text);
        if (isComplete) {
          response.end();
        }
      };
    };
    first.handler = respondWithStream('id: 1\ndata: a\n\n', false);
    second.handler = respondWithStream('id: 2\ndata: b\n\n', true);
    fixture.pool.merge([first.record({bornAt: 1_000})], 'c1');
    const response = fixture.sendRequest('chat');
    // Wait until the event is forwarded before announcing the new incarnation.
    await waitUntil(() => fixture.receivedBytes > 0);
    const gone = {bornAt: 2_000, state: UPSTREAM_STATE.gone};
    fixture.pool.merge([second.record(), first.record(gone)], 'c1');
    expect(await response).toEqual({
      body: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
      status: 200,
      isComplete: true,
    });
    expect(lastEvent).toBe('1');
  });

  test('fail with 502 if that incarnation was already gone', async () => {
    await using first = await TestUpstream.start('i-1');
    await using fixture = await ForwardingFixture.start(ROUTES);
    first.handler = neverRespond;
    const record = first.record({bornAt: 1_000});
    fixture.pool.merge([record], 'c1');
    const response = fixture.sendRequest('order');
    await waitUntil(() => first.requestPaths.length === 1);
    fixture.pool.merge([{...record, state: UPSTREAM_STATE.gone}], 'c1');
    fixture.pool.merge([first.record({bornAt: 2_000})], 'c1');
    expect((await response).status).toBe(502);
  });

  test('do not share their connections with later requests', async () => {
    await using first = await TestUpstream.start('i-1');
    await using fixture = await ForwardingFixture.start(ROUTES);
    const ports: (number | undefined)[] = [];
    first.handler = (incoming, response) => {
      ports.push(incoming.socket.remotePort);
      response.end('ok');
    };
    fixture.pool.merge([first.record({bornAt: 1_000})], 'c1');
    await fixture.sendRequest('order');
    await fixture.sendRequest('order');
    fixture.pool.merge([first.record({bornAt: 2_000})], 'c1');
    await fixture.sendRequest('order');
    expect(ports[1]).toBe(ports[0]);
    expect(ports[2]).not.toBe(ports[1]);
  });
});
