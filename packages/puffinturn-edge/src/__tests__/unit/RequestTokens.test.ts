/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against charging callers for tokens that they did not receive. */
import type {Service} from 'puffinturn-fleet';

import {RESERVE_OUTCOME} from '../../index';
import type {RequestPlan} from '../../requests/RequestPlan';
import {RequestTokens} from '../../tokens/RequestTokens';
import {heldTokens, TEAM, TokenFleet} from '../utils/TokenFleet';

const ENGINE = {tokensPerEvent: 5} as Service['engine'];

/** A request with 100 prompt tokens and at most 50 output tokens. */
function planOf(engine: Service['engine']): RequestPlan {
  return {
    promptParts: [],
    route: {} as RequestPlan['route'],
    service: {engine, name: 's'} as Service,
    team: {keys: [], name: TEAM, prepaidTokens: 1_000, priority: 0},
    tokenCounts: {maxCompletionTokens: 50, promptTokens: 100},
  };
}

describe('RequestTokens', () => {
  test.each([
    [
      'a complete response',
      {events: 4, hasStarted: true, isComplete: true},
      120,
    ],
    [
      'a response that breaks off',
      {events: 4, hasStarted: true, isComplete: false},
      130,
    ],
    [
      'more events than reserved',
      {events: 40, hasStarted: true, isComplete: true},
      150,
    ],
    [
      'a response without events',
      {events: 0, hasStarted: true, isComplete: true},
      100,
    ],
    ['a lost response', {events: 0, hasStarted: false, isComplete: false}, 0],
  ])('charges for %s', async (_, cost, charged) => {
    const fleet = new TokenFleet(1_000);
    const edge = await fleet.start('e', []);
    const tokens = new RequestTokens(edge, planOf(ENGINE));
    expect(await fleet.advanceUntilSettled(tokens.reserve())).toBe(
      RESERVE_OUTCOME.reserved,
    );
    expect(tokens.settle(cost)).toBe(charged);
    expect(edge.status()[0]).toMatchObject({charged, reserved: 0});
  });

  test('reserves nothing for a service without an engine', async () => {
    const fleet = new TokenFleet(10);
    const edge = await fleet.start('e', []);
    const tokens = new RequestTokens(edge, planOf(undefined));
    expect(await tokens.reserve()).toBe(RESERVE_OUTCOME.reserved);
    expect(tokens.settle({events: 1, hasStarted: true, isComplete: true})).toBe(
      0,
    );
    expect(heldTokens(edge)).toBeLessThanOrEqual(10);
  });

  test('reports the token state only after a refusal', async () => {
    const fleet = new TokenFleet(120);
    const edge = await fleet.start('e', []);
    const tokens = new RequestTokens(edge, planOf(ENGINE));
    expect(tokens.refusalState).toBeUndefined();
    expect(await fleet.advanceUntilSettled(tokens.reserve())).toBe(
      RESERVE_OUTCOME.exhausted,
    );
    expect(tokens.refusalState).toMatchObject({holder: 'e', left: 0});
  });
});
