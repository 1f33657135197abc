/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {
  CrashReportReply,
  CrashReportRequest,
  ReleaseOutcome,
} from '../../index';
import {FLEET_SERVICE, RELEASE_OUTCOME} from '../../index';
import {CONTROL_BOXES, RolloutFleet} from '../utils/RolloutFleet';

const MINUTE_MS = 60_000;

/** Time after which a quarantine has expired and the leader has ended it. */
const QUARANTINE_ENDED_MS = 12 * MINUTE_MS;

/** Pause of operators after an order that no quorum has answered, ms. */
const RETRY_INTERVAL_MS = 500;

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

  async function crashThrice(control: string, name: string): Promise<void> {
    for (const count of [1, 2, 3]) {
      await report(control, `${name} ${count}`);
      await fleet.clock.advance(1_000);
    }
  }

  function release(control: string, entry = 'f'): Promise<ReleaseOutcome> {
    return fleet.waitFor(fleet.getControl(control).releaseQuarantined(entry));
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
    await crashThrice(leader, 'first');
    fleet.network.holdMessages(delayed, leader);
    expect(await release(delayed)).toBe(RELEASE_OUTCOME.unavailable);
    expect(await release(other)).toBe(RELEASE_OUTCOME.released);
    expect(await quarantined(leader)).toEqual([]);
    await crashThrice(leader, 'second');
    fleet.network.heal();
    await fleet.clock.advance(2_000);
    expect(await quarantined(leader)).toEqual(['f']);
    expect(await release(delayed)).toBe(RELEASE_OUTCOME.released);
    expect(await quarantined(leader)).toEqual([]);
  });

  /** Guards against 404 for entries in force, from a box that has just been started. */
  test('quarantine until a release at a box that was started a moment ago', async () => {
    const leader = fleet.leaderBox();
    const restarted = CONTROL_BOXES.filter((box) => box !== leader).slice(0, 1);
    const [box = ''] = restarted;
    await crashThrice(leader, 'first');
    fleet.crash(restarted);
    await fleet.startControlBoxes(restarted, 0);
    expect(fleet.getControl(box).quarantineEntries).toEqual([]);
    let outcome = await release(box);
    while (outcome === RELEASE_OUTCOME.unavailable) {
      await fleet.clock.advance(RETRY_INTERVAL_MS);
      outcome = await release(box);
    }
    expect(outcome).toBe(RELEASE_OUTCOME.released);
    expect(await quarantined(leader)).toEqual([]);
    await fleet.clock.advance(1_000);
    expect(await release(box)).toBe(RELEASE_OUTCOME.unknown);
  });

  test('are released at no box that can not tell whether there are any', async () => {
    await crashThrice(fleet.leaderBox(), 'first');
    fleet.crash();
    const [box = ''] = CONTROL_BOXES;
    await fleet.startControlBoxes([box], 0);
    expect(await release(box)).toBe(RELEASE_OUTCOME.unavailable);
    expect(fleet.logLines('quarantine-release').at(-1)).toMatchObject({
      entry: 'f',
      listed: false,
      outcome: RELEASE_OUTCOME.unavailable,
    });
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
