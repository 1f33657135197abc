/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Service} from 'puffinturn-fleet';

import {RESERVE} from '../../index';
import type {Plan} from '../../requests/RequestPlan';
import {RequestTokens} from '../../tokens/RequestTokens';
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
  test.each([
    ['a whole answer', {events: 4, passedOn: true, whole: true}, 120],
    ['one that broke off', {events: 4, passedOn: true, whole: false}, 130],
    ['more events than paid', {events: 40, passedOn: true, whole: true}, 150],
    ['an answer without events', {events: 0, passedOn: true, whole: true}, 100],
    ['an answer that was lost', {events: 0, passedOn: false, whole: false}, 0],
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
    expect(tokens.settle({events: 1, passedOn: true, whole: true})).toBe(0);
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
