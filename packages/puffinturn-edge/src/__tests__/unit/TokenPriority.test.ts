/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against rejecting urgent requests in a control plane outage because less urgent
 * ones used up the tokens held by the edges.
 */
import {Random} from 'shared';

import type {Allowances} from '../../index';
import {RESERVE_OUTCOME} from '../../index';
import {CORE, namesExcept, TEAM, TokenFleet} from '../utils/TokenFleet';

const EDGES = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'];
const REQUEST_INTERVAL_MS = 50;
const WARM_UP_MS = 6_000;
const OUTAGE_MS = 8_000;
const SERVICE_TIME_MS = 1_500;
const REQUEST_COST = 2_000;
/** One minute of requests at the rate before the outage, tokens. */
const BUDGET = (REQUEST_COST * 60_000) / (REQUEST_INTERVAL_MS * 2);

interface RequestCounts {
  sent: number;
  served: number;
}

interface CountsByUrgency {
  readonly urgent: RequestCounts;
  readonly leastUrgent: RequestCounts;
}

/**
 * Doubles the load in a control plane outage; a third of the requests is least urgent.
 */
async function simulateOutage(
  seed: number,
  isPrioritized: boolean,
): Promise<CountsByUrgency> {
  const fleet = new TokenFleet(BUDGET);
  const random = new Random(seed);
  const edges = EDGES.map((name) =>
    fleet.startNow(name, namesExcept(name, EDGES)),
  );
  await fleet.clock.advance(2_000);
  const counts = {
    leastUrgent: {sent: 0, served: 0},
    urgent: {sent: 0, served: 0},
  };
  const sendRequest = async (
    edge: Allowances,
    isCounted: boolean,
  ): Promise<void> => {
    const isUrgent = random.fraction() > 1 / 3;
    const requestCounts = isUrgent ? counts.urgent : counts.leastUrgent;
    const outcome = await edge.reserve(
      TEAM,
      REQUEST_COST,
      isPrioritized && !isUrgent,
    );
    const isReserved = outcome === RESERVE_OUTCOME.reserved;
    requestCounts.sent += isCounted ? 1 : 0;
    requestCounts.served += isCounted && isReserved ? 1 : 0;
    if (isReserved) {
      await fleet.clock.sleep(SERVICE_TIME_MS);
      edge.settle(TEAM, REQUEST_COST, REQUEST_COST);
    }
  };
  const runLoad = async (
    durationMs: number,
    intervalMs: number,
    isCounted: boolean,
  ) => {
    for (let at = 0; at < durationMs; at += intervalMs) {
      void sendRequest(random.pick(edges)!, isCounted);
      await fleet.clock.advance(intervalMs);
    }
  };
  await runLoad(WARM_UP_MS, REQUEST_INTERVAL_MS * 2, false);
  fleet.network.partition(EDGES, [CORE]);
  await runLoad(OUTAGE_MS, REQUEST_INTERVAL_MS, true);
  await fleet.clock.advance(SERVICE_TIME_MS);
  return counts;
}

function servedFraction({sent, served}: RequestCounts): number {
  return served / sent;
}

describe('Token priority in a core outage', () => {
  test.each([1, 2, 3])(
    'serves urgent requests first (seed %i)',
    async (seed) => {
      const {leastUrgent, urgent} = await simulateOutage(seed, true);
      const withoutPriority = await simulateOutage(seed, false);
      expect(servedFraction(urgent)).toBeGreaterThan(
        servedFraction(withoutPriority.urgent) + 0.05,
      );
      expect(servedFraction(leastUrgent)).toBeGreaterThan(0.25);
    },
  );

  test('serves the least urgent requests while the core grants tokens', async () => {
    const fleet = new TokenFleet(BUDGET);
    const edges = EDGES.map((name) =>
      fleet.startNow(name, namesExcept(name, EDGES)),
    );
    await fleet.clock.advance(2_000);
    for (let count = 0; count < 60; count += 1) {
      const edge = edges[count % edges.length]!;
      const outcome = await fleet.advanceUntilSettled(
        edge.reserve(TEAM, REQUEST_COST, true),
      );
      expect(outcome).toBe(RESERVE_OUTCOME.reserved);
      edge.settle(TEAM, REQUEST_COST, REQUEST_COST);
      await fleet.clock.advance(REQUEST_INTERVAL_MS);
    }
  });
});
