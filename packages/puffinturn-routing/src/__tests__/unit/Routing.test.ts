/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import fc from 'fast-check';
import type {UpstreamSpec} from 'puffinturn-settings';
import {ManualClock, Random, settleTasks} from 'shared';

import type {PlaceRequest, WaitingRequest} from '../../index';
import {
  AdaptiveLimit,
  Circuit,
  ExpectedTimeChoice,
  FairQueue,
  Hedge,
  LeastInFlightChoice,
  prefixBlocks,
  PrefixIndex,
  Router,
  ShareRetryBudget,
  Upstream,
} from '../../index';

function spec(name: string, slots = 2): UpstreamSpec {
  return {hall: 'h', name, slots, url: `http://${name}`};
}

function placeRequest(
  change: Partial<PlaceRequest & WaitingRequest> = {},
): PlaceRequest & WaitingRequest {
  return {
    avoid: new Set(),
    cost: 1,
    deadline: 10_000,
    prefix: [],
    priority: 5,
    since: 0,
    team: 't',
    weight: 1,
    ...change,
  };
}

function makeRouter(names: readonly string[], clock = new ManualClock()) {
  const router = new Router({
    choice: new LeastInFlightChoice(new Random(1)),
    clock,
    limit: new AdaptiveLimit(() => 1, clock),
    pool: 'p',
    queue: new FairQueue(clock),
    targetMs: 1_000,
  });
  router.declare(names.map((name) => spec(name)));
  return {clock, router};
}

describe('Router', () => {
  test('refuses those that wait once all upstreams rest', async () => {
    const {clock, router} = makeRouter(['u1']);
    const places = await Promise.all(
      [1, 2].map(() => router.acquire(placeRequest())),
    );
    const waiting = router.acquire(placeRequest());
    const [first, second] = places.map((place) => place._unsafeUnwrap());
    first?.upstream.restsAtLeastUntil(clock.now() + 3_000);
    first?.[Symbol.dispose]();
    expect((await waiting)._unsafeUnwrapErr()).toMatchObject({
      kind: 'overloaded',
      retryAfterMs: 3_000,
    });
    second?.[Symbol.dispose]();
    expect((await router.acquire(placeRequest())).isErr()).toBe(true);
    await clock.advance(3_000);
    expect((await router.acquire(placeRequest())).isOk()).toBe(true);
  });

  test('never passes a limit and serves all, whatever the order', async () => {
    const steps = fc.array(
      fc.oneof(
        fc.record({
          kind: fc.constant('ask' as const),
          priority: fc.nat(9),
          team: fc.constantFrom('a', 'b', 'c'),
        }),
        fc.record({at: fc.nat(30), kind: fc.constant('end' as const)}),
        fc.record({
          kind: fc.constant('leave' as const),
          name: fc.constantFrom('u1', 'u2', 'none'),
        }),
      ),
      {maxLength: 60},
    );
    await fc.assert(
      fc.asyncProperty(steps, async (list) => {
        const {router} = makeRouter(['u1', 'u2', 'u3']);
        const open: Disposable[] = [];
        let asked = 0;
        let answered = 0;
        let leaving = 'none';
        for (const step of list) {
          if (step.kind === 'ask') {
            asked += 1;
            void router.acquire(placeRequest(step)).then((place) => {
              answered += 1;
              if (place.isOk()) {
                expect(place.value.upstream.name).not.toBe(leaving);
                open.push(place.value);
              }
            });
          } else if (step.kind === 'end') {
            open.splice(step.at % (open.length + 1), 1)[0]?.[Symbol.dispose]();
          } else {
            leaving = step.name;
            router.markLeaving((name) => name === leaving);
          }
          await settleTasks();
          for (const upstream of router.upstreams) {
            expect(upstream.inFlight).toBeLessThanOrEqual(
              upstream.spec.slots * 1.25,
            );
          }
        }
        while (open.length > 0) {
          open.pop()?.[Symbol.dispose]();
          await settleTasks();
        }
        expect(answered).toBe(asked);
      }),
      {numRuns: 60, seed: 1},
    );
  });

  test('a request that cannot be placed by its deadline is refused then', async () => {
    const {clock, router} = makeRouter(['u1']);
    await router.acquire(placeRequest());
    await router.acquire(placeRequest());
    let refused = '';
    void router
      .acquire(placeRequest({deadline: 500}))
      .then((place) => place.mapErr(({kind}) => (refused = kind)));
    await clock.advance(499);
    expect(refused).toBe('');
    await clock.advance(2);
    expect(refused).toBe('overloaded');
    expect(router.waiting).toBe(0);
  });

  test('a caller that has gone leaves the queue', async () => {
    const {router} = makeRouter(['u1']);
    await router.acquire(placeRequest());
    await router.acquire(placeRequest());
    const caller = new AbortController();
    const waiting = router.acquire(placeRequest({signal: caller.signal}));
    caller.abort();
    expect((await waiting)._unsafeUnwrapErr().kind).toBe('caller-gone');
    expect(router.waiting).toBe(0);
  });

  test('circuits never take out more than half of a pool', async () => {
    const {router} = makeRouter(['u1', 'u2', 'u3', 'u4']);
    for (let failures = 0; failures < 40; failures += 1) {
      const place = (await router.acquire(placeRequest()))._unsafeUnwrap();
      place.failed();
      place[Symbol.dispose]();
    }
    const used = new Set<string>();
    for (let turn = 0; turn < 40; turn += 1) {
      const place = (await router.acquire(placeRequest()))._unsafeUnwrap();
      used.add(place.upstream.name);
      place[Symbol.dispose]();
    }
    expect(used.size).toBeGreaterThanOrEqual(2);
  });
});

describe('FairQueue', () => {
  test('a flood of one team does not starve another of its priority', () => {
    const queue = new FairQueue(new ManualClock());
    for (let turn = 0; turn < 100; turn += 1) {
      queue.push(placeRequest({team: 'large'}));
    }
    for (let turn = 0; turn < 10; turn += 1) {
      queue.push(placeRequest({team: 'small'}));
    }
    const first = Array.from({length: 20}, () => queue.pop()?.team);
    expect(first.filter((team) => team === 'small')).toHaveLength(10);
  });

  test('shares follow weights while both teams wait', () => {
    const weight = fc.integer({max: 5, min: 1});
    fc.assert(
      fc.property(weight, weight, (a, b) => {
        const queue = new FairQueue(new ManualClock());
        for (let turn = 0; turn < 200; turn += 1) {
          queue.push(placeRequest({team: 'a', weight: a}));
          queue.push(placeRequest({team: 'b', weight: b}));
        }
        const taken = Array.from({length: 120}, () => queue.pop()?.team);
        const share = taken.filter((team) => team === 'a').length / 120;
        expect(Math.abs(share - a / (a + b))).toBeLessThan(0.05);
      }),
      {seed: 2},
    );
  });

  test('waiting raises a low priority above newer urgent requests', async () => {
    const clock = new ManualClock();
    const queue = new FairQueue(clock);
    queue.push(placeRequest({priority: 9, team: 'patient'}));
    await clock.advance(25_000);
    queue.push(placeRequest({priority: 0, since: clock.now(), team: 'urgent'}));
    expect(queue.pop()?.team).toBe('patient');
  });

  test('shedding takes only what matters less', () => {
    const queue = new FairQueue(new ManualClock());
    queue.push(placeRequest({priority: 3}));
    const newcomer = (priority: number, team = 't') =>
      placeRequest({priority, team});
    expect(queue.shed(newcomer(3))).toBeUndefined();
    expect(queue.shed(newcomer(2))).toMatchObject({priority: 3});
    expect(queue.size).toBe(0);
    for (let turn = 0; turn < 5; turn += 1) {
      queue.push(placeRequest({team: 'large'}));
    }
    expect(queue.shed(newcomer(5, 'large'))).toBeUndefined();
    expect(queue.shed(newcomer(5, 'small'))).toMatchObject({team: 'large'});
  });
});

describe('choice, circuits, retries and hedges', () => {
  test('a cached prefix attracts until its upstream is crowded', () => {
    const prefixes = new PrefixIndex();
    const choice = new ExpectedTimeChoice(new Random(1), prefixes);
    const upstreams = ['u1', 'u2', 'u3'].map(
      (name) => new Upstream('p', spec(name, 10), new ManualClock()),
    );
    const prefix = prefixBlocks('x'.repeat(4_096));
    prefixes.learn('u2', prefix);
    const context = {now: 0, prefix};
    expect(choice.choose(upstreams, context)?.name).toBe('u2');
    const holder = upstreams[1];
    if (holder !== undefined) {
      holder.inFlight = 10;
    }
    expect(choice.choose(upstreams, context)?.name).not.toBe('u2');
  });

  test('boxes that know nothing agree where a prompt goes', () => {
    const upstreams = ['u1', 'u2', 'u3', 'u4', 'u5'].map(
      (name) => new Upstream('p', spec(name, 10), new ManualClock()),
    );
    const prompts = Array.from({length: 20}, (_, at) =>
      prefixBlocks(`${at} `.repeat(2_000)),
    );
    const picks = [1, 2, 3].map((seed) => {
      const choice = new ExpectedTimeChoice(
        new Random(seed),
        new PrefixIndex(),
      );
      return prompts.map(
        (prefix) => choice.choose(upstreams, {now: 0, prefix})?.name,
      );
    });
    expect(picks[1]).toEqual(picks[0]);
    expect(picks[2]).toEqual(picks[0]);
    expect(new Set(picks[0]).size).toBeGreaterThan(1);
  });

  test('a gap in cache events forgets what was known', () => {
    const prefixes = new PrefixIndex();
    const upstream = new Upstream('p', spec('u1'), new ManualClock());
    const prefix = prefixBlocks('y'.repeat(1_024));
    const share = () => prefixes.cachedShare([upstream], prefix).get(upstream);
    prefixes.learn('u1', prefix);
    prefixes.noteEvents('u1', 1, [], 5);
    expect(share()).toBe(1);
    prefixes.noteEvents('u1', 9, [], 12);
    expect(share()).toBeLessThan(1);
  });

  test('a circuit opens, probes once after its pause, and closes', async () => {
    const clock = new ManualClock();
    const circuit = new Circuit(clock);
    for (let failure = 0; failure < 4; failure += 1) {
      circuit.failed();
    }
    expect(circuit.admits).toBe(false);
    await clock.advance(1_001);
    expect(circuit.admits).toBe(true);
    circuit.sent();
    expect(circuit.admits).toBe(false);
    circuit.succeeded();
    expect(circuit.admits).toBe(true);
  });

  test('retries stay within their share of the requests', () => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), {maxLength: 500}), (steps) => {
        const budget = new ShareRetryBudget(0.1, 5);
        let earned = 0;
        let spent = 0;
        for (const earns of steps) {
          if (earns) {
            budget.earn();
            earned += 1;
          } else if (budget.spend()) {
            spent += 1;
          }
          expect(spent).toBeLessThanOrEqual(5 + 0.1 * earned + 1e-6);
        }
      }),
      {seed: 3},
    );
  });

  test('hedges start after the observed 95th percentile', () => {
    const hedge = new Hedge();
    expect(hedge.afterMs).toBe(Infinity);
    for (let value = 1; value <= 100; value += 1) {
      hedge.observe(value);
    }
    expect(hedge.afterMs).toBeGreaterThanOrEqual(94);
    expect(hedge.afterMs).toBeLessThanOrEqual(97);
  });
});
