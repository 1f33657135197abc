/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against boxes that apply an upstream's rate limit separately: three boxes would
 * together send three times the rate.
 */
import {RATE_LIMIT_PER_S} from '../../FakeUpstreams';
import type {Step} from '../../index';
import {FuzzRun} from '../../index';
import {requestStep, setEngineModes} from '../utils/Scenarios';

const BOXES = ['n1', 'n2', 'n4'];
const ENGINE_COUNT = 2;

const REQUEST_INTERVAL_MS = 100;

const REQUEST_COUNT = 150;
const RUN_DURATION_S = (REQUEST_COUNT * REQUEST_INTERVAL_MS) / 1_000;

function createRequests(first: number, count: number): Step[] {
  return Array.from({length: count}, (_, index) => {
    const box = BOXES[index % BOXES.length] ?? '';
    return requestStep(box, `o${first + index}`, 'stream', REQUEST_INTERVAL_MS);
  });
}

describe('Upstreams that announce a rate limit', () => {
  test.each([3, 7])(
    'get no more requests than that from all boxes together (seed %i)',
    async (seed) => {
      const report = await FuzzRun.run(seed, [
        ...setEngineModes('limited'),
        ...createRequests(0, REQUEST_COUNT),
        ...setEngineModes('ok', 4_000),
        requestStep('n1', 'once more', 'stream'),
        requestStep('n1', 'last', 'stream'),
      ]);
      expect(report.breaches).toEqual([]);
      const limitEvents = report.timeline.filter(
        ({kind}) => kind === 'upstream-limited',
      );
      expect(limitEvents.length).toBeGreaterThan(0);
      const servedCount = report.attempts.filter(
        ({outcome}) => outcome === 'ran',
      ).length;
      expect(servedCount).toBeGreaterThan(
        0.5 * ENGINE_COUNT * RATE_LIMIT_PER_S * RUN_DURATION_S,
      );
      expect(report.attempts.at(-1)).toMatchObject({
        isComplete: true,
        outcome: 'ran',
      });
    },
  );
});
