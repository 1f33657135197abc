/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {LimitReportsRequest, UpstreamRecord} from '../../index';
import {FLEET_SERVICE} from '../../index';
import {upstreamOf} from '../utils/FleetFixture';
import {CONTROL_BOXES, RolloutFleet} from '../utils/RolloutFleet';

const EDGE = 'x:1';

// An upstream's request limit reported by one edge must reach all other edges.
describe('Upstream limits reported by one edge', () => {
  let fleet: RolloutFleet;

  beforeEach(async () => {
    fleet = await RolloutFleet.start();
  });

  async function limitsAt(control: string): Promise<UpstreamRecord['limit'][]> {
    const {upstreams} = await fleet.watch(control);
    return upstreams.filter(({id}) => id === 'i-1').map(({limit}) => limit);
  }

  test('are sent to the edges of every control box, and so is their removal', async () => {
    const [first = ''] = CONTROL_BOXES;
    fleet.getControl(first).upstreamControl.mergeRecord(upstreamOf());
    await fleet.clock.advance(1_000);
    const added = {perSecond: 1.2, revision: 1};
    const removed = {perSecond: undefined, revision: 2};
    for (const limit of [added, removed]) {
      const request: LimitReportsRequest = {
        box: EDGE,
        reports: [{id: 'i-1', limit}],
      };
      await fleet.call(first, FLEET_SERVICE.reportLimits, request);
      await fleet.clock.advance(1_000);
      for (const control of CONTROL_BOXES) {
        expect(await limitsAt(control)).toEqual([limit]);
      }
    }
  });
});
