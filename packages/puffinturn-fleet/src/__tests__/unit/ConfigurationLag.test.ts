/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {InMemoryDecisionLog} from 'puffinturn-decisions';
import {ManualClock} from 'shared';

import {ConfigurationLag, OVERDUE_AFTER_MS} from '../../ConfigurationLag';

function createLag() {
  const clock = new ManualClock();
  const log = new InMemoryDecisionLog();
  const box = {version: 1};
  const lag = new ConfigurationLag(clock, log, () => box.version);
  return {box, clock, lag, log};
}

// A missing version must be detected even if newer versions are announced meanwhile.
describe('ConfigurationLag', () => {
  test('measures the delay from the first missing version, not the latest', async () => {
    const {box, clock, lag} = createLag();
    expect(lag.overdueInMs).toBe(Infinity);
    lag.recordVersion(2, 'c1');
    expect(lag.overdueInMs).toBe(OVERDUE_AFTER_MS);
    await clock.advance(200);
    lag.recordVersion(3, 'c1');
    expect(lag.overdueInMs).toBe(OVERDUE_AFTER_MS - 200);
    expect(lag.announcedVersion).toBe(3);
    box.version = 3;
    lag.recordVersion(2, 'c2');
    expect(lag.overdueInMs).toBe(Infinity);
  });

  test('logs an overdue version once', async () => {
    const {clock, lag, log} = createLag();
    lag.recordVersion(2, 'c1');
    await clock.advance(OVERDUE_AFTER_MS);
    lag.recordVersion(2, 'c1');
    lag.recordVersion(2, 'c2');
    expect(log.decisions).toEqual([
      {
        behindMs: OVERDUE_AFTER_MS,
        event: 'configuration-overdue',
        held: 1,
        source: 'c1',
        version: 2,
      },
    ]);
  });
});
