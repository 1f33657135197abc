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

/** Starts an exchange with two control boxes; `c1` is preferred. */
function startExchange(life = 'e 1') {
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
  const received = new Map<string, ExposureRequest[]>();
  const reply: {grants: ExposureReply['grants']} = {grants: []};
  for (const box of ['c1', 'c2']) {
    const requests: ExposureRequest[] = [];
    received.set(box, requests);
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
  const adoptRollout = (revision: number, state: RolloutState) =>
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
  const requestsTo = (box: string) => received.get(box) ?? [];
  return {clock, exchange, exposures, requestsTo, network, adoptRollout, reply};
}

// Guards against lost or stale reports and grants between an edge and the leader.
describe('ExposureExchange', () => {
  test('sends no report without an active rollout', async () => {
    const {clock, exchange, requestsTo} = startExchange();
    await using owned = exchange;
    await clock.advance(5_000);
    expect(requestsTo('c1')).toEqual([]);
    expect(owned).toBe(exchange);
  });

  test('reports at once and repeats unchanged reports every second', async () => {
    const {clock, exchange, requestsTo, adoptRollout} = startExchange();
    await using owned = exchange;
    await clock.advance(1_000);
    adoptRollout(1, 'exposing');
    await clock.advance(50);
    expect(requestsTo('c1')).toHaveLength(1);
    expect(requestsTo('c1')[0]).toMatchObject({box: 'e', life: 'e 1'});
    await clock.advance(4_000);
    expect(requestsTo('c1').length).toBeGreaterThanOrEqual(4);
    expect(requestsTo('c1').length).toBeLessThanOrEqual(6);
    adoptRollout(2, 'rolled-back');
    await clock.advance(300);
    const {length} = requestsTo('c1');
    await clock.advance(5_000);
    expect(requestsTo('c1')).toHaveLength(length);
    expect(owned).toBe(exchange);
  });

  test('applies grants and ignores late or unknown ones', async () => {
    const {clock, exchange, exposures, adoptRollout, reply} = startExchange();
    await using owned = exchange;
    reply.grants = [{granted: 9, number: 1, service: 's'}];
    adoptRollout(1, 'exposing');
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

  test('asks the next control box if one is unreachable, and repeats the report', async () => {
    const {clock, exchange, requestsTo, network, adoptRollout, reply} =
      startExchange();
    await using owned = exchange;
    network.disconnect('c1');
    reply.grants = undefined;
    adoptRollout(1, 'exposing');
    await clock.advance(2_000);
    expect(requestsTo('c1')).toEqual([]);
    // A reply without grants does not acknowledge the report, so it is sent again.
    expect(requestsTo('c2').length).toBeGreaterThanOrEqual(2);
    expect(owned).toBe(exchange);
  });
});
