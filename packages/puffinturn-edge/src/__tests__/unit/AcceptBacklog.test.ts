/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against queued requests that are taken for new ones, and the reverse. */
import {ManualClock} from 'shared';

import type {AcceptedConnection} from '../../callers/AcceptBacklog';
import {AcceptBacklog, NEGLIGIBLE_AGE_MS} from '../../callers/AcceptBacklog';

/** Duration of an event loop iteration, ms. */
const ITERATION_MS = 40;

/** An event loop that accepts connections under control of the test. */
class SimulatedLoop {
  readonly clock = new ManualClock();
  readonly backlog = new AcceptBacklog(this.clock);

  /** Runs an iteration that accepts a connection; its request is read by the next one. */
  async accept(): Promise<AcceptedConnection> {
    const accepted = this.backlog.recordAccept();
    await this.iterate();
    return accepted;
  }

  async iterate(ms = ITERATION_MS): Promise<boolean> {
    await this.clock.advance(ms);
    return this.backlog.endIteration();
  }

  estimatedAge(accepted?: AcceptedConnection): number {
    return this.clock.now() - this.backlog.estimateArrival(accepted);
  }
}

describe('AcceptBacklog', () => {
  test('reports no age while the queue is empty', async () => {
    const loop = new SimulatedLoop();
    for (let count = 0; count < 20; count += 1) {
      await loop.iterate();
      await loop.iterate();
      expect(loop.estimatedAge(await loop.accept())).toBe(0);
    }
    expect(loop.backlog.queueAgeMs).toBe(0);
  });

  test('dates requests that arrive after a pause to after the pause', async () => {
    const loop = new SimulatedLoop();
    await loop.iterate();
    expect(await loop.iterate(10 * ITERATION_MS)).toBe(true);
    await loop.iterate(0);
    await loop.clock.advance(ITERATION_MS);
    expect(loop.estimatedAge()).toBe(0);
    expect(loop.estimatedAge(loop.backlog.recordAccept())).toBe(0);
  });

  test('reports the time since the queue was last empty', async () => {
    const loop = new SimulatedLoop();
    await loop.iterate();
    const queueEmptyAt = loop.clock.now();
    await loop.iterate();
    for (let count = 0; count < 50; count += 1) {
      const accepted = await loop.accept();
      const expectedAge = loop.clock.now() - queueEmptyAt;
      expect(loop.estimatedAge(accepted)).toBe(
        expectedAge < NEGLIGIBLE_AGE_MS ? 0 : expectedAge,
      );
    }
    expect(loop.backlog.queueAgeMs).toBe(51 * ITERATION_MS);
  });

  test('reports no age after an iteration without connections', async () => {
    const loop = new SimulatedLoop();
    for (let count = 0; count < 50; count += 1) {
      loop.backlog.recordAccept();
      expect(await loop.iterate()).toBe(true);
    }
    expect(await loop.iterate()).toBe(false);
    expect(loop.backlog.queueAgeMs).toBe(0);
    expect(loop.estimatedAge(await loop.accept())).toBe(0);
  });

  test('dates connections to the start of a long iteration', async () => {
    const loop = new SimulatedLoop();
    await loop.iterate();
    await loop.iterate(3_000);
    const accepted = await loop.accept();
    expect(loop.estimatedAge(accepted)).toBeGreaterThanOrEqual(3_000);
  });

  test('bounds the age of connections accepted after a probe', async () => {
    const loop = new SimulatedLoop();
    for (let count = 0; count < 50; count += 1) {
      await loop.accept();
    }
    const probe = loop.backlog.startProbe();
    for (let count = 0; count < 10; count += 1) {
      await loop.accept();
    }
    loop.backlog.recordProbeAccept(probe);
    await loop.iterate();
    expect(loop.estimatedAge(await loop.accept())).toBe(12 * ITERATION_MS);
  });

  test('ignores a probe that is older than an empty iteration', async () => {
    const loop = new SimulatedLoop();
    const probe = loop.backlog.startProbe();
    for (let count = 0; count < 20; count += 1) {
      await loop.iterate();
    }
    loop.backlog.recordProbeAccept(probe);
    await loop.iterate();
    expect(loop.backlog.queueAgeMs).toBe(0);
  });

  test('never underestimates the age of a request', async () => {
    const loop = new SimulatedLoop();
    // Every tenth iteration adds a probe; the queue grows all the time.
    const queue: {readonly arrivedAt: number; readonly isProbe: boolean}[] = [];
    const probes: ReturnType<AcceptBacklog['startProbe']>[] = [];
    for (let iteration = 0; iteration < 400; iteration += 1) {
      const arrivedAt = loop.clock.now();
      queue.push(
        {arrivedAt, isProbe: false},
        {arrivedAt, isProbe: iteration % 10 === 0},
      );
      if (iteration % 10 === 0) {
        probes.push(loop.backlog.startProbe());
      }
      const first = queue.shift();
      const probe = first?.isProbe === true ? probes.shift() : undefined;
      if (probe !== undefined) {
        loop.backlog.recordProbeAccept(probe);
        await loop.iterate();
        continue;
      }
      const accepted = await loop.accept();
      const age = loop.clock.now() - (first?.arrivedAt ?? 0);
      const estimatedAge = loop.estimatedAge(accepted);
      expect(estimatedAge + NEGLIGIBLE_AGE_MS).toBeGreaterThan(age);
      expect(estimatedAge).toBeLessThanOrEqual(age + 21 * ITERATION_MS);
    }
  });

  test('dates later requests of a connection within two iterations', async () => {
    const loop = new SimulatedLoop();
    let accepted: AcceptedConnection | undefined;
    for (let count = 0; count < 50; count += 1) {
      accepted = await loop.accept();
    }
    await loop.accept();
    expect(loop.estimatedAge(accepted)).toBe(0);
    await loop.iterate(500);
    await loop.iterate(500);
    expect(loop.estimatedAge(undefined)).toBe(500);
  });
});
