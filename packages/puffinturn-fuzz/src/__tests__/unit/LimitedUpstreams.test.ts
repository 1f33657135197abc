/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Both engines name one request a second that they take from all boxes, while each of
 * three boxes is asked for something every 300 ms. A box that keeps to that by itself
 * lets three times as much through.
 */
import {LIMIT_PER_S} from '../../FakeUpstreams';
import type {Step} from '../../index';
import {FuzzRun} from '../../index';
import {ask, engines} from '../utils/Scenarios';

const BOXES = ['n1', 'n2', 'n4'];
const ENGINES = 2;

/** Time between two requests, ms. */
const BETWEEN_MS = 100;

const REQUESTS = 150;
const RUN_S = (REQUESTS * BETWEEN_MS) / 1_000;

function requests(first: number, count: number): Step[] {
  return Array.from({length: count}, (_, turn) => {
    const box = BOXES[turn % BOXES.length] ?? '';
    return ask(box, `o${first + turn}`, 'stream', BETWEEN_MS);
  });
}

describe('Upstreams that name a limit', () => {
  test.each([3, 7])(
    'get no more from all boxes together (seed %i)',
    async (seed) => {
      const report = await FuzzRun.run(seed, [
        ...engines('limited'),
        ...requests(0, REQUESTS),
        ...engines('ok', 4_000),
        ask('n1', 'once more', 'stream'),
        ask('n1', 'last', 'stream'),
      ]);
      expect(report.breaches).toEqual([]);
      const told = report.timeline.filter(
        ({kind}) => kind === 'upstream-limited',
      );
      expect(told.length).toBeGreaterThan(0);
      const ran = report.tries.filter(({outcome}) => outcome === 'ran').length;
      expect(ran).toBeGreaterThan(0.5 * ENGINES * LIMIT_PER_S * RUN_S);
      expect(report.tries.at(-1)).toMatchObject({outcome: 'ran', whole: true});
    },
  );
});
