/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against unloading the last copy of a model, overloading engines with
 * concurrent loads, and orders of a former leader that take effect late.
 */
import fc from 'fast-check';
import {okAsync} from 'neverthrow';
import {Ledger} from 'puffinturn-ledger';
import {DEFAULT_TIMING, LogLink, MemoryDisk, Replica} from 'puffinturn-log';
import type {Declaration} from 'puffinturn-settings';
import {DeclarationSchema, validateValue} from 'puffinturn-settings';
import {Timeline} from 'puffinturn-timeline';
import {ManualClock, Random} from 'shared';

import type {EngineState, FencedOrder} from '../../index';
import {EngineClient, OrderController, planOrders} from '../../index';

const MODELS = ['a', 'b', 'c'];

describe('planOrders', () => {
  const engine: fc.Arbitrary<EngineState> = fc.record({
    hall: fc.constantFrom('h1', 'h2', 'h3'),
    isDraining: fc.boolean(),
    models: fc.option(fc.subarray(MODELS), {nil: undefined}),
    name: fc.uuid(),
  });
  const placements = fc.subarray(MODELS).chain((models) =>
    fc.tuple(
      ...models.map((model) =>
        fc.record({
          copies: fc.integer({max: 4, min: 1}),
          model: fc.constant(model),
        }),
      ),
    ),
  );

  test('keeps the last copy of a model, sends at most one order per engine and respects the load limit', () => {
    fc.assert(
      fc.property(
        fc.array(engine, {maxLength: 8}),
        placements,
        fc.nat(3),
        fc.integer({max: 4, min: 1}),
        (engines, placementList, activeLoads, maxConcurrentLoads) => {
          const orders = planOrders(engines, placementList, {
            activeLoads,
            busyEngines: new Set(),
            maxConcurrentLoads,
          });
          const names = orders.map(({upstream}) => upstream);
          expect(new Set(names).size).toBe(names.length);
          const loads = orders.filter(({action}) => action === 'load');
          expect(loads.length).toBeLessThanOrEqual(
            Math.max(0, maxConcurrentLoads - activeLoads),
          );
          for (const model of MODELS) {
            const holders = engines.filter(
              (item) => !item.isDraining && item.models?.includes(model),
            );
            const unloads = orders.filter(
              (order) => order.action === 'unload' && order.model === model,
            );
            const remainingCopies = holders.length - unloads.length;
            expect(holders.length === 0 || remainingCopies >= 1).toBe(true);
          }
        },
      ),
      {seed: 1},
    );
  });

  test('spreads copies over halls', () => {
    const engines = ['h1', 'h1', 'h2', 'h3'].map((hall, index) => ({
      hall,
      isDraining: false,
      models: [],
      name: `e${index}`,
    }));
    const orders = planOrders(engines, [{copies: 3, model: 'a'}], {
      activeLoads: 0,
      busyEngines: new Set(),
      maxConcurrentLoads: 9,
    });
    const halls = orders.map(
      ({upstream}) => engines.find(({name}) => name === upstream)?.hall,
    );
    expect(new Set(halls)).toEqual(new Set(['h1', 'h2', 'h3']));
  });
});

class FakeEngines extends EngineClient {
  readonly orders: (FencedOrder & {url: string; at: number})[] = [];
  readonly modelsByUrl = new Map<string, Set<string>>();

  constructor(private readonly clock: ManualClock) {
    super();
  }

  override listModels(url: string) {
    return okAsync([...(this.modelsByUrl.get(url) ?? [])]);
  }

  override sendOrder(url: string, order: FencedOrder) {
    this.orders.push({...order, at: this.clock.now(), url});
    const models = this.modelsByUrl.get(url) ?? new Set();
    this.modelsByUrl.set(url, models.add(order.model));
    return okAsync([...models]);
  }
}

class NoPeersLink extends LogLink {
  override call(): never {
    throw new Error('a group with one replica must not send messages');
  }
}

function pool(checksFences: boolean): Declaration {
  const upstreams = ['e1', 'e2', 'e3'].map((name) => ({
    hall: name,
    name,
    slots: 1,
    url: `http://${name}`,
  }));
  const value = {
    kind: 'pool',
    name: 'p',
    number: 1,
    spec: {
      models: ['a'],
      orders: {checksFences, placements: [{copies: 2, model: 'a'}]},
      price: {completion: 1, prompt: 1},
      upstreams,
    },
  };
  return validateValue(DeclarationSchema, value, 'test')._unsafeUnwrap();
}

async function runController(checksFences: boolean) {
  const clock = new ManualClock();
  const ledger = new Ledger('north', true);
  const replica = (
    await Replica.open({
      box: 'c1',
      clock,
      disk: new MemoryDisk(),
      incarnationId: '1',
      link: new NoPeersLink(),
      stateMachine: ledger,
      random: new Random(1),
      timing: DEFAULT_TIMING,
    })
  )._unsafeUnwrap();
  void replica.bootstrapOrJoin(() => ['c1']);
  await clock.advance(3_000);
  void replica.propose({
    at: 0,
    declaration: pool(checksFences),
    digest: 'd',
    kind: 'declare',
    operator: 'o',
  });
  const client = new FakeEngines(clock);
  const startedAt = clock.now();
  const controller = new OrderController({
    client,
    clock,
    leaderHandoverDelayMs: 7_000,
    ledger,
    replica,
    timeline: new Timeline('c1', clock),
  });
  await clock.advance(20_000);
  const disposed = controller[Symbol.asyncDispose]();
  await clock.advance(5_000);
  await disposed;
  return {client, startedAt};
}

describe('OrderController', () => {
  test('loads missing copies one at a time with increasing fencing tokens', async () => {
    const {client} = await runController(true);
    expect(client.orders).toHaveLength(2);
    const [first, second] = client.orders;
    expect(second?.fence).toBeGreaterThan(first?.fence ?? Infinity);
    expect(second?.url).not.toBe(first?.url);
  });

  test('waits for the former leader to step down if engines do not check fencing tokens', async () => {
    const {client, startedAt} = await runController(false);
    expect(client.orders).toHaveLength(2);
    expect((client.orders[0]?.at ?? 0) - startedAt).toBeGreaterThanOrEqual(
      7_000,
    );
  });
});
