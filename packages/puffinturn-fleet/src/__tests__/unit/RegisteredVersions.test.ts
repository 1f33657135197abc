/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against edges that use a version before it is listed, or after it was forgotten. */
import {RETRY_POLICY, UPSTREAM_STATE} from '../../index';
import {configurationOf, routeOf, upstreamOf} from '../utils/FleetFixture';
import {advanceUntilSettled, startFleet} from '../utils/WatchedFleet';

/** The longest timeout of a route whose streams may be resumed, ms. */
const TIMEOUT_MS = 4_000;
/** Twice the timeout. */
const LIFETIME_MS = 8_000;
/** More than the leader's interval between two comparisons, ms. */
const CHECK_MS = 1_500;

async function startVersionedFleet() {
  const fleet = await startFleet();
  const {handler} = fleet.startWatch('e1:1');
  const route = routeOf({
    repetition: RETRY_POLICY.resumable,
    timeoutMs: TIMEOUT_MS,
  });
  const configuration = configurationOf(1, {routes: [route]});
  await advanceUntilSettled(
    fleet.clock,
    fleet.control('c1:1').changeConfiguration({configuration, document: '{}'}),
  );
  const report = async (id: string, version: string, state: string) => {
    const record = upstreamOf({
      id,
      sequence: 1,
      state: state as typeof UPSTREAM_STATE.ready,
      version,
    });
    const {upstreamControl} = fleet.control('c2:1');
    await advanceUntilSettled(
      fleet.clock,
      upstreamControl.acceptHeartbeat(record),
    );
  };
  const listed = () =>
    handler.versionsHeld?.versions.map(({version}) => version);
  return {...fleet, handler, listed, report};
}

describe('The versions that control boxes list', () => {
  test('reach edges no later than the upstreams that have them', async () => {
    const {clock, handler, listed, report} = await startVersionedFleet();
    await report('i-1', 'v1', UPSTREAM_STATE.ready);
    await report('i-2', 'v2', UPSTREAM_STATE.ready);
    await clock.advance(500);
    expect(listed()).toEqual(['v1', 'v2']);
    expect(handler.unlistedUpstreams).toEqual([]);
  });

  test('keep a version for the lifetime of its streams after its last upstream left', async () => {
    const {clock, control, listed, report} = await startVersionedFleet();
    await report('i-1', 'v1', UPSTREAM_STATE.ready);
    await report('i-2', 'v2', UPSTREAM_STATE.ready);
    const left = control('c3:1').upstreamControl.acceptDeregistration('i-1');
    await advanceUntilSettled(clock, left);
    await clock.advance(LIFETIME_MS - CHECK_MS);
    expect(listed()).toEqual(['v1', 'v2']);
    await clock.advance(2 * CHECK_MS);
    expect(listed()).toEqual(['v2']);
  });
});
