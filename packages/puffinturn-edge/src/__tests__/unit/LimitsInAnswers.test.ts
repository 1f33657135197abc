/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
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

/** Long enough for permits to gather as many as may be kept, ms. */
const SETTLED_MS = 60_000;

type Answer = (_: IncomingMessage, response: ServerResponse) => void;

/** Answers well, and names a limit. */
function naming(limit: string): Answer {
  return (_, response) => {
    response.setHeader('x-limit', limit);
    response.end('done');
  };
}

/** Answers with a status, and names no limit. */
function failing(status: number): Answer {
  return (_, response) => {
    response.writeHead(status, status === 503 ? {'x-not-run': '1'} : {});
    response.end();
  };
}

const plain: Answer = (_, response) => response.end('done');

describe('A limit that an upstream names in its answers', () => {
  let clock: ManualClock;
  let first: TestUpstream;
  let second: TestUpstream;
  let fixture: ServingFixture;

  beforeEach(async () => {
    clock = new ManualClock();
    first = await TestUpstream.start('i-1');
    second = await TestUpstream.start('i-2');
    const route = servingRoute('look', {maxAttempts: 2});
    fixture = await ServingFixture.start([route], () => ({}), clock);
    fixture.pool.merge([first.record(), second.record()], 'c1');
    await clock.advance(SETTLED_MS);
  });

  afterEach(async () => {
    await fixture[Symbol.asyncDispose]();
    await first[Symbol.asyncDispose]();
    await second[Symbol.asyncDispose]();
  });

  const ask = (count: number) => fixture.askMany('look', count);

  /** Requests that reach the first one of so many. */
  async function reaching(count: number): Promise<number> {
    const before = first.seen.length;
    await ask(count);
    return first.seen.length - before;
  }

  /** Has the first one name a limit, and uses up all permits for it. */
  async function limitFirst(limit: string): Promise<void> {
    first.answer = naming(limit);
    await ask(MANY);
    expect(await reaching(MANY)).toBe(0);
  }

  test('bounds what it gets, and others serve the rest', async () => {
    first.answer = naming('1');
    expect(await ask(MANY)).toEqual(Array(MANY).fill(200));
    // The one that told, and what may be kept.
    expect(first.seen.length).toBeLessThanOrEqual(3);
    await clock.advance(2_000);
    expect(await reaching(MANY)).toBeGreaterThan(0);
  });

  test('refuses at once what all that are limited do not take', async () => {
    first.answer = naming('1');
    second.answer = naming('0.5');
    const statuses = await ask(MANY);
    expect(statuses.filter((status) => status === 200).length).toBeLessThan(8);
    const refused = [await fixture.ask('look'), await fixture.ask('look')];
    expect(refused).toMatchObject([
      {body: '{"error":"upstreams-limited"}', status: 503},
      {body: '{"error":"upstreams-limited"}', status: 503},
    ]);
    const [earlier, later] = refused.map(({retryAfterS = 0}) => retryAfterS);
    expect(earlier).toBeGreaterThan(0);
    expect(later).not.toBe(earlier);
    expect(fixture.log.lines.at(-1)).toMatchObject({
      attempts: 0,
      cause: 'upstreams-limited',
    });
  });

  test('uses up no attempt of a request that another one serves', async () => {
    await limitFirst('1');
    const statuses = await ask(MANY);
    expect(statuses).toEqual(Array(MANY).fill(200));
    const ended = fixture.log.lines.filter(
      ({event}) => event === 'request-ended',
    );
    expect(ended.at(-1)).toMatchObject({attempts: 1, upstream: 'i-2'});
  });

  test('ends with an answer that names none', async () => {
    await limitFirst('1');
    first.answer = plain;
    await clock.advance(2_000);
    expect(await reaching(MANY)).toBeGreaterThan(5);
  });

  test('does not end with an answer to an earlier request', async () => {
    const open: ServerResponse[] = [];
    first.answer = (_, response) => void open.push(response);
    second.answer = (_, response) => void open.push(response);
    const earlier = [fixture.ask('look'), fixture.ask('look')];
    await until(() => open.length === 2);
    await clock.advance(10);
    second.answer = plain;
    first.answer = naming('1');
    await ask(MANY);
    open.forEach((response) => response.end('done'));
    await Promise.all(earlier);
    expect(await reaching(MANY)).toBe(0);
  });

  test.each([503, 500])('does not end with a %i', async (status) => {
    await limitFirst('1');
    first.answer = failing(status);
    await clock.advance(1_500);
    expect(await reaching(MANY)).toBeGreaterThan(0);
    await clock.advance(100);
    expect(await reaching(MANY)).toBe(0);
  });

  test.each(['soon', '-5', 'NaN', '1e400', ''])(
    'says nothing as %p, neither of a limit nor of its end',
    async (value) => {
      first.answer = naming(value);
      expect(await reaching(MANY)).toBeGreaterThan(5);
      await limitFirst('1');
      await clock.advance(2_000);
      first.answer = naming(value);
      expect(await reaching(MANY)).toBeLessThanOrEqual(2);
      expect(await reaching(MANY)).toBe(0);
    },
  );

  test('of 0 leaves it alone, but for a question now and then', async () => {
    await limitFirst('0');
    await clock.advance(5_000);
    expect(await reaching(MANY)).toBe(0);
    await clock.advance(10_000);
    expect(await reaching(MANY)).toBe(1);
  });

  test('goes on for a life that is heard of only later', async () => {
    await limitFirst('1');
    fixture.pool.merge([first.record({bornAt: 5})], 'c1');
    expect(await reaching(MANY)).toBe(0);
  });

  test('is taken over from other boxes, and its end too', async () => {
    const limit = {perSecond: 1, revision: 3};
    fixture.pool.merge([first.record({limit})], 'c1');
    expect(await reaching(MANY)).toBeLessThanOrEqual(2);
    expect(fixture.log.lines).toContainEqual({
      event: 'upstream-limited',
      ...limit,
      source: 'c1',
      upstream: 'i-1',
    });
    const ended = {perSecond: undefined, revision: 4};
    fixture.pool.merge([first.record({limit: ended})], 'c1');
    await clock.advance(2_000);
    expect(await reaching(MANY)).toBeGreaterThan(5);
    expect(fixture.pool.records()).toContainEqual(first.record({limit: ended}));
  });

  test('is written down with the request that it came with', async () => {
    first.answer = naming('1.25');
    await ask(MANY);
    const told = fixture.log.lines.filter(
      ({event}) => event === 'upstream-told',
    );
    expect(told).toMatchObject([{limitPerS: 1.25, upstream: 'i-1'}]);
  });
});
