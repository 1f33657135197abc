/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {NoopDecisionLog} from 'puffinturn-decisions';
import {ManualClock, Random} from 'shared';

import {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {LowestLatency, PowerOfTwoChoices} from '../../upstreams/LoadBalancer';
import {makeUpstream} from '../utils/EdgeFixture';
import {ENGINE_SERVICE, PLAIN_SERVICE, RegionEdge} from '../utils/RegionEdge';
import {
  referenceEnginePlacement,
  referencePlainChoice,
} from '../utils/SingleRegionReference';

const PROMPT = [
  {id: 'aa', tokens: 5_000},
  {id: 'bb', tokens: 1_000},
];

const HALLS = ['e1', 'e2', 'w1', 'w2'];

/** Sets random load, measurements and cached prompts. */
function randomizeState(
  upstreams: readonly EdgeUpstream[],
  random: Random,
): void {
  for (const upstream of upstreams) {
    upstream.inFlight = random.integer(0, 9);
    upstream.pendingTokens = random.integer(0, 9_000);
    upstream.responseTime.recordDuration(random.integer(0, 400));
    upstream.prefillSpeed.recordPrefill(5_000, random.integer(50, 900));
    if (random.fraction() < 0.3) {
      upstream.cachedPrefixes.recordPrompt(PROMPT);
    }
  }
}

// Guards against requests that leave their region without need, or stay in a region
// that cannot serve them in time.
describe('Selection of a plain upstream in several regions', () => {
  test('uses the local region while it responds in time', () => {
    const edge = new RegionEdge();
    for (const id of ['e1-a', 'e2-a', 'w1-a', 'w2-a']) {
      edge.addUpstream(id);
    }
    edge.upstream('e1-a').responseTime.recordDuration(100);
    edge.upstream('e2-a').responseTime.recordDuration(120);
    edge.addUpstream('e2-b').responseTime.recordDuration(120);
    const selected = edge.selectedIds(edge.createPlan(), 50);
    expect([...selected].sort()).toEqual(['e1-a', 'e2-a', 'e2-b']);
  });

  test('uses another region if the local wait exceeds the transfer time', () => {
    const edge = new RegionEdge();
    edge.addUpstream('e1-a').responseTime.recordDuration(400);
    edge.addUpstream('w1-a').responseTime.recordDuration(60);
    expect(edge.select(edge.createPlan())?.upstream.id).toBe('w1-a');
  });

  test('returns to the local region once its measurements have expired', async () => {
    const edge = new RegionEdge();
    edge.addUpstream('e1-a').responseTime.recordDuration(400);
    edge.addUpstream('w1-a').responseTime.recordDuration(60);
    await edge.clock.advance(6_000);
    expect(edge.select(edge.createPlan())?.upstream.id).toBe('e1-a');
  });

  test('uses another region if all local upstreams are unreachable', () => {
    const edge = new RegionEdge();
    edge.addUpstream('e1-a').recordConnectFailure();
    edge.addUpstream('w1-a');
    expect(edge.select(edge.createPlan())?.upstream.id).toBe('w1-a');
  });
});

// Guards against prompts that are read or copied in both regions without need.
describe('Selection of an engine in several regions', () => {
  const LOCAL = ['e1-a', 'e1-b', 'e2-a', 'e2-b', 'e2-c'];
  const REMOTE = ['w1-a', 'w1-b', 'w2-a', 'w2-b', 'w2-c'];

  function edgeWithBothRegions(): RegionEdge {
    const edge = new RegionEdge();
    for (const id of [...LOCAL, ...REMOTE]) {
      edge.addUpstream(id);
    }
    return edge;
  }

  test('uses the local region even if another region has cached the prompt', () => {
    const edge = edgeWithBothRegions();
    for (let at = 0; at < 40; at += 1) {
      const prompt = [{id: `p${at}`, tokens: 5_000}, ...PROMPT.slice(1)];
      for (const id of REMOTE) {
        edge.upstream(id).cachedPrefixes.recordPrompt(prompt);
      }
      const plan = edge.createEnginePlan(prompt);
      expect(LOCAL).toContain(edge.select(plan)?.upstream.id);
    }
  });

  test('selects the same engine for a prompt on all edges of a region', () => {
    const plan = (edge: RegionEdge) => edge.createEnginePlan(PROMPT);
    const first = edgeWithBothRegions();
    const second = new RegionEdge();
    for (const id of [...REMOTE, ...LOCAL].reverse()) {
      second.addUpstream(id);
    }
    expect(second.select(plan(second))?.upstream.id).toBe(
      first.select(plan(first))?.upstream.id,
    );
  });

  test('uses another region only if local engines are heavily loaded', () => {
    const edge = edgeWithBothRegions();
    const plan = edge.createEnginePlan(PROMPT);
    const setPendingTokens = (tokens: number) => {
      for (const id of LOCAL) {
        edge.upstream(id).pendingTokens = tokens;
      }
    };
    setPendingTokens(1_500);
    expect(LOCAL).toContain(edge.select(plan)?.upstream.id);
    setPendingTokens(40_000);
    expect(REMOTE).toContain(edge.select(plan)?.upstream.id);
  });

  test('copies no prompt between regions', () => {
    const edge = edgeWithBothRegions();
    const plan = edge.createEnginePlan(PROMPT);
    const regionOf = (id: string | undefined) => id?.slice(0, 1);
    const random = new Random(11);
    for (let count = 0; count < 400; count += 1) {
      randomizeState(edge.pool.all(), random);
      const placement = edge.select(plan);
      if (placement?.prefixSource !== undefined) {
        const source = placement.prefixSource.id;
        expect(regionOf(source)).toBe(regionOf(placement.upstream.id));
      }
    }
  });
});

// Guards against requests that saturate the link between regions.
describe('Link between regions', () => {
  const LEAST_URGENT = {
    bodyBytes: 20_000,
    deniedUpstreams: new Set<EdgeUpstream>(),
    isLeastUrgent: true,
  };
  const URGENT = {...LEAST_URGENT, isLeastUrgent: false};

  test('limits requests and reserves bandwidth for urgent ones', () => {
    const edge = new RegionEdge();
    edge.addUpstream('w1-a');
    const plan = edge.createPlan();
    const sendUntilFull = (size: typeof URGENT) => {
      let sent = 0;
      while (edge.select(plan, [], size) !== undefined && sent < 1_000) {
        edge.linkBudget.recordSent(plan, size.bodyBytes);
        sent += 1;
      }
      return sent;
    };
    const leastUrgentCount = sendUntilFull(LEAST_URGENT);
    const urgentCount = sendUntilFull(URGENT);
    expect(leastUrgentCount).toBeGreaterThan(0);
    expect(urgentCount).toBeGreaterThan(0);
    expect(leastUrgentCount + urgentCount).toBeLessThan(20);
    expect(edge.rejection(plan, URGENT)).toEqual({
      cause: 'region-link-full',
      retryAfterS: 0.3,
    });
  });

  test('accepts requests again after a while', async () => {
    const edge = new RegionEdge();
    edge.addUpstream('w1-a');
    const plan = edge.createPlan();
    edge.linkBudget.recordSent(plan, 200_000);
    expect(edge.select(plan)).toBeUndefined();
    await edge.clock.advance(4_000);
    expect(edge.select(plan)?.upstream.id).toBe('w1-a');
  });

  test('keeps requests in a busy local region while the link is full', () => {
    const edge = new RegionEdge();
    edge.addUpstream('e1-a').responseTime.recordDuration(3_000);
    edge.addUpstream('w1-a');
    const plan = edge.createPlan();
    edge.linkBudget.recordSent(plan, 200_000);
    expect(edge.select(plan)?.upstream.id).toBe('e1-a');
  });
});

// Guards against requests delayed by connection attempts to failed upstreams.
describe('Failed local upstreams', () => {
  function edgeWithFailedLocalUpstreams(): RegionEdge {
    const edge = new RegionEdge();
    for (const id of ['e1-a', 'e1-b', 'e2-a']) {
      edge.addUpstream(id).recordConnectFailure();
    }
    edge.addUpstream('w1-a');
    return edge;
  }

  test('are probed one at a time at a limited rate', async () => {
    const edge = edgeWithFailedLocalUpstreams();
    await edge.clock.advance(300);
    expect(edge.select(edge.createPlan())?.upstream.id.startsWith('e')).toBe(
      true,
    );
    edge.recoveryProbes.recordProbe();
    expect(edge.select(edge.createPlan())?.upstream.id).toBe('w1-a');
    await edge.clock.advance(2_000);
    expect(edge.select(edge.createPlan())?.upstream.id.startsWith('e')).toBe(
      true,
    );
  });

  test('are all used again once one has responded', async () => {
    const edge = edgeWithFailedLocalUpstreams();
    await edge.clock.advance(300);
    edge.recoveryProbes.recordProbe();
    edge.recoveryProbes.recordSuccess();
    const selected = edge.selectedIds(edge.createPlan(), 60);
    expect([...selected].every((id) => id.startsWith('e'))).toBe(true);
  });

  test('are not probed while the link is full', () => {
    const edge = edgeWithFailedLocalUpstreams();
    const plan = edge.createPlan();
    edge.linkBudget.recordSent(plan, 200_000);
    expect(edge.select(plan)).toBeUndefined();
    expect(edge.rejection(plan).cause).toBe('region-link-full');
  });

  test('delay a request at most once', () => {
    const edge = edgeWithFailedLocalUpstreams();
    const failed = edge.upstream('w1-a');
    failed.recordConnectFailure();
    const plan = edge.createPlan();
    expect(edge.select(plan)).toBeDefined();
    expect(edge.select(plan, [failed])).toBeUndefined();
    edge.addUpstream('w2-a');
    expect(edge.select(plan, [failed])?.upstream.id).toBe('w2-a');
  });

  test('are used if no other region is allowed', () => {
    const edge = edgeWithFailedLocalUpstreams();
    edge.recoveryProbes.recordProbe();
    const plan = edge.createPlan({allowedRegions: ['east']});
    expect(edge.select(plan)?.upstream.id.startsWith('e')).toBe(true);
  });
});

// Guards against overload of upstreams that restart without warm caches.
describe('A region during warm-up', () => {
  test('serves up to its cold-start limit and sends the rest elsewhere', async () => {
    const coldStart = {durationMs: 3_000, requestsPerSecond: 9.9};
    const edge = new RegionEdge();
    const local = edge.addUpstream('e1-a');
    edge.addUpstream('w1-a');
    const plan = edge.createPlan({service: {...PLAIN_SERVICE, coldStart}});
    const sendFor = async (ms: number) => {
      const counts = {remote: 0, local: 0};
      for (let at = 0; at < ms; at += 20) {
        const upstream = edge.select(plan)?.upstream;
        if (upstream !== undefined) {
          edge.admission.admit(upstream);
        }
        counts[upstream === local ? 'local' : 'remote'] += 1;
        await edge.clock.advance(20);
      }
      return counts;
    };
    local.markCold(edge.clock.now() + coldStart.durationMs);
    const coldCounts = await sendFor(3_000);
    expect(coldCounts.local).toBeGreaterThan(0);
    expect(coldCounts.local).toBeLessThan(35);
    expect(coldCounts.remote).toBeGreaterThan(100);
    expect((await sendFor(1_000)).remote).toBe(0);
  });
});

// Guards against different selections once regions are configured but not needed.
describe('A fleet with one region', () => {
  const REGION_MAPS: Record<string, string>[] = [
    {},
    {e1: 'r', e2: 'r', w1: 'r', w2: 'r'},
    {e1: 'r'},
  ];

  test.each(REGION_MAPS)(
    'selects the same plain upstreams as the reference (%j)',
    (regionByHall) => {
      const edge = new RegionEdge({regionByHall});
      const random = new Random(3);
      const referenceRandom = new Random(7);
      for (const hall of [...HALLS, ...HALLS.slice(1)]) {
        edge.addUpstream(`${hall}-${edge.pool.all().length}`);
      }
      for (let count = 0; count < 500; count += 1) {
        randomizeState(edge.pool.all(), random);
        const expected = referencePlainChoice(
          edge.pool.all(),
          'e1',
          referenceRandom,
        );
        expect(edge.select(edge.createPlan())?.upstream).toBe(expected);
      }
    },
  );

  test.each(REGION_MAPS)(
    'selects the same engines and copies as the reference (%j)',
    (regionByHall) => {
      const edge = new RegionEdge({regionByHall});
      const random = new Random(5);
      for (const hall of [...HALLS, ...HALLS.slice(1)]) {
        edge.addUpstream(`${hall}-${edge.pool.all().length}`);
      }
      for (let count = 0; count < 500; count += 1) {
        randomizeState(edge.pool.all(), random);
        const prompt = [{id: `p${count % 5}`, tokens: 3_000}, ...PROMPT];
        const expected = referenceEnginePlacement(
          edge.pool.all(),
          prompt,
          ENGINE_SERVICE,
          'e1',
        );
        expect(edge.select(edge.createEnginePlan(prompt))).toEqual(expected);
      }
    },
  );

  test('selects the same upstreams without a region link', () => {
    const log = new NoopDecisionLog();
    const upstreams = HALLS.map((hall) => {
      const record = makeUpstream(hall, {hall, slots: 6});
      return new EdgeUpstream(record, new ManualClock(), log);
    });
    const random = new Random(9);
    const plainBalancer = new PowerOfTwoChoices(new Random(4));
    const referenceRandom = new Random(4);
    const engineBalancer = new LowestLatency();
    for (let count = 0; count < 200; count += 1) {
      randomizeState(upstreams, random);
      const context = {hall: 'e1', parts: PROMPT};
      expect(
        plainBalancer.choose(upstreams, {...context, service: PLAIN_SERVICE}),
      ).toBe(referencePlainChoice(upstreams, 'e1', referenceRandom));
      expect(
        engineBalancer.choosePlacement(upstreams, {
          ...context,
          service: ENGINE_SERVICE,
        }),
      ).toEqual(
        referenceEnginePlacement(upstreams, PROMPT, ENGINE_SERVICE, 'e1'),
      );
    }
  });
});
