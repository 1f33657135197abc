/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {ROLLOUT_STATE} from '../../index';
import type {BehaviourOf} from '../utils/RolloutFleet';
import {BOUND, GOOD, RolloutFleet} from '../utils/RolloutFleet';

/** From this part of the requests on a version that fails under load does so. */
const MUCH_LOAD = 0.4;

/** When a version turns bad. */
interface Onset {
  readonly name: string;
  readonly isBad: (fleet: RolloutFleet, elapsedMs: number) => boolean;
}

const ONSETS: readonly Onset[] = [
  {isBad: () => true, name: 'at once'},
  {isBad: (_, elapsedMs) => elapsedMs >= 7_000, name: 'after 7 s'},
  {isBad: (_, elapsedMs) => elapsedMs >= 9_000, name: 'after 9 s'},
  {isBad: (_, elapsedMs) => elapsedMs >= 10_000, name: 'after 10 s'},
  {isBad: ({targetLoad}) => targetLoad >= MUCH_LOAD, name: 'under load'},
];

async function rolledOut(
  perSecond: number,
  behaviourOf: (fleet: RolloutFleet, orderedAt: number) => BehaviourOf,
): Promise<RolloutFleet> {
  const fleet = await RolloutFleet.start();
  fleet.traffic = {perSecond, routes: [['r', 1]]};
  fleet.addEdges(10);
  await fleet.run(1_000);
  fleet.addUpstreams('v2');
  await fleet.order();
  fleet.behaviourOf = behaviourOf(fleet, fleet.clock.now());
  await fleet.runToDeadline();
  return fleet;
}

describe('By the deadline of an order', () => {
  const cases = [120, 200, 430].flatMap((perSecond) =>
    [0.2, 0.8].flatMap((failureRate) =>
      ONSETS.map(({isBad, name}) => ({failureRate, isBad, name, perSecond})),
    ),
  );

  test.each(cases)(
    'a version failing $failureRate of $perSecond requests a second $name is rolled back within its bound',
    async ({failureRate, isBad, perSecond}) => {
      const fleet = await rolledOut(
        perSecond,
        (running, orderedAt) => (version, _, now) =>
          version === 'v2' && isBad(running, now - orderedAt)
            ? {failureRate, slowRate: 0.01}
            : GOOD,
      );
      expect(fleet.state()).toBe(ROLLOUT_STATE.rolledBack);
      const {exposed, requests} = fleet.sent;
      const allowed = BOUND.share * requests + BOUND.extra;
      expect(exposed).toBeLessThanOrEqual(allowed);
    },
  );

  test.each([20, 120, 200, 430, 1_000])(
    'a good version is completed at %d requests a second',
    async (perSecond) => {
      const fleet = await rolledOut(perSecond, () => () => GOOD);
      expect(fleet.state()).toBe(ROLLOUT_STATE.completed);
    },
  );
});
