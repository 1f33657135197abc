/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';

import {SilentDecisionLog} from 'puffinturn-decisions';
import {REPETITION, UPSTREAM_STATE} from 'puffinturn-fleet';
import {ManualClock} from 'shared';

import {UpstreamPool} from '../../upstreams/UpstreamPool';
import {upstreamOf} from '../utils/EdgeFixture';
import {
  ServingFixture,
  servingRoute,
  TestUpstream,
  until,
} from '../utils/ServingFixture';

const ROUTES = [
  servingRoute('look'),
  servingRoute('order', {repetition: REPETITION.never}),
  servingRoute('chat', {repetition: REPETITION.resumable, streams: true}),
];

/** Holds a request open and never answers. */
function hold(): void {}

describe('An upstream that starts again under its id', () => {
  const former = upstreamOf('i-1', {bornAt: 1_000, sequence: 40});
  const next = upstreamOf('i-1', {bornAt: 2_000, sequence: 1});

  function poolOf(...records: ReturnType<typeof upstreamOf>[]) {
    const clock = new ManualClock();
    const pool = new UpstreamPool(clock, new SilentDecisionLog());
    pool.merge(records, 'c1');
    const [upstream] = pool.all();
    if (upstream === undefined) {
      throw new Error('no upstream');
    }
    return {clock, pool, upstream};
  }

  test('is another one: nothing that was learned holds', () => {
    const {clock, pool, upstream} = poolOf({...former, coldMs: 9_000});
    const prompt = [{id: 'aa', tokens: 4_000}];
    upstream.prefixes.sent(prompt);
    upstream.speed.measured(4_000, 4_000);
    upstream.answerTime.measured(900);
    upstream.answeredError();
    upstream.unreachable();
    upstream.isReplaced();
    pool.merge([next], 'c1');
    const [renewed] = pool.serving('s');
    expect(renewed).not.toBe(upstream);
    expect(renewed).toMatchObject({
      cold: false,
      errorRate: 0,
      inFlight: 0,
      paused: false,
      serves: true,
    });
    const fresh = poolOf(next).upstream;
    expect(renewed?.prefixes.keptOf(prompt)).toBe(0);
    expect(renewed?.answerTime.ms).toBe(0);
    expect(renewed?.speed.tokensPerMs).toBe(fresh.speed.tokensPerMs);
    expect(upstream.serves).toBe(false);
    expect(clock.now()).toBe(0);
  });

  test('is not taken back by late words of its former life', () => {
    const {pool} = poolOf(former);
    pool.merge([next], 'c1');
    const renewed = pool.serving('s');
    pool.merge([{...former, sequence: 41}], 'c2');
    pool.merge([{...former, state: UPSTREAM_STATE.gone}], 'c2');
    pool.merge([next, next], 'c2');
    expect(pool.serving('s')).toEqual(renewed);
  });

  test('serves again after its former life had left', () => {
    const {pool} = poolOf(former);
    pool.merge([{...former, state: UPSTREAM_STATE.gone}], 'c1');
    expect(pool.serving('s')).toEqual([]);
    pool.merge([{...former, sequence: 41}], 'c1');
    expect(pool.serving('s')).toEqual([]);
    pool.merge([next], 'c1');
    expect(pool.serving('s').map(({id}) => id)).toEqual(['i-1']);
  });

  test('serves what its new life says, at the address where that is', () => {
    const {pool} = poolOf(former);
    const moved = {...next, address: '10.0.0.7:1', service: 'other'};
    pool.merge([moved], 'c1');
    expect(pool.serving('s')).toEqual([]);
    expect(pool.serving('other').map(({port}) => port)).toEqual([1]);
  });

  test('a life that changes its service serves the other one', () => {
    const {pool} = poolOf(former);
    pool.merge([{...former, sequence: 41, service: 'other'}], 'c1');
    expect(pool.serving('s')).toEqual([]);
    expect(pool.serving('other').map(({id}) => id)).toEqual(['i-1']);
  });

  test('a service that is named later finds its upstreams', () => {
    const {pool} = poolOf({...former, service: 'not-named-yet'});
    expect(pool.serving('not-named-yet').map(({id}) => id)).toEqual(['i-1']);
  });
});

describe('Requests open at a former life', () => {
  test('go elsewhere where they may be repeated', async () => {
    await using first = await TestUpstream.start('i-1');
    await using second = await TestUpstream.start('i-2');
    await using serving = await ServingFixture.start(ROUTES);
    first.answer = hold;
    serving.pool.merge([first.record({bornAt: 1_000})], 'c1');
    const answer = serving.ask('look');
    await until(() => first.seen.length === 1);
    const draining = {bornAt: 2_000, state: UPSTREAM_STATE.draining};
    serving.pool.merge([second.record(), first.record(draining)], 'c1');
    expect(await answer).toMatchObject({body: 'i-2', status: 200});
    expect(serving.log.lines).toContainEqual(
      expect.objectContaining({
        bornAt: 2_000,
        event: 'upstream-restarted',
        former: 1_000,
        open: 1,
        upstream: 'i-1',
      }),
    );
  });

  test('are answered without a promise where they may not', async () => {
    await using first = await TestUpstream.start('i-1');
    await using second = await TestUpstream.start('i-2');
    await using serving = await ServingFixture.start(ROUTES);
    first.answer = hold;
    serving.pool.merge([first.record({bornAt: 1_000})], 'c1');
    const answer = serving.ask('order');
    await until(() => first.seen.length === 1);
    const next = first.record({bornAt: 2_000});
    serving.pool.merge([second.record(), next], 'c1');
    expect((await answer).status).toBe(502);
    expect(first.seen).toHaveLength(1);
    expect(second.seen).toHaveLength(0);
  });

  test('a stream goes on elsewhere behind its last event', async () => {
    await using first = await TestUpstream.start('i-1');
    await using second = await TestUpstream.start('i-2');
    await using serving = await ServingFixture.start(ROUTES);
    let lastEvent: unknown;
    const stream = (text: string, ends: boolean) => {
      return (incoming: IncomingMessage, response: ServerResponse): void => {
        lastEvent = incoming.headers['x-last-event'];
        response.setHeader('Content-Type', 'text/event-stream');
        response.write(text);
        if (ends) {
          response.end();
        }
      };
    };
    first.answer = stream('id: 1\ndata: a\n\n', false);
    second.answer = stream('id: 2\ndata: b\n\n', true);
    serving.pool.merge([first.record({bornAt: 1_000})], 'c1');
    const answer = serving.ask('chat');
    // The event is passed on before the new life is heard of.
    await until(() => serving.received > 0);
    const gone = {bornAt: 2_000, state: UPSTREAM_STATE.gone};
    serving.pool.merge([second.record(), first.record(gone)], 'c1');
    expect(await answer).toEqual({
      body: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
      status: 200,
      whole: true,
    });
    expect(lastEvent).toBe('1');
  });

  test('end too where that life had left before', async () => {
    await using first = await TestUpstream.start('i-1');
    await using serving = await ServingFixture.start(ROUTES);
    first.answer = hold;
    const life = first.record({bornAt: 1_000});
    serving.pool.merge([life], 'c1');
    const answer = serving.ask('order');
    await until(() => first.seen.length === 1);
    serving.pool.merge([{...life, state: UPSTREAM_STATE.gone}], 'c1');
    serving.pool.merge([first.record({bornAt: 2_000})], 'c1');
    expect((await answer).status).toBe(502);
  });

  test('no request goes out over a connection to a former life', async () => {
    await using first = await TestUpstream.start('i-1');
    await using serving = await ServingFixture.start(ROUTES);
    const ports: (number | undefined)[] = [];
    first.answer = (incoming, response) => {
      ports.push(incoming.socket.remotePort);
      response.end('ok');
    };
    serving.pool.merge([first.record({bornAt: 1_000})], 'c1');
    await serving.ask('order');
    await serving.ask('order');
    serving.pool.merge([first.record({bornAt: 2_000})], 'c1');
    await serving.ask('order');
    expect(ports[1]).toBe(ports[0]);
    expect(ports[2]).not.toBe(ports[1]);
  });
});
