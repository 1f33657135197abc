/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {InMemoryDecisionLog} from 'puffinturn-decisions';
import {ManualClock} from 'shared';

import {CrossRegionEpisodes} from '../../regions/CrossRegionEpisodes';

// Guards against a log line for each request to another region.
describe('CrossRegionEpisodes', () => {
  test('logs only the start and the end of an episode', async () => {
    const clock = new ManualClock();
    const log = new InMemoryDecisionLog();
    await using episodes = new CrossRegionEpisodes(clock, log);
    for (let count = 0; count < 200; count += 1) {
      episodes.recordRequest('s');
      await clock.advance(100);
    }
    episodes.recordRequest('other');
    expect(log.decisions).toEqual([
      {crossing: true, event: 'crossing-changed', requests: 1, service: 's'},
      {
        crossing: true,
        event: 'crossing-changed',
        requests: 1,
        service: 'other',
      },
    ]);
    await clock.advance(6_000);
    expect(log.decisions.slice(2)).toEqual([
      {crossing: false, event: 'crossing-changed', requests: 200, service: 's'},
      {
        crossing: false,
        event: 'crossing-changed',
        requests: 1,
        service: 'other',
      },
    ]);
    episodes.recordRequest('s');
    expect(log.decisions).toHaveLength(5);
  });
});
