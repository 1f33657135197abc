/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against serving stale state after a suspension, and against waiting for a
 * control plane that is unreachable.
 */
import {SystemClock} from 'shared';

import {respondWithStream, TestEdge} from '../utils/TestEdge';

/** Time that a request waits for a control plane that does not reply, at least, ms. */
const MIN_REFRESH_MS = 400;

/** A clock whose wall time advances during a suspension, but not its monotonic time. */
class SuspendableClock extends SystemClock {
  private suspendedMs = 0;

  override wallTime(): number {
    return super.wallTime() + this.suspendedMs;
  }

  suspend(ms: number): void {
    this.suspendedMs += ms;
  }
}

describe('Edge after a suspension', () => {
  let clock: SuspendableClock;
  let testEdge: TestEdge;

  beforeEach(async () => {
    clock = new SuspendableClock();
    testEdge = await TestEdge.open(clock);
    testEdge.configure({});
    await testEdge.startUpstream('e1-1', respondWithStream);
  });

  afterEach(() => testEdge[Symbol.asyncDispose]());

  function loggedPhases(): string[] {
    return testEdge.log.decisions.flatMap((line) =>
      line.event === 'process-changed' ? [line.phase] : [],
    );
  }

  test('refreshes its state before it serves requests', async () => {
    expect((await testEdge.sendRequest('first')).status).toBe(200);
    // The state changes one event loop iteration after the edge detects the suspension.
    testEdge.link.resetConnections = () =>
      void setImmediate(() => testEdge.configure({pathPrefix: '/elsewhere/'}));
    clock.suspend(5_000);
    // No control box confirms it, so the edge does not say that the route is not there.
    expect((await testEdge.sendRequest('second')).status).toBe(503);
    expect(testEdge.endCauses.at(-1)).toBe('configuration-overdue');
    expect(loggedPhases()).toContain('woke');
  });

  test('serves from its cached state if the control plane does not reply', async () => {
    clock.suspend(5_000);
    expect((await testEdge.sendRequest('first')).status).toBe(200);
    expect((await testEdge.sendRequest('second')).status).toBe(200);
    expect(loggedPhases().filter((phase) => phase === 'woke')).toHaveLength(1);
  });

  // Requests were dated when the refresh had ended, so upstreams got too long a deadline.
  test('counts the refresh as time that has passed for the request', async () => {
    clock.suspend(5_000);
    expect((await testEdge.sendRequest('first')).status).toBe(200);
    const tookMs = testEdge.log.decisions.flatMap((line) =>
      line.event === 'request-ended' ? [line.tookMs] : [],
    );
    expect(tookMs).toHaveLength(1);
    expect(tookMs[0]).toBeGreaterThanOrEqual(MIN_REFRESH_MS);
  });
});
