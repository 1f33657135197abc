/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against connections that keep the event loop without a trace of which they are. */
import type {ReadLoad, ReadSource} from '../../ReadScheduler';
import {ReadScheduler} from '../../ReadScheduler';

class TestSource implements ReadSource {
  readonly loads: ReadLoad[] = [];

  onCostlyReads(load: ReadLoad): void {
    this.loads.push(load);
  }
}

function nextIteration(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

describe('ReadScheduler', () => {
  test('reports the reads of one connection in one iteration, if they took long', async () => {
    const scheduler = new ReadScheduler();
    const slow = new TestSource();
    const fast = new TestSource();
    scheduler.record(slow, {bytes: 10, pieces: 2, tookMs: 15});
    scheduler.record(fast, {bytes: 10, pieces: 2, tookMs: 15});
    scheduler.record(slow, {bytes: 20, pieces: 3, tookMs: 5});
    await nextIteration();
    scheduler.record(fast, {bytes: 10, pieces: 2, tookMs: 15});
    await nextIteration();
    expect(slow.loads).toEqual([{bytes: 30, pieces: 5, reads: 2, tookMs: 20}]);
    expect(fast.loads).toEqual([]);
  });
});
