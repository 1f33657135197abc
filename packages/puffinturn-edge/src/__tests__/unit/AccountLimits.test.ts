/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against spending tokens that the control plane may reclaim if this process ends
 * before the reply to an exchange has arrived.
 */
import {AccountLimits} from '../../tokens/AccountLimits';

const SMALL = {burst: 100, doublingS: 2, perSecond: 10};
const LARGE = {burst: 1_000, doublingS: 2, perSecond: 10};

function confirmed(limit: typeof SMALL): AccountLimits {
  const limits = new AccountLimits();
  limits.announce(limit, 0, 0);
  limits.confirm();
  return limits;
}

describe('AccountLimits', () => {
  test('allow everything before the first exchange', () => {
    const limits = new AccountLimits();
    expect(limits.headroom(50, 9)).toBe(Infinity);
    expect(limits.isLimited).toBe(false);
  });

  test('bind as soon as they are announced', () => {
    const limits = new AccountLimits();
    limits.announce(SMALL, 500, 0);
    expect(limits.headroom(540, 0)).toBe(60);
  });

  test('bind until the exchange that raises them is answered', () => {
    const limits = confirmed(SMALL);
    limits.announce(LARGE, 90, 0);
    expect(limits.headroom(90, 0)).toBe(10);
    limits.confirm();
    expect(limits.headroom(90, 0)).toBe(1_000);
  });

  test('bind at once if an exchange lowers them', () => {
    const limits = confirmed(LARGE);
    limits.announce(SMALL, 200, 0);
    expect(limits.headroom(230, 0)).toBe(70);
  });

  test('bind until the exchange that lifts them is answered', () => {
    const limits = confirmed(SMALL);
    limits.announce(undefined, 90, 0);
    expect(limits.headroom(90, 0)).toBe(10);
    limits.confirm();
    expect(limits.headroom(90, 0)).toBe(Infinity);
  });

  test('grow without an answer, faster the longer it takes', () => {
    const limits = confirmed(SMALL);
    expect(limits.headroom(0, 1_000)).toBe(111);
    expect(limits.headroom(0, 2_000)).toBe(140);
    expect(limits.headroom(0, 12_000)).toBeGreaterThan(20_000);
  });
});
