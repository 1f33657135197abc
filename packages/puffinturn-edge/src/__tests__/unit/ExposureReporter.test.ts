/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {NoopDecisionLog} from 'puffinturn-decisions';
import type {
  ExposureReply,
  ExposureRequest,
  RolloutState,
} from 'puffinturn-fleet';
import {FLEET_SERVICE} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random} from 'shared';

import {EdgeMetrics} from '../../EdgeMetrics';
import {ExposureController} from '../../rollouts/ExposureController';
import {ExposureReporter} from '../../rollouts/ExposureReporter';
import {UpstreamPool} from '../../upstreams/UpstreamPool';

/** Starts a reporter with two control boxes; `c1` is preferred. */
function startReporter(incarnationId = 'e 1') {
  const clock = new ManualClock();
  const network = new MemoryNetwork(clock, new Random(2));
  const log = new NoopDecisionLog();
  const pool = new UpstreamPool(clock, log);
  const exposureController = new ExposureController({
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
  const reporter = new ExposureReporter({
    box: 'e',
    clock,
    controlBoxes: () => ['c1', 'c2'],
    exposureController,
    incarnationId,
    link: network.connect('e'),
  });
  const adoptRollout = (revision: number, state: RolloutState) =>
    exposureController.adopt(
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
  return {
    clock,
    reporter,
    exposureController,
    requestsTo,
    network,
    adoptRollout,
    reply,
  };
}

// Guards against lost or stale reports and grants between an edge and the leader.
describe('ExposureReporter', () => {
  test('sends no report without an active rollout', async () => {
    const {clock, reporter, requestsTo} = startReporter();
    await using owned = reporter;
    await clock.advance(5_000);
    expect(requestsTo('c1')).toEqual([]);
    expect(owned).toBe(reporter);
  });

  test('reports at once and repeats unchanged reports every second', async () => {
    const {clock, reporter, requestsTo, adoptRollout} = startReporter();
    await using owned = reporter;
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
    expect(owned).toBe(reporter);
  });

  test('applies grants and ignores late or unknown ones', async () => {
    const {clock, reporter, exposureController, adoptRollout, reply} =
      startReporter();
    await using owned = reporter;
    reply.grants = [{granted: 9, number: 1, service: 's'}];
    adoptRollout(1, 'exposing');
    await clock.advance(100);
    expect(exposureController.reports()[0]?.granted).toBe(9);
    reply.grants = [
      {granted: 4, number: 1, service: 's'},
      {granted: 99, number: 2, service: 's'},
      {granted: 99, number: 1, service: '__proto__'},
    ];
    await clock.advance(3_000);
    expect(exposureController.reports()[0]?.granted).toBe(9);
    expect(owned).toBe(reporter);
  });

  test('asks the next control box if one is unreachable, and repeats the report', async () => {
    const {clock, reporter, requestsTo, network, adoptRollout, reply} =
      startReporter();
    await using owned = reporter;
    network.disconnect('c1');
    reply.grants = undefined;
    adoptRollout(1, 'exposing');
    await clock.advance(2_000);
    expect(requestsTo('c1')).toEqual([]);
    // A reply without grants does not acknowledge the report, so it is sent again.
    expect(requestsTo('c2').length).toBeGreaterThanOrEqual(2);
    expect(owned).toBe(reporter);
  });
});
