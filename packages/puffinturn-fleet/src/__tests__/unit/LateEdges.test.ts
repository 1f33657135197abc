/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against edges that act on old configurations and upstreams without noticing. */
import {Random} from 'shared';

import type {Fault} from '../utils/LateFleet';
import {FAULT, FAULTS, LateFleet} from '../utils/LateFleet';
import {APPLY_BOUND_MS} from '../utils/ObservedFleet';

/** How long messages take long before the age of the state is observed, and then, ms. */
const SLOW_MS = 10_000;

/** Messages that one confirmation takes: those of a new connection, a poll and its reply. */
const MAX_TRIPS = 8;

describe('An edge whose messages take long', () => {
  test.each([250, 400, 500, 700])(
    'still hears of the state (%d ms each way)',
    async (delayMs) => {
      const fleet = await LateFleet.start();
      await fleet.advance(1_000);
      fleet.slowMessages(delayMs);
      await fleet.advance(SLOW_MS);
      expect(await fleet.highestAgeMs(SLOW_MS)).toBeLessThan(
        APPLY_BOUND_MS + MAX_TRIPS * delayMs,
      );
    },
  );
});

describe('An edge whose polled control boxes are late', () => {
  test.each(FAULTS.flatMap((first) => FAULTS.map((second) => [first, second])))(
    'has each change in time (%s; %s)',
    async (first, second) => {
      for (const delayMs of [0, 500, 1_000]) {
        const fleet = await LateFleet.start();
        const [preferred = '', other = '', ...rest] = fleet.polledFirst;
        await fleet.advance(delayMs);
        await fleet.begin(first as Fault, preferred);
        await fleet.begin(second as Fault, other);
        const delay = await fleet.longestDelayMs(rest.at(-1) ?? '');
        expect(delay).toBeLessThan(APPLY_BOUND_MS);
      }
    },
  );

  test.each([FAULT.silent, FAULT.silentAfterAnswer])(
    'has each change in time if all its connections fail (%s)',
    async (fault) => {
      for (const delayMs of [0, 300, 600, 900, 1_200]) {
        const fleet = await LateFleet.start();
        await fleet.advance(delayMs);
        for (const box of fleet.polledFirst) {
          await fleet.begin(fault, box);
        }
        const delay = await fleet.longestDelayMs(
          fleet.polledFirst.at(-1) ?? '',
        );
        expect(delay).toBeLessThan(APPLY_BOUND_MS);
      }
    },
  );

  test.each([240, 700, 1_300, 1_900])(
    'has each change in time if its connections go silent every %d ms',
    async (intervalMs) => {
      const fleet = await LateFleet.start();
      const silence = async (at: number): Promise<void> => {
        for (const box of at % intervalMs === 0 ? fleet.polledFirst : []) {
          await fleet.begin(FAULT.silent, box);
        }
      };
      const changingBox = fleet.polledFirst.at(-1) ?? '';
      const delay = await fleet.longestDelayMs(changingBox, silence);
      expect(delay).toBeLessThan(APPLY_BOUND_MS);
    },
  );

  test('asks all control boxes only while its state is old', async () => {
    const fleet = await LateFleet.start();
    expect(await fleet.highestAgeMs(20_000)).toBeLessThan(APPLY_BOUND_MS);
    expect(fleet.outdatedCount).toBe(0);
  });

  test.each(Array.from({length: 20}, (_, index) => 100 + index))(
    'has each change in time, and knows its age, under random faults (seed %d)',
    async (seed) => {
      const random = new Random(seed);
      const fleet = await LateFleet.start();
      // A majority that includes the changing box stays sound.
      const [first = '', second = '', third = '', fourth = '', last = ''] =
        fleet.polledFirst;
      let nextFaultAt = 0;
      const disturb = async (at: number): Promise<void> => {
        if (at < nextFaultAt) {
          return;
        }
        nextFaultAt = at + random.integer(100, 900);
        fleet.heal();
        for (const box of random.pick([
          [first, second],
          [first, third],
        ]) ?? []) {
          await fleet.begin(random.pick(FAULTS) ?? FAULT.silent, box);
        }
        for (const box of [first, second, third, fourth, last]) {
          if (random.fraction() < 0.5) {
            await fleet.begin(FAULT.silent, box);
          }
        }
      };
      const delay = await fleet.longestDelayMs(last, disturb);
      expect(delay).toBeLessThan(APPLY_BOUND_MS);
      expect(fleet.understatedAges).toEqual([]);
    },
  );
});
