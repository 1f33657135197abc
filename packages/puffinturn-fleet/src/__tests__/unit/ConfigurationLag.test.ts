/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {KeptDecisionLog} from 'puffinturn-decisions';
import {ManualClock} from 'shared';

import {ConfigurationLag, OVERDUE_MS} from '../../ConfigurationLag';

function lagOf() {
  const clock = new ManualClock();
  const log = new KeptDecisionLog();
  const box = {held: 1};
  const lag = new ConfigurationLag(clock, log, () => box.held);
  return {box, clock, lag, log};
}

describe('ConfigurationLag', () => {
  test('counts from the first version that is lacking, not from the newest', async () => {
    const {box, clock, lag} = lagOf();
    expect(lag.dueInMs).toBe(Infinity);
    lag.learn(2, 'c1');
    expect(lag.dueInMs).toBe(OVERDUE_MS);
    await clock.advance(200);
    lag.learn(3, 'c1');
    expect(lag.dueInMs).toBe(OVERDUE_MS - 200);
    expect(lag.namedVersion).toBe(3);
    box.held = 3;
    lag.learn(2, 'c2');
    expect(lag.dueInMs).toBe(Infinity);
  });

  test('writes an overdue version down once', async () => {
    const {clock, lag, log} = lagOf();
    lag.learn(2, 'c1');
    await clock.advance(OVERDUE_MS);
    lag.learn(2, 'c1');
    lag.learn(2, 'c2');
    expect(log.lines).toEqual([
      {
        behindMs: OVERDUE_MS,
        event: 'configuration-overdue',
        held: 1,
        source: 'c1',
        version: 2,
      },
    ]);
  });
});
