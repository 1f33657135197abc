/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {InMemoryDecisionLog} from 'puffinturn-decisions';
import {ManualClock} from 'shared';

import {UpstreamRefusals} from '../../index';

// Many invalid calls, long IDs and many causes must not flood the log.
describe('UpstreamRefusals', () => {
  test('are logged in at most one line of limited size per second', async () => {
    const clock = new ManualClock();
    const log = new InMemoryDecisionLog();
    await using refusals = new UpstreamRefusals(clock, log);
    for (let index = 0; index < 500; index += 1) {
      refusals.recordRefusal(
        'i'.repeat(500),
        index < 20 ? `cause-${index}` : 'zone',
      );
    }
    await clock.advance(1_001);
    expect(log.decisions).toHaveLength(1);
    expect(log.decisions[0]).toMatchObject({
      event: 'upstreams-refused',
      total: 500,
      upstream: 'i'.repeat(64),
    });
    const [line] = log.decisions;
    const causes = line?.event === 'upstreams-refused' ? line.causes : [];
    expect(causes).toHaveLength(13);
    expect(causes.reduce((sum, {count}) => sum + count, 0)).toBe(500);
    await clock.advance(5_000);
    expect(log.decisions).toHaveLength(1);
    refusals.recordRefusal('i-1', 'born');
    await clock.advance(1_001);
    expect(log.decisions[1]).toMatchObject({
      causes: [{cause: 'born', count: 1}],
      total: 501,
      upstream: 'i-1',
    });
  });
});
