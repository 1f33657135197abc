/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {SilentDecisionLog} from 'puffinturn-decisions';
import {ManualClock, Random} from 'shared';

import {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import type {BalancingContext} from '../../upstreams/UpstreamChoice';
import {
  ExpectedTime,
  LeastUtilization,
  PrefixRendezvous,
} from '../../upstreams/UpstreamChoice';
import {upstreamOf} from '../utils/EdgeFixture';

const PARTS = [
  {id: 'aa', tokens: 5_000},
  {id: 'bb', tokens: 1_000},
];

function upstreamsOf(count: number, clock = new ManualClock()): EdgeUpstream[] {
  return Array.from({length: count}, (_, at) => {
    const record = upstreamOf(`i-${at}`, {
      address: `10.0.0.${at}:80`,
      hall: at === 0 ? 'here' : 'there',
      slots: 6,
    });
    return new EdgeUpstream(record, clock, new SilentDecisionLog());
  });
}

function facts(parts = PARTS): BalancingContext {
  const service = {engine: undefined, maxConnections: 1, name: 's'};
  return {parts, service, hall: 'here'};
}

describe('ExpectedTime', () => {
  const choice = new ExpectedTime();

  test('agrees with other edges on where a prompt is kept', () => {
    const chosen = choice.choose(upstreamsOf(5), facts());
    const elsewhere = choice.choose(upstreamsOf(5).reverse(), facts());
    expect(chosen?.id).toBe(elsewhere?.id);
  });

  test('goes elsewhere once waiting costs more than reading anew', () => {
    const upstreams = upstreamsOf(5);
    const kept = choice.choose(upstreams, facts());
    kept!.pendingTokens = 4_000;
    expect(choice.choose(upstreams, facts())).toBe(kept);
    kept!.pendingTokens = 8_000;
    expect(choice.choose(upstreams, facts())).not.toBe(kept);
  });

  test('keeps away from an upstream that was slow, and comes back', async () => {
    const clock = new ManualClock();
    const upstreams = upstreamsOf(5, clock);
    const kept = choice.choose(upstreams, facts());
    for (let count = 0; count < 10; count += 1) {
      kept!.speed.measured(6_000, 3_000);
    }
    expect(choice.choose(upstreams, facts())).not.toBe(kept);
    await clock.advance(20_000);
    expect(choice.choose(upstreams, facts())).toBe(kept);
  });

  test('counts a kept part only behind the same parts', () => {
    const [upstream] = upstreamsOf(1);
    upstream?.prefixes.sent(PARTS);
    expect(upstream?.prefixes.keptOf(PARTS)).toBe(6_000);
    const other = [{id: 'xx', tokens: 1}, ...PARTS];
    expect(upstream?.prefixes.keptOf(other)).toBe(0);
  });
});

describe('ExpectedTime where engines copy from each other', () => {
  const choice = new ExpectedTime();
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

  test('copies a kept prompt where its keeper is busy', () => {
    const upstreams = upstreamsOf(5);
    const first = choice.place(upstreams, {...facts(), service});
    expect(first?.prefixSource).toBeUndefined();
    first!.upstream.prefixes.sent(PARTS);
    first!.upstream.pendingTokens = 20_000;
    const second = choice.place(upstreams, {...facts(), service});
    expect(second?.upstream).not.toBe(first?.upstream);
    expect(second?.prefixSource).toBe(first?.upstream);
    expect(second?.copiedTokens).toBe(6_000);
  });

  test('copies nothing that is soon read', () => {
    const upstreams = upstreamsOf(2);
    const parts = [
      {id: 'cc', tokens: 100},
      {id: 'dd', tokens: 100},
    ];
    const first = choice.place(upstreams, {...facts(parts), service});
    first!.upstream.prefixes.sent(parts);
    first!.upstream.pendingTokens = 20_000;
    const second = choice.place(upstreams, {...facts(parts), service});
    expect(second?.upstream).not.toBe(first?.upstream);
    expect(second?.prefixSource).toBeUndefined();
  });
});

describe('PrefixRendezvous', () => {
  test('bounds the load of one upstream by the mean', () => {
    const upstreams = upstreamsOf(4);
    const choice = new PrefixRendezvous();
    for (let count = 0; count < 40; count += 1) {
      const chosen = choice.choose(upstreams, facts());
      chosen!.inFlight += 1;
    }
    expect(Math.max(...upstreams.map(({inFlight}) => inFlight))).toBeLessThan(
      16,
    );
  });
});

describe('FreeSlots', () => {
  test('fills the own hall first and then goes elsewhere', () => {
    const upstreams = upstreamsOf(3);
    const choice = new LeastUtilization(new Random(4));
    const first = choice.choose(upstreams, facts());
    expect(first?.record.hall).toBe('here');
    first!.inFlight = 4;
    expect(choice.choose(upstreams, facts())?.record.hall).toBe('there');
  });
});
