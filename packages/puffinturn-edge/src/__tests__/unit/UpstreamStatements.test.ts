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

  async function ask(count: number): Promise<number[]> {
    const statuses: number[] = [];
    for (let asked = 0; asked < count; asked += 1) {
      statuses.push((await fixture.ask('look')).status);
    }
    return statuses;
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
});
