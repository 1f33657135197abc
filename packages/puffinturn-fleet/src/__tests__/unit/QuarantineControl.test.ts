/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {CrashReply, CrashRequest} from '../../index';
import {FLEET_SERVICE} from '../../index';
import {CONTROLS, RolloutFleet} from '../utils/RolloutFleet';

const MINUTE_MS = 60_000;

/** A quarantine is over, and the leader has looked since. */
const OVER_MS = 12 * MINUTE_MS;

describe('Reports of crashes to control boxes', () => {
  let fleet: RolloutFleet;

  beforeEach(async () => {
    fleet = await RolloutFleet.start();
  });

  function report(control: string, life: string): Promise<CrashReply> {
    const crashes = [{agoMs: 0, fingerprints: ['f'], life}];
    const request: CrashRequest = {
      box: 'x:1',
      report: {answered: [], crashes},
    };
    return fleet.call(control, FLEET_SERVICE.reportCrashes, request);
  }

  async function quarantined(control: string): Promise<readonly string[]> {
    const {quarantine} = await fleet.watch(control);
    return quarantine?.fingerprints ?? [];
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
