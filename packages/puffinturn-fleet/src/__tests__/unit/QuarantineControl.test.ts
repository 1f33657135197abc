/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {
  CrashReply,
  CrashRequest,
  WatchReply,
  WatchRequest,
} from '../../index';
import {BOX_ROLE, FLEET_SERVICE} from '../../index';
import {CONTROLS, RolloutFleet} from '../utils/RolloutFleet';

const CALL_MS = 5_000;

const MINUTE_MS = 60_000;

/** A quarantine is over, and the leader has looked since. */
const OVER_MS = 12 * MINUTE_MS;

describe('Reports of crashes to control boxes', () => {
  let fleet: RolloutFleet;

  beforeEach(async () => {
    fleet = await RolloutFleet.start();
  });

  async function call<Reply>(
    control: string,
    service: string,
    body: unknown,
  ): Promise<Reply> {
    const link = fleet.network.connect('x:1');
    const answer = await fleet.settle(
      Promise.resolve(link.call(control, service, body, CALL_MS)),
    );
    return answer._unsafeUnwrap() as Reply;
  }

  function report(control: string, life: string): Promise<CrashReply> {
    const crashes = [{agoMs: 0, fingerprints: ['f'], life}];
    const request: CrashRequest = {
      box: 'x:1',
      report: {answered: [], crashes},
    };
    return call(control, FLEET_SERVICE.reportCrashes, request);
  }

  async function quarantined(control: string): Promise<readonly string[]> {
    const request: WatchRequest = {
      boxesRevision: -1,
      brief: true,
      configurationVersion: Infinity,
      current: false,
      evacuationRevision: Infinity,
      from: {box: 'x:1', hall: 'z', incarnation: '1', role: BOX_ROLE.edge},
      incarnation: '',
      quarantineRevision: 0,
      upstreamsRevision: 0,
      waitMs: 0,
    };
    const reply = await call<WatchReply>(control, FLEET_SERVICE.watch, request);
    return reply.quarantine?.fingerprints ?? [];
  }

  test('count whichever box takes them, and each box tells the outcome', async () => {
    for (const [at, control] of CONTROLS.entries()) {
      expect(await quarantined(control)).toEqual([]);
      expect(await report(control, `life ${at}`)).toEqual({taken: true});
      await fleet.clock.advance(1_000);
    }
    for (const control of CONTROLS) {
      expect(await quarantined(control)).toEqual(['f']);
    }
  });

  test('are forgotten by themselves once the time is over', async () => {
    for (const [at, control] of CONTROLS.entries()) {
      await report(control, `life ${at}`);
      await fleet.clock.advance(1_000);
    }
    await fleet.clock.advance(OVER_MS);
    // A revision that boxes hear of says that nothing is quarantined any more.
    expect(await quarantined('c1:1')).toEqual([]);
    await report('c1:1', 'one more');
    await fleet.clock.advance(1_000);
    expect(await quarantined('c1:1')).toEqual(['f']);
  });
});
