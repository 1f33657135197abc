/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against crashes of upstreams that go unreported, and against reports for resets,
 * lost responses or planned shutdowns.
 */
import {InMemoryDecisionLog} from 'puffinturn-decisions';
import {UPSTREAM_STATE} from 'puffinturn-fleet';
import type {Crash, ListenerState} from 'puffinturn-quarantine';
import {
  CrashDetector,
  LISTENER_STATE,
  probeListener,
} from 'puffinturn-quarantine';
import {ManualClock, settleTasks} from 'shared';

import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {UpstreamPool} from '../../upstreams/UpstreamPool';
import {makeUpstream} from '../utils/EdgeFixture';
import {TestUpstream} from '../utils/ForwardingFixture';

const RECORD = makeUpstream('i-1', {bornAt: 1_000});

function createCrashDetector(state: ListenerState) {
  const clock = new ManualClock();
  const pool = new UpstreamPool(clock, new InMemoryDecisionLog());
  pool.merge([RECORD], 'c1');
  const [upstream] = pool.all();
  if (upstream === undefined) {
    throw new Error('no upstream');
  }
  const crashes: Crash[] = [];
  let probes = 0;
  const crashDetector = new CrashDetector<EdgeUpstream>({
    clock,
    onCrash: (crash) => crashes.push(crash),
    probe: async () => {
      probes += 1;
      return state;
    },
  });
  async function runProbe() {
    await settleTasks();
    await clock.advance(60);
    await settleTasks();
    return {crashes, probes};
  }
  return {runProbe, pool, upstream, crashDetector};
}

describe('Crash detection', () => {
  test('reports one crash with all requests that were in flight', async () => {
    const {runProbe, upstream, crashDetector} = createCrashDetector(
      LISTENER_STATE.refused,
    );
    crashDetector.recordFailure(upstream, {fingerprint: 'f1'});
    crashDetector.recordFailure(upstream, {fingerprint: 'f2'});
    crashDetector.recordFailure(upstream, {fingerprint: 'f1'});
    const {crashes, probes} = await runProbe();
    expect(probes).toBe(1);
    expect(crashes).toEqual([{fingerprints: ['f1', 'f2'], life: 'i-1 1000'}]);
  });

  test.each([LISTENER_STATE.listening, LISTENER_STATE.unknown])(
    'reports no crash if the probe returns %s',
    async (state) => {
      const {runProbe, upstream, crashDetector} = createCrashDetector(state);
      crashDetector.recordFailure(upstream, {fingerprint: 'f1'});
      expect((await runProbe()).crashes).toEqual([]);
    },
  );

  test.each([UPSTREAM_STATE.draining, UPSTREAM_STATE.gone])(
    'reports no crash of an upstream that is %s',
    async (state) => {
      const {runProbe, pool, upstream, crashDetector} = createCrashDetector(
        LISTENER_STATE.refused,
      );
      pool.merge([{...RECORD, sequence: 2, state}], 'c1');
      crashDetector.recordFailure(upstream, {fingerprint: 'f1'});
      expect((await runProbe()).crashes).toEqual([]);
    },
  );

  test('reports a crash if the next incarnation is announced before the probe', async () => {
    const {runProbe, pool, upstream, crashDetector} = createCrashDetector(
      LISTENER_STATE.listening,
    );
    crashDetector.recordFailure(upstream, {fingerprint: 'f1'});
    pool.merge([{...RECORD, bornAt: 2_000, sequence: 1}], 'c1');
    expect((await runProbe()).crashes).toEqual([
      {fingerprints: ['f1'], life: 'i-1 1000'},
    ]);
  });

  test('probes the listener by connecting to it', async () => {
    const listening = await TestUpstream.start('i-2');
    const [host = '', port = '0'] = listening.address.split(':');
    expect(await probeListener(host, Number(port))).toBe(
      LISTENER_STATE.listening,
    );
    await listening[Symbol.asyncDispose]();
    expect(await probeListener(host, Number(port))).toBe(
      LISTENER_STATE.refused,
    );
  });
});
