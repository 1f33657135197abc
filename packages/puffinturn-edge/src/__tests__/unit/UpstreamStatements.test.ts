/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Two edges, cut off from the control box that an engine had told that it leaves,
 * went on sending to it for up to five seconds after an answer of its had said so.
 * Another edge sent nine requests to an engine that had turned one away and asked
 * for three seconds of rest. An edge read of an answer its status, its id and
 * whether the request ran, and nothing else that the upstream said of itself. The
 * edges that learned of the leaving by heartbeat wrote
 *
 *     7.504 upstream-changed upstream i-c3870d9480 sequence 16 state draining
 *
 * and those two wrote no such line, then or later; the third one wrote 77 lines
 * `attempt-failed`, cause rejected-503, of four engines within fourteen seconds, in
 * the median 0.23 s after the one before of the same engine.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {ManualClock} from 'shared';

import {
  ServingFixture,
  servingRoute,
  TestUpstream,
  until,
} from '../utils/ServingFixture';

/** Requests that are sent where a few would show what an edge does. */
const MANY = 20;

/** What an upstream asks for when it turns a request away, s. */
const REST_S = 3;

function asksForRest(_: IncomingMessage, response: ServerResponse): void {
  response.writeHead(503, {'retry-after': String(REST_S), 'x-not-run': '1'});
  response.end();
}

function saysThatItLeaves(_: IncomingMessage, response: ServerResponse): void {
  response.setHeader('x-leaving', '1');
  response.end();
}

describe('What an upstream says in its answers', () => {
  let clock: ManualClock;
  let first: TestUpstream;
  let second: TestUpstream;
  let fixture: ServingFixture;

  beforeEach(async () => {
    clock = new ManualClock();
    first = await TestUpstream.start('i-1');
    second = await TestUpstream.start('i-2');
    fixture = await ServingFixture.start(
      [servingRoute('look')],
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

  const ask = (count: number) => fixture.askMany('look', count);

  function told() {
    return fixture.log.lines.filter(({event}) => event === 'upstream-told');
  }

  test('takes one that leaves out, whatever its heartbeats have told', async () => {
    first.answer = saysThatItLeaves;
    await ask(MANY);
    expect(first.seen).toHaveLength(1);
    fixture.pool.merge([first.record({sequence: 9})], 'c1');
    expect(await ask(MANY)).toEqual(Array(MANY).fill(200));
    expect(first.seen).toHaveLength(1);
  });

  test('leaves one that asks for rest alone for so long', async () => {
    first.answer = asksForRest;
    second.answer = asksForRest;
    await ask(MANY);
    expect([first.seen.length, second.seen.length]).toEqual([1, 1]);
    await clock.advance(REST_S * 1_000 - 1);
    await ask(MANY);
    expect([first.seen.length, second.seen.length]).toEqual([1, 1]);
    await clock.advance(2);
    await ask(MANY);
    expect([first.seen.length, second.seen.length]).toEqual([2, 2]);
  });

  test('of leaving counts for the life that said it, and for no other one', async () => {
    fixture.pool.merge([first.record({bornAt: 1, sequence: 2})], 'c1');
    first.answer = saysThatItLeaves;
    await ask(MANY);
    expect(first.seen).toHaveLength(1);
    fixture.pool.merge([first.record({bornAt: 2})], 'c1');
    await ask(MANY);
    expect(first.seen).toHaveLength(2);
  });

  test('of rest counts on for a life that is heard of only later', async () => {
    // It crashed and came back, and turns requests away before any heartbeat of
    // its new life has come: no answer names the life that gives it.
    first.answer = asksForRest;
    second.answer = asksForRest;
    await ask(1);
    const born = [first.record({bornAt: 1}), second.record({bornAt: 1})];
    fixture.pool.merge(born, 'c1');
    expect(await ask(MANY)).toEqual(Array(MANY).fill(503));
    expect([first.seen.length, second.seen.length]).toEqual([1, 1]);
    await clock.advance(REST_S * 1_000);
    await ask(1);
    expect([first.seen.length, second.seen.length]).toEqual([2, 2]);
  });

  test('counts on where the same life serves at another address', async () => {
    const moved = await TestUpstream.start('i-1');
    first.answer = saysThatItLeaves;
    second.answer = asksForRest;
    await ask(MANY);
    const back = [moved.record({sequence: 2}), second.record({slots: 5})];
    fixture.pool.merge(back, 'c1');
    expect((await fixture.ask('look')).status).toBe(503);
    expect([first.seen.length, second.seen.length, moved.seen.length]).toEqual([
      1, 1, 0,
    ]);
    await moved[Symbol.asyncDispose]();
  });

  test('is not taken from another upstream at its address', async () => {
    second.answer = (_, response) => {
      response.writeHead(421, {'x-leaving': '1'}).end();
    };
    await ask(MANY);
    expect(told()).toEqual([]);
  });

  test('refuses at once while all rest, and says when the first is over', async () => {
    first.answer = asksForRest;
    second.answer = asksForRest;
    await ask(1);
    await clock.advance(1_000);
    expect(await fixture.ask('look')).toMatchObject({
      body: '{"error":"upstreams-rest"}',
      retryAfterS: REST_S - 1,
      status: 503,
    });
  });

  test('holds although an earlier request ends well meanwhile', async () => {
    const open: ServerResponse[] = [];
    first.answer = (_, response) => void open.push(response);
    second.answer = (_, response) => void open.push(response);
    const earlier = [fixture.ask('look'), fixture.ask('look')];
    await until(() => open.length === 2);
    first.answer = asksForRest;
    second.answer = asksForRest;
    expect(await ask(1)).toEqual([503]);
    open.forEach((response) => response.end('done'));
    expect((await Promise.all(earlier)).map(({status}) => status)).toEqual([
      200, 200,
    ]);
    expect(await ask(MANY)).toEqual(Array(MANY).fill(503));
    expect([first.seen.length, second.seen.length]).toEqual([2, 2]);
  });

  test('lets an upstream be that is only full', async () => {
    first.answer = (_, response) => {
      response.writeHead(503, {'retry-after': 'soon', 'x-not-run': '1'}).end();
    };
    second.answer = first.answer;
    expect(await ask(3)).toEqual([503, 503, 503]);
    expect([first.seen.length, second.seen.length]).toEqual([3, 3]);
    expect(told()).toEqual([]);
  });

  test('is written down once, with the request that it came with', async () => {
    first.answer = saysThatItLeaves;
    second.answer = asksForRest;
    await ask(MANY);
    expect(told()).toHaveLength(2);
    expect(told()).toContainEqual(
      expect.objectContaining({leaving: true, status: 200, upstream: 'i-1'}),
    );
    expect(told()).toContainEqual(
      expect.objectContaining({restMs: REST_S * 1_000, upstream: 'i-2'}),
    );
  });
});
