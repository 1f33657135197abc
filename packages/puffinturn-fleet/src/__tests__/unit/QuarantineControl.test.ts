/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {CrashReportReply, CrashReportRequest} from '../../index';
import {FLEET_SERVICE} from '../../index';
import {CONTROL_BOXES, RolloutFleet} from '../utils/RolloutFleet';

const MINUTE_MS = 60_000;

/** Time after which a quarantine has expired and the leader has ended it. */
const QUARANTINE_ENDED_MS = 12 * MINUTE_MS;

// Every control box must show the same quarantine, and none may outlast its time.
describe('Crash reports at control boxes', () => {
  let fleet: RolloutFleet;

  beforeEach(async () => {
    fleet = await RolloutFleet.start();
  });

  function report(
    control: string,
    incarnationId: string,
  ): Promise<CrashReportReply> {
    const crashes = [{agoMs: 0, fingerprints: ['f'], life: incarnationId}];
    const request: CrashReportRequest = {
      box: 'x:1',
      report: {answered: [], crashes},
    };
    return fleet.call(control, FLEET_SERVICE.reportCrashes, request);
  }

  async function quarantined(control: string): Promise<readonly string[]> {
    const {quarantine} = await fleet.watch(control);
    return quarantine?.fingerprints ?? [];
  }

  test('count at whichever box they arrive, and all boxes show the outcome', async () => {
    for (const [index, control] of CONTROL_BOXES.entries()) {
      expect(await quarantined(control)).toEqual([]);
      expect(await report(control, `incarnation ${index}`)).toEqual({
        taken: true,
      });
      await fleet.clock.advance(1_000);
    }
    for (const control of CONTROL_BOXES) {
      expect(await quarantined(control)).toEqual(['f']);
    }
  });

  test('quarantine again, and a delayed copy of an earlier release does not end it', async () => {
    const leader = fleet.leaderBox();
    const [delayed = '', other = ''] = CONTROL_BOXES.filter(
      (box) => box !== leader,
    );
    const crashThrice = async (name: string): Promise<void> => {
      for (const count of [1, 2, 3]) {
        await report(leader, `${name} ${count}`);
        await fleet.clock.advance(1_000);
      }
    };
    const release = (box: string): Promise<boolean> =>
      fleet.waitFor(fleet.getControl(box).releaseQuarantined('f'));
    await crashThrice('first');
    fleet.network.holdMessages(delayed, leader);
    expect(await release(delayed)).toBe(false);
    expect(await release(other)).toBe(true);
    expect(await quarantined(leader)).toEqual([]);
    await crashThrice('second');
    fleet.network.heal();
    await fleet.clock.advance(2_000);
    expect(await quarantined(leader)).toEqual(['f']);
    expect(await release(delayed)).toBe(true);
    expect(await quarantined(leader)).toEqual([]);
  });

  test('are dropped once the quarantine has expired', async () => {
    for (const [index, control] of CONTROL_BOXES.entries()) {
      await report(control, `incarnation ${index}`);
      await fleet.clock.advance(1_000);
    }
    await fleet.clock.advance(QUARANTINE_ENDED_MS);
    // The end of the quarantine is sent to boxes as a new revision.
    expect(await quarantined('c1:1')).toEqual([]);
    await report('c1:1', 'another incarnation');
    await fleet.clock.advance(1_000);
    expect(await quarantined('c1:1')).toEqual(['f']);
  });
});
