/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against boxes that ignore the Retry-After header of an upstream and send it
 * more requests before that time has passed.
 */
import {RETRY_AFTER_S} from '../../FakeUpstreams';
import type {Step} from '../../index';
import {FuzzRun} from '../../index';
import {requestStep, setEngineModes} from '../utils/Scenarios';

const FLEET_SEED = 7;

const BOXES = ['n1', 'n2', 'n4'];

/** Short enough for every box to get requests in each back-off, ms. */
const REQUEST_INTERVAL_MS = 100;

function createRequests(first: number, count: number): Step[] {
  return Array.from({length: count}, (_, index) => {
    const box = BOXES[index % BOXES.length] ?? '';
    return requestStep(box, `o${first + index}`, 'stream', REQUEST_INTERVAL_MS);
  });
}

describe('Upstreams that send Retry-After', () => {
  test('get no requests during the back-off and serve again after it', async () => {
    const report = await FuzzRun.run(FLEET_SEED, [
      ...setEngineModes('resting'),
      ...createRequests(0, 90),
      ...setEngineModes('ok', RETRY_AFTER_S * 1_000),
      requestStep('n1', 'last', 'stream'),
    ]);
    expect(report.breaches).toEqual([]);
    const backoffEvents = report.timeline.filter(
      ({kind}) => kind === 'upstream-resting',
    );
    expect(backoffEvents.length).toBeGreaterThan(BOXES.length);
    expect(report.attempts.at(-1)).toMatchObject({
      outcome: 'ran',
      isComplete: true,
    });
    expect(
      report.attempts.slice(0, -1).map((attempt) => attempt.outcome),
    ).toEqual(Array(90).fill('not-run'));
  });
});
