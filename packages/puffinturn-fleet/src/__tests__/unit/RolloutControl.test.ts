/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {WatchReply, WatchRequest} from '../../index';
import {BOX_ROLE, FLEET_SERVICE, ROLLOUT_STATE} from '../../index';
import {
  CONTROL_BOXES,
  EXPOSURE_BOUND,
  FAILING,
  GOOD,
  RolloutFleet,
  SLOW,
} from '../utils/RolloutFleet';

// Guards against bad versions that stay in use, good ones that are rolled back, and
// rollouts that exceed the exposure bound or their deadline, also as leaders fail.

const DURATION_MS = 12_000;

/** Starts a fleet with edges and orders a rollout to `v2`. */
async function startRollout(edges = 10): Promise<RolloutFleet> {
  const fleet = await RolloutFleet.start();
  fleet.addEdges(edges);
  await fleet.run(1_000);
  fleet.addUpstreams('v2');
  expect(await fleet.orderRollout()).toEqual({outcome: 'accepted'});
  return fleet;
}

function hasOutcome(fleet: RolloutFleet): boolean {
  const state = fleet.rolloutState();
  return (
    state === ROLLOUT_STATE.completed || state === ROLLOUT_STATE.rolledBack
  );
}

function isShifting(fleet: RolloutFleet): boolean {
  return fleet.rolloutState() === ROLLOUT_STATE.shifting;
}

/** Runs until the rollout has an outcome. Returns the time that this took, ms. */
async function runToOutcome(fleet: RolloutFleet): Promise<number> {
  const startedAt = fleet.clock.now();
  await fleet.run(DURATION_MS, () => hasOutcome(fleet));
  return fleet.clock.now() - startedAt;
}

function expectExposureWithinBound(fleet: RolloutFleet): void {
  const {exposed, requests} = fleet.requestCounts;
  expect(exposed).toBeLessThanOrEqual(
    EXPOSURE_BOUND.share * requests + EXPOSURE_BOUND.extra,
  );
}

// Guards against completing a rollout to a bad version, and missing its deadline.
describe('A rollout', () => {
  test('of a good version is completed before its deadline', async () => {
    const fleet = await startRollout();
    const tookMs = await runToOutcome(fleet);
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.completed);
    expect(tookMs).toBeLessThan(DURATION_MS);
    const read = await fleet.readVersions();
    expect(read.current).toBe(true);
    expect(read.versions).toMatchObject({
      rollout: {state: ROLLOUT_STATE.completed, targetVersion: 'v2'},
      stableVersion: 'v2',
    });
  });

  test('of a good version is completed if both versions have errors', async () => {
    const fleet = await startRollout();
    fleet.getBehaviour = () => ({failureRate: 0.15, slowRate: 0.1});
    await runToOutcome(fleet);
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.completed);
  });

  test.each([
    ['fails', FAILING],
    ['is slow', SLOW],
  ])(
    'of a version that %s is rolled back before the 50th bad answer',
    async (_, behaviour) => {
      const fleet = await startRollout();
      fleet.getBehaviour = (version) => (version === 'v2' ? behaviour : GOOD);
      await runToOutcome(fleet);
      expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.rolledBack);
      expect(fleet.badAnswers).toBeLessThan(50);
      await fleet.runToDeadline();
      expectExposureWithinBound(fleet);
    },
  );

  test('of a version that fails on one route only is rolled back', async () => {
    const fleet = await startRollout();
    fleet.traffic = {
      requestsPerSecond: 200,
      routes: [
        ['r', 0.8],
        ['rare', 0.2],
      ],
    };
    fleet.getBehaviour = (version, route) =>
      version === 'v2' && route === 'rare' ? FAILING : GOOD;
    await runToOutcome(fleet);
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.rolledBack);
    await fleet.runToDeadline();
    expectExposureWithinBound(fleet);
  });

  test.each([2_000, 5_000, 7_000])(
    'of a version that becomes bad after %d ms is rolled back',
    async (afterMs) => {
      const fleet = await startRollout();
      const badSince = fleet.clock.now() + afterMs;
      fleet.getBehaviour = (version, _, now) =>
        version === 'v2' && now >= badSince ? FAILING : GOOD;
      await runToOutcome(fleet);
      expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.rolledBack);
      await fleet.runToDeadline();
      expectExposureWithinBound(fleet);
    },
  );

  test('of a version that fails during the shift is rolled back', async () => {
    const fleet = await startRollout();
    fleet.getBehaviour = (version) =>
      version === 'v2' && fleet.rolloutState() === ROLLOUT_STATE.shifting
        ? FAILING
        : GOOD;
    await runToOutcome(fleet);
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.rolledBack);
    await fleet.runToDeadline();
    expectExposureWithinBound(fleet);
  });

  test('without upstreams of the new version is rolled back at its deadline', async () => {
    const fleet = await RolloutFleet.start();
    fleet.addEdges(5);
    await fleet.orderRollout();
    const tookMs = await runToOutcome(fleet);
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.rolledBack);
    expect(tookMs).toBeGreaterThan(DURATION_MS / 2);
    expect(tookMs).toBeLessThan(DURATION_MS);
    const verdicts = fleet.logLines('rollout-judged');
    expect(verdicts.at(-1)).toMatchObject({cause: 'no-upstreams'});
  });

  test('is rolled back if most upstreams of the new version are removed', async () => {
    const fleet = await startRollout();
    await fleet.run(2_000);
    fleet.removeUpstreams('v2', 3);
    await runToOutcome(fleet);
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.rolledBack);
  });

  test('waits for a warm upstream before the canary phase, but not for long', async () => {
    const fleet = await RolloutFleet.start();
    fleet.addEdges(10);
    fleet.addUpstreams('v2', 4, {coldMs: 60_000});
    await fleet.orderRollout();
    await fleet.run(2_500);
    expect(fleet.requestCounts.exposed).toBe(0);
    await fleet.run(1_500);
    expect(fleet.requestCounts.exposed).toBeGreaterThan(0);
    await runToOutcome(fleet);
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.completed);
  });

  test('of a service without requests is rolled back at its deadline', async () => {
    const fleet = await startRollout(0);
    await runToOutcome(fleet);
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.rolledBack);
    const verdicts = fleet.logLines('rollout-judged');
    expect(verdicts.at(-1)).toMatchObject({cause: 'no-evidence'});
  });

  test('continues during an evacuation and the replacement of upstreams', async () => {
    const fleet = await startRollout();
    const evacuation = {evacuated: true, hall: 'y'};
    await fleet.waitFor(fleet.getControl().setEvacuated(evacuation));
    await fleet.run(1_000);
    fleet.removeUpstreams('v1', 2);
    fleet.addUpstreams('v1', 1, {
      address: 'replacement.example:80',
      id: 'replacement',
    });
    await runToOutcome(fleet);
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.completed);
    expect(fleet.newestMachine().evacuations.halls).toEqual(['y']);
  });

  test('stays within the exposure bound when edges restart', async () => {
    const fleet = await startRollout();
    for (let index = 0; index < 6; index += 1) {
      await fleet.run(1_000);
      fleet.restartEdge(index);
    }
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.exposing);
    expectExposureWithinBound(fleet);
    await runToOutcome(fleet);
    expect(fleet.maxOvershoot).toBeLessThanOrEqual(0);
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.completed);
  });
});

// Guards against orders that are lost, applied twice or accepted without a quorum.
describe('An order', () => {
  test('is accepted by any control box, also if repeated during the rollout', async () => {
    const fleet = await startRollout();
    for (const box of CONTROL_BOXES) {
      const reply = await fleet.orderRollout('v2', {}, box);
      expect(reply).toEqual({outcome: 'accepted'});
    }
    expect(fleet.newestMachine().getVersions('s')?.rollout?.number).toBe(1);
  });

  test('for another version is refused with the version in progress', async () => {
    const fleet = await startRollout();
    const reply = await fleet.orderRollout('v3');
    expect(reply).toEqual({outcome: 'conflict', underWay: 'v2'});
  });

  test('for an unknown service is refused', async () => {
    const fleet = await startRollout();
    const reply = await fleet.orderRollout('v2', {service: 'other'});
    expect(reply).toEqual({outcome: 'unknown-service'});
    expect(
      await fleet.waitFor(fleet.getControl().readRollout('other')),
    ).toEqual({
      current: true,
      versions: undefined,
    });
  });

  test('is refused if rollouts are disabled', async () => {
    const fleet = new RolloutFleet(false);
    await fleet.startControlBoxes();
    expect(await fleet.orderRollout()).toEqual({outcome: 'disabled'});
  });

  test('for the stable version is completed immediately', async () => {
    const fleet = await RolloutFleet.start();
    expect(await fleet.orderRollout('v1')).toEqual({outcome: 'accepted'});
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.completed);
  });

  test('has no effect if repeated soon after its outcome', async () => {
    const fleet = await startRollout();
    fleet.getBehaviour = (version) => (version === 'v2' ? FAILING : GOOD);
    await runToOutcome(fleet);
    for (const box of CONTROL_BOXES) {
      expect(await fleet.orderRollout('v2', {}, box)).toEqual({
        outcome: 'accepted',
      });
    }
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.rolledBack);
    await fleet.run(DURATION_MS);
    await fleet.orderRollout();
    expect(fleet.newestMachine().getVersions('s')?.rollout?.number).toBe(2);
  });

  test('has no effect if repeated after its outcome and a restart', async () => {
    const fleet = await startRollout();
    fleet.getBehaviour = (version) => (version === 'v2' ? FAILING : GOOD);
    await runToOutcome(fleet);
    fleet.crash();
    await fleet.startControlBoxes();
    expect(await fleet.orderRollout()).toEqual({outcome: 'accepted'});
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.rolledBack);
  });

  test('does not undo a newer one if it was delayed on its way to the leader', async () => {
    const fleet = await RolloutFleet.start();
    const leader = fleet.leaderBox();
    const [delayed = '', other] = CONTROL_BOXES.filter((box) => box !== leader);
    fleet.network.holdMessages(delayed, leader);
    expect(await fleet.orderRollout('v2', {}, delayed)).toEqual({
      outcome: 'unavailable',
    });
    expect(await fleet.orderRollout('v1', {}, other)).toEqual({
      outcome: 'accepted',
    });
    fleet.network.heal();
    await fleet.run(1_000);
    expect(fleet.newestMachine().getVersions('s')?.rollout).toMatchObject({
      number: 1,
      targetVersion: 'v1',
    });
    expect(await fleet.orderRollout('v2', {}, delayed)).toEqual({
      outcome: 'accepted',
    });
  });

  test('is neither accepted nor readable without a quorum', async () => {
    const fleet = await RolloutFleet.start();
    fleet.crash(['c2:1', 'c3:1']);
    await fleet.clock.advance(5_000);
    expect(await fleet.orderRollout()).toEqual({outcome: 'unavailable'});
    expect((await fleet.readVersions()).current).toBe(false);
  });
});

// Guards against taking a version that has just started to register for the stable one.
describe('The stable version', () => {
  test('is that of most upstreams after they had time to register', async () => {
    const fleet = new RolloutFleet();
    await fleet.startControlBoxes();
    fleet.addUpstreams('v2', 1);
    await fleet.applyConfiguration();
    fleet.addUpstreams('v1');
    await fleet.clock.advance(5_000);
    expect(fleet.newestMachine().getVersions('s')?.stableVersion).toBe('v1');
  });

  test('does not change as upstreams of another version register', async () => {
    const fleet = await RolloutFleet.start();
    fleet.addUpstreams('v2', 9);
    await fleet.clock.advance(5_000);
    expect(fleet.newestMachine().getVersions('s')).toEqual({
      rollout: undefined,
      service: 's',
      stableVersion: 'v1',
    });
  });
});

// Guards against rollouts that stall or exceed the exposure bound with a new leader.
describe('A rollout whose leader fails', () => {
  test('is completed soon if the leader fails at the start of the shift', async () => {
    const fleet = await startRollout();
    await fleet.run(DURATION_MS, () => isShifting(fleet));
    fleet.crash([fleet.leaderBox()]);
    await fleet.run(4_000, () => hasOutcome(fleet));
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.completed);
  });

  test.each([100, 1_000, 5_000, 7_400])(
    'continues if the leader fails after %d ms',
    async (afterMs) => {
      const fleet = await startRollout();
      await fleet.run(afterMs);
      fleet.crash([fleet.leaderBox()]);
      await fleet.run(DURATION_MS - afterMs, () => hasOutcome(fleet));
      expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.completed);
    },
  );

  test.each([100, 1_000, 5_000, 8_500])(
    'rolls back a bad version if the leader fails after %d ms',
    async (afterMs) => {
      const fleet = await startRollout();
      const badSince = fleet.clock.now() + afterMs;
      fleet.getBehaviour = (version, _, now) =>
        version === 'v2' && now >= badSince ? FAILING : GOOD;
      await fleet.run(afterMs);
      const state = fleet.rolloutState();
      fleet.crash([fleet.leaderBox()]);
      await fleet.run(DURATION_MS - afterMs, () => hasOutcome(fleet));
      expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.rolledBack);
      await fleet.runToDeadline();
      // Edges that have shifted can't be stopped without a leader.
      if (state === ROLLOUT_STATE.exposing) {
        expectExposureWithinBound(fleet);
      }
    },
  );

  test('is completed by its deadline if leaders fail repeatedly', async () => {
    const fleet = await startRollout();
    const before = fleet.clock.now();
    for (let failure = 0; failure < 4; failure += 1) {
      await fleet.run(1_500);
      const leader = fleet.leaderBox();
      fleet.crash([leader]);
      await fleet.run(500);
      await fleet.startControlBoxes([leader], 0);
      await fleet.run(500);
      expect(fleet.unloggedGrants).toBeLessThanOrEqual(0);
    }
    await runToOutcome(fleet);
    expect(fleet.clock.now() - before).toBeLessThan(DURATION_MS);
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.completed);
    expect(fleet.maxOvershoot).toBeLessThanOrEqual(0);
  });

  test('grants no more than the log allows when a previous leader is re-elected', async () => {
    const fleet = await RolloutFleet.start();
    fleet.addEdges(10);
    fleet.addUpstreams('v2');
    await fleet.orderRollout('v2', {durationMs: 120_000});
    const first = fleet.leaderBox();
    const others = CONTROL_BOXES.filter((box) => box !== first);
    await fleet.run(5_000);
    fleet.network.partition([first], others);
    await fleet.run(15_000);
    fleet.network.heal();
    for (let round = 0; round < 8; round += 1) {
      await fleet.run(2_500);
      expect(fleet.unloggedGrants).toBeLessThanOrEqual(0);
      const leader = fleet.leaderBox();
      if (leader !== first) {
        fleet.crash([leader]);
        await fleet.run(2_500);
        await fleet.startControlBoxes([leader]);
      }
    }
    expect(fleet.maxOvershoot).toBeLessThanOrEqual(0);
  });

  test('is rolled back once the quorum returns after its deadline', async () => {
    const fleet = await startRollout();
    await fleet.run(2_000);
    const [first, second] = CONTROL_BOXES.filter(
      (box) => box !== fleet.leaderBox(),
    );
    fleet.crash([first ?? '', second ?? '']);
    await fleet.run(DURATION_MS);
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.exposing);
    expectExposureWithinBound(fleet);
    await fleet.startControlBoxes();
    await fleet.run(3_000);
    expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.rolledBack);
  });
});

describe('A shifting rollout without a quorum at its deadline', () => {
  test.each([
    ['good', GOOD, ROLLOUT_STATE.completed],
    ['bad', FAILING, ROLLOUT_STATE.rolledBack],
  ] as const)(
    'has an outcome once the quorum returns, if the version is %s',
    async (_, behaviour, outcome) => {
      const fleet = await startRollout();
      await fleet.run(DURATION_MS, () => isShifting(fleet));
      expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.shifting);
      fleet.getBehaviour = (version) => (version === 'v2' ? behaviour : GOOD);
      const leader = fleet.leaderBox();
      fleet.crash(CONTROL_BOXES.filter((box) => box !== leader));
      await fleet.run(6_000);
      expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.shifting);
      fleet.crash();
      await fleet.run(100);
      await fleet.startControlBoxes();
      await fleet.run(3_000);
      expect(fleet.rolloutState()).toBe(outcome);
    },
  );
});

// Guards against delayed or repeated updates, and updates to boxes with older software.
describe('Updates about rollouts', () => {
  async function callWatch(fleet: RolloutFleet, fields: Partial<WatchRequest>) {
    const request: WatchRequest = {
      boxesRevision: -1,
      brief: false,
      configurationVersion: Infinity,
      current: false,
      evacuationRevision: Infinity,
      from: {box: 'x:1', hall: 'z', incarnation: '1', role: BOX_ROLE.edge},
      incarnation: '',
      upstreamsRevision: 0,
      waitMs: 0,
      ...fields,
    };
    const link = fleet.network.connect('x:1');
    const answer = await link.call('c1:1', FLEET_SERVICE.watch, request, 5_000);
    return answer._unsafeUnwrap() as WatchReply;
  }

  test('reach a waiting box immediately, and only once', async () => {
    const fleet = await RolloutFleet.start();
    const {incarnation, rollouts, upstreamsRevision} = await fleet.waitFor(
      callWatch(fleet, {rolloutRevision: 0}),
    );
    expect(rollouts?.services[0]?.stableVersion).toBe('v1');
    const waiting = callWatch(fleet, {
      incarnation,
      rolloutRevision: rollouts?.revision,
      upstreamsRevision,
      waitMs: 3_000,
    });
    await fleet.clock.advance(500);
    const before = fleet.clock.now();
    await fleet.orderRollout();
    const update = await fleet.waitFor(waiting);
    expect(fleet.clock.now() - before).toBeLessThan(500);
    expect(update.rollouts?.services[0]?.rollout?.targetVersion).toBe('v2');
  });

  test('are not sent to a box with older software', async () => {
    const fleet = await RolloutFleet.start();
    const reply = await fleet.waitFor(callWatch(fleet, {}));
    expect(reply.rollouts ?? undefined).toBeUndefined();
  });
});

describe('A rollout after a power failure of all control boxes', () => {
  test.each([
    ['exposing', 1_000, 1_000, ROLLOUT_STATE.completed],
    ['exposing, past its deadline', 1_000, 12_000, ROLLOUT_STATE.rolledBack],
    ['shifting', DURATION_MS, 500, ROLLOUT_STATE.completed],
  ] as const)(
    'has the expected outcome if it was %s',
    async (_, afterMs, downtimeMs, outcome) => {
      const fleet = await startRollout();
      await fleet.run(afterMs, () => isShifting(fleet));
      const before = fleet.newestMachine().getRolloutProgress('s');
      fleet.crash();
      await fleet.run(downtimeMs);
      await fleet.startControlBoxes();
      fleet.addUpstreams('v1');
      fleet.addUpstreams('v2');
      const after = fleet.newestMachine().getRolloutProgress('s');
      expect(after?.granted).toBeGreaterThanOrEqual(before?.granted ?? 0);
      await fleet.run(DURATION_MS, () => hasOutcome(fleet));
      expect(fleet.rolloutState()).toBe(outcome);
    },
  );

  test('keeps its outcome', async () => {
    const fleet = await startRollout();
    await runToOutcome(fleet);
    fleet.crash();
    await fleet.startControlBoxes();
    const {versions} = await fleet.readVersions();
    expect(versions).toMatchObject({
      rollout: {state: ROLLOUT_STATE.completed},
      stableVersion: 'v2',
    });
  });

  test('is kept if its order was acknowledged', async () => {
    const fleet = await startRollout(0);
    fleet.crash();
    await fleet.startControlBoxes();
    const {versions} = await fleet.readVersions();
    expect(versions?.rollout?.targetVersion).toBe('v2');
  });
});
