/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {InMemoryDecisionLog} from 'puffinturn-decisions';
import type {Rollouts, RolloutState, UpstreamRecord} from 'puffinturn-fleet';
import {
  EMPTY_ROLLOUTS,
  Regions,
  RETRY_POLICY,
  UNKNOWN_VERSION,
  UPSTREAM_STATE,
} from 'puffinturn-fleet';
import {ManualClock, Random} from 'shared';

import {EdgeMetrics} from '../../EdgeMetrics';
import {CrossRegionEpisodes} from '../../regions/CrossRegionEpisodes';
import {RegionLinkBudget} from '../../regions/RegionLinkBudget';
import type {RequestPlan} from '../../requests/RequestPlan';
import {
  ExposureController,
  UNORDERED_VERSION_DELAY_MS,
} from '../../rollouts/ExposureController';
import {LeastRequests} from '../../upstreams/LoadBalancer';
import {RecoveryProbes} from '../../upstreams/RecoveryProbes';
import {RetrySchedule} from '../../upstreams/RetrySchedule';
import {UpstreamPool} from '../../upstreams/UpstreamPool';
import type {RequestTraits} from '../../upstreams/UpstreamSelection';
import {selectUpstream} from '../../upstreams/UpstreamSelection';
import {makeUpstream} from '../utils/EdgeFixture';
import {
  createRoute,
  ForwardingFixture,
  TestUpstream,
  waitUntil,
} from '../utils/ForwardingFixture';
import {PacedAdmission} from '../utils/PacedAdmission';

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

function createUpstreams(count: number, version: string): UpstreamRecord[] {
  return Array.from({length: count}, (_, at) => {
    const address = `10.0.${version.length + Number(version.slice(1))}.${at}:80`;
    return makeUpstream(`${version}-${at}`, {address, version});
  });
}

const PLAN: RequestPlan = {
  promptParts: [],
  route: createRoute('r'),
  service: {
    coldStart: {durationMs: 3_000, requestsPerSecond: 10},
    engine: undefined,
    maxConnections: 10,
    name: 's',
  },
  team: undefined,
  tokenCounts: undefined,
};

const REQUEST_TRAITS: RequestTraits = {
  bodyBytes: 0,
  deniedUpstreams: new Set(),
  isLeastUrgent: false,
};

const REQUEST_INTERVAL_MS = 5;

function startEdge(records: readonly UpstreamRecord[]) {
  const clock = new ManualClock();
  const log = new InMemoryDecisionLog();
  const pool = new UpstreamPool(clock, log);
  const random = new Random(1);
  const metrics = new EdgeMetrics();
  const exposureController = new ExposureController({
    clock,
    log,
    metrics,
    pool,
    random,
  });
  const choice = new LeastRequests(random);
  const admission = new PacedAdmission({
    box: 'e',
    clock,
    peers: () => [],
    tolerance: {extra: 0, overage: 1},
  });
  const regions = new Regions();
  const parts = {
    admission,
    linkBudget: new RegionLinkBudget({
      clock,
      countEdges: () => 1,
      episodes: new CrossRegionEpisodes(clock, log),
      hall: 'a',
      regions,
    }),
    engineBalancer: choice,
    exposureController,
    hall: 'a',
    recoveryProbes: new RecoveryProbes(clock),
    latestAllowedRegions: () => undefined,
    plainBalancer: choice,
    pool,
    random,
    regions,
    retrySchedule: new RetrySchedule(clock, random, () => 1),
  };
  pool.merge(records, 'c1');
  /** Sends requests; returns their number by upstream id, undefined if rejected. */
  const sendRequests = async (requests: number) => {
    const sent = new Map<string | undefined, number>();
    for (let count = 0; count < requests; count += 1) {
      await clock.advance(REQUEST_INTERVAL_MS);
      const upstream = selectUpstream(
        parts,
        PLAN,
        new Set(),
        REQUEST_TRAITS,
      )?.upstream;
      if (upstream !== undefined) {
        exposureController.recordSent(PLAN, upstream, 0);
        admission.admit(upstream);
      }
      sent.set(upstream?.id, (sent.get(upstream?.id) ?? 0) + 1);
    }
    return sent;
  };
  const servedVersions = async (requests: number) => {
    const ids = [...(await sendRequests(requests)).keys()];
    const sent = ids.map((id) => id?.slice(0, 2));
    return [...new Set(sent)].sort();
  };
  const applyGrant = (granted: number, number = 1) =>
    exposureController.applyGrants([{granted, number, service: 's'}]);
  return {
    clock,
    exposureController,
    applyGrant,
    log,
    pool,
    sendRequests,
    servedVersions,
  };
}

const BOTH_VERSIONS = [
  ...createUpstreams(20, 'v1'),
  ...createUpstreams(20, 'v2'),
];

// Guards against requests to a version that the rollout does not allow, and against
// requests lost during a rollout.
describe('Upstream selection during a rollout', () => {
  test('uses any version if none is known for the service', async () => {
    const {exposureController, servedVersions} = startEdge(BOTH_VERSIONS);
    expect(await servedVersions(400)).toEqual(['v1', 'v2']);
    exposureController.adopt({revision: 1, services: []}, 'c1');
    expect(await servedVersions(400)).toEqual(['v1', 'v2']);
  });

  test('uses upstreams without a version if the stable version is unnamed', async () => {
    const unnamed = Array.from({length: 3}, (_, at) =>
      makeUpstream(`old-${at}`, {address: `10.0.9.${at}:80`}),
    );
    const {exposureController, sendRequests} = startEdge(unnamed);
    const services = [
      {rollout: undefined, service: 's', stableVersion: UNKNOWN_VERSION},
    ];
    exposureController.adopt({revision: 1, services}, 'c1');
    expect([...(await sendRequests(30)).keys()]).not.toContain(undefined);
  });

  test('sends requests to a version without an order once an order would have arrived', async () => {
    const {clock, exposureController, pool, servedVersions} = startEdge(
      createUpstreams(5, 'v1'),
    );
    exposureController.adopt(rolloutsOf(1, undefined), 'c1');
    pool.merge(createUpstreams(5, 'v2'), 'c1');
    expect(await servedVersions(100)).toEqual(['v1']);
    await clock.advance(UNORDERED_VERSION_DELAY_MS);
    expect(await servedVersions(100)).toEqual(['v1', 'v2']);
    exposureController.adopt(rolloutsOf(2, 'exposing'), 'c1');
    expect(await servedVersions(100)).toEqual(['v1']);
  });

  test.each([undefined, 'exposing', 'rolled-back'] as const)(
    'sends requests to a version without an order if no other is left (%s)',
    async (state) => {
      const {exposureController, servedVersions} = startEdge(
        createUpstreams(5, 'v3'),
      );
      exposureController.adopt(rolloutsOf(1, state), 'c1');
      expect(await servedVersions(100)).toEqual(['v3']);
    },
  );

  test('sends no requests to a version that an order withdrew', async () => {
    const {clock, exposureController, servedVersions} = startEdge(
      createUpstreams(5, 'v2'),
    );
    exposureController.adopt(rolloutsOf(1, 'exposing'), 'c1');
    await clock.advance(UNORDERED_VERSION_DELAY_MS);
    expect(await servedVersions(100)).toEqual([undefined]);
    exposureController.adopt(rolloutsOf(2, 'rolled-back'), 'c1');
    await clock.advance(UNORDERED_VERSION_DELAY_MS);
    expect(await servedVersions(100)).toEqual([undefined]);
  });

  test('sends no requests to the version that a rollout has replaced', async () => {
    const {clock, exposureController, servedVersions} =
      startEdge(BOTH_VERSIONS);
    exposureController.adopt(rolloutsOf(1, 'shifting'), 'c1');
    const services = [
      {...rolloutsOf(2, 'completed').services[0], stableVersion: 'v2'},
    ] as Rollouts['services'];
    exposureController.adopt({revision: 2, services}, 'c1');
    await clock.advance(UNORDERED_VERSION_DELAY_MS);
    expect(await servedVersions(100)).toEqual(['v2']);
  });

  test('exposes no request without a grant for the active rollout', async () => {
    const {exposureController, applyGrant, servedVersions} =
      startEdge(BOTH_VERSIONS);
    exposureController.adopt(rolloutsOf(1, 'exposing'), 'c1');
    expect(await servedVersions(400)).toEqual(['v1']);
    applyGrant(50, 7);
    expect(await servedVersions(400)).toEqual(['v1']);
  });

  test('concentrates exposed requests on the same few upstreams on every edge', async () => {
    const selectedByEdge: unknown[][] = [];
    for (const boxes of [1, 2]) {
      const {exposureController, applyGrant, sendRequests} =
        startEdge(BOTH_VERSIONS);
      exposureController.adopt(rolloutsOf(1, 'exposing'), 'c1');
      applyGrant(40);
      const sent = await sendRequests(400);
      const targets = [...sent].filter(([id]) => id?.startsWith('v2'));
      expect(targets.reduce((sum, [, count]) => sum + count, 0)).toBe(40);
      selectedByEdge.push(targets.map(([id]) => id).sort());
      expect(selectedByEdge).toHaveLength(boxes);
    }
    expect(selectedByEdge[0]).toHaveLength(2);
    expect(selectedByEdge[1]).toEqual(selectedByEdge[0]);
  });

  test('replaces unreachable upstreams of the new version by others', async () => {
    const {exposureController, applyGrant, pool, sendRequests} =
      startEdge(BOTH_VERSIONS);
    exposureController.adopt(rolloutsOf(1, 'exposing'), 'c1');
    applyGrant(10);
    const first = [...(await sendRequests(200)).keys()].filter((id) =>
      id?.startsWith('v2'),
    );
    for (const upstream of pool.all()) {
      if (first.includes(upstream.id)) {
        upstream.recordConnectFailure();
      }
    }
    applyGrant(60);
    // The first upstreams are still paused.
    const next = [...(await sendRequests(40)).keys()].filter((id) =>
      id?.startsWith('v2'),
    );
    expect(next).toHaveLength(2);
    expect(next.filter((id) => first.includes(id))).toEqual([]);
  });

  test('keeps a grant while no upstream of the new version is available', async () => {
    const {exposureController, applyGrant, pool, servedVersions} = startEdge(
      createUpstreams(5, 'v1'),
    );
    exposureController.adopt(rolloutsOf(1, 'exposing'), 'c1');
    applyGrant(10);
    expect(await servedVersions(200)).toEqual(['v1']);
    expect(exposureController.reports()[0]?.exposed).toBe(0);
    pool.merge(createUpstreams(5, 'v2'), 'c1');
    expect(await servedVersions(200)).toEqual(['v1', 'v2']);
    expect(exposureController.reports()[0]?.exposed).toBeGreaterThan(7);
  });

  test('exposes no request to upstreams that are gone or in an evacuated hall', async () => {
    const records = createUpstreams(3, 'v2').map((record) => {
      return {...record, hall: 'b'};
    });
    const {exposureController, applyGrant, pool, servedVersions} = startEdge([
      ...createUpstreams(5, 'v1'),
      ...records,
    ]);
    exposureController.adopt(rolloutsOf(1, 'exposing'), 'c1');
    applyGrant(50);
    pool.applyEvacuations({halls: ['b'], revision: 1}, 'c1', () => 0);
    expect(await servedVersions(200)).toEqual(['v1']);
    pool.applyEvacuations({halls: [], revision: 2}, 'c1', () => 0);
    expect(await servedVersions(50)).toEqual(['v1', 'v2']);
    pool.merge(
      records.map((record) => ({...record, state: UPSTREAM_STATE.gone})),
      'c1',
    );
    expect(await servedVersions(200)).toEqual(['v1']);
  });

  test('limits requests to a cold upstream of the new version', async () => {
    const records = createUpstreams(1, 'v2').map((record) => {
      return {...record, coldMs: 3_000};
    });
    const {exposureController, applyGrant, sendRequests} = startEdge([
      ...createUpstreams(5, 'v1'),
      ...records,
    ]);
    exposureController.adopt(rolloutsOf(1, 'exposing'), 'c1');
    applyGrant(50);
    const sent = await sendRequests(300);
    // 10 requests per second for 1.5 s, plus one at the start.
    expect(sent.get('v2-0')).toBeLessThanOrEqual(16);
    expect(sent.get('v2-0')).toBeGreaterThan(3);
    expect(sent.get(undefined)).toBeUndefined();
  });

  test('stops exposure at once on rollback', async () => {
    const {exposureController, applyGrant, servedVersions} =
      startEdge(BOTH_VERSIONS);
    exposureController.adopt(rolloutsOf(1, 'exposing'), 'c1');
    applyGrant(50);
    exposureController.adopt(rolloutsOf(2, 'rolled-back'), 'c1');
    applyGrant(80);
    expect(await servedVersions(400)).toEqual(['v1']);
    expect(exposureController.hasActiveRollout).toBe(false);
    expect(exposureController.reports()).toEqual([]);
  });

  test('ignores older revisions after a rollback', async () => {
    const {exposureController, applyGrant, log, servedVersions} =
      startEdge(BOTH_VERSIONS);
    exposureController.adopt(rolloutsOf(5, 'rolled-back'), 'c1');
    exposureController.adopt(rolloutsOf(4, 'exposing'), 'c2');
    exposureController.adopt(EMPTY_ROLLOUTS, 'e2');
    applyGrant(50);
    expect(await servedVersions(400)).toEqual(['v1']);
    const adopted = log.decisions.filter(
      ({event}) => event === 'rollouts-adopted',
    );
    expect(adopted).toEqual([
      expect.objectContaining({former: 0, revision: 5, source: 'c1'}),
    ]);
  });

  test('reports a shift once the new version serves all requests', async () => {
    const {exposureController, pool, servedVersions} = startEdge(
      createUpstreams(5, 'v1'),
    );
    exposureController.adopt(rolloutsOf(2, 'shifting'), 'c1');
    expect(await servedVersions(50)).toEqual(['v1']);
    expect(exposureController.reports()[0]).toMatchObject({shifted: false});
    pool.merge(createUpstreams(5, 'v2'), 'c1');
    expect(await servedVersions(50)).toEqual(['v2']);
    // The previous version was used within the last 500 ms.
    expect(exposureController.reports()[0]).toMatchObject({shifted: false});
    expect(await servedVersions(60)).toEqual(['v2']);
    const [previous] = pool.servingUpstreams('s');
    if (previous !== undefined) {
      previous.inFlight += 2;
    }
    expect(exposureController.reports()[0]).toMatchObject({
      openAtFormer: 2,
      shifted: true,
    });
    exposureController.adopt(rolloutsOf(3, 'completed'), 'c1');
    expect(await servedVersions(50)).toEqual(['v2']);
    expect(exposureController.hasActiveRollout).toBe(false);
  });

  test('falls back to the previous version while new upstreams are cold', async () => {
    const cold = createUpstreams(1, 'v2').map((record) => {
      return {...record, coldMs: 3_000};
    });
    const {clock, exposureController, pool, servedVersions} = startEdge([
      ...createUpstreams(5, 'v1'),
      ...cold,
    ]);
    const shifted = () => exposureController.reports()[0]?.shifted;
    exposureController.adopt(rolloutsOf(2, 'shifting'), 'c1');
    expect(await servedVersions(200)).toEqual(['v1', 'v2']);
    expect(shifted()).toBe(false);
    await clock.advance(3_000);
    expect(await servedVersions(50)).toEqual(['v2']);
    expect(shifted()).toBe(true);
    // After the shift, upstreams of the previous version may stop at any time.
    const again = cold.map((record) => ({...record, sequence: 2}));
    pool.merge(again, 'c1');
    expect(await servedVersions(50)).toEqual(['v2', undefined]);
  });

  test('counts open requests at an upstream of the previous version that is gone', async () => {
    const {exposureController, pool} = startEdge(BOTH_VERSIONS);
    exposureController.adopt(rolloutsOf(2, 'shifting'), 'c1');
    const previous = pool.all().find(({id}) => id === 'v1-0');
    if (previous === undefined) {
      throw new Error('upstream v1-0 is not in the pool');
    }
    previous.inFlight = 1;
    const gone = {...previous.record, state: UPSTREAM_STATE.gone};
    pool.merge([gone], 'c1');
    expect(exposureController.reports()[0]).toMatchObject({openAtFormer: 1});
  });

  test('uses the stable version once an isolated edge has used its grant', async () => {
    const {exposureController, applyGrant, log, sendRequests, servedVersions} =
      startEdge(BOTH_VERSIONS);
    exposureController.adopt(rolloutsOf(1, 'exposing'), 'c1');
    applyGrant(10);
    const sent = await sendRequests(3_000);
    const targets = [...sent].filter(([id]) => id?.startsWith('v2'));
    expect(targets.reduce((sum, [, count]) => sum + count, 0)).toBe(10);
    expect(await servedVersions(400)).toEqual(['v1']);
    expect(log.decisions).not.toContainEqual(
      expect.objectContaining({event: 'exposure-stopped'}),
    );
  });

  test('starts without a grant after a restart', async () => {
    const previous = startEdge(BOTH_VERSIONS);
    previous.exposureController.adopt(rolloutsOf(1, 'exposing'), 'c1');
    previous.applyGrant(10);
    const {exposureController, servedVersions} = startEdge(BOTH_VERSIONS);
    exposureController.adopt(previous.exposureController.rollouts, 'e2');
    expect(await servedVersions(400)).toEqual(['v1']);
    expect(exposureController.reports()[0]).toMatchObject({
      exposed: 0,
      granted: 0,
    });
  });

  test('starts a new rollout without a grant', async () => {
    const {exposureController, applyGrant, servedVersions} =
      startEdge(BOTH_VERSIONS);
    exposureController.adopt(rolloutsOf(1, 'exposing', 1), 'c1');
    applyGrant(50, 1);
    exposureController.adopt(rolloutsOf(2, 'rolled-back', 1), 'c1');
    exposureController.adopt(rolloutsOf(3, 'exposing', 2), 'c1');
    applyGrant(90, 1);
    expect(await servedVersions(400)).toEqual(['v1']);
    expect(exposureController.reports()[0]).toMatchObject({
      granted: 0,
      number: 2,
    });
  });
});

// Guards against lost or repeated requests, and against wrong counts in reports.
describe('Requests during a rollout', () => {
  const ROUTES = [
    createRoute('look'),
    createRoute('order', {repetition: RETRY_POLICY.never}),
  ];

  /** An edge with one upstream of each version. */
  class RolloutFixture implements AsyncDisposable {
    constructor(
      readonly stable: TestUpstream,
      readonly target: TestUpstream,
      readonly edge: ForwardingFixture,
    ) {}

    report() {
      return this.edge.exposureController.reports()[0];
    }

    async [Symbol.asyncDispose](): Promise<void> {
      await this.edge[Symbol.asyncDispose]();
      await this.stable[Symbol.asyncDispose]();
      await this.target[Symbol.asyncDispose]();
    }
  }

  async function startRollout(state: RolloutState): Promise<RolloutFixture> {
    const stable = await TestUpstream.start('old');
    const target = await TestUpstream.start('new');
    const edge = await ForwardingFixture.start(ROUTES);
    edge.pool.merge(
      [stable.record({version: 'v1'}), target.record({version: 'v2'})],
      'c1',
    );
    edge.exposureController.adopt(rolloutsOf(1, state), 'c1');
    edge.exposureController.applyGrants([
      {granted: 1_000, number: 1, service: 's'},
    ]);
    return new RolloutFixture(stable, target, edge);
  }

  test('retries a request that failed at the new version at the stable one', async () => {
    await using setup = await startRollout('exposing');
    const {target, edge} = setup;
    target.handler = (_, response) => void response.destroy();
    for (let count = 0; count < 3; count += 1) {
      expect((await edge.sendRequest('look')).body).toBe('old');
    }
    expect(target.requestPaths.length).toBeGreaterThan(0);
    expect(setup.report()?.exposed).toBe(target.requestPaths.length);
    expect(setup.report()?.tallies).toContainEqual(
      expect.objectContaining({
        answers: target.requestPaths.length,
        failures: target.requestPaths.length,
        version: 'v2',
      }),
    );
  });

  test('does not retry a request that must not be repeated', async () => {
    await using setup = await startRollout('exposing');
    const {stable, target, edge} = setup;
    target.handler = (_, response) => void response.destroy();
    const responses = [
      await edge.sendRequest('order'),
      await edge.sendRequest('order'),
    ];
    const failed = responses.filter(({status}) => status === 502);
    expect(failed).toHaveLength(target.requestPaths.length);
    expect(stable.requestPaths).toHaveLength(2 - target.requestPaths.length);
  });

  test('reports successful responses and errors of both versions', async () => {
    await using setup = await startRollout('exposing');
    const {stable, target, edge} = setup;
    target.handler = (_, response) => {
      response.statusCode = 500;
      response.end('no');
    };
    const responses = await Promise.all(
      Array.from({length: 12}, () => edge.sendRequest('look')),
    );
    const failures = responses.filter(({status}) => status === 500).length;
    const tallies = setup.report()?.tallies ?? [];
    const tallyOf = (version: string) =>
      tallies.find((tally) => tally.version === version);
    expect(tallyOf('v2')).toMatchObject({answers: target.requestPaths.length});
    expect(tallyOf('v2')?.failures).toBe(target.requestPaths.length);
    expect(tallyOf('v1')).toMatchObject({answers: 12 - failures, failures: 0});
    expect(setup.report()?.requests).toBe(
      stable.requestPaths.length + target.requestPaths.length,
    );
  });

  test('completes open requests after a rollback', async () => {
    await using setup = await startRollout('exposing');
    const {target, edge} = setup;
    const open: (() => void)[] = [];
    target.handler = (_, response) => {
      open.push(() => response.end('late'));
    };
    const responses = [edge.sendRequest('order'), edge.sendRequest('order')];
    await waitUntil(() => open.length === 2);
    edge.exposureController.adopt(rolloutsOf(2, 'rolled-back'), 'c1');
    expect((await edge.sendRequest('order')).body).toBe('old');
    open.forEach((finish) => finish());
    const bodies = (await Promise.all(responses)).map(({body}) => body);
    expect(bodies).toEqual(['late', 'late']);
    expect(target.requestPaths).toHaveLength(2);
  });

  test('completes requests open at the previous version during a shift', async () => {
    await using setup = await startRollout('rolled-back');
    const {stable, target, edge} = setup;
    let finish = (): void => undefined;
    stable.handler = (_, response) => {
      finish = () => void response.end('old');
    };
    const open = edge.sendRequest('order');
    await waitUntil(() => stable.requestPaths.length === 1);
    edge.exposureController.adopt(rolloutsOf(2, 'shifting', 2), 'c1');
    expect(setup.report()).toMatchObject({openAtFormer: 1, shifted: false});
    await waitUntil(() => setup.report()?.shifted === true);
    expect(setup.report()).toMatchObject({openAtFormer: 1, shifted: true});
    expect((await edge.sendRequest('order')).body).toBe('new');
    finish();
    expect((await open).body).toBe('old');
    expect(setup.report()).toMatchObject({openAtFormer: 0, shifted: true});
    expect(target.requestPaths).toHaveLength(1);
  });

  test('falls back during a shift if no upstream of the new version is available', async () => {
    await using setup = await startRollout('shifting');
    const {stable, target, edge} = setup;
    const gone = {state: UPSTREAM_STATE.gone, version: 'v2'};
    edge.pool.merge([target.record(gone)], 'c1');
    expect((await edge.sendRequest('order')).body).toBe('old');
    expect(stable.requestPaths).toHaveLength(1);
  });
});
