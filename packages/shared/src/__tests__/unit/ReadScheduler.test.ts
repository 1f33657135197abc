/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against connections that keep the event loop from all others while their peers send
 * fast, or without a trace of which they are.
 */
import type {ReadLoad, ReadSource} from '../../ReadScheduler';
import {MAX_PIECES_PER_ITERATION, ReadScheduler} from '../../ReadScheduler';

const TOO_MANY = MAX_PIECES_PER_ITERATION + 1;

class TestSource implements ReadSource {
  readonly loads: ReadLoad[] = [];
  isSuspended = false;

  suspendReading(): void {
    this.isSuspended = true;
  }

  resumeReading(): void {
    this.isSuspended = false;
  }

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

  test('suspends a connection that has brought too many pieces in one iteration', async () => {
    const scheduler = new ReadScheduler();
    const source = new TestSource();
    scheduler.record(source, {bytes: 0, pieces: TOO_MANY - 1, tookMs: 0});
    expect(source.isSuspended).toBe(false);
    await nextIteration();
    scheduler.record(source, {bytes: 0, pieces: TOO_MANY - 1, tookMs: 0});
    expect(source.isSuspended).toBe(false);
    scheduler.record(source, {bytes: 0, pieces: 1, tookMs: 0});
    expect(source.isSuspended).toBe(true);
    await nextIteration();
    expect(source.isSuspended).toBe(false);
    expect(source.loads).toHaveLength(1);
  });

  test('reads one suspended connection in each iteration, by turns', async () => {
    const scheduler = new ReadScheduler();
    const sources = [1, 2, 3].map(() => new TestSource());
    const order: number[] = [];
    sources.forEach((source) =>
      scheduler.record(source, {bytes: 0, pieces: TOO_MANY, tookMs: 0}),
    );
    for (let iteration = 0; iteration < 6; iteration += 1) {
      await nextIteration();
      const reading = sources.filter(({isSuspended}) => !isSuspended);
      expect(reading).toHaveLength(1);
      for (const source of reading) {
        order.push(sources.indexOf(source));
        scheduler.record(source, {bytes: 0, pieces: TOO_MANY, tookMs: 0});
      }
    }
    expect(order).toEqual([0, 1, 2, 0, 1, 2]);
  });

  test('does not resume a connection that was removed', async () => {
    const scheduler = new ReadScheduler();
    const source = new TestSource();
    scheduler.record(source, {bytes: 0, pieces: TOO_MANY, tookMs: 0});
    scheduler.remove(source);
    await nextIteration();
    expect(source.isSuspended).toBe(true);
    expect(source.loads).toEqual([]);
  });
});
