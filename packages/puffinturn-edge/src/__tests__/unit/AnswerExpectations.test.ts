/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {Random} from 'shared';

import type {AnswerSample} from '../../connections/AnswerExpectations';
import {AnswerExpectations} from '../../connections/AnswerExpectations';

/** An answer of an engine: 300 ms to read 10,000 tokens, 30 ms an event. */
function streamOf(slower: number, tokens = 10_000, events = 20): AnswerSample {
  const firstMs = (60 + tokens / 40) * slower;
  return {events, firstMs, tokens, wholeMs: firstMs + events * 30 * slower};
}

describe('AnswerExpectations', () => {
  test('expect nothing before some answers', () => {
    const expectations = new AnswerExpectations();
    for (let count = 0; count < 4; count += 1) {
      expectations.learn('r', streamOf(1));
    }
    expect(expectations.ratio('r', streamOf(1))).toBeUndefined();
    expectations.learn('r', streamOf(1));
    expect(expectations.ratio('r', streamOf(1))).toBeCloseTo(1);
    expect(expectations.ratio('other', streamOf(1))).toBeUndefined();
  });

  test('are not shifted by a few very long answers', () => {
    const expectations = new AnswerExpectations();
    const random = new Random(1);
    for (let count = 0; count < 300; count += 1) {
      const slower = count % 40 === 0 ? 20 : 0.8 + random.fraction() * 0.4;
      expectations.learn('r', streamOf(slower));
    }
    expect(expectations.ratio('r', streamOf(1))).toBeGreaterThan(0.7);
    expect(expectations.ratio('r', streamOf(4))).toBeGreaterThan(2.8);
  });

  test.each([
    ['a short prompt', streamOf(1, 100), 0.5, 1.6],
    ['a long prompt', streamOf(1, 40_000), 0.5, 1.6],
    ['a long answer', streamOf(1, 10_000, 200), 0.7, 1.3],
    ['a slow reader', {...streamOf(1), firstMs: 1_200, wholeMs: 1_800}, 2.8, 5],
    ['slow steps', {...streamOf(1), wholeMs: 310 + 20 * 120}, 2.8, 5],
  ])('%s is measured by what it needs', (_, sample, least, most) => {
    const expectations = new AnswerExpectations();
    for (let count = 0; count < 50; count += 1) {
      expectations.learn('r', streamOf(1));
    }
    const ratio = expectations.ratio('r', sample) ?? NaN;
    expect(ratio).toBeGreaterThan(least);
    expect(ratio).toBeLessThan(most);
  });

  test('a plain answer is measured whole', () => {
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
