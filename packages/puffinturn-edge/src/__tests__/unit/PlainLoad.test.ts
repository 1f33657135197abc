/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Load: 87 edges in three halls send to four upstreams of six slots, two of them
 * in one hall; requests take 64 ms each. Callers come in clumps and at twice the
 * usual rate, then one upstream turns four times as slow. An edge meets an
 * upstream once a second or less and knows nothing of the others.
 */
import {SilentDecisionLog} from 'puffinturn-decisions';
import {ManualClock, Random} from 'shared';

import {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import type {LoadBalancer} from '../../upstreams/UpstreamChoice';
import {
  LeastInFlight,
  LeastUtilization,
  ShorterWait,
} from '../../upstreams/UpstreamChoice';
import {upstreamOf} from '../utils/EdgeFixture';
import {PlainUpstream, SLOTS} from '../utils/PlainUpstream';

const EDGES = 87;
const HALLS = ['a', 'b', 'c'];
/** The hall of each upstream. */
const UPSTREAMS = ['a', 'a', 'b', 'c'];
const WORK_MS = 64;
const OBJECTIVE_MS = 300;
const DAY_MS = 20_000;
const SLOW_FROM_MS = 8_000;
const SLOW_UNTIL_MS = 14_000;
const SLOW_TIMES = 4;
const SERVICE = {engine: undefined, maxConnections: 1, name: 's'};

interface Tally {
  inTime: number;
  late: number;
  refused: number;
  /** Requests of the busiest upstream for each one of the mean. */
  busiest: number;
}

async function replay(
  choiceOf: (random: Random) => LoadBalancer,
  arrivalsPerS: number,
  seed: number,
): Promise<Tally> {
  const clock = new ManualClock();
  const random = new Random(seed);
  const choice = choiceOf(random);
  const log = new SilentDecisionLog();
  const servers = UPSTREAMS.map(() => new PlainUpstream(clock));
  const counts = UPSTREAMS.map(() => 0);
  const edges = Array.from({length: EDGES}, () =>
    UPSTREAMS.map((hall, at) => {
      const address = `10.0.0.1:${at}`;
      const record = upstreamOf(`i-${at}`, {address, hall, slots: SLOTS});
      return new EdgeUpstream(record, clock, log);
    }),
  );
  const tally: Tally = {busiest: 0, inTime: 0, late: 0, refused: 0};
  const ask = async (edge: number): Promise<void> => {
    const upstreams = edges[edge] ?? [];
    const calm = upstreams.filter(({paused}) => !paused);
    const hall = HALLS[edge % HALLS.length] ?? '';
    const facts = {hall, parts: [], service: SERVICE};
    const chosen = choice.choose(calm.length > 0 ? calm : upstreams, facts);
    const at = upstreams.indexOf(chosen!);
    counts[at] = (counts[at] ?? 0) + 1;
    const began = clock.now();
    const slow = at === 3 && began > SLOW_FROM_MS && began < SLOW_UNTIL_MS;
    chosen!.inFlight += 1;
    const work = WORK_MS * (0.5 + random.fraction());
    const done = await servers[at]!.serve(slow ? work * SLOW_TIMES : work);
    chosen!.inFlight -= 1;
    const tookMs = clock.now() - began;
    if (!done) {
      chosen!.full();
      tally.refused += 1;
      return;
    }
    chosen!.answerTime.measured(tookMs);
    if (tookMs <= OBJECTIVE_MS) {
      tally.inTime += 1;
    } else {
      tally.late += 1;
    }
  };
  for (let at = 0; at < DAY_MS; at += 5) {
    // Callers come three at a time.
    if (random.fraction() < (arrivalsPerS * 5) / 3_000) {
      for (let n = 0; n < 3; n += 1) {
        void ask(random.integer(0, EDGES - 1));
      }
    }
    await clock.advance(5);
  }
  await clock.advance(5_000);
  const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
  tally.busiest = Math.max(...counts) / mean;
  return tally;
}

/** Requests that were not answered in time, of each thousand. */
function missed({inTime, late, refused}: Tally): number {
  return ((late + refused) * 1_000) / (inTime + late + refused);
}

describe('Plain upstreams of few slots before many edges', () => {
  test.each([1, 2, 3])(
    'miss less than half of what they miss by own free slots (seed %i)',
    async (seed) => {
      const now = await replay((random) => new ShorterWait(random), 200, seed);
      const former = await replay(
        (random) => new LeastUtilization(random),
        200,
        seed,
      );
      expect(missed(now)).toBeLessThan(missed(former) / 2);
      expect(now.busiest).toBeLessThan(1.25);
    },
  );

  test('are not worse off than by fewest own requests, also at a low rate', async () => {
    const now = await replay((random) => new ShorterWait(random), 90, 1);
    const least = await replay((random) => new LeastInFlight(random), 90, 1);
    expect(missed(now)).toBeLessThanOrEqual(missed(least));
  });
});
