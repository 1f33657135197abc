/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {SystemClock} from 'shared';

import {ServingEdge, streams} from '../utils/ServingEdge';

/** A machine's clocks across a suspension: only the time of day goes on. */
class SuspendableClock extends SystemClock {
  private suspendedMs = 0;

  override wallTime(): number {
    return super.wallTime() + this.suspendedMs;
  }

  suspend(ms: number): void {
    this.suspendedMs += ms;
  }
}

describe('An edge whose machine was suspended', () => {
  let clock: SuspendableClock;
  let serving: ServingEdge;

  beforeEach(async () => {
    clock = new SuspendableClock();
    serving = await ServingEdge.open(clock);
    serving.configure({});
    await serving.start('e1-1', streams);
  });

  afterEach(() => serving[Symbol.asyncDispose]());

  function phases(): string[] {
    return serving.log.lines.flatMap((line) =>
      line.event === 'process-changed' ? [line.phase] : [],
    );
  }

  test('asks for all anew before it answers', async () => {
    expect((await serving.ask('first')).status).toBe(200);
    // What the edge holds changes a turn of the event loop after it has noticed.
    serving.link.redial = () =>
      void setImmediate(() => serving.configure({pathPrefix: '/elsewhere/'}));
    clock.suspend(5_000);
    expect((await serving.ask('second')).status).toBe(404);
    expect(phases()).toContain('woke');
  });

  test('serves from what it holds where the core does not answer', async () => {
    clock.suspend(5_000);
    expect((await serving.ask('first')).status).toBe(200);
    expect((await serving.ask('second')).status).toBe(200);
    expect(phases().filter((phase) => phase === 'woke')).toHaveLength(1);
  });
});
