/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {SilentDecisionLog} from 'puffinturn-decisions';
import type {
  ExposureReply,
  ExposureRequest,
  RolloutState,
} from 'puffinturn-fleet';
import {FLEET_SERVICE} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random} from 'shared';

import {EdgeMetrics} from '../../EdgeMetrics';
import {ExposureExchange} from '../../rollouts/ExposureExchange';
import {Exposures} from '../../rollouts/Exposures';
import {UpstreamPool} from '../../upstreams/UpstreamPool';

/** An edge, and two control boxes of which the first is asked first. */
function start(life = 'e 1') {
  const clock = new ManualClock();
  const network = new MemoryNetwork(clock, new Random(2));
  const log = new SilentDecisionLog();
  const pool = new UpstreamPool(clock, log);
  const exposures = new Exposures({
    clock,
    log,
    metrics: new EdgeMetrics(),
    pool,
    random: new Random(3),
  });
  const heard = new Map<string, ExposureRequest[]>();
  const reply: {grants: ExposureReply['grants']} = {grants: []};
  for (const box of ['c1', 'c2']) {
    const requests: ExposureRequest[] = [];
    heard.set(box, requests);
    network.connect(box).register(FLEET_SERVICE.exposure, async (body) => {
      requests.push(body as ExposureRequest);
      return reply;
    });
  }
  const exchange = new ExposureExchange({
    box: 'e',
    clock,
    controls: () => ['c1', 'c2'],
    exposures,
    life,
    link: network.connect('e'),
  });
  const order = (revision: number, state: RolloutState) =>
    exposures.adopt(
      {
        revision,
        services: [
          {
            rollout: {
              durationMs: 9_000,
              number: 1,
              state,
              targetVersion: 'v2',
            },
            service: 's',
            stableVersion: 'v1',
          },
        ],
      },
      'c1',
    );
  const heardBy = (box: string) => heard.get(box) ?? [];
  return {clock, exchange, exposures, heardBy, network, order, reply};
}

describe('ExposureExchange', () => {
  test('says nothing while no roll-out is under way', async () => {
    const {clock, exchange, heardBy} = start();
    await using owned = exchange;
    await clock.advance(5_000);
    expect(heardBy('c1')).toEqual([]);
    expect(owned).toBe(exchange);
  });

  test('tells at once, and once a second where nothing changes', async () => {
    const {clock, exchange, heardBy, order} = start();
    await using owned = exchange;
    await clock.advance(1_000);
    order(1, 'exposing');
    await clock.advance(50);
    expect(heardBy('c1')).toHaveLength(1);
    expect(heardBy('c1')[0]).toMatchObject({box: 'e', life: 'e 1'});
    await clock.advance(4_000);
    expect(heardBy('c1').length).toBeGreaterThanOrEqual(4);
    expect(heardBy('c1').length).toBeLessThanOrEqual(6);
    order(2, 'rolled-back');
    await clock.advance(300);
    const {length} = heardBy('c1');
    await clock.advance(5_000);
    expect(heardBy('c1')).toHaveLength(length);
    expect(owned).toBe(exchange);
  });

  test('takes grants in, whichever come late', async () => {
    const {clock, exchange, exposures, order, reply} = start();
    await using owned = exchange;
    reply.grants = [{granted: 9, number: 1, service: 's'}];
    order(1, 'exposing');
    await clock.advance(100);
    expect(exposures.reports()[0]?.granted).toBe(9);
    reply.grants = [
      {granted: 4, number: 1, service: 's'},
      {granted: 99, number: 2, service: 's'},
      {granted: 99, number: 1, service: '__proto__'},
    ];
    await clock.advance(3_000);
    expect(exposures.reports()[0]?.granted).toBe(9);
    expect(owned).toBe(exchange);
  });

  test('asks the next control box where one fails or can not tell', async () => {
    const {clock, exchange, heardBy, network, order, reply} = start();
    await using owned = exchange;
    network.disconnect('c1');
    reply.grants = undefined;
    order(1, 'exposing');
    await clock.advance(2_000);
    expect(heardBy('c1')).toEqual([]);
    // Without an answer the same is told again, some times a second.
    expect(heardBy('c2').length).toBeGreaterThanOrEqual(2);
    expect(owned).toBe(exchange);
  });
});
