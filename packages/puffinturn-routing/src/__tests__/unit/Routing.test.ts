/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against upstreams beyond their limits, requests that starve or hang in the queue,
 * and retries that multiply the load.
 */
import fc from 'fast-check';
import type {UpstreamSpec} from 'puffinturn-settings';
import {ManualClock, Random, settleTasks} from 'shared';

import type {AcquireRequest, QueuedRequest} from '../../index';
import {
  AdaptiveConcurrencyLimit,
  CircuitBreaker,
  ExpectedLatencyBalancer,
  FairQueue,
  hashPromptBlocks,
  HedgePolicy,
  LeastInFlightBalancer,
  PrefixIndex,
  RatioRetryBudget,
  Router,
  Upstream,
} from '../../index';

function spec(name: string, slots = 2): UpstreamSpec {
  return {hall: 'h', name, slots, url: `http://${name}`};
}

function acquireRequest(
  overrides: Partial<AcquireRequest & QueuedRequest> = {},
): AcquireRequest & QueuedRequest {
  return {
    triedUpstreams: new Set(),
    cost: 1,
    deadline: 10_000,
    blockHashes: [],
    priority: 5,
    enqueuedAt: 0,
    team: 't',
    weight: 1,
    ...overrides,
  };
}

function makeRouter(names: readonly string[], clock = new ManualClock()) {
  const router = new Router({
    loadBalancer: new LeastInFlightBalancer(new Random(1)),
    clock,
    concurrencyLimit: new AdaptiveConcurrencyLimit(() => 1, clock),
    pool: 'p',
    queue: new FairQueue(clock),
    targetMs: 1_000,
  });
  router.setUpstreams(names.map((name) => spec(name)));
  return {clock, router};
}

describe('Router', () => {
  test('rejects queued requests if all upstreams are paused', async () => {
    const {clock, router} = makeRouter(['u1']);
    const slots = await Promise.all(
      [1, 2].map(() => router.acquire(acquireRequest())),
    );
    const queued = router.acquire(acquireRequest());
    const [first, second] = slots.map((slot) => slot._unsafeUnwrap());
    first?.upstream.pauseUntil(clock.now() + 3_000);
    first?.[Symbol.dispose]();
    expect((await queued)._unsafeUnwrapErr()).toMatchObject({
      kind: 'overloaded',
      retryAfterMs: 3_000,
    });
    second?.[Symbol.dispose]();
    expect((await router.acquire(acquireRequest())).isErr()).toBe(true);
    await clock.advance(3_000);
    expect((await router.acquire(acquireRequest())).isOk()).toBe(true);
  });

  test('settles every request and exceeds no limit for any sequence of events', async () => {
    const sequences = fc.array(
      fc.oneof(
        fc.record({
          kind: fc.constant('acquire' as const),
          priority: fc.nat(9),
          team: fc.constantFrom('a', 'b', 'c'),
        }),
        fc.record({index: fc.nat(30), kind: fc.constant('release' as const)}),
        fc.record({
          kind: fc.constant('drain' as const),
          name: fc.constantFrom('u1', 'u2', 'none'),
        }),
      ),
      {maxLength: 60},
    );
    await fc.assert(
      fc.asyncProperty(sequences, async (steps) => {
        const {router} = makeRouter(['u1', 'u2', 'u3']);
        const heldSlots: Disposable[] = [];
        let acquireCount = 0;
        let settledCount = 0;
        let drainingName = 'none';
        for (const step of steps) {
          if (step.kind === 'acquire') {
            acquireCount += 1;
            void router.acquire(acquireRequest(step)).then((slot) => {
              settledCount += 1;
              if (slot.isOk()) {
                expect(slot.value.upstream.name).not.toBe(drainingName);
                heldSlots.push(slot.value);
              }
            });
          } else if (step.kind === 'release') {
            heldSlots
              .splice(step.index % (heldSlots.length + 1), 1)[0]
              ?.[Symbol.dispose]();
          } else {
            drainingName = step.name;
            router.markDraining((name) => name === drainingName);
          }
          await settleTasks();
          for (const upstream of router.upstreams) {
            expect(upstream.inFlight).toBeLessThanOrEqual(
              upstream.spec.slots * 1.25,
            );
          }
        }
        while (heldSlots.length > 0) {
          heldSlots.pop()?.[Symbol.dispose]();
          await settleTasks();
        }
        expect(settledCount).toBe(acquireCount);
      }),
      {numRuns: 60, seed: 1},
    );
  });

  test('rejects a queued request at its deadline', async () => {
    const {clock, router} = makeRouter(['u1']);
    await router.acquire(acquireRequest());
    await router.acquire(acquireRequest());
    let failureKind = '';
    void router
      .acquire(acquireRequest({deadline: 500}))
      .then((slot) => slot.mapErr(({kind}) => (failureKind = kind)));
    await clock.advance(499);
    expect(failureKind).toBe('');
    await clock.advance(2);
    expect(failureKind).toBe('overloaded');
    expect(router.queuedCount).toBe(0);
  });

  test('removes a request from the queue if its caller disconnects', async () => {
    const {router} = makeRouter(['u1']);
    await router.acquire(acquireRequest());
    await router.acquire(acquireRequest());
    const caller = new AbortController();
    const queued = router.acquire(acquireRequest({signal: caller.signal}));
    caller.abort();
    expect((await queued)._unsafeUnwrapErr().kind).toBe('caller-gone');
    expect(router.queuedCount).toBe(0);
  });

  test('keeps half of a pool available if all circuits are open', async () => {
    const {router} = makeRouter(['u1', 'u2', 'u3', 'u4']);
    for (let failures = 0; failures < 40; failures += 1) {
      const slot = (await router.acquire(acquireRequest()))._unsafeUnwrap();
      slot.recordFailure();
      slot[Symbol.dispose]();
    }
    const usedNames = new Set<string>();
    for (let round = 0; round < 40; round += 1) {
      const slot = (await router.acquire(acquireRequest()))._unsafeUnwrap();
      usedNames.add(slot.upstream.name);
      slot[Symbol.dispose]();
    }
    expect(usedNames.size).toBeGreaterThanOrEqual(2);
  });
});

describe('FairQueue', () => {
  test('does not let one team starve another one with the same priority', () => {
    const queue = new FairQueue(new ManualClock());
    for (let round = 0; round < 100; round += 1) {
      queue.push(acquireRequest({team: 'large'}));
    }
    for (let round = 0; round < 10; round += 1) {
      queue.push(acquireRequest({team: 'small'}));
    }
    const served = Array.from({length: 20}, () => queue.pop()?.team);
    expect(served.filter((team) => team === 'small')).toHaveLength(10);
  });

  test('serves two teams with a backlog in proportion to their weights', () => {
    const weights = fc.integer({max: 5, min: 1});
    fc.assert(
      fc.property(weights, weights, (weightA, weightB) => {
        const queue = new FairQueue(new ManualClock());
        for (let round = 0; round < 200; round += 1) {
          queue.push(acquireRequest({team: 'a', weight: weightA}));
          queue.push(acquireRequest({team: 'b', weight: weightB}));
        }
        const served = Array.from({length: 120}, () => queue.pop()?.team);
        const share = served.filter((team) => team === 'a').length / 120;
        expect(Math.abs(share - weightA / (weightA + weightB))).toBeLessThan(
          0.05,
        );
      }),
      {seed: 2},
    );
  });

  test('raises the priority of a request above newer urgent ones as it waits', async () => {
    const clock = new ManualClock();
    const queue = new FairQueue(clock);
    queue.push(acquireRequest({priority: 9, team: 'low'}));
    await clock.advance(25_000);
    queue.push(
      acquireRequest({enqueuedAt: clock.now(), priority: 0, team: 'urgent'}),
    );
    expect(queue.pop()?.team).toBe('low');
  });

  test('sheds only requests that are less important than the new one', () => {
    const queue = new FairQueue(new ManualClock());
    queue.push(acquireRequest({priority: 3}));
    const incoming = (priority: number, team = 't') =>
      acquireRequest({priority, team});
    expect(queue.shed(incoming(3))).toBeUndefined();
    expect(queue.shed(incoming(2))).toMatchObject({priority: 3});
    expect(queue.size).toBe(0);
    for (let round = 0; round < 5; round += 1) {
      queue.push(acquireRequest({team: 'large'}));
    }
    expect(queue.shed(incoming(5, 'large'))).toBeUndefined();
    expect(queue.shed(incoming(5, 'small'))).toMatchObject({team: 'large'});
  });
});

describe('Load balancing, circuit breakers, retries and hedges', () => {
  test('prefers the upstream with a cached prefix unless it is overloaded', () => {
    const prefixIndex = new PrefixIndex();
    const balancer = new ExpectedLatencyBalancer(new Random(1), prefixIndex);
    const upstreams = ['u1', 'u2', 'u3'].map(
      (name) => new Upstream('p', spec(name, 10), new ManualClock()),
    );
    const blockHashes = hashPromptBlocks('x'.repeat(4_096));
    prefixIndex.recordPrompt('u2', blockHashes);
    const context = {blockHashes, now: 0};
    expect(balancer.select(upstreams, context)?.name).toBe('u2');
    const cachingUpstream = upstreams[1];
    if (cachingUpstream !== undefined) {
      cachingUpstream.inFlight = 10;
    }
    expect(balancer.select(upstreams, context)?.name).not.toBe('u2');
  });

  test('selects the same upstream on all boxes for an unknown prompt', () => {
    const upstreams = ['u1', 'u2', 'u3', 'u4', 'u5'].map(
      (name) => new Upstream('p', spec(name, 10), new ManualClock()),
    );
    const prompts = Array.from({length: 20}, (_, index) =>
      hashPromptBlocks(`${index} `.repeat(2_000)),
    );
    const selections = [1, 2, 3].map((seed) => {
      const balancer = new ExpectedLatencyBalancer(
        new Random(seed),
        new PrefixIndex(),
      );
      return prompts.map(
        (blockHashes) =>
          balancer.select(upstreams, {blockHashes, now: 0})?.name,
      );
    });
    expect(selections[1]).toEqual(selections[0]);
    expect(selections[2]).toEqual(selections[0]);
    expect(new Set(selections[0]).size).toBeGreaterThan(1);
  });

  test('removes an upstream from the prefix index after a gap in its cache events', () => {
    const prefixIndex = new PrefixIndex();
    const upstream = new Upstream('p', spec('u1'), new ManualClock());
    const blockHashes = hashPromptBlocks('y'.repeat(1_024));
    const share = () =>
      prefixIndex.cachedShares([upstream], blockHashes).get(upstream);
    prefixIndex.recordPrompt('u1', blockHashes);
    prefixIndex.applyCacheEvents('u1', 1, [], 5);
    expect(share()).toBe(1);
    prefixIndex.applyCacheEvents('u1', 9, [], 12);
    expect(share()).toBeLessThan(1);
  });

  test('opens a circuit, allows one probe after a delay, then closes it', async () => {
    const clock = new ManualClock();
    const circuitBreaker = new CircuitBreaker(clock);
    for (let failure = 0; failure < 4; failure += 1) {
      circuitBreaker.recordFailure();
    }
    expect(circuitBreaker.allowsRequest).toBe(false);
    await clock.advance(1_001);
    expect(circuitBreaker.allowsRequest).toBe(true);
    circuitBreaker.recordRequest();
    expect(circuitBreaker.allowsRequest).toBe(false);
    circuitBreaker.recordSuccess();
    expect(circuitBreaker.allowsRequest).toBe(true);
  });

  test('limits retries to their ratio of the requests', () => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), {maxLength: 500}), (steps) => {
        const budget = new RatioRetryBudget(0.1, 5);
        let requests = 0;
        let retries = 0;
        for (const isRequest of steps) {
          if (isRequest) {
            budget.recordRequest();
            requests += 1;
          } else if (budget.tryConsume()) {
            retries += 1;
          }
          expect(retries).toBeLessThanOrEqual(5 + 0.1 * requests + 1e-6);
        }
      }),
      {seed: 3},
    );
  });

  test('hedges after the 95th percentile of the time to first token', () => {
    const hedge = new HedgePolicy();
    expect(hedge.delayMs).toBe(Infinity);
    for (let value = 1; value <= 100; value += 1) {
      hedge.recordFirstToken(value);
    }
    expect(hedge.delayMs).toBeGreaterThanOrEqual(94);
    expect(hedge.delayMs).toBeLessThanOrEqual(97);
  });
});
