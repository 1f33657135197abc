/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {elapsedBetween, SystemMachineClock} from '../../index';

const EARLIER = {bootId: 'a', steadyMs: 5_000, wallMs: 70_000};

describe('elapsedBetween', () => {
  test.each([
    ['one boot', {bootId: 'a', steadyMs: 7_000, wallMs: 72_000}, 2_000],
    [
      'clocks that differ',
      {bootId: 'a', steadyMs: 7_000, wallMs: 72_900},
      2_000,
    ],
    ['another boot', {bootId: 'b', steadyMs: 7_000, wallMs: 72_000}, undefined],
    [
      'the other order',
      {bootId: 'a', steadyMs: 4_999, wallMs: 69_999},
      undefined,
    ],
    [
      'a jump forward',
      {bootId: 'a', steadyMs: 7_000, wallMs: 74_000},
      undefined,
    ],
    ['a jump back', {bootId: 'a', steadyMs: 7_000, wallMs: 70_000}, undefined],
  ])('with %s', (_case, later, expected) => {
    expect(elapsedBetween(EARLIER, later)).toBe(expected);
  });
});

describe('SystemMachineClock', () => {
  test('reads comparable times', () => {
    const clock = new SystemMachineClock();
    const [first, second] = [clock.read(), new SystemMachineClock().read()];
    if (first === undefined || second === undefined) {
      throw new Error('this operating system tells no boot ID');
    }
    expect(elapsedBetween(first, second)).toBeGreaterThanOrEqual(0);
  });
});
