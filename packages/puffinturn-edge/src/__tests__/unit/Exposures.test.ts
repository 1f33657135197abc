/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {KeptDecisionLog} from 'puffinturn-decisions';
import type {Rollouts, RolloutState, UpstreamRecord} from 'puffinturn-fleet';
import {
  NO_ROLLOUTS,
  Regions,
  REPETITION,
  UNNAMED_VERSION,
  UPSTREAM_STATE,
} from 'puffinturn-fleet';
import {ManualClock, Random} from 'shared';

import {EdgeMetrics} from '../../EdgeMetrics';
import {CrossingEpisodes} from '../../regions/CrossingEpisodes';
import {RegionCrossing} from '../../regions/RegionCrossing';
import type {Plan} from '../../requests/RequestPlan';
import {Exposures} from '../../rollouts/Exposures';
import {HomeProbes} from '../../upstreams/HomeProbes';
import {ReturnTimes} from '../../upstreams/ReturnTimes';
import {LeastInFlight} from '../../upstreams/UpstreamChoice';
import {UpstreamPool} from '../../upstreams/UpstreamPool';
import type {RequestSize} from '../../upstreams/UpstreamSelection';
import {selectUpstream} from '../../upstreams/UpstreamSelection';
import {upstreamOf} from '../utils/EdgeFixture';
import {PacedAdmission} from '../utils/PacedAdmission';
import {
  ServingFixture,
  servingRoute,
  TestUpstream,
  until,
} from '../utils/ServingFixture';

function rolloutsOf(
  revision: number,
  state: RolloutState | undefined,
  number = 1,
): Rollouts {
  const rollout = state && {
    durationMs: 12_000,
    number,
    state,
    targetVersion: 'v2',
  };
  const service = {rollout, service: 's', stableVersion: 'v1'};
  return {revision, services: [service]};
}

function upstreams(count: number, version: string): UpstreamRecord[] {
  return Array.from({length: count}, (_, at) => {
    const address = `10.0.${version.length + Number(version.slice(1))}.${at}:80`;
    return upstreamOf(`${version}-${at}`, {address, version});
  });
}

const PLAN: Plan = {
  parts: [],
  route: servingRoute('r'),
  service: {
    coldStart: {durationMs: 3_000, requestsPerSecond: 10},
    engine: undefined,
    maxConnections: 10,
    name: 's',
  },
  team: undefined,
  tokens: undefined,
};

const SENDING: RequestSize = {
  bodyBytes: 0,
  heldBack: new Set(),
  isLeastUrgent: false,
};

/** Time between two requests, ms. */
const REQUEST_EVERY_MS = 5;

function start(records: readonly UpstreamRecord[]) {
  const clock = new ManualClock();
  const log = new KeptDecisionLog();
  const pool = new UpstreamPool(clock, log);
  const random = new Random(1);
  const metrics = new EdgeMetrics();
  const exposures = new Exposures({clock, log, metrics, pool, random});
  const choice = new LeastInFlight(random);
  const admission = new PacedAdmission({
    box: 'e',
    clock,
    peers: () => [],
    tolerance: {extra: 0, overage: 1},
  });
  const regions = new Regions();
  const parts = {
    admission,
    crossing: new RegionCrossing({
      clock,
      edges: () => 1,
      episodes: new CrossingEpisodes(clock, log),
      hall: 'a',
      regions,
    }),
    engineChoice: choice,
    exposures,
    hall: 'a',
    homeProbes: new HomeProbes(clock),
    newestRegions: () => undefined,
    plainChoice: choice,
    pool,
    random,
    regions,
    returnTimes: new ReturnTimes(clock, random, () => 1),
  };
  pool.merge(records, 'c1');
  /** Where so many requests go, by upstream; undefined for none. */
  const send = async (requests: number) => {
    const sent = new Map<string | undefined, number>();
    for (let count = 0; count < requests; count += 1) {
      await clock.advance(REQUEST_EVERY_MS);
      const upstream = selectUpstream(
        parts,
        PLAN,
        new Set(),
        SENDING,
      )?.upstream;
      if (upstream !== undefined) {
        exposures.sent(PLAN, upstream, 0);
        admission.admit(upstream);
      }
      sent.set(upstream?.id, (sent.get(upstream?.id) ?? 0) + 1);
    }
    return sent;
  };
  const versions = async (requests: number) => {
    const ids = [...(await send(requests)).keys()];
    const sent = ids.map((id) => id?.slice(0, 2));
    return [...new Set(sent)].sort();
  };
  const grant = (granted: number, number = 1) =>
    exposures.applyGrants([{granted, number, service: 's'}]);
  return {clock, exposures, grant, log, pool, send, versions};
}

const BOTH = [...upstreams(20, 'v1'), ...upstreams(20, 'v2')];

describe('Roll-outs at an edge', () => {
  test('a service of which no version is known is served by any', async () => {
    const {exposures, versions} = start(BOTH);
    expect(await versions(400)).toEqual(['v1', 'v2']);
    exposures.adopt({revision: 1, services: []}, 'c1');
    expect(await versions(400)).toEqual(['v1', 'v2']);
  });

  test('upstreams that name no version serve as the version that they are', async () => {
    const unnamed = Array.from({length: 3}, (_, at) =>
      upstreamOf(`old-${at}`, {address: `10.0.9.${at}:80`}),
    );
    const {exposures, send} = start(unnamed);
    const services = [
      {rollout: undefined, service: 's', stableVersion: UNNAMED_VERSION},
    ];
    exposures.adopt({revision: 1, services}, 'c1');
    expect([...(await send(30)).keys()]).not.toContain(undefined);
  });

  test('a version that no order allows gets nothing though it is ready', async () => {
    const {exposures, grant, versions} = start(upstreams(5, 'v3'));
    exposures.adopt(rolloutsOf(1, undefined), 'c1');
    grant(100);
    expect(await versions(100)).toEqual([undefined]);
    exposures.adopt(rolloutsOf(2, 'exposing'), 'c1');
    grant(100);
    expect(await versions(100)).toEqual([undefined]);
  });

  test('an edge that has no grant yet exposes nothing', async () => {
    const {exposures, grant, versions} = start(BOTH);
    exposures.adopt(rolloutsOf(1, 'exposing'), 'c1');
    expect(await versions(400)).toEqual(['v1']);
    grant(50, 7);
    expect(await versions(400)).toEqual(['v1']);
  });

  test('exposed requests are gathered on few upstreams that all agree on', async () => {
    const gatheredAt: unknown[][] = [];
    for (const boxes of [1, 2]) {
      const {exposures, grant, send} = start(BOTH);
      exposures.adopt(rolloutsOf(1, 'exposing'), 'c1');
      grant(40);
      const sent = await send(400);
      const targets = [...sent].filter(([id]) => id?.startsWith('v2'));
      expect(targets.reduce((sum, [, count]) => sum + count, 0)).toBe(40);
      gatheredAt.push(targets.map(([id]) => id).sort());
      expect(gatheredAt).toHaveLength(boxes);
    }
    expect(gatheredAt[0]).toHaveLength(2);
    expect(gatheredAt[1]).toEqual(gatheredAt[0]);
  });

  test('others take their place where these do not come up', async () => {
    const {exposures, grant, pool, send} = start(BOTH);
    exposures.adopt(rolloutsOf(1, 'exposing'), 'c1');
    grant(10);
    const first = [...(await send(200)).keys()].filter((id) =>
      id?.startsWith('v2'),
    );
    for (const upstream of pool.all()) {
      if (first.includes(upstream.id)) {
        upstream.unreachable();
      }
    }
    grant(60);
    // Within the pause of the first ones.
    const next = [...(await send(40)).keys()].filter((id) =>
      id?.startsWith('v2'),
    );
    expect(next).toHaveLength(2);
    expect(next.filter((id) => first.includes(id))).toEqual([]);
  });

  test('nothing is used up while no upstream of the new version is there', async () => {
    const {exposures, grant, pool, versions} = start(upstreams(5, 'v1'));
    exposures.adopt(rolloutsOf(1, 'exposing'), 'c1');
    grant(10);
    expect(await versions(200)).toEqual(['v1']);
    expect(exposures.reports()[0]?.exposed).toBe(0);
    pool.merge(upstreams(5, 'v2'), 'c1');
    expect(await versions(200)).toEqual(['v1', 'v2']);
    expect(exposures.reports()[0]?.exposed).toBeGreaterThan(7);
  });

  test('new upstreams of an evacuated hall, or gone ones, get nothing', async () => {
    const records = upstreams(3, 'v2').map((record) => {
      return {...record, hall: 'b'};
    });
    const {exposures, grant, pool, versions} = start([
      ...upstreams(5, 'v1'),
      ...records,
    ]);
    exposures.adopt(rolloutsOf(1, 'exposing'), 'c1');
    grant(50);
    pool.evacuate({halls: ['b'], revision: 1}, 'c1', () => 0);
    expect(await versions(200)).toEqual(['v1']);
    pool.evacuate({halls: [], revision: 2}, 'c1', () => 0);
    expect(await versions(50)).toEqual(['v1', 'v2']);
    pool.merge(
      records.map((record) => ({...record, state: UPSTREAM_STATE.gone})),
      'c1',
    );
    expect(await versions(200)).toEqual(['v1']);
  });

  test('a cold new upstream gets no more than it bears', async () => {
    const records = upstreams(1, 'v2').map((record) => {
      return {...record, coldMs: 3_000};
    });
    const {exposures, grant, send} = start([...upstreams(5, 'v1'), ...records]);
    exposures.adopt(rolloutsOf(1, 'exposing'), 'c1');
    grant(50);
    const sent = await send(300);
    // Ten a second, and one as it begins.
    expect(sent.get('v2-0')).toBeLessThanOrEqual(16);
    expect(sent.get('v2-0')).toBeGreaterThan(3);
    expect(sent.get(undefined)).toBeUndefined();
  });

  test('a roll-out that is rolled back ends exposure at once', async () => {
    const {exposures, grant, versions} = start(BOTH);
    exposures.adopt(rolloutsOf(1, 'exposing'), 'c1');
    grant(50);
    exposures.adopt(rolloutsOf(2, 'rolled-back'), 'c1');
    grant(80);
    expect(await versions(400)).toEqual(['v1']);
    expect(exposures.hasActiveRollout).toBe(false);
    expect(exposures.reports()).toEqual([]);
  });

  test('an older word does not bring it back', async () => {
    const {exposures, grant, log, versions} = start(BOTH);
    exposures.adopt(rolloutsOf(5, 'rolled-back'), 'c1');
    exposures.adopt(rolloutsOf(4, 'exposing'), 'c2');
    exposures.adopt(NO_ROLLOUTS, 'e2');
    grant(50);
    expect(await versions(400)).toEqual(['v1']);
    const adopted = log.lines.filter(({event}) => event === 'rollouts-adopted');
    expect(adopted).toEqual([
      expect.objectContaining({former: 0, revision: 5, source: 'c1'}),
    ]);
  });

  test('a good one shifts, and is told as shifted where it serves', async () => {
    const {exposures, pool, versions} = start(upstreams(5, 'v1'));
    exposures.adopt(rolloutsOf(2, 'shifting'), 'c1');
    expect(await versions(50)).toEqual(['v1']);
    expect(exposures.reports()[0]).toMatchObject({shifted: false});
    pool.merge(upstreams(5, 'v2'), 'c1');
    expect(await versions(50)).toEqual(['v2']);
    // The former version was needed within the last 500 ms.
    expect(exposures.reports()[0]).toMatchObject({shifted: false});
    expect(await versions(60)).toEqual(['v2']);
    const [former] = pool.serving('s');
    if (former !== undefined) {
      former.inFlight += 2;
    }
    expect(exposures.reports()[0]).toMatchObject({
      openAtFormer: 2,
      shifted: true,
    });
    exposures.adopt(rolloutsOf(3, 'completed'), 'c1');
    expect(await versions(50)).toEqual(['v2']);
    expect(exposures.hasActiveRollout).toBe(false);
  });

  test('while new upstreams bear few requests, the former ones serve the others', async () => {
    const cold = upstreams(1, 'v2').map((record) => {
      return {...record, coldMs: 3_000};
    });
    const {clock, exposures, pool, versions} = start([
      ...upstreams(5, 'v1'),
      ...cold,
    ]);
    const shifted = () => exposures.reports()[0]?.shifted;
    exposures.adopt(rolloutsOf(2, 'shifting'), 'c1');
    expect(await versions(200)).toEqual(['v1', 'v2']);
    expect(shifted()).toBe(false);
    await clock.advance(3_000);
    expect(await versions(50)).toEqual(['v2']);
    expect(shifted()).toBe(true);
    // From then on the former ones may stop at any time.
    const again = cold.map((record) => ({...record, sequence: 2}));
    pool.merge(again, 'c1');
    expect(await versions(50)).toEqual(['v2', undefined]);
  });

  test('a former upstream that left still counts while requests are open there', async () => {
    const {exposures, pool} = start(BOTH);
    exposures.adopt(rolloutsOf(2, 'shifting'), 'c1');
    const former = pool.all().find(({id}) => id === 'v1-0');
    if (former === undefined) {
      throw new Error('no such upstream');
    }
    former.inFlight = 1;
    const gone = {...former.record, state: UPSTREAM_STATE.gone};
    pool.merge([gone], 'c1');
    expect(exposures.reports()[0]).toMatchObject({openAtFormer: 1});
  });

  test('an edge that is cut off uses up what it has, and goes on with the stable one', async () => {
    const {exposures, grant, log, send, versions} = start(BOTH);
    exposures.adopt(rolloutsOf(1, 'exposing'), 'c1');
    grant(10);
    const sent = await send(3_000);
    const targets = [...sent].filter(([id]) => id?.startsWith('v2'));
    expect(targets.reduce((sum, [, count]) => sum + count, 0)).toBe(10);
    expect(await versions(400)).toEqual(['v1']);
    expect(log.lines).not.toContainEqual(
      expect.objectContaining({event: 'exposure-stopped'}),
    );
  });

  test('an edge that starts again has nothing in hand', async () => {
    const former = start(BOTH);
    former.exposures.adopt(rolloutsOf(1, 'exposing'), 'c1');
    former.grant(10);
    const {exposures, versions} = start(BOTH);
    exposures.adopt(former.exposures.rollouts, 'e2');
    expect(await versions(400)).toEqual(['v1']);
    expect(exposures.reports()[0]).toMatchObject({exposed: 0, granted: 0});
  });

  test('a new order begins with nothing granted', async () => {
    const {exposures, grant, versions} = start(BOTH);
    exposures.adopt(rolloutsOf(1, 'exposing', 1), 'c1');
    grant(50, 1);
    exposures.adopt(rolloutsOf(2, 'rolled-back', 1), 'c1');
    exposures.adopt(rolloutsOf(3, 'exposing', 2), 'c1');
    grant(90, 1);
    expect(await versions(400)).toEqual(['v1']);
    expect(exposures.reports()[0]).toMatchObject({granted: 0, number: 2});
  });
});

describe('Requests during a roll-out', () => {
  const ROUTES = [
    servingRoute('look'),
    servingRoute('order', {repetition: REPETITION.never}),
  ];

  /** An edge with one upstream of each version. */
  class Served implements AsyncDisposable {
    constructor(
      readonly former: TestUpstream,
      readonly next: TestUpstream,
      readonly serving: ServingFixture,
    ) {}

    reportOf() {
      return this.serving.exposures.reports()[0];
    }

    async [Symbol.asyncDispose](): Promise<void> {
      await this.serving[Symbol.asyncDispose]();
      await this.former[Symbol.asyncDispose]();
      await this.next[Symbol.asyncDispose]();
    }
  }

  async function serve(state: RolloutState): Promise<Served> {
    const former = await TestUpstream.start('old');
    const next = await TestUpstream.start('new');
    const serving = await ServingFixture.start(ROUTES);
    serving.pool.merge(
      [former.record({version: 'v1'}), next.record({version: 'v2'})],
      'c1',
    );
    serving.exposures.adopt(rolloutsOf(1, state), 'c1');
    serving.exposures.applyGrants([{granted: 1_000, number: 1, service: 's'}]);
    return new Served(former, next, serving);
  }

  test('one that failed at the new version goes to the stable one', async () => {
    await using served = await serve('exposing');
    const {next, serving} = served;
    next.answer = (_, response) => void response.destroy();
    for (let count = 0; count < 3; count += 1) {
      expect((await serving.ask('look')).body).toBe('old');
    }
    expect(next.seen.length).toBeGreaterThan(0);
    expect(served.reportOf()?.exposed).toBe(next.seen.length);
    expect(served.reportOf()?.tallies).toContainEqual(
      expect.objectContaining({
        answers: next.seen.length,
        failures: next.seen.length,
        version: 'v2',
      }),
    );
  });

  test('one that may not be repeated goes nowhere else', async () => {
    await using served = await serve('exposing');
    const {former, next, serving} = served;
    next.answer = (_, response) => void response.destroy();
    const answers = [await serving.ask('order'), await serving.ask('order')];
    const failed = answers.filter(({status}) => status === 502);
    expect(failed).toHaveLength(next.seen.length);
    expect(former.seen).toHaveLength(2 - next.seen.length);
  });

  test('errors and sound answers of both versions are told', async () => {
    await using served = await serve('exposing');
    const {former, next, serving} = served;
    next.answer = (_, response) => {
      response.statusCode = 500;
      response.end('no');
    };
    const answers = await Promise.all(
      Array.from({length: 12}, () => serving.ask('look')),
    );
    const bad = answers.filter(({status}) => status === 500).length;
    const tallies = served.reportOf()?.tallies ?? [];
    const of = (version: string) =>
      tallies.find((tally) => tally.version === version);
    expect(of('v2')).toMatchObject({answers: next.seen.length});
    expect(of('v2')?.failures).toBe(next.seen.length);
    expect(of('v1')).toMatchObject({answers: 12 - bad, failures: 0});
    expect(served.reportOf()?.requests).toBe(
      former.seen.length + next.seen.length,
    );
  });

  test('one that is open as the roll-out is rolled back goes to its end', async () => {
    await using served = await serve('exposing');
    const {next, serving} = served;
    const open: (() => void)[] = [];
    next.answer = (_, response) => {
      open.push(() => response.end('late'));
    };
    const answers = [serving.ask('order'), serving.ask('order')];
    await until(() => open.length === 2);
    serving.exposures.adopt(rolloutsOf(2, 'rolled-back'), 'c1');
    expect((await serving.ask('order')).body).toBe('old');
    open.forEach((finish) => finish());
    const bodies = (await Promise.all(answers)).map(({body}) => body);
    expect(bodies).toEqual(['late', 'late']);
    expect(next.seen).toHaveLength(2);
  });

  test('while it shifts, those open at the former version end there', async () => {
    await using served = await serve('rolled-back');
    const {former, next, serving} = served;
    let finish = (): void => undefined;
    former.answer = (_, response) => {
      finish = () => void response.end('old');
    };
    const open = serving.ask('order');
    await until(() => former.seen.length === 1);
    serving.exposures.adopt(rolloutsOf(2, 'shifting', 2), 'c1');
    expect(served.reportOf()).toMatchObject({openAtFormer: 1, shifted: false});
    await until(() => served.reportOf()?.shifted === true);
    expect(served.reportOf()).toMatchObject({openAtFormer: 1, shifted: true});
    expect((await serving.ask('order')).body).toBe('new');
    finish();
    expect((await open).body).toBe('old');
    expect(served.reportOf()).toMatchObject({openAtFormer: 0, shifted: true});
    expect(next.seen).toHaveLength(1);
  });

  test('while it shifts and no new upstream comes up, none is lost', async () => {
    await using served = await serve('shifting');
    const {former, next, serving} = served;
    const gone = {state: UPSTREAM_STATE.gone, version: 'v2'};
    serving.pool.merge([next.record(gone)], 'c1');
    expect((await serving.ask('order')).body).toBe('old');
    expect(former.seen).toHaveLength(1);
  });
});
