/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {InMemoryDecisionLog} from 'puffinturn-decisions';
import type {
  ExposureRequest,
  Rollouts,
  WatchReply,
  WatchRequest,
} from 'puffinturn-fleet';
import {BOX_ROLE, FLEET_SERVICE, Regions} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {invariant, ManualClock, ManualMachineClock, Random} from 'shared';

import {Edge} from '../../Edge';
import {makeConfiguration} from '../utils/EdgeFixture';
import {TestProtocol} from '../utils/ForwardingFixture';
import {makeServerParts} from '../utils/serverParts';

const ROLLOUTS: Rollouts = {
  revision: 4,
  services: [
    {
      rollout: {
        durationMs: 9_000,
        number: 2,
        state: 'exposing',
        targetVersion: 'v2',
      },
      service: 's',
      stableVersion: 'v1',
    },
  ],
};

/** A control box that serves one configuration and the given rollouts. */
function startControl(network: MemoryNetwork, clock: ManualClock) {
  const watchRequests: WatchRequest[] = [];
  const reports: ExposureRequest[] = [];
  const state: {rollouts: Rollouts | undefined} = {rollouts: ROLLOUTS};
  const link = network.connect('c1');
  link.register(FLEET_SERVICE.watch, async (body) => {
    const request = body as WatchRequest;
    watchRequests.push(request);
    await clock.sleep(20);
    const reply: WatchReply = {
      boxes: undefined,
      boxesRevision: 0,
      configuration: makeConfiguration(1),
      configurationChange: undefined,
      current: true,
      evacuations: undefined,
      heldVersion: 1,
      incarnation: '1',
      leader: 'c1',
      rollouts: state.rollouts,
      upstreams: [],
      upstreamsRevision: 0,
    };
    return reply;
  });
  link.register(FLEET_SERVICE.exposure, async (body) => {
    reports.push(body as ExposureRequest);
    return {grants: []};
  });
  return {watchRequests, reports, state};
}

async function openEdge(network: MemoryNetwork, clock: ManualClock) {
  const log = new InMemoryDecisionLog();
  const address = {host: '127.0.0.1', port: 0};
  const edge = await Edge.open({
    applyBoundMs: 2_000,
    callerAddress: address,
    callerLimits: makeServerParts(clock).limits,
    clock,
    drainMs: 2_000,
    coldTolerance: {extra: 0, overage: 1},
    protocol: new TestProtocol(),
    link: network.connect('e1'),
    log,
    machineClock: new ManualMachineClock(clock, 'boot-1'),
    metricsAddress: {...address, path: '/metrics'},
    random: new Random(1),
    readinessAddress: {...address, path: '/ready'},
    regions: new Regions(),
    retryLimit: {extra: 10, ratio: 0.1},
    seeds: () => ['c1'],
    self: {box: 'e1', hall: 'a', incarnation: '7', role: BOX_ROLE.edge},
    tunnelAddress: address,
  });
  invariant(edge.isOk(), 'the edge opens its listeners');
  return {edge: edge.value, log};
}

/** Disposes of an edge while advancing the clock, as pending calls need time to end. */
class OwnedEdge implements AsyncDisposable {
  constructor(
    readonly edge: Edge,
    private readonly clock: ManualClock,
  ) {}

  async [Symbol.asyncDispose](): Promise<void> {
    const ended = this.edge[Symbol.asyncDispose]();
    let isDisposed = false;
    void ended.then(() => (isDisposed = true));
    while (!isDisposed) {
      await this.clock.advance(100);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

// Guards against an edge that misses rollouts, returns to older ones or does not pass
// them on.
describe('Distribution of rollouts to an edge', () => {
  test('adopts rollouts, watches for newer revisions and reports to the leader', async () => {
    const clock = new ManualClock();
    const network = new MemoryNetwork(clock, new Random(2));
    const {watchRequests, reports} = startControl(network, clock);
    const {edge, log} = await openEdge(network, clock);
    await using ownedEdge = new OwnedEdge(edge, clock);
    expect(ownedEdge.edge).toBe(edge);
    await clock.advance(1_000);
    expect(edge.rolloutRevision).toBe(4);
    expect(watchRequests[0]?.rolloutRevision).toBe(0);
    expect(watchRequests.at(-1)?.rolloutRevision).toBe(4);
    expect(reports[0]).toMatchObject({
      box: 'e1',
      life: 'e1 7',
      reports: [{exposed: 0, granted: 0, number: 2, service: 's'}],
    });
    expect(log.decisions).toContainEqual({
      event: 'rollouts-adopted',
      former: 0,
      revision: 4,
      services: ['s v1 to v2: exposing'],
      source: 'c1',
    });
  });

  test('ignores older revisions and replies without rollouts', async () => {
    const clock = new ManualClock();
    const network = new MemoryNetwork(clock, new Random(2));
    const {state} = startControl(network, clock);
    const {edge} = await openEdge(network, clock);
    await using ownedEdge = new OwnedEdge(edge, clock);
    expect(ownedEdge.edge).toBe(edge);
    await clock.advance(1_000);
    state.rollouts = {...ROLLOUTS, revision: 3, services: []};
    await clock.advance(1_000);
    state.rollouts = undefined;
    await clock.advance(1_000);
    expect(edge.rolloutRevision).toBe(4);
  });

  test('hands rollouts over to an edge that cannot reach a control box', async () => {
    const clock = new ManualClock();
    const network = new MemoryNetwork(clock, new Random(2));
    startControl(network, clock);
    const {edge} = await openEdge(network, clock);
    await using ownedEdge = new OwnedEdge(edge, clock);
    expect(ownedEdge.edge).toBe(edge);
    const handOvers: unknown[] = [];
    const link = network.connect('e2');
    link.register(FLEET_SERVICE.checkStateNeeded, async () => ({
      needsState: true,
    }));
    link.register(FLEET_SERVICE.sendState, async (body) => {
      handOvers.push(body);
      return {};
    });
    await clock.advance(500);
    const record = {hall: 'a', incarnation: '1', role: BOX_ROLE.edge};
    edge.updateBoxes([{...record, box: 'e2'}]);
    await clock.advance(5_000);
    expect(handOvers[0]).toMatchObject({rollouts: {revision: 4}});
  });
});
