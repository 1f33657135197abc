/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {SilentDecisionLog} from 'puffinturn-decisions';
import {RUNNER_STATE} from 'puffinturn-fleet';
import {ManualClock, Random} from 'shared';

import {EdgeRunner} from '../../EdgeRunner';
import type {ChoiceFacts} from '../../RunnerChoice';
import {ExpectedTime, FreeSlots, PrefixRendezvous} from '../../RunnerChoice';

const PARTS = [
  {id: 'aa', tokens: 5_000},
  {id: 'bb', tokens: 1_000},
];

function runnersOf(count: number, clock = new ManualClock()): EdgeRunner[] {
  return Array.from({length: count}, (_, at) => {
    const record = {
      address: `10.0.0.${at}:80`,
      coldMs: 0,
      id: `i-${at}`,
      sequence: 1,
      service: 's',
      slots: 6,
      state: RUNNER_STATE.ready,
      zone: at === 0 ? 'here' : 'there',
    };
    return new EdgeRunner(record, clock, new SilentDecisionLog());
  });
}

function facts(parts = PARTS): ChoiceFacts {
  const service = {engine: undefined, maxConnections: 1, name: 's'};
  return {parts, service, zone: 'here'};
}

describe('ExpectedTime', () => {
  const choice = new ExpectedTime();

  test('agrees with other edges on where a prompt is kept', () => {
    const chosen = choice.choose(runnersOf(5), facts());
    const elsewhere = choice.choose(runnersOf(5).reverse(), facts());
    expect(chosen?.id).toBe(elsewhere?.id);
  });

  test('goes elsewhere once waiting costs more than reading anew', () => {
    const runners = runnersOf(5);
    const kept = choice.choose(runners, facts());
    kept!.pendingTokens = 4_000;
    expect(choice.choose(runners, facts())).toBe(kept);
    kept!.pendingTokens = 8_000;
    expect(choice.choose(runners, facts())).not.toBe(kept);
  });

  test('keeps away from a runner that was slow, and comes back', async () => {
    const clock = new ManualClock();
    const runners = runnersOf(5, clock);
    const kept = choice.choose(runners, facts());
    for (let count = 0; count < 10; count += 1) {
      kept!.speed.measured(6_000, 3_000);
    }
    expect(choice.choose(runners, facts())).not.toBe(kept);
    await clock.advance(20_000);
    expect(choice.choose(runners, facts())).toBe(kept);
  });

  test('counts a kept part only behind the same parts', () => {
    const [runner] = runnersOf(1);
    runner?.prefixes.sent(PARTS);
    expect(runner?.prefixes.keptOf(PARTS)).toBe(6_000);
    const other = [{id: 'xx', tokens: 1}, ...PARTS];
    expect(runner?.prefixes.keptOf(other)).toBe(0);
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
    const runners = runnersOf(5);
    const first = choice.place(runners, {...facts(), service});
    expect(first?.prefixSource).toBeUndefined();
    first!.runner.prefixes.sent(PARTS);
    first!.runner.load.reported({active: 4, queued: 6, reading: 4});
    const second = choice.place(runners, {...facts(), service});
    expect(second?.runner).not.toBe(first?.runner);
    expect(second?.prefixSource).toBe(first?.runner);
    expect(second?.copiedTokens).toBe(6_000);
  });

  test('copies nothing that is soon read', () => {
    const runners = runnersOf(2);
    const parts = [
      {id: 'cc', tokens: 100},
      {id: 'dd', tokens: 100},
    ];
    const first = choice.place(runners, {...facts(parts), service});
    first!.runner.prefixes.sent(parts);
    first!.runner.load.reported({active: 4, queued: 6, reading: 4});
    const second = choice.place(runners, {...facts(parts), service});
    expect(second?.runner).not.toBe(first?.runner);
    expect(second?.prefixSource).toBeUndefined();
  });
});

describe('PrefixRendezvous', () => {
  test('bounds the load of one runner by the mean', () => {
    const runners = runnersOf(4);
    const choice = new PrefixRendezvous();
    for (let count = 0; count < 40; count += 1) {
      const chosen = choice.choose(runners, facts());
      chosen!.inFlight += 1;
    }
    expect(Math.max(...runners.map(({inFlight}) => inFlight))).toBeLessThan(16);
  });
});

describe('FreeSlots', () => {
  test('fills the own zone first and then goes elsewhere', () => {
    const runners = runnersOf(3);
    const choice = new FreeSlots(new Random(4));
    const first = choice.choose(runners, facts());
    expect(first?.record.zone).toBe('here');
    first!.inFlight = 4;
    expect(choice.choose(runners, facts())?.record.zone).toBe('there');
  });
});
