/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against latency baselines that depend on outliers, prompt or response length. */
import {Random} from 'shared';

import type {LatencySample} from '../../connections/LatencyBaselines';
import {LatencyBaselines} from '../../connections/LatencyBaselines';

/** A response that takes 310 ms for 10,000 prompt tokens, then 30 ms per event. */
function sampleOf(
  slowdown: number,
  promptTokens = 10_000,
  eventCount = 20,
): LatencySample {
  const firstByteMs = (60 + promptTokens / 40) * slowdown;
  return {
    eventCount,
    firstByteMs,
    promptTokens,
    totalMs: firstByteMs + eventCount * 30 * slowdown,
  };
}

describe('LatencyBaselines', () => {
  test('there is no ratio before five samples', () => {
    const baselines = new LatencyBaselines();
    for (let count = 0; count < 4; count += 1) {
      baselines.addSample('r', sampleOf(1));
    }
    expect(baselines.ratioToBaseline('r', sampleOf(1))).toBeUndefined();
    baselines.addSample('r', sampleOf(1));
    expect(baselines.ratioToBaseline('r', sampleOf(1))).toBeCloseTo(1);
    expect(baselines.ratioToBaseline('other', sampleOf(1))).toBeUndefined();
  });

  test('a few outliers do not shift the baseline', () => {
    const baselines = new LatencyBaselines();
    const random = new Random(1);
    for (let count = 0; count < 300; count += 1) {
      const slowdown = count % 40 === 0 ? 20 : 0.8 + random.fraction() * 0.4;
      baselines.addSample('r', sampleOf(slowdown));
    }
    expect(baselines.ratioToBaseline('r', sampleOf(1))).toBeGreaterThan(0.7);
    expect(baselines.ratioToBaseline('r', sampleOf(4))).toBeGreaterThan(2.8);
  });

  test.each([
    ['a shorter prompt', sampleOf(1, 100), 0.5, 1.6],
    ['a longer prompt', sampleOf(1, 40_000), 0.5, 1.6],
    ['a longer response', sampleOf(1, 10_000, 200), 0.7, 1.3],
    [
      'a slow prompt',
      {...sampleOf(1), firstByteMs: 1_200, totalMs: 1_800},
      2.8,
      5,
    ],
    ['slow events', {...sampleOf(1), totalMs: 310 + 20 * 120}, 2.8, 5],
  ])(
    'the ratio of %s is normalized by prompt length and event count',
    (_, sample, least, most) => {
      const baselines = new LatencyBaselines();
      for (let count = 0; count < 50; count += 1) {
        baselines.addSample('r', sampleOf(1));
      }
      const ratio = baselines.ratioToBaseline('r', sample) ?? NaN;
      expect(ratio).toBeGreaterThan(least);
      expect(ratio).toBeLessThan(most);
    },
  );

  test('a response without events is compared by its total time', () => {
    const baselines = new LatencyBaselines();
    const plain = (totalMs: number) => {
      return {
        eventCount: 0,
        firstByteMs: totalMs - 1,
        promptTokens: 0,
        totalMs,
      };
    };
    for (let count = 0; count < 50; count += 1) {
      baselines.addSample('r', plain(60));
    }
    expect(baselines.ratioToBaseline('r', plain(60))).toBeCloseTo(1);
    expect(baselines.ratioToBaseline('r', plain(240))).toBeGreaterThan(3);
  });
});
