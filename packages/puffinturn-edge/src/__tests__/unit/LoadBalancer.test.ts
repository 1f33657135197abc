/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against load balancers that ignore cached prompts, overload one upstream or cross
 * halls without need.
 */
import {NoopDecisionLog} from 'puffinturn-decisions';
import {ManualClock, Random} from 'shared';

import {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import type {BalancingContext} from '../../upstreams/LoadBalancer';
import {
  LeastUtilization,
  LowestLatency,
  PrefixRendezvous,
} from '../../upstreams/LoadBalancer';
import {makeUpstream} from '../utils/EdgeFixture';

const PARTS = [
  {id: 'aa', tokens: 5_000},
  {id: 'bb', tokens: 1_000},
];

function createUpstreams(
  count: number,
  clock = new ManualClock(),
): EdgeUpstream[] {
  return Array.from({length: count}, (_, at) => {
    const record = makeUpstream(`i-${at}`, {
      address: `10.0.0.${at}:80`,
      hall: at === 0 ? 'here' : 'there',
      slots: 6,
    });
    return new EdgeUpstream(record, clock, new NoopDecisionLog());
  });
}

function createContext(parts = PARTS): BalancingContext {
  const service = {engine: undefined, maxConnections: 1, name: 's'};
  return {parts, service, hall: 'here'};
}

describe('Lowest expected latency', () => {
  const balancer = new LowestLatency();

  test('chooses the same upstream for a prompt at every edge', () => {
    const chosen = balancer.choose(createUpstreams(5), createContext());
    const elsewhere = balancer.choose(
      createUpstreams(5).reverse(),
      createContext(),
    );
    expect(chosen?.id).toBe(elsewhere?.id);
  });

  test('chooses another upstream once queueing costs more than a cache miss', () => {
    const upstreams = createUpstreams(5);
    const preferred = balancer.choose(upstreams, createContext());
    preferred!.pendingTokens = 4_000;
    expect(balancer.choose(upstreams, createContext())).toBe(preferred);
    preferred!.pendingTokens = 8_000;
    expect(balancer.choose(upstreams, createContext())).not.toBe(preferred);
  });

  test('avoids a slow upstream and returns to it after the average has decayed', async () => {
    const clock = new ManualClock();
    const upstreams = createUpstreams(5, clock);
    const preferred = balancer.choose(upstreams, createContext());
    for (let count = 0; count < 10; count += 1) {
      preferred!.prefillSpeed.recordPrefill(6_000, 3_000);
    }
    expect(balancer.choose(upstreams, createContext())).not.toBe(preferred);
    await clock.advance(20_000);
    expect(balancer.choose(upstreams, createContext())).toBe(preferred);
  });

  test('counts a cached part only after the same preceding parts', () => {
    const [upstream] = createUpstreams(1);
    upstream?.cachedPrefixes.recordPrompt(PARTS);
    expect(upstream?.cachedPrefixes.cachedTokens(PARTS)).toBe(6_000);
    const other = [{id: 'xx', tokens: 1}, ...PARTS];
    expect(upstream?.cachedPrefixes.cachedTokens(other)).toBe(0);
  });
});

describe('Lowest expected latency with engines that can copy prefixes', () => {
  const balancer = new LowestLatency();
  const service = {
    engine: {
      copyMsPerToken: 0.001,
      memoryTokens: 1,
      slots: 4,
      tokensPerEvent: 1,
    },
    maxConnections: 1,
    name: 's',
  };

  test('copies a cached prefix if the upstream that holds it is busy', () => {
    const upstreams = createUpstreams(5);
    const first = balancer.choosePlacement(upstreams, {
      ...createContext(),
      service,
    });
    expect(first?.prefixSource).toBeUndefined();
    first!.upstream.cachedPrefixes.recordPrompt(PARTS);
    first!.upstream.pendingTokens = 20_000;
    const second = balancer.choosePlacement(upstreams, {
      ...createContext(),
      service,
    });
    expect(second?.upstream).not.toBe(first?.upstream);
    expect(second?.prefixSource).toBe(first?.upstream);
    expect(second?.copiedTokens).toBe(6_000);
  });

  test('copies no prefix that is quick to compute', () => {
    const upstreams = createUpstreams(2);
    const parts = [
      {id: 'cc', tokens: 100},
      {id: 'dd', tokens: 100},
    ];
    const first = balancer.choosePlacement(upstreams, {
      ...createContext(parts),
      service,
    });
    first!.upstream.cachedPrefixes.recordPrompt(parts);
    first!.upstream.pendingTokens = 20_000;
    const second = balancer.choosePlacement(upstreams, {
      ...createContext(parts),
      service,
    });
    expect(second?.upstream).not.toBe(first?.upstream);
    expect(second?.prefixSource).toBeUndefined();
  });
});

describe('Bounded-load rendezvous hashing', () => {
  test('bounds the load of one upstream relative to the mean', () => {
    const upstreams = createUpstreams(4);
    const balancer = new PrefixRendezvous();
    for (let count = 0; count < 40; count += 1) {
      const chosen = balancer.choose(upstreams, createContext());
      chosen!.inFlight += 1;
    }
    expect(Math.max(...upstreams.map(({inFlight}) => inFlight))).toBeLessThan(
      16,
    );
  });
});

describe('Least utilization', () => {
  test('prefers the local hall until its upstreams are busy', () => {
    const upstreams = createUpstreams(3);
    const balancer = new LeastUtilization(new Random(4));
    const first = balancer.choose(upstreams, createContext());
    expect(first?.record.hall).toBe('here');
    first!.inFlight = 4;
    expect(balancer.choose(upstreams, createContext())?.record.hall).toBe(
      'there',
    );
  });
});
