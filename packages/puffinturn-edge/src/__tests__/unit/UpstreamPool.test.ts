/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against requests to upstreams that are evacuated, draining or replaced by another
 * process at the same address.
 */
import {NoopDecisionLog} from 'puffinturn-decisions';
import {UPSTREAM_STATE} from 'puffinturn-fleet';
import {ManualClock} from 'shared';

import {UpstreamPool} from '../../upstreams/UpstreamPool';
import {makeUpstream} from '../utils/EdgeFixture';

function createPool(...records: ReturnType<typeof makeUpstream>[]) {
  const clock = new ManualClock();
  const pool = new UpstreamPool(clock, new NoopDecisionLog());
  pool.merge(records, 'c1');
  const serving = () => pool.servingUpstreams('s').map(({id}) => id);
  const evacuate = (revision: number, ...halls: string[]) =>
    pool.applyEvacuations({halls, revision}, 'c1', () => 3_000);
  return {clock, evacuate, pool, serving};
}

describe('Upstreams of an evacuated hall', () => {
  test('get no requests until the evacuation ends', () => {
    const {evacuate, serving} = createPool(
      makeUpstream('i-1', {address: '10.0.0.1:1', hall: 'a'}),
      makeUpstream('i-2', {address: '10.0.0.1:2', hall: 'b'}),
    );
    evacuate(1, 'a');
    expect(serving()).toEqual(['i-2']);
    evacuate(2, 'a', 'b');
    expect(serving()).toEqual([]);
    evacuate(3, 'b');
    expect(serving()).toEqual(['i-1']);
  });

  test('stay excluded when an older revision arrives late', () => {
    const {evacuate, serving} = createPool(
      makeUpstream('i-1', {address: '10.0.0.1:1', hall: 'a'}),
    );
    evacuate(3, 'a');
    evacuate(2);
    expect(serving()).toEqual([]);
  });

  test('count as cold when they return', async () => {
    const {clock, evacuate, pool} = createPool(
      makeUpstream('i-1', {address: '10.0.0.1:1', hall: 'a'}),
      makeUpstream('i-2', {address: '10.0.0.1:2', hall: 'b'}),
    );
    const coldFlags = () =>
      pool.servingUpstreams('s').map(({isCold}) => isCold);
    evacuate(1, 'a');
    expect(coldFlags()).toEqual([false]);
    evacuate(2);
    expect(coldFlags()).toEqual([true, false]);
    await clock.advance(3_001);
    expect(coldFlags()).toEqual([false, false]);
  });
});

describe('The list of serving upstreams', () => {
  test('follows the state in the latest records', () => {
    const first = makeUpstream('i-1', {address: '10.0.0.1:1'});
    const {pool, serving} = createPool(first);
    expect(serving()).toEqual(['i-1']);
    pool.merge([makeUpstream('i-2', {address: '10.0.0.1:2'})], 'c1');
    expect(serving()).toEqual(['i-1', 'i-2']);
    const {draining} = UPSTREAM_STATE;
    pool.merge([{...first, sequence: 2, state: draining}], 'c1');
    expect(serving()).toEqual(['i-2']);
    pool.merge([{...first, sequence: 3}], 'c1');
    expect(serving()).toEqual(['i-2']);
    pool.merge([{...first, bornAt: 1_000, sequence: 1}], 'c1');
    expect(serving()).toEqual(['i-2', 'i-1']);
  });
});

describe('Two upstreams at one address', () => {
  const previous = makeUpstream('i-1');
  const next = makeUpstream('i-2');

  test('only the one added last gets requests', () => {
    const {pool, serving} = createPool(previous);
    pool.merge([next], 'c1');
    expect(serving()).toEqual(['i-2']);
  });

  test('a late heartbeat of the previous one changes nothing', () => {
    const {pool, serving} = createPool(previous);
    pool.merge([next], 'c1');
    pool.merge([{...previous, coldMs: 900, sequence: 8}], 'c1');
    expect(serving()).toEqual(['i-2']);
  });

  test('the next one serves after the previous one, added later, was replaced', () => {
    const {pool, serving} = createPool(next);
    pool.merge([previous], 'c1');
    expect(serving()).toEqual(['i-1']);
    // A request to i-1 was rejected, because i-2 serves at the address.
    pool
      .all()
      .find(({id}) => id === 'i-1')
      ?.markReplaced();
    expect(serving()).toEqual(['i-2']);
  });

  test('the next one excludes the previous one even for another service', () => {
    const {pool, serving} = createPool(previous);
    pool.merge([{...next, service: 'other'}], 'c1');
    expect(serving()).toEqual([]);
  });

  test('the previous one serves again after the next one of another service was replaced', () => {
    const {pool, serving} = createPool(previous);
    pool.merge([{...next, service: 'other'}], 'c1');
    expect(serving()).toEqual([]);
    pool
      .all()
      .find(({id}) => id === 'i-2')
      ?.markReplaced();
    expect(serving()).toEqual(['i-1']);
  });

  test.each([UPSTREAM_STATE.draining, UPSTREAM_STATE.gone])(
    'the previous one stays excluded after the next one has responded and is %s',
    (state) => {
      const {pool, serving} = createPool(previous);
      pool.merge([next], 'c1');
      pool.find(next.id)?.recordSuccess();
      pool.merge([{...next, sequence: 9, state}], 'c1');
      expect(serving()).toEqual([]);
    },
  );

  test('the previous one serves again after the next one is gone', () => {
    const {pool, serving} = createPool(previous);
    pool.merge([next], 'c1');
    pool.merge([{...next, state: UPSTREAM_STATE.gone}], 'c1');
    expect(serving()).toEqual(['i-1']);
  });
});
