/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {SilentDecisionLog} from 'puffinturn-decisions';
import {UPSTREAM_STATE} from 'puffinturn-fleet';
import {ManualClock} from 'shared';

import {UpstreamPool} from '../../upstreams/UpstreamPool';
import {upstreamOf} from '../utils/EdgeFixture';

function poolOf(...records: ReturnType<typeof upstreamOf>[]) {
  const clock = new ManualClock();
  const pool = new UpstreamPool(clock, new SilentDecisionLog());
  pool.merge(records, 'c1');
  const serving = () => pool.serving('s').map(({id}) => id);
  const evacuate = (revision: number, ...halls: string[]) =>
    pool.evacuate({halls, revision}, 'c1', () => 3_000);
  return {clock, evacuate, pool, serving};
}

describe('Upstreams of an evacuated hall', () => {
  test('get nothing until the evacuation is finished', () => {
    const {evacuate, serving} = poolOf(
      upstreamOf('i-1', {address: '10.0.0.1:1', hall: 'a'}),
      upstreamOf('i-2', {address: '10.0.0.1:2', hall: 'b'}),
    );
    evacuate(1, 'a');
    expect(serving()).toEqual(['i-2']);
    evacuate(2, 'a', 'b');
    expect(serving()).toEqual([]);
    evacuate(3, 'b');
    expect(serving()).toEqual(['i-1']);
  });

  test('stay out for an older word that comes late', () => {
    const {evacuate, serving} = poolOf(
      upstreamOf('i-1', {address: '10.0.0.1:1', hall: 'a'}),
    );
    evacuate(3, 'a');
    evacuate(2);
    expect(serving()).toEqual([]);
  });

  test('count as cold at first when they are back', async () => {
    const {clock, evacuate, pool} = poolOf(
      upstreamOf('i-1', {address: '10.0.0.1:1', hall: 'a'}),
      upstreamOf('i-2', {address: '10.0.0.1:2', hall: 'b'}),
    );
    const isCold = () => pool.serving('s').map(({cold}) => cold);
    evacuate(1, 'a');
    expect(isCold()).toEqual([false]);
    evacuate(2);
    expect(isCold()).toEqual([true, false]);
    await clock.advance(3_001);
    expect(isCold()).toEqual([false, false]);
  });
});

describe('Upstreams that serve', () => {
  test('are those that say so, as of their last word', () => {
    const first = upstreamOf('i-1', {address: '10.0.0.1:1'});
    const {pool, serving} = poolOf(first);
    expect(serving()).toEqual(['i-1']);
    pool.merge([upstreamOf('i-2', {address: '10.0.0.1:2'})], 'c1');
    expect(serving()).toEqual(['i-1', 'i-2']);
    const {draining} = UPSTREAM_STATE;
    pool.merge([{...first, sequence: 2, state: draining}], 'c1');
    expect(serving()).toEqual(['i-2']);
    pool.merge([{...first, sequence: 3}], 'c1');
    expect(serving()).toEqual(['i-1', 'i-2']);
  });
});

/**
 * Symptom: an upstream crashes and another process takes its address; a heartbeat
 * of the former one arrives late.
 */
describe('Two incarnations at one address', () => {
  const former = upstreamOf('i-1');
  const next = upstreamOf('i-2');

  test('only the one that was heard of last is sent requests', () => {
    const {pool, serving} = poolOf(former);
    pool.merge([next], 'c1');
    expect(serving()).toEqual(['i-2']);
  });

  test('a late heartbeat neither brings the former back nor takes the next away', () => {
    const {pool, serving} = poolOf(former);
    pool.merge([next], 'c1');
    pool.merge([{...former, coldMs: 900, sequence: 8}], 'c1');
    expect(serving()).toEqual(['i-2']);
  });

  test('the next is taken again where the former was heard of after it', () => {
    const {pool, serving} = poolOf(next);
    pool.merge([former], 'c1');
    expect(serving()).toEqual(['i-1']);
    // The request that went there was turned away.
    pool
      .all()
      .find(({id}) => id === 'i-1')
      ?.isReplaced();
    expect(serving()).toEqual(['i-2']);
  });

  test('one of another service counts too', () => {
    const {pool, serving} = poolOf(former);
    pool.merge([{...next, service: 'other'}], 'c1');
    expect(serving()).toEqual([]);
  });

  test('the former serves on where the next of another service is turned away', () => {
    const {pool, serving} = poolOf(former);
    pool.merge([{...next, service: 'other'}], 'c1');
    expect(serving()).toEqual([]);
    pool
      .all()
      .find(({id}) => id === 'i-2')
      ?.isReplaced();
    expect(serving()).toEqual(['i-1']);
  });

  test('the former serves on where the next is gone', () => {
    const {pool, serving} = poolOf(former);
    pool.merge([next], 'c1');
    pool.merge([{...next, state: UPSTREAM_STATE.gone}], 'c1');
    expect(serving()).toEqual(['i-1']);
  });
});
