/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {ManualClock} from 'shared';

import {LimitStatements} from '../../LimitStatements';

describe('What an upstream says of its limit', () => {
  let clock: ManualClock;
  let limits: LimitStatements;

  beforeEach(async () => {
    clock = new ManualClock();
    limits = new LimitStatements(clock);
    await clock.advance(1_000);
  });

  test('holds until an answer to a later request says otherwise', async () => {
    expect(limits.hear(2, 900)).toBe(true);
    expect(limits.limit.perSecond).toBe(2);
    await clock.advance(100);
    expect(limits.hear(undefined, 999)).toBe(false);
    expect(limits.limit.perSecond).toBe(2);
    expect(limits.hear(undefined, 1_001)).toBe(true);
    expect(limits.limit.perSecond).toBeUndefined();
  });

  test('counts at once where it falls, and later where it rises', () => {
    limits.hear(2, 900);
    expect(limits.hear(3, 950)).toBe(false);
    expect(limits.hear(1, 950)).toBe(true);
    expect(limits.hear(3, 1_001)).toBe(true);
    expect(limits.limit.perSecond).toBe(3);
  });

  test('is no news where it is said again, but newer than late answers', async () => {
    limits.hear(2, 900);
    await clock.advance(100);
    expect(limits.hear(2, 1_050)).toBe(false);
    expect(limits.hear(undefined, 1_090)).toBe(false);
    expect(limits.hear(undefined, 1_101)).toBe(true);
  });

  test('is learned from other boxes in whatever order', () => {
    const found = [
      {perSecond: 5, revision: 1},
      {perSecond: 2, revision: 2},
      {perSecond: undefined, revision: 2},
    ];
    for (const order of [found, [...found].reverse()]) {
      const learned = new LimitStatements(clock);
      order.forEach((limit) => learned.learn(limit));
      expect(learned.limit).toEqual({perSecond: 2, revision: 2});
    }
  });

  test('of a former life is replaced by any word of this one', () => {
    const former = new LimitStatements(clock);
    former.learn({perSecond: 2, revision: 9});
    limits.goOnWith(former);
    expect(limits.limit.perSecond).toBe(2);
    limits.learn({perSecond: undefined, revision: 1});
    expect(limits.limit.perSecond).toBeUndefined();
  });
});
