/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {ROLLOUT_STATE} from '../../index';
import type {GetBehaviour} from '../utils/RolloutFleet';
import {EXPOSURE_BOUND, GOOD, RolloutFleet} from '../utils/RolloutFleet';

// Guards against exposing more requests to a bad version than the bound allows, whenever
// it starts to fail.

/** Fraction of the requests at which some versions start to fail. */
const HIGH_LOAD_FRACTION = 0.4;

/** When a version starts to fail. */
interface FailureOnset {
  readonly name: string;
  readonly isBad: (fleet: RolloutFleet, elapsedMs: number) => boolean;
}

const FAILURE_ONSETS: readonly FailureOnset[] = [
  {isBad: () => true, name: 'from the start'},
  {isBad: (_, elapsedMs) => elapsedMs >= 7_000, name: 'after 7 s'},
  {isBad: (_, elapsedMs) => elapsedMs >= 9_000, name: 'after 9 s'},
  {isBad: (_, elapsedMs) => elapsedMs >= 10_000, name: 'after 10 s'},
  {
    isBad: ({recentTargetFraction}) =>
      recentTargetFraction >= HIGH_LOAD_FRACTION,
    name: 'under load',
  },
];

async function runRollout(
  requestsPerSecond: number,
  createBehaviour: (fleet: RolloutFleet, orderedAt: number) => GetBehaviour,
): Promise<RolloutFleet> {
  const fleet = await RolloutFleet.start();
  fleet.traffic = {requestsPerSecond, routes: [['r', 1]]};
  fleet.addEdges(10);
  await fleet.run(1_000);
  fleet.addUpstreams('v2');
  await fleet.orderRollout();
  fleet.getBehaviour = createBehaviour(fleet, fleet.clock.now());
  await fleet.runToDeadline();
  return fleet;
}

describe('At the deadline of a rollout', () => {
  const cases = [120, 200, 430].flatMap((requestsPerSecond) =>
    [0.2, 0.8].flatMap((failureRate) =>
      FAILURE_ONSETS.map(({isBad, name}) => ({
        failureRate,
        isBad,
        name,
        requestsPerSecond,
      })),
    ),
  );

  test.each(cases)(
    'a version that fails $failureRate of $requestsPerSecond requests per second $name is rolled back within the bound',
    async ({failureRate, isBad, requestsPerSecond}) => {
      const fleet = await runRollout(
        requestsPerSecond,
        (running, orderedAt) => (version, _, now) =>
          version === 'v2' && isBad(running, now - orderedAt)
            ? {failureRate, slowRate: 0.01}
            : GOOD,
      );
      expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.rolledBack);
      const {exposed, requests} = fleet.requestCounts;
      const allowed = EXPOSURE_BOUND.share * requests + EXPOSURE_BOUND.extra;
      expect(exposed).toBeLessThanOrEqual(allowed);
    },
  );

  test.each([20, 120, 200, 430, 1_000])(
    'the rollout of a good version is completed at %d requests per second',
    async (requestsPerSecond) => {
      const fleet = await runRollout(requestsPerSecond, () => () => GOOD);
      expect(fleet.rolloutState()).toBe(ROLLOUT_STATE.completed);
    },
  );
});
