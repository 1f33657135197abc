/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import fc from 'fast-check';
import {okAsync} from 'neverthrow';
import {Ledger} from 'puffinturn-ledger';
import {DEFAULT_TIMING, LogLink, MemoryDisk, Replica} from 'puffinturn-log';
import type {Declaration} from 'puffinturn-settings';
import {checkValue, DeclarationSchema} from 'puffinturn-settings';
import {Timeline} from 'puffinturn-timeline';
import {ManualClock, Random} from 'shared';

import type {EngineState, FencedOrder} from '../../index';
import {EngineClient, OrderController, planOrders} from '../../index';

const MODELS = ['a', 'b', 'c'];

describe('planOrders', () => {
  const engine: fc.Arbitrary<EngineState> = fc.record({
    hall: fc.constantFrom('h1', 'h2', 'h3'),
    leaving: fc.boolean(),
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

  test('never drops a last holder, one order an engine, loads within the rate', () => {
    fc.assert(
      fc.property(
        fc.array(engine, {maxLength: 8}),
        placements,
        fc.nat(3),
        fc.integer({max: 4, min: 1}),
        (engines, wanted, loading, loadsAtOnce) => {
          const orders = planOrders(engines, wanted, {
            busy: new Set(),
            loading,
            loadsAtOnce,
          });
          const names = orders.map(({upstream}) => upstream);
          expect(new Set(names).size).toBe(names.length);
          const loads = orders.filter(({action}) => action === 'load');
          expect(loads.length).toBeLessThanOrEqual(
            Math.max(0, loadsAtOnce - loading),
          );
          for (const model of MODELS) {
            const holds = engines.filter(
              (one) => !one.leaving && one.models?.includes(model),
            );
            const dropped = orders.filter(
              (one) => one.action === 'unload' && one.model === model,
            );
            const left = holds.length - dropped.length;
            expect(holds.length === 0 || left >= 1).toBe(true);
          }
        },
      ),
      {seed: 1},
    );
  });

  test('copies are spread over halls', () => {
    const engines = ['h1', 'h1', 'h2', 'h3'].map((hall, at) => ({
      hall,
      leaving: false,
      models: [],
      name: `e${at}`,
    }));
    const orders = planOrders(engines, [{copies: 3, model: 'a'}], {
      busy: new Set(),
      loading: 0,
      loadsAtOnce: 9,
    });
    const halls = orders.map(
      ({upstream}) => engines.find(({name}) => name === upstream)?.hall,
    );
    expect(new Set(halls)).toEqual(new Set(['h1', 'h2', 'h3']));
  });
});

class FakeEngines extends EngineClient {
  readonly orders: (FencedOrder & {url: string; at: number})[] = [];
  readonly held = new Map<string, Set<string>>();

  constructor(private readonly clock: ManualClock) {
    super();
  }

  override models(url: string) {
    return okAsync([...(this.held.get(url) ?? [])]);
  }

  override order(url: string, order: FencedOrder) {
    this.orders.push({...order, at: this.clock.now(), url});
    const held = this.held.get(url) ?? new Set();
    this.held.set(url, held.add(order.model));
    return okAsync([...held]);
  }
}

class NoLink extends LogLink {
  override call(): never {
    throw new Error('a group of one calls nobody');
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
  return checkValue(DeclarationSchema, value, 'test')._unsafeUnwrap();
}

async function runController(checksFences: boolean) {
  const clock = new ManualClock();
  const ledger = new Ledger('north', true);
  const replica = (
    await Replica.open({
      box: 'c1',
      clock,
      disk: new MemoryDisk(),
      incarnation: '1',
      link: new NoLink(),
      machine: ledger,
      random: new Random(1),
      timing: DEFAULT_TIMING,
    })
  )._unsafeUnwrap();
  void replica.takePart(() => ['c1']);
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
    handoverMs: 7_000,
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
  test('loads what is missing, one at a time, with growing fences', async () => {
    const {client} = await runController(true);
    expect(client.orders).toHaveLength(2);
    const [first, second] = client.orders;
    expect(second?.fence).toBeGreaterThan(first?.fence ?? Infinity);
    expect(second?.url).not.toBe(first?.url);
  });

  test('waits out a former leader where engines check no fence', async () => {
    const {client, startedAt} = await runController(false);
    expect(client.orders).toHaveLength(2);
    expect((client.orders[0]?.at ?? 0) - startedAt).toBeGreaterThanOrEqual(
      7_000,
    );
  });
});
