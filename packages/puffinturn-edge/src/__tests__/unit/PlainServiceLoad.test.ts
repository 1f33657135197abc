/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against late and rejected requests when many edges, each seeing only its own
 * requests, share a few upstreams during a burst of load and a slowdown.
 */
import {NoopDecisionLog} from 'puffinturn-decisions';
import {ManualClock, Random} from 'shared';

import {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import type {LoadBalancer} from '../../upstreams/LoadBalancer';
import {
  LeastRequests,
  LeastUtilization,
  PowerOfTwoChoices,
} from '../../upstreams/LoadBalancer';
import {makeUpstream} from '../utils/EdgeFixture';
import {PlainUpstream, SLOTS} from '../utils/PlainUpstream';

const EDGES = 87;
const HALLS = ['a', 'b', 'c'];
/** The hall of each upstream. */
const UPSTREAMS = ['a', 'a', 'b', 'c'];
const WORK_MS = 64;
const DEADLINE_MS = 300;
const RUN_MS = 20_000;
const SLOW_FROM_MS = 8_000;
const SLOW_UNTIL_MS = 14_000;
const SLOWDOWN_FACTOR = 4;
const SERVICE = {engine: undefined, maxConnections: 1, name: 's'};

interface Results {
  onTime: number;
  late: number;
  refused: number;
  /** Requests of the busiest upstream divided by the mean. */
  busiestRatio: number;
}

async function simulate(
  createBalancer: (random: Random) => LoadBalancer,
  arrivalsPerS: number,
  seed: number,
): Promise<Results> {
  const clock = new ManualClock();
  const random = new Random(seed);
  const balancer = createBalancer(random);
  const log = new NoopDecisionLog();
  const servers = UPSTREAMS.map(() => new PlainUpstream(clock));
  const counts = UPSTREAMS.map(() => 0);
  const edges = Array.from({length: EDGES}, () =>
    UPSTREAMS.map((hall, at) => {
      const address = `10.0.0.1:${at}`;
      const record = makeUpstream(`i-${at}`, {address, hall, slots: SLOTS});
      return new EdgeUpstream(record, clock, log);
    }),
  );
  const results: Results = {busiestRatio: 0, onTime: 0, late: 0, refused: 0};
  const sendRequest = async (edge: number): Promise<void> => {
    const upstreams = edges[edge] ?? [];
    const unpaused = upstreams.filter(({isPaused}) => !isPaused);
    const hall = HALLS[edge % HALLS.length] ?? '';
    const context = {hall, parts: [], service: SERVICE};
    const chosen = balancer.choose(
      unpaused.length > 0 ? unpaused : upstreams,
      context,
    );
    const at = upstreams.indexOf(chosen!);
    counts[at] = (counts[at] ?? 0) + 1;
    const startedAt = clock.now();
    const isSlow =
      at === 3 && startedAt > SLOW_FROM_MS && startedAt < SLOW_UNTIL_MS;
    chosen!.inFlight += 1;
    const work = WORK_MS * (0.5 + random.fraction());
    const wasAccepted = await servers[at]!.serve(
      isSlow ? work * SLOWDOWN_FACTOR : work,
    );
    chosen!.inFlight -= 1;
    const durationMs = clock.now() - startedAt;
    if (!wasAccepted) {
      chosen!.recordFull();
      results.refused += 1;
      return;
    }
    chosen!.responseTime.recordDuration(durationMs);
    if (durationMs <= DEADLINE_MS) {
      results.onTime += 1;
    } else {
      results.late += 1;
    }
  };
  for (let at = 0; at < RUN_MS; at += 5) {
    // Requests arrive in bursts of three.
    if (random.fraction() < (arrivalsPerS * 5) / 3_000) {
      for (let n = 0; n < 3; n += 1) {
        void sendRequest(random.integer(0, EDGES - 1));
      }
    }
    await clock.advance(5);
  }
  await clock.advance(5_000);
  const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
  results.busiestRatio = Math.max(...counts) / mean;
  return results;
}

/** Late or rejected requests per thousand. */
function missedPerThousand({onTime, late, refused}: Results): number {
  return ((late + refused) * 1_000) / (onTime + late + refused);
}

describe('Plain upstreams with few slots shared by many edges', () => {
  test.each([1, 2, 3])(
    'miss less than half the deadlines missed by least utilization (seed %i)',
    async (seed) => {
      const candidate = await simulate(
        (random) => new PowerOfTwoChoices(random),
        200,
        seed,
      );
      const baseline = await simulate(
        (random) => new LeastUtilization(random),
        200,
        seed,
      );
      expect(missedPerThousand(candidate)).toBeLessThan(
        missedPerThousand(baseline) / 2,
      );
      expect(candidate.busiestRatio).toBeLessThan(1.25);
    },
  );

  test('miss no more deadlines than choosing the fewest requests in flight at a low rate', async () => {
    const candidate = await simulate(
      (random) => new PowerOfTwoChoices(random),
      90,
      1,
    );
    const baseline = await simulate(
      (random) => new LeastRequests(random),
      90,
      1,
    );
    expect(missedPerThousand(candidate)).toBeLessThanOrEqual(
      missedPerThousand(baseline),
    );
  });
});
