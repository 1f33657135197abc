/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against latency baselines that depend on outliers, prompt or response length. */
import {Random} from 'shared';

import type {AnswerSample} from '../../connections/AnswerExpectations';
import {AnswerExpectations} from '../../connections/AnswerExpectations';

/** A response that takes 310 ms for 10,000 prompt tokens, then 30 ms per event. */
function sampleOf(
  slowdown: number,
  tokens = 10_000,
  events = 20,
): AnswerSample {
  const firstMs = (60 + tokens / 40) * slowdown;
  return {events, firstMs, tokens, wholeMs: firstMs + events * 30 * slowdown};
}

describe('AnswerExpectations', () => {
  test('there is no ratio before five samples', () => {
    const expectations = new AnswerExpectations();
    for (let count = 0; count < 4; count += 1) {
      expectations.learn('r', sampleOf(1));
    }
    expect(expectations.ratio('r', sampleOf(1))).toBeUndefined();
    expectations.learn('r', sampleOf(1));
    expect(expectations.ratio('r', sampleOf(1))).toBeCloseTo(1);
    expect(expectations.ratio('other', sampleOf(1))).toBeUndefined();
  });

  test('a few outliers do not shift the baseline', () => {
    const expectations = new AnswerExpectations();
    const random = new Random(1);
    for (let count = 0; count < 300; count += 1) {
      const slowdown = count % 40 === 0 ? 20 : 0.8 + random.fraction() * 0.4;
      expectations.learn('r', sampleOf(slowdown));
    }
    expect(expectations.ratio('r', sampleOf(1))).toBeGreaterThan(0.7);
    expect(expectations.ratio('r', sampleOf(4))).toBeGreaterThan(2.8);
  });

  test.each([
    ['a shorter prompt', sampleOf(1, 100), 0.5, 1.6],
    ['a longer prompt', sampleOf(1, 40_000), 0.5, 1.6],
    ['a longer response', sampleOf(1, 10_000, 200), 0.7, 1.3],
    ['a slow prompt', {...sampleOf(1), firstMs: 1_200, wholeMs: 1_800}, 2.8, 5],
    ['slow events', {...sampleOf(1), wholeMs: 310 + 20 * 120}, 2.8, 5],
  ])(
    'the ratio of %s is normalized by prompt length and event count',
    (_, sample, least, most) => {
      const expectations = new AnswerExpectations();
      for (let count = 0; count < 50; count += 1) {
        expectations.learn('r', sampleOf(1));
      }
      const ratio = expectations.ratio('r', sample) ?? NaN;
      expect(ratio).toBeGreaterThan(least);
      expect(ratio).toBeLessThan(most);
    },
  );

  test('a response without events is compared by its total time', () => {
    const expectations = new AnswerExpectations();
    const plain = (wholeMs: number) => {
      return {events: 0, firstMs: wholeMs - 1, tokens: 0, wholeMs};
    };
    for (let count = 0; count < 50; count += 1) {
      expectations.learn('r', plain(60));
    }
    expect(expectations.ratio('r', plain(60))).toBeCloseTo(1);
    expect(expectations.ratio('r', plain(240))).toBeGreaterThan(3);
  });
});
