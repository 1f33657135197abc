/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {
  LimitsRequest,
  UpstreamRecord,
  WatchReply,
  WatchRequest,
} from '../../index';
import {BOX_ROLE, FLEET_SERVICE} from '../../index';
import {upstreamOf} from '../utils/FleetFixture';
import {CONTROLS, RolloutFleet} from '../utils/RolloutFleet';

const CALL_MS = 5_000;
const EDGE = 'x:1';

describe('What upstreams say of their limits to one edge', () => {
  let fleet: RolloutFleet;

  beforeEach(async () => {
    fleet = await RolloutFleet.start();
  });

  async function call<Reply>(
    control: string,
    service: string,
    body: unknown,
  ): Promise<Reply> {
    const link = fleet.network.connect(EDGE);
    const answer = await fleet.settle(
      Promise.resolve(link.call(control, service, body, CALL_MS)),
    );
    return answer._unsafeUnwrap() as Reply;
  }

  async function limitsAt(control: string): Promise<UpstreamRecord['limit'][]> {
    const request: WatchRequest = {
      boxesRevision: -1,
      brief: true,
      configurationVersion: Infinity,
      current: false,
      evacuationRevision: Infinity,
      from: {box: EDGE, hall: 'z', incarnation: '1', role: BOX_ROLE.edge},
      incarnation: '',
      upstreamsRevision: 0,
      waitMs: 0,
    };
    const reply = await call<WatchReply>(control, FLEET_SERVICE.watch, request);
    return reply.upstreams
      .filter(({id}) => id === 'i-1')
      .map(({limit}) => limit);
  }

  test('reaches the edges of every control box, and so does its end', async () => {
    const [first = ''] = CONTROLS;
    fleet.control(first).hearUpstream(upstreamOf());
    await fleet.clock.advance(1_000);
    const named = {perSecond: 1.2, revision: 1};
    const ended = {perSecond: undefined, revision: 2};
    for (const limit of [named, ended]) {
      const request: LimitsRequest = {box: EDGE, reports: [{id: 'i-1', limit}]};
      await call(first, FLEET_SERVICE.reportLimits, request);
      await fleet.clock.advance(1_000);
      for (const control of CONTROLS) {
        expect(await limitsAt(control)).toEqual([limit]);
      }
    }
  });
});
