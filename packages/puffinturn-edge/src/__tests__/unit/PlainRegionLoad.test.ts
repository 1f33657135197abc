/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Load: two regions of three plain upstreams of six slots; 120 requests a second and
 * region over twenty edges each, 43 ms of work, to be answered within 200 ms. Then the
 * western upstreams go dark, all or all but one, or take eight times as long.
 */
import {ManualClock, Random} from 'shared';

import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {PlainUpstream} from '../utils/PlainUpstream';
import {RegionEdge, TWO_REGIONS} from '../utils/RegionEdge';

const HALLS = Object.keys(TWO_REGIONS);
const EDGES_A_HALL = 10;
const UPSTREAMS = ['e1-a', 'e1-b', 'e2-a', 'w1-a', 'w1-b', 'w2-a'];
const WORK_MS = 43;
const OBJECTIVE_MS = 200;
const ARRIVALS_PER_S = 240;
const CONNECT_MS = 400;
const MOST_TRIES = 4;
const STEP_MS = 4;
const TROUBLE_FROM_MS = 5_000;
const TROUBLE_UNTIL_MS = 12_000;
const DAY_MS = 18_000;

interface Tally {
  all: number;
  inTime: number;
  crossed: number;
}

type Trouble = (west: readonly PlainUpstream[]) => void;

/** Requests of the western edges, and of all others, by stretch of time. */
interface Outcome {
  readonly before: Tally;
  readonly during: Tally;
  readonly after: Tally;
  readonly east: Tally;
}

function noTally(): Tally {
  return {all: 0, crossed: 0, inTime: 0};
}

async function play(trouble: Trouble, seed: number): Promise<Outcome> {
  const clock = new ManualClock();
  const random = new Random(seed);
  const servers = new Map(
    UPSTREAMS.map((id) => [id, new PlainUpstream(clock)]),
  );
  const west = UPSTREAMS.filter(isWest).map((id) => servers.get(id)!);
  const edges = HALLS.flatMap((hall) =>
    Array.from({length: EDGES_A_HALL}, () => {
      const fields = {clock, edges: 2 * EDGES_A_HALL, hall, random};
      const edge = new RegionEdge(fields);
      UPSTREAMS.forEach((id) => edge.add(id));
      return {edge, hall};
    }),
  );
  const outcome = {
    after: noTally(),
    before: noTally(),
    during: noTally(),
    east: noTally(),
  };
  const tallyFor = (hall: string, now: number): Tally => {
    if (!isWest(hall)) {
      return outcome.east;
    }
    if (now < TROUBLE_FROM_MS) {
      return outcome.before;
    }
    if (now < TROUBLE_UNTIL_MS) {
      return now < TROUBLE_FROM_MS + 1_500 ? noTally() : outcome.during;
    }
    return now < TROUBLE_UNTIL_MS + 3_000 ? noTally() : outcome.after;
  };
  const serve = async (
    upstream: EdgeUpstream,
    isAway: boolean,
  ): Promise<boolean> => {
    const server = servers.get(upstream.id)!;
    const sentAt = clock.now();
    upstream.inFlight += 1;
    using _done = {[Symbol.dispose]: () => void (upstream.inFlight -= 1)};
    if (server.isDark) {
      await clock.sleep(CONNECT_MS);
      upstream.unreachable();
      return false;
    }
    await clock.sleep(isAway ? 12 : 1);
    const done = await server.serve(WORK_MS * (0.5 + random.fraction()));
    await clock.sleep(isAway ? 12 : 1);
    if (!done) {
      upstream.full();
      return false;
    }
    upstream.answerTime.measured(clock.now() - sentAt);
    upstream.succeeded();
    return true;
  };
  const ask = async (): Promise<void> => {
    const {edge, hall} = random.pick(edges)!;
    const plan = edge.plan();
    const began = clock.now();
    const tally = tallyFor(hall, began);
    tally.all += 1;
    const tried: EdgeUpstream[] = [];
    while (tried.length < MOST_TRIES) {
      const placed = edge.place(plan, tried);
      if (placed === undefined) {
        return;
      }
      const {upstream} = placed;
      const {doubtful} = upstream;
      const isAway = isWest(hall) !== isWest(upstream.id);
      tried.push(upstream);
      tally.crossed += isAway ? 1 : 0;
      if (isAway) {
        edge.crossing.sent(plan, 600);
      }
      if (doubtful) {
        edge.homeProbes.sent();
      }
      if (await serve(upstream, isAway)) {
        tally.inTime += clock.now() - began <= OBJECTIVE_MS ? 1 : 0;
        if (doubtful) {
          edge.homeProbes.answered();
        }
        return;
      }
    }
  };
  for (let at = 0; at < DAY_MS; at += STEP_MS) {
    if (at === TROUBLE_FROM_MS) {
      trouble(west);
    }
    if (at === TROUBLE_UNTIL_MS) {
      west.forEach((server) => {
        server.isDark = false;
        server.slowTimes = 1;
      });
    }
    // Callers come three at a time.
    if (random.fraction() < (ARRIVALS_PER_S * STEP_MS) / 3_000) {
      void ask();
      void ask();
      void ask();
    }
    await clock.advance(STEP_MS);
  }
  await clock.advance(5_000);
  return outcome;
}

function isWest(id: string): boolean {
  return id.startsWith('w');
}

function served({all, inTime}: Tally): number {
  return inTime / all;
}

function crossing({all, crossed}: Tally): number {
  return crossed / all;
}

const NONE: Trouble = () => undefined;
const ALL_DARK: Trouble = (west) => {
  west.forEach((server) => (server.isDark = true));
};
const ONE_LEFT: Trouble = (west) => {
  west.slice(1).forEach((server) => (server.isDark = true));
};
const ALL_SLOW: Trouble = (west) => {
  west.forEach((server) => (server.slowTimes = 8));
};

describe('Plain upstreams in two regions', () => {
  test.each([1, 2, 3])('serve their own in all calm (%i)', async (seed) => {
    const {after, before, during, east} = await play(NONE, seed);
    for (const tally of [before, during, after, east]) {
      expect(crossing(tally)).toBeLessThan(0.01);
      expect(served(tally)).toBeGreaterThan(0.97);
    }
  });

  test.each([
    ['all are dark', ALL_DARK, 0.9, 1],
    ['all are dark', ALL_DARK, 0.9, 2],
    ['one is left', ONE_LEFT, 0.9, 1],
    ['one is left', ONE_LEFT, 0.9, 2],
    // At home none of these would be in time.
    ['all are slow', ALL_SLOW, 0.6, 1],
    ['all are slow', ALL_SLOW, 0.6, 2],
  ])(
    'serve for the other region where there %s (%#)',
    async (_, trouble, least, seed) => {
      const {after, before, during, east} = await play(trouble, seed);
      expect(served(before)).toBeGreaterThan(0.97);
      expect(served(during)).toBeGreaterThan(least);
      expect(served(after)).toBeGreaterThan(0.97);
      expect(crossing(after)).toBeLessThan(0.02);
      expect(served(east)).toBeGreaterThan(0.97);
      expect(crossing(east)).toBeLessThan(0.01);
    },
  );
});
