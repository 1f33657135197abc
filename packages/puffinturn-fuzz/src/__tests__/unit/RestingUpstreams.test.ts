/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Both engines turn requests away and ask for four seconds of rest, while each box is
 * asked for something every 300 ms. Without a memory of what they asked for, each
 * request is sent to both of them.
 */
import {REST_S} from '../../FakeUpstreams';
import type {Step} from '../../index';
import {FuzzRun} from '../../index';
import {ask, engines} from '../utils/Scenarios';

const SEED = 7;

const BOXES = ['n1', 'n2', 'n4'];

/** Time between two requests: every box gets some in each rest, ms. */
const BETWEEN_MS = 100;

function requests(first: number, count: number): Step[] {
  return Array.from({length: count}, (_, turn) => {
    const box = BOXES[turn % BOXES.length] ?? '';
    return ask(box, `o${first + turn}`, 'stream', BETWEEN_MS);
  });
}

describe('Upstreams that ask for rest', () => {
  test('get nothing from any box that they asked, and then all again', async () => {
    const report = await FuzzRun.run(SEED, [
      ...engines('resting'),
      ...requests(0, 90),
      ...engines('ok', REST_S * 1_000),
      ask('n1', 'last', 'stream'),
    ]);
    expect(report.breaches).toEqual([]);
    const rests = report.timeline.filter(
      ({kind}) => kind === 'upstream-resting',
    );
    expect(rests.length).toBeGreaterThan(BOXES.length);
    expect(report.tries.at(-1)).toMatchObject({outcome: 'ran', whole: true});
    expect(report.tries.slice(0, -1).map((each) => each.outcome)).toEqual(
      Array(90).fill('not-run'),
    );
  });
});
