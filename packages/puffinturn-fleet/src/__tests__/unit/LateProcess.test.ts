/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against requests decided by old state right after the process of an edge ran late. */
import {NoopDecisionLog} from 'puffinturn-decisions';
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random} from 'shared';

import type {WatchReply, WatchRequest} from '../../index';
import {BOX_ROLE, FLEET_SERVICE, FleetWatch} from '../../index';
import {configurationOf} from '../utils/FleetFixture';
import {RecordingHandler} from '../utils/WatchedFleet';

const CONTROL = 'c1:1';
const EDGE = 'e1:1';

/** A clock that can jump ahead of its timers, as in a process without processor time. */
class JumpingClock extends ManualClock {
  private aheadMs = 0;

  override now(): number {
    return super.now() + this.aheadMs;
  }

  jump(ms: number): void {
    this.aheadMs += ms;
  }
}

/** An edge that polls one control box. */
class LateProcess {
  readonly clock = new JumpingClock();
  readonly network = new MemoryNetwork(this.clock, new Random(3));
  readonly handler = new RecordingHandler();
  readonly watch: FleetWatch;
  version = 1;

  constructor() {
    this.network
      .connect(CONTROL)
      .register(FLEET_SERVICE.watch, (body) =>
        this.reply(body as WatchRequest),
      );
    this.watch = new FleetWatch({
      maxPolledControls: 2,
      clock: this.clock,
      link: this.network.connect(EDGE),
      log: new NoopDecisionLog(),
      updateHandler: this.handler,
      seeds: () => [CONTROL],
      self: {box: EDGE, hall: 'z', incarnation: '1', role: BOX_ROLE.edge},
    });
  }

  private async reply(request: WatchRequest): Promise<WatchReply> {
    if (request.configurationVersion >= this.version) {
      await this.clock.sleep(request.waitMs);
    }
    return {
      boxes: undefined,
      boxesRevision: 1,
      configuration:
        request.configurationVersion < this.version
          ? configurationOf(this.version)
          : undefined,
      configurationChange: undefined,
      current: true,
      evacuations: undefined,
      heldMs: 0,
      heldVersion: this.version,
      incarnation: '1',
      leader: CONTROL,
      stateAgeMs: 0,
      upstreams: [],
      upstreamsRevision: 0,
    };
  }
}

describe('An edge whose process ran late', () => {
  test('lets requests wait for the newest configuration', async () => {
    const late = new LateProcess();
    const {clock, handler, watch} = late;
    await clock.advance(3_000);
    expect(watch.isCatchingUp).toBe(false);
    late.version = 2;
    clock.jump(3_000);
    expect(watch.isCatchingUp).toBe(true);
    await clock.advance(20);
    expect(watch.isCatchingUp).toBe(false);
    expect(handler.configurationVersion).toBe(2);
  });

  test('lets requests wait for 200 ms if no control box replies', async () => {
    const {clock, network, watch} = new LateProcess();
    await clock.advance(3_000);
    network.partition([EDGE], [CONTROL]);
    clock.jump(3_000);
    expect(watch.isCatchingUp).toBe(true);
    await clock.advance(200);
    expect(watch.isCatchingUp).toBe(false);
  });

  test('never lets requests wait in a cut', async () => {
    const {clock, network, watch} = new LateProcess();
    await clock.advance(3_000);
    network.partition([EDGE], [CONTROL]);
    for (let at = 0; at < 10_000; at += 50) {
      await clock.advance(50);
      expect(watch.isCatchingUp).toBe(false);
    }
  });
});
