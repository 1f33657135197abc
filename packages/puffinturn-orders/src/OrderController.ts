/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Keeps models on the engines that shall hold them. Runs on the leader alone:
 * each order is logged first, and its log index is the fence that the engine
 * compares. Where engines do not compare, a new leader waits until the former
 * one has certainly stepped down before it sends anything.
 */
import type {Ledger, LedgerRecord, OrderOutcome} from 'puffinturn-ledger';
import type {Replica} from 'puffinturn-log';
import type {PoolSpec} from 'puffinturn-settings';
import type {Timeline} from 'puffinturn-timeline';
import {EVENT_KIND} from 'puffinturn-timeline';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import type {EngineClient} from './EngineClient';
import type {EngineState, PlannedOrder} from './OrderPlan';
import {planOrders} from './OrderPlan';

/** How often engines are looked at, ms. */
const ROUND_MS = 2_000;

/** An order without an answer is given up after this, ms. */
const ORDER_LIMIT_MS = 60_000;

/** What the controller needs. */
export interface OrderControllerParts {
  readonly clock: Clock;
  readonly ledger: Ledger;
  readonly replica: Replica;
  readonly client: EngineClient;
  readonly timeline: Timeline;
  /** Time after which a former leader has stepped down, ms. */
  readonly handoverMs: number;
}

/** See the module comment. */
export class OrderController implements AsyncDisposable {
  private readonly tasks = new TaskGroup();
  private ledTerm = -1;
  private ledSince = 0;

  constructor(private readonly parts: OrderControllerParts) {
    this.tasks.start((signal) => this.run(signal));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock, replica} = this.parts;
    while (!signal.aborted) {
      await clock.sleep(ROUND_MS, signal);
      const {term} = replica.status();
      if (!replica.isLeader || signal.aborted) {
        continue;
      }
      if (term !== this.ledTerm) {
        this.ledTerm = term;
        this.ledSince = clock.now();
      }
      await this.round();
    }
  }

  private async round(): Promise<void> {
    const {ledger} = this.parts;
    await this.giveUpOldOrders();
    for (const {declaration} of ledger.declarations.all()) {
      if (declaration.kind === 'pool' && declaration.spec?.orders) {
        await this.keepPool(declaration.name, declaration.spec);
      }
    }
  }

  private async keepPool(pool: string, spec: PoolSpec): Promise<void> {
    const {clock, ledger} = this.parts;
    const {orders} = spec;
    const waited = clock.now() - this.ledSince;
    if (
      orders === undefined ||
      (!orders.checksFences && waited < this.parts.handoverMs)
    ) {
      return;
    }
    const open = [...ledger.orders.values()].filter(({upstream}) =>
      upstream.startsWith(`${pool}/`),
    );
    const planned = planOrders(await this.look(pool, spec), orders.placements, {
      busy: new Set(open.map(({upstream}) => upstream.slice(pool.length + 1))),
      loading: open.filter(({action}) => action === 'load').length,
      loadsAtOnce: orders.loadsAtOnce,
    });
    for (const order of planned) {
      // Loads take long; the rounds go on meanwhile.
      this.tasks.start(() => this.send(pool, spec, order));
    }
  }

  private async look(pool: string, spec: PoolSpec): Promise<EngineState[]> {
    const {client, ledger} = this.parts;
    const drained = new Set(
      ledger.declarations.all().flatMap(({declaration}) => {
        const target =
          declaration.kind === 'drain' && declaration.spec?.on === true
            ? declaration.spec.target
            : undefined;
        return target !== undefined && 'pool' in target && target.pool === pool
          ? [target.upstream]
          : [];
      }),
    );
    return Promise.all(
      spec.upstreams.map(async ({hall, name, url}) => ({
        hall,
        leaving: drained.has(name),
        models: await client.models(url).unwrapOr(undefined as never),
        name,
      })),
    );
  }

  private async send(
    pool: string,
    spec: PoolSpec,
    order: PlannedOrder,
  ): Promise<void> {
    const {client, clock, timeline} = this.parts;
    const url = spec.upstreams.find(({name}) => name === order.upstream)?.url;
    const upstream = `${pool}/${order.upstream}`;
    const {action, model} = order;
    const at = clock.wallTime();
    const outcome = (await this.commit({
      action,
      at,
      kind: 'order',
      model,
      upstream,
    })) as OrderOutcome | undefined;
    if (outcome?.kind !== 'ordered' || url === undefined) {
      return;
    }
    const {fence} = outcome;
    const detail = `${action} ${model}, fence ${fence}`;
    timeline.note(EVENT_KIND.orderSent, {detail, upstream});
    const answer = await client.order(url, {fence, kind: action, model});
    const unknown = answer.isErr() && answer.error.kind === 'unreachable';
    if (unknown) {
      // It may still be carried out: the engine stays busy until the limit.
      return;
    }
    await this.commit({fence, kind: 'order-done', upstream});
    timeline.note(EVENT_KIND.orderDone, {detail, upstream});
  }

  private async giveUpOldOrders(): Promise<void> {
    const now = this.parts.clock.wallTime();
    for (const {at, fence, upstream} of this.parts.ledger.orders.values()) {
      if (now - at > ORDER_LIMIT_MS) {
        await this.commit({fence, kind: 'order-done', upstream});
      }
    }
  }

  private async commit(record: LedgerRecord): Promise<unknown> {
    return this.parts.replica.propose(record).unwrapOr(undefined);
  }
}
