/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

// Guards against late responses when upstreams of one region fail or slow down: the other
// region must take over. Load: 120 requests per second and region over 20 edges each.
import {ManualClock, Random} from 'shared';

import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {PlainUpstream} from '../utils/PlainUpstream';
import {REGION_BY_HALL, RegionEdge} from '../utils/RegionEdge';

const HALLS = Object.keys(REGION_BY_HALL);
const EDGES_PER_HALL = 10;
const UPSTREAM_IDS = ['e1-a', 'e1-b', 'e2-a', 'w1-a', 'w1-b', 'w2-a'];
const WORK_MS = 43;
const OBJECTIVE_MS = 200;
const ARRIVALS_PER_S = 240;
const CONNECT_TIMEOUT_MS = 400;
const MAX_ATTEMPTS = 4;
const STEP_MS = 4;
const FAULT_START_MS = 5_000;
const FAULT_END_MS = 12_000;
const RUN_DURATION_MS = 18_000;

interface Tally {
  total: number;
  onTime: number;
  crossRegion: number;
}

type Fault = (west: readonly PlainUpstream[]) => void;

/** Requests of western edges before, during and after the fault, and of eastern edges. */
interface Outcome {
  readonly before: Tally;
  readonly during: Tally;
  readonly after: Tally;
  readonly east: Tally;
}

function emptyTally(): Tally {
  return {total: 0, crossRegion: 0, onTime: 0};
}

async function simulate(injectFault: Fault, seed: number): Promise<Outcome> {
  const clock = new ManualClock();
  const random = new Random(seed);
  const servers = new Map(
    UPSTREAM_IDS.map((id) => [id, new PlainUpstream(clock)]),
  );
  const west = UPSTREAM_IDS.filter(isWest).map((id) => servers.get(id)!);
  const edges = HALLS.flatMap((hall) =>
    Array.from({length: EDGES_PER_HALL}, () => {
      const options = {clock, edgeCount: 2 * EDGES_PER_HALL, hall, random};
      const edge = new RegionEdge(options);
      UPSTREAM_IDS.forEach((id) => edge.addUpstream(id));
      return {edge, hall};
    }),
  );
  const outcome = {
    after: emptyTally(),
    before: emptyTally(),
    during: emptyTally(),
    east: emptyTally(),
  };
  const tallyFor = (hall: string, now: number): Tally => {
    if (!isWest(hall)) {
      return outcome.east;
    }
    if (now < FAULT_START_MS) {
      return outcome.before;
    }
    if (now < FAULT_END_MS) {
      return now < FAULT_START_MS + 1_500 ? emptyTally() : outcome.during;
    }
    return now < FAULT_END_MS + 3_000 ? emptyTally() : outcome.after;
  };
  const serve = async (
    upstream: EdgeUpstream,
    isRemote: boolean,
  ): Promise<boolean> => {
    const server = servers.get(upstream.id)!;
    const sentAt = clock.now();
    upstream.inFlight += 1;
    using _done = {[Symbol.dispose]: () => void (upstream.inFlight -= 1)};
    if (server.isUnresponsive) {
      await clock.sleep(CONNECT_TIMEOUT_MS);
      upstream.recordConnectFailure();
      return false;
    }
    await clock.sleep(isRemote ? 12 : 1);
    const isServed = await server.serve(WORK_MS * (0.5 + random.fraction()));
    await clock.sleep(isRemote ? 12 : 1);
    if (!isServed) {
      upstream.recordFull();
      return false;
    }
    upstream.responseTime.recordDuration(clock.now() - sentAt);
    upstream.recordSuccess();
    return true;
  };
  const sendRequest = async (): Promise<void> => {
    const {edge, hall} = random.pick(edges)!;
    const plan = edge.createPlan();
    const startedAt = clock.now();
    const tally = tallyFor(hall, startedAt);
    tally.total += 1;
    const tried: EdgeUpstream[] = [];
    while (tried.length < MAX_ATTEMPTS) {
      const placement = edge.select(plan, tried);
      if (placement === undefined) {
        return;
      }
      const {upstream} = placement;
      const {isFailing} = upstream;
      const isRemote = isWest(hall) !== isWest(upstream.id);
      tried.push(upstream);
      tally.crossRegion += isRemote ? 1 : 0;
      if (isRemote) {
        edge.linkBudget.recordSent(plan, 600);
      }
      if (isFailing) {
        edge.recoveryProbes.recordProbe();
      }
      if (await serve(upstream, isRemote)) {
        tally.onTime += clock.now() - startedAt <= OBJECTIVE_MS ? 1 : 0;
        if (isFailing) {
          edge.recoveryProbes.recordSuccess();
        }
        return;
      }
    }
  };
  for (let at = 0; at < RUN_DURATION_MS; at += STEP_MS) {
    if (at === FAULT_START_MS) {
      injectFault(west);
    }
    if (at === FAULT_END_MS) {
      west.forEach((server) => {
        server.isUnresponsive = false;
        server.slowdownFactor = 1;
      });
    }
    // Requests arrive in batches of three.
    if (random.fraction() < (ARRIVALS_PER_S * STEP_MS) / 3_000) {
      void sendRequest();
      void sendRequest();
      void sendRequest();
    }
    await clock.advance(STEP_MS);
  }
  await clock.advance(5_000);
  return outcome;
}

function isWest(id: string): boolean {
  return id.startsWith('w');
}

function onTimeRatio({total, onTime}: Tally): number {
  return onTime / total;
}

function crossRegionRatio({total, crossRegion}: Tally): number {
  return crossRegion / total;
}

const NO_FAULT: Fault = () => undefined;
const ALL_DOWN: Fault = (west) => {
  west.forEach((server) => (server.isUnresponsive = true));
};
const ALL_BUT_ONE_DOWN: Fault = (west) => {
  west.slice(1).forEach((server) => (server.isUnresponsive = true));
};
const ALL_SLOW: Fault = (west) => {
  west.forEach((server) => (server.slowdownFactor = 8));
};

describe('Plain upstreams in two regions', () => {
  test.each([1, 2, 3])(
    'serve their own region without faults (seed %i)',
    async (seed) => {
      const {after, before, during, east} = await simulate(NO_FAULT, seed);
      for (const tally of [before, during, after, east]) {
        expect(crossRegionRatio(tally)).toBeLessThan(0.01);
        expect(onTimeRatio(tally)).toBeGreaterThan(0.97);
      }
    },
  );

  test.each([
    ['all are down', ALL_DOWN, 0.9, 1],
    ['all are down', ALL_DOWN, 0.9, 2],
    ['one is left', ALL_BUT_ONE_DOWN, 0.9, 1],
    ['one is left', ALL_BUT_ONE_DOWN, 0.9, 2],
    // No request would be on time in the local region.
    ['all are slow', ALL_SLOW, 0.6, 1],
    ['all are slow', ALL_SLOW, 0.6, 2],
  ])(
    'serve the other region if there %s (case %#)',
    async (_, injectFault, minRatio, seed) => {
      const {after, before, during, east} = await simulate(injectFault, seed);
      expect(onTimeRatio(before)).toBeGreaterThan(0.97);
      expect(onTimeRatio(during)).toBeGreaterThan(minRatio);
      expect(onTimeRatio(after)).toBeGreaterThan(0.97);
      expect(crossRegionRatio(after)).toBeLessThan(0.02);
      expect(onTimeRatio(east)).toBeGreaterThan(0.97);
      expect(crossRegionRatio(east)).toBeLessThan(0.01);
    },
  );
});
