/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Service} from 'puffinturn-fleet';

import {RESERVE} from '../../index';
import type {Plan} from '../../RequestPlan';
import {RequestTokens} from '../../RequestTokens';
import {held, TEAM, TokenFleet} from '../utils/TokenFleet';

const ENGINE = {tokensPerEvent: 5} as Service['engine'];

/** A request of 100 tokens that may put out 50 more. */
function planOf(engine: Service['engine']): Plan {
  return {
    parts: [],
    route: {} as Plan['route'],
    service: {engine, name: 's'} as Service,
    team: {keys: [], name: TEAM, prepaidTokens: 1_000, priority: 0},
    tokens: {most: 50, prompt: 100},
  };
}

describe('RequestTokens', () => {
  // An upstream ran requests to their end and the answers were lost on their way.
  // Such a run was charged two events beyond those seen: with none seen 10 of the
  // 50 tokens put out, so a team could get more than it had paid for.
  test('charge all that a run may have put out where its answer was lost', async () => {
    const fleet = new TokenFleet(1_000);
    const edge = await fleet.start('e', []);
    const tokens = new RequestTokens(edge, planOf(ENGINE));
    expect(await fleet.settled(tokens.reserve())).toBe(RESERVE.held);
    expect(tokens.settle({events: 0, runs: 1, whole: false})).toBe(150);
  });

  test('charge a run that broke off beside the one that answered', async () => {
    const fleet = new TokenFleet(1_000);
    const edge = await fleet.start('e', []);
    const tokens = new RequestTokens(edge, planOf(ENGINE));
    expect(await fleet.settled(tokens.reserve())).toBe(RESERVE.held);
    expect(await fleet.settled(tokens.reserveRuns(1))).toBe(RESERVE.held);
    expect(edge.status()[0]?.reserved).toBe(150);
    expect(await fleet.settled(tokens.reserveRuns(2))).toBe(RESERVE.held);
    expect(edge.status()[0]?.reserved).toBe(200);
    expect(tokens.settle({events: 4, runs: 2, whole: true})).toBe(170);
    expect(edge.status()[0]).toMatchObject({charged: 170, reserved: 0});
  });

  test('allow no further run that the budget does not cover', async () => {
    const fleet = new TokenFleet(180);
    const edge = await fleet.start('e', []);
    const tokens = new RequestTokens(edge, planOf(ENGINE));
    expect(await fleet.settled(tokens.reserve())).toBe(RESERVE.held);
    expect(await fleet.settled(tokens.reserveRuns(2))).toBe(RESERVE.exhausted);
    expect(tokens.settle({events: 0, runs: 1, whole: false})).toBe(150);
  });

  test.each([
    ['a whole answer', {events: 4, runs: 1, whole: true}, 120],
    ['one that broke off', {events: 4, runs: 1, whole: false}, 150],
    ['more events than paid', {events: 40, runs: 1, whole: true}, 150],
    ['no run', {events: 0, runs: 0, whole: false}, 0],
  ])('charge for %s', async (_, cost, charged) => {
    const fleet = new TokenFleet(1_000);
    const edge = await fleet.start('e', []);
    const tokens = new RequestTokens(edge, planOf(ENGINE));
    expect(await fleet.settled(tokens.reserve())).toBe(RESERVE.held);
    expect(tokens.settle(cost)).toBe(charged);
    expect(edge.status()[0]).toMatchObject({charged, reserved: 0});
  });

  test('are not asked for where the service is no engine', async () => {
    const fleet = new TokenFleet(10);
    const edge = await fleet.start('e', []);
    const tokens = new RequestTokens(edge, planOf(undefined));
    expect(await tokens.reserve()).toBe(RESERVE.held);
    expect(tokens.settle({events: 1, runs: 1, whole: true})).toBe(0);
    expect(held(edge)).toBeLessThanOrEqual(10);
  });

  test('say what a refusal rested on, and nothing without one', async () => {
    const fleet = new TokenFleet(120);
    const edge = await fleet.start('e', []);
    const tokens = new RequestTokens(edge, planOf(ENGINE));
    expect(tokens.facts).toBeUndefined();
    expect(await fleet.settled(tokens.reserve())).toBe(RESERVE.exhausted);
    expect(tokens.facts).toMatchObject({holder: 'e', left: 0});
  });
});
