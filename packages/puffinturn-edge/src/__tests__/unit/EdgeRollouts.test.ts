/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {KeptDecisionLog} from 'puffinturn-decisions';
import type {
  ExposureRequest,
  Rollouts,
  WatchReply,
  WatchRequest,
} from 'puffinturn-fleet';
import {BOX_ROLE, FLEET_SERVICE, Regions} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {invariant, ManualClock, Random} from 'shared';

import {Edge} from '../../Edge';
import {configurationOf} from '../utils/EdgeFixture';
import {TestDialect} from '../utils/ServingFixture';

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

/** A control box that tells of one configuration and one state of roll-outs. */
function startControl(network: MemoryNetwork, clock: ManualClock) {
  const asked: WatchRequest[] = [];
  const reports: ExposureRequest[] = [];
  const told: {rollouts: Rollouts | undefined} = {rollouts: ROLLOUTS};
  const link = network.connect('c1');
  link.register(FLEET_SERVICE.watch, async (body) => {
    const request = body as WatchRequest;
    asked.push(request);
    await clock.sleep(20);
    const reply: WatchReply = {
      boxes: undefined,
      boxesRevision: 0,
      configuration: configurationOf(1),
      configurationChange: undefined,
      current: true,
      evacuations: undefined,
      heldVersion: 1,
      incarnation: '1',
      leader: 'c1',
      rollouts: told.rollouts,
      upstreams: [],
      upstreamsRevision: 0,
    };
    return reply;
  });
  link.register(FLEET_SERVICE.exposure, async (body) => {
    reports.push(body as ExposureRequest);
    return {grants: []};
  });
  return {asked, reports, told};
}

async function openEdge(network: MemoryNetwork, clock: ManualClock) {
  const log = new KeptDecisionLog();
  const address = {host: '127.0.0.1', port: 0};
  const edge = await Edge.open({
    callers: address,
    clock,
    coldTolerance: {extra: 0, overage: 1},
    dialect: new TestDialect(),
    link: network.connect('e1'),
    log,
    metrics: {...address, path: '/metrics'},
    random: new Random(1),
    ready: {...address, path: '/ready'},
    regions: new Regions(),
    retryBound: {extra: 10, ratio: 0.1},
    seeds: () => ['c1'],
    self: {box: 'e1', hall: 'a', incarnation: '7', role: BOX_ROLE.edge},
  });
  invariant(edge.isOk(), 'opens');
  return {edge: edge.value, log};
}

/** Ends an edge while time goes on, as its calls take some. */
class Owned implements AsyncDisposable {
  constructor(
    readonly edge: Edge,
    private readonly clock: ManualClock,
  ) {}

  async [Symbol.asyncDispose](): Promise<void> {
    const ended = this.edge[Symbol.asyncDispose]();
    let isOver = false;
    void ended.then(() => (isOver = true));
    while (!isOver) {
      await this.clock.advance(100);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

describe('An edge that hears of roll-outs', () => {
  test('puts them in force, asks for newer ones and tells the leader', async () => {
    const clock = new ManualClock();
    const network = new MemoryNetwork(clock, new Random(2));
    const {asked, reports} = startControl(network, clock);
    const {edge, log} = await openEdge(network, clock);
    await using owned = new Owned(edge, clock);
    expect(owned.edge).toBe(edge);
    await clock.advance(1_000);
    expect(edge.rolloutRevision).toBe(4);
    expect(asked[0]?.rolloutRevision).toBe(0);
    expect(asked.at(-1)?.rolloutRevision).toBe(4);
    expect(reports[0]).toMatchObject({
      box: 'e1',
      life: 'e1 7',
      reports: [{exposed: 0, granted: 0, number: 2, service: 's'}],
    });
    expect(log.lines).toContainEqual({
      event: 'rollouts-adopted',
      former: 0,
      revision: 4,
      services: ['s v1 to v2: exposing'],
      source: 'c1',
    });
  });

  test('never goes back, and passes over answers without any', async () => {
    const clock = new ManualClock();
    const network = new MemoryNetwork(clock, new Random(2));
    const {told} = startControl(network, clock);
    const {edge} = await openEdge(network, clock);
    await using owned = new Owned(edge, clock);
    expect(owned.edge).toBe(edge);
    await clock.advance(1_000);
    told.rollouts = {...ROLLOUTS, revision: 3, services: []};
    await clock.advance(1_000);
    told.rollouts = undefined;
    await clock.advance(1_000);
    expect(edge.rolloutRevision).toBe(4);
  });

  test('hands them to an edge that can not reach the core', async () => {
    const clock = new ManualClock();
    const network = new MemoryNetwork(clock, new Random(2));
    startControl(network, clock);
    const {edge} = await openEdge(network, clock);
    await using owned = new Owned(edge, clock);
    expect(owned.edge).toBe(edge);
    const handed: unknown[] = [];
    const link = network.connect('e2');
    link.register(FLEET_SERVICE.greet, async () => ({needsState: true}));
    link.register(FLEET_SERVICE.handOver, async (body) => {
      handed.push(body);
      return {};
    });
    await clock.advance(500);
    const record = {hall: 'a', incarnation: '1', role: BOX_ROLE.edge};
    edge.learnBoxes([{...record, box: 'e2'}]);
    await clock.advance(5_000);
    expect(handed[0]).toMatchObject({rollouts: {revision: 4}});
  });
});
