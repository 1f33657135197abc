/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {SilentDecisionLog} from 'puffinturn-decisions';
import {ManualClock, Random} from 'shared';

import {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {ExpectedTime, ShorterWait} from '../../upstreams/UpstreamChoice';
import {upstreamOf} from '../utils/EdgeFixture';
import {engineInOneRegion, plainInOneRegion} from '../utils/OneRegion';
import {ENGINES, PLAIN, RegionEdge} from '../utils/RegionEdge';

const PROMPT = [
  {id: 'aa', tokens: 5_000},
  {id: 'bb', tokens: 1_000},
];

const HALLS = ['e1', 'e2', 'w1', 'w2'];

/** Puts upstreams into some state of load, health and memory. */
function disturb(upstreams: readonly EdgeUpstream[], random: Random): void {
  for (const upstream of upstreams) {
    upstream.inFlight = random.integer(0, 9);
    upstream.pendingTokens = random.integer(0, 9_000);
    upstream.answerTime.measured(random.integer(0, 400));
    upstream.speed.measured(5_000, random.integer(50, 900));
    if (random.fraction() < 0.3) {
      upstream.prefixes.sent(PROMPT);
    }
  }
}

describe('Regions and the choice of a plain upstream', () => {
  test('stay in the own region while it answers in time', () => {
    const edge = new RegionEdge();
    for (const id of ['e1-a', 'e2-a', 'w1-a', 'w2-a']) {
      edge.add(id);
    }
    edge.upstream('e1-a').answerTime.measured(100);
    edge.upstream('e2-a').answerTime.measured(120);
    edge.add('e2-b').answerTime.measured(120);
    const drawn = edge.drawn(edge.plan(), 50);
    expect([...drawn].sort()).toEqual(['e1-a', 'e2-a', 'e2-b']);
  });

  test('go over where the wait at home is longer than the way', () => {
    const edge = new RegionEdge();
    edge.add('e1-a').answerTime.measured(400);
    edge.add('w1-a').answerTime.measured(60);
    expect(edge.place(edge.plan())?.upstream.id).toBe('w1-a');
  });

  test('come home again once it answers in time', async () => {
    const edge = new RegionEdge();
    edge.add('e1-a').answerTime.measured(400);
    edge.add('w1-a').answerTime.measured(60);
    await edge.clock.advance(6_000);
    expect(edge.place(edge.plan())?.upstream.id).toBe('e1-a');
  });

  test('go over where all of home is out of choice', () => {
    const edge = new RegionEdge();
    edge.add('e1-a').unreachable();
    edge.add('w1-a');
    expect(edge.place(edge.plan())?.upstream.id).toBe('w1-a');
  });
});

describe('Regions and the choice of an engine', () => {
  const FIVE = ['e1-a', 'e1-b', 'e2-a', 'e2-b', 'e2-c'];
  const AWAY = ['w1-a', 'w1-b', 'w2-a', 'w2-b', 'w2-c'];

  function edgeOfBoth(): RegionEdge {
    const edge = new RegionEdge();
    for (const id of [...FIVE, ...AWAY]) {
      edge.add(id);
    }
    return edge;
  }

  test('a prompt has a home in the own region, wherever it is kept else', () => {
    const edge = edgeOfBoth();
    for (let at = 0; at < 40; at += 1) {
      const prompt = [{id: `p${at}`, tokens: 5_000}, ...PROMPT.slice(1)];
      for (const id of AWAY) {
        edge.upstream(id).prefixes.sent(prompt);
      }
      const plan = edge.enginePlan(prompt);
      expect(FIVE).toContain(edge.place(plan)?.upstream.id);
    }
  });

  test('edges of one region agree on the home of a prompt', () => {
    const plan = (edge: RegionEdge) => edge.enginePlan(PROMPT);
    const first = edgeOfBoth();
    const second = new RegionEdge();
    for (const id of [...AWAY, ...FIVE].reverse()) {
      second.add(id);
    }
    expect(second.place(plan(second))?.upstream.id).toBe(
      first.place(plan(first))?.upstream.id,
    );
  });

  test('a busy home is worth some wait, and then the way', () => {
    const edge = edgeOfBoth();
    const plan = edge.enginePlan(PROMPT);
    const busy = (tokens: number) => {
      for (const id of FIVE) {
        edge.upstream(id).pendingTokens = tokens;
      }
    };
    busy(1_500);
    expect(FIVE).toContain(edge.place(plan)?.upstream.id);
    busy(40_000);
    expect(AWAY).toContain(edge.place(plan)?.upstream.id);
  });

  test('no prompt is copied from one region to the other', () => {
    const edge = edgeOfBoth();
    const plan = edge.enginePlan(PROMPT);
    const regionOf = (id: string | undefined) => id?.slice(0, 1);
    const random = new Random(11);
    for (let count = 0; count < 400; count += 1) {
      disturb(edge.pool.all(), random);
      const placed = edge.place(plan);
      if (placed?.prefixSource !== undefined) {
        const source = placed.prefixSource.id;
        expect(regionOf(source)).toBe(regionOf(placed.upstream.id));
      }
    }
  });
});

describe('The link between regions', () => {
  const LEAST = {
    bodyBytes: 20_000,
    heldBack: new Set<EdgeUpstream>(),
    isLeastUrgent: true,
  };
  const MORE = {...LEAST, isLeastUrgent: false};

  test('carries a bounded part of the requests, the urgent ones longest', () => {
    const edge = new RegionEdge();
    edge.add('w1-a');
    const plan = edge.plan();
    const sendAll = (sending: typeof MORE) => {
      let sent = 0;
      while (edge.place(plan, [], sending) !== undefined && sent < 1_000) {
        edge.crossing.sent(plan, sending.bodyBytes);
        sent += 1;
      }
      return sent;
    };
    const least = sendAll(LEAST);
    const more = sendAll(MORE);
    expect(least).toBeGreaterThan(0);
    expect(more).toBeGreaterThan(0);
    expect(least + more).toBeLessThan(20);
    expect(edge.lack(plan, MORE)).toEqual({
      cause: 'region-link-full',
      retryAfterS: 0.3,
    });
  });

  test('is free again after a while', async () => {
    const edge = new RegionEdge();
    edge.add('w1-a');
    const plan = edge.plan();
    edge.crossing.sent(plan, 200_000);
    expect(edge.place(plan)).toBeUndefined();
    await edge.clock.advance(4_000);
    expect(edge.place(plan)?.upstream.id).toBe('w1-a');
  });

  test('keeps requests at home where there is a home, however busy', () => {
    const edge = new RegionEdge();
    edge.add('e1-a').answerTime.measured(3_000);
    edge.add('w1-a');
    const plan = edge.plan();
    edge.crossing.sent(plan, 200_000);
    expect(edge.place(plan)?.upstream.id).toBe('e1-a');
  });
});

describe('Upstreams of the own region that failed last', () => {
  function edgeWithDarkHome(): RegionEdge {
    const edge = new RegionEdge();
    for (const id of ['e1-a', 'e1-b', 'e2-a']) {
      edge.add(id).unreachable();
    }
    edge.add('w1-a');
    return edge;
  }

  test('are tried one at a time, and rarely', async () => {
    const edge = edgeWithDarkHome();
    await edge.clock.advance(300);
    expect(edge.place(edge.plan())?.upstream.id.startsWith('e')).toBe(true);
    edge.homeProbes.sent();
    expect(edge.place(edge.plan())?.upstream.id).toBe('w1-a');
    await edge.clock.advance(2_000);
    expect(edge.place(edge.plan())?.upstream.id.startsWith('e')).toBe(true);
  });

  test('are all tried again once one of them has answered', async () => {
    const edge = edgeWithDarkHome();
    await edge.clock.advance(300);
    edge.homeProbes.sent();
    edge.homeProbes.answered();
    const drawn = edge.drawn(edge.plan(), 60);
    expect([...drawn].every((id) => id.startsWith('e'))).toBe(true);
  });

  test('hold no request up while the link is full', () => {
    const edge = edgeWithDarkHome();
    const plan = edge.plan();
    edge.crossing.sent(plan, 200_000);
    expect(edge.place(plan)).toBeUndefined();
    expect(edge.lack(plan).cause).toBe('region-link-full');
  });

  test('hold a request up once, and not one after the other', () => {
    const edge = edgeWithDarkHome();
    const dark = edge.upstream('w1-a');
    dark.unreachable();
    const plan = edge.plan();
    expect(edge.place(plan)).toBeDefined();
    expect(edge.place(plan, [dark])).toBeUndefined();
    edge.add('w2-a');
    expect(edge.place(plan, [dark])?.upstream.id).toBe('w2-a');
  });

  test('are tried where no other region is allowed', () => {
    const edge = edgeWithDarkHome();
    edge.homeProbes.sent();
    const plan = edge.plan({allowedRegions: ['east']});
    expect(edge.place(plan)?.upstream.id.startsWith('e')).toBe(true);
  });
});

describe('A region that returns cold', () => {
  test('serves what it bears, and the other one the rest', async () => {
    const coldStart = {durationMs: 3_000, requestsPerSecond: 9.9};
    const edge = new RegionEdge();
    const home = edge.add('e1-a');
    edge.add('w1-a');
    const plan = edge.plan({service: {...PLAIN, coldStart}});
    const sentIn = async (ms: number) => {
      const counts = {away: 0, home: 0};
      for (let at = 0; at < ms; at += 20) {
        const upstream = edge.place(plan)?.upstream;
        if (upstream !== undefined) {
          edge.admission.admit(upstream);
        }
        counts[upstream === home ? 'home' : 'away'] += 1;
        await edge.clock.advance(20);
      }
      return counts;
    };
    home.turnsCold(edge.clock.now() + coldStart.durationMs);
    const cold = await sentIn(3_000);
    expect(cold.home).toBeGreaterThan(0);
    expect(cold.home).toBeLessThan(35);
    expect(cold.away).toBeGreaterThan(100);
    expect((await sentIn(1_000)).away).toBe(0);
  });
});

describe('A fleet of one region', () => {
  const REGIONS: Record<string, string>[] = [
    {},
    {e1: 'r', e2: 'r', w1: 'r', w2: 'r'},
    {e1: 'r'},
  ];

  test.each(REGIONS)('chooses plain upstreams alike (%j)', (byHall) => {
    const edge = new RegionEdge({byHall});
    const random = new Random(3);
    const reference = new Random(7);
    for (const hall of [...HALLS, ...HALLS.slice(1)]) {
      edge.add(`${hall}-${edge.pool.all().length}`);
    }
    for (let count = 0; count < 500; count += 1) {
      disturb(edge.pool.all(), random);
      const expected = plainInOneRegion(edge.pool.all(), 'e1', reference);
      expect(edge.place(edge.plan())?.upstream).toBe(expected);
    }
  });

  test.each(REGIONS)('chooses engines and copies alike (%j)', (byHall) => {
    const edge = new RegionEdge({byHall});
    const random = new Random(5);
    for (const hall of [...HALLS, ...HALLS.slice(1)]) {
      edge.add(`${hall}-${edge.pool.all().length}`);
    }
    for (let count = 0; count < 500; count += 1) {
      disturb(edge.pool.all(), random);
      const prompt = [{id: `p${count % 5}`, tokens: 3_000}, ...PROMPT];
      const expected = engineInOneRegion(
        edge.pool.all(),
        prompt,
        ENGINES,
        'e1',
      );
      expect(edge.place(edge.enginePlan(prompt))).toEqual(expected);
    }
  });

  test('chooses alike without any facts on a way', () => {
    const log = new SilentDecisionLog();
    const upstreams = HALLS.map((hall) => {
      const record = upstreamOf(hall, {hall, slots: 6});
      return new EdgeUpstream(record, new ManualClock(), log);
    });
    const random = new Random(9);
    const plain = new ShorterWait(new Random(4));
    const reference = new Random(4);
    const engines = new ExpectedTime();
    for (let count = 0; count < 200; count += 1) {
      disturb(upstreams, random);
      const facts = {hall: 'e1', parts: PROMPT};
      expect(plain.choose(upstreams, {...facts, service: PLAIN})).toBe(
        plainInOneRegion(upstreams, 'e1', reference),
      );
      expect(engines.place(upstreams, {...facts, service: ENGINES})).toEqual(
        engineInOneRegion(upstreams, PROMPT, ENGINES, 'e1'),
      );
    }
  });
});
