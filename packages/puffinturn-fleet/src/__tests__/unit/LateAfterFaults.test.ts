/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against edges that lack an acknowledged route long after a fault has ended. */
import {DISTURBANCE, DisturbedFleet} from '../utils/DisturbedFleet';
import {APPLY_BOUND_MS} from '../utils/ObservedFleet';

/** Age that an edge keeps below while one of its control boxes is gone, ms. */
const MAX_ORDINARY_AGE_MS = 1_000;

const DISTURBANCES = Object.values(DISTURBANCE);
const LENGTHS_MS = [300, 1_100, 2_600, 5_500, 8_000];
const TIMES_SINCE_MS = [0, 400, 1_000, 2_000, 3_500, 6_000];

/** Runs every second combination unless SWEEP=full is set. */
const COMBINATIONS = LENGTHS_MS.flatMap((lengthMs) =>
  TIMES_SINCE_MS.map((sinceMs) => ({lengthMs, sinceMs})),
).filter((_, index) => process.env['SWEEP'] === 'full' || index % 2 === 0);

describe('An edge after a fault that is over', () => {
  test.each(DISTURBANCES)('has each change in time (%s)', async (kind) => {
    const fleet = await DisturbedFleet.start();
    const late: string[] = [];
    for (const {lengthMs, sinceMs} of COMBINATIONS) {
      fleet.begin(kind);
      await fleet.advance(lengthMs);
      fleet.heal();
      await fleet.advance(sinceMs);
      const delayMs = await fleet.changeDelayMs();
      if (delayMs > APPLY_BOUND_MS) {
        late.push(`${Math.round(delayMs)} ms, ${sinceMs} after ${lengthMs}`);
      }
      await fleet.advance(3_000);
    }
    expect(late).toEqual([]);
    expect(fleet.understatedAges).toEqual([]);
  });

  test.each([DISTURBANCE.preferredPaused, DISTURBANCE.polledPaused])(
    'has a fresh state during a fault of its control boxes (%s)',
    async (kind) => {
      const fleet = await DisturbedFleet.start();
      fleet.begin(kind);
      expect(await fleet.highestAgeMs(10_000)).toBeLessThan(
        kind === DISTURBANCE.preferredPaused
          ? MAX_ORDINARY_AGE_MS
          : APPLY_BOUND_MS,
      );
    },
  );
});
