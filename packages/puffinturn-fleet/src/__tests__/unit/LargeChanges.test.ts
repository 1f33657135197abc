/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against changes of the configuration that fill the link of an edge, on which the
 * responses to its callers travel.
 */
import {Random} from 'shared';

import type {FleetConfiguration, Route} from '../../index';
import {RETRY_POLICY} from '../../index';
import {configurationOf} from '../utils/FleetFixture';
import type {WatchedFleet} from '../utils/WatchedFleet';
import {FIVE_CONTROLS, startFleet} from '../utils/WatchedFleet';

/** Bytes that a link of 10 Mbit/s carries in a millisecond. */
const LINK_BYTES_PER_MS = 1_250;

/** Time within which a change must be in force, ms. */
const APPLY_BOUND_MS = 2_000;

/** Highest share of the link that one large change takes over the apply bound. */
const MAX_SHARE_OF_CHANGE = 1 / 50;

/** Highest share of the link that large changes in a row take. */
const MAX_SHARE_IN_A_ROW = 1 / 4;

const ROUTE_COUNT = 1_400;

/** Random words, as names of routes and hosts have few common parts. */
function wordOf(random: Random, length: number): string {
  const letters = Array.from({length}, () =>
    random.integer(0, 35).toString(36),
  );
  return letters.join('');
}

function routeOf(random: Random): Route {
  return {
    anonymous: false,
    host: `${wordOf(random, 6)}.example`,
    maxAttempts: 3,
    name: `r-${wordOf(random, 7)}`,
    objectiveMs: 800,
    pathPrefix: `/${wordOf(random, 8)}`,
    priority: random.integer(0, 2),
    repetition: RETRY_POLICY.repeatable,
    streams: false,
    targets: [{service: 'app', weight: 1}],
    timeoutMs: 10_000,
  };
}

/** A version with other routes than any before. */
function largeConfigurationOf(version: number): FleetConfiguration {
  const random = new Random(version);
  const added = Array.from({length: ROUTE_COUNT}, () => routeOf(random));
  const configuration = configurationOf(version);
  return {...configuration, routes: [...configuration.routes, ...added]};
}

/** Starts a fleet of five control boxes with one edge, whose link is narrow from now on. */
async function startNarrowEdge(bytesPerMs: number) {
  const fleet = await startFleet(FIVE_CONTROLS);
  await accept(fleet, configurationOf(1));
  const {handler} = fleet.startWatch('e1:1');
  await fleet.clock.advance(3_000);
  fleet.network.limitBandwidth('e1:1', bytesPerMs);
  return {...fleet, handler};
}

async function accept(
  {clock, control}: Pick<WatchedFleet, 'clock' | 'control'>,
  configuration: FleetConfiguration,
): Promise<void> {
  let isAccepted = false;
  void control('c1:1')
    .changeConfiguration({configuration, document: 'changed'})
    .then(({accepted}) => (isAccepted = accepted));
  while (!isAccepted) {
    await clock.advance(1);
  }
}

/** Makes a large change, and returns how long an edge takes to have it, up to 2 s, ms. */
async function delayOfChange(
  fleet: Awaited<ReturnType<typeof startNarrowEdge>>,
  version: number,
): Promise<number> {
  const {clock, handler} = fleet;
  await accept(fleet, largeConfigurationOf(version));
  const acceptedAt = clock.now();
  while (
    handler.configurationVersion < version &&
    clock.now() - acceptedAt < APPLY_BOUND_MS
  ) {
    await clock.advance(1);
  }
  return clock.now() - acceptedAt;
}

describe('A change of 1,400 routes', () => {
  // Callers leave little of the link free.
  test.each([1, 1 / 5, 1 / 20])(
    'takes a small share of the link, of which %d is free',
    async (freeShare) => {
      const fleet = await startNarrowEdge(LINK_BYTES_PER_MS * freeShare);
      const delayMs = await delayOfChange(fleet, 2);
      expect(delayMs).toBeLessThan(APPLY_BOUND_MS);
      await fleet.clock.advance(APPLY_BOUND_MS - delayMs);
      const share =
        fleet.network.receivedBytes('e1:1') /
        (LINK_BYTES_PER_MS * APPLY_BOUND_MS);
      expect(share).toBeLessThan(MAX_SHARE_OF_CHANGE);
      expect(fleet.handler.configurationHeld).toEqual(largeConfigurationOf(2));
    },
  );

  test('takes a small share of the link if ten come in a row', async () => {
    const fleet = await startNarrowEdge(LINK_BYTES_PER_MS / 2);
    const startedAt = fleet.clock.now();
    for (let version = 2; version < 12; version += 1) {
      expect(await delayOfChange(fleet, version)).toBeLessThan(APPLY_BOUND_MS);
      await fleet.clock.advance(100);
    }
    const elapsedMs = fleet.clock.now() - startedAt;
    const share =
      fleet.network.receivedBytes('e1:1') /
      (LINK_BYTES_PER_MS * Math.max(elapsedMs, APPLY_BOUND_MS));
    expect(share).toBeLessThan(MAX_SHARE_IN_A_ROW);
  });
});
