/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against a log that is flooded by one upstream, or that loses what was not written. */
import {InMemoryDecisionLog} from 'puffinturn-decisions';
import {ManualClock} from 'shared';

import {CostlyReadLog} from '../../connections/CostlyReadLog';

const LOAD = {bytes: 100, pieces: 10, reads: 2, tookMs: 30};

describe('CostlyReadLog', () => {
  test('writes a line a second at most, which adds up what came since the last one', async () => {
    const clock = new ManualClock();
    const log = new InMemoryDecisionLog();
    const costlyReads = new CostlyReadLog('a', clock, log);
    costlyReads.record(LOAD);
    for (let count = 0; count < 3; count += 1) {
      await clock.advance(300);
      costlyReads.record({...LOAD, tookMs: 10 * count});
    }
    expect(log.decisions).toHaveLength(1);
    await clock.advance(100);
    costlyReads.record(LOAD);
    expect(log.decisions).toHaveLength(2);
    expect(log.decisions[1]).toMatchObject({
      bytes: 400,
      event: 'costly-reads',
      iterations: 4,
      maxTookMs: 30,
      pieces: 40,
      reads: 8,
      tookMs: 60,
      upstream: 'a',
    });
  });
});
