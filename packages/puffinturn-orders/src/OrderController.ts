/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Loads and unloads models on the engines of a pool as declared. Only the leader
 * sends orders. Each order is committed to the replicated log first, and its log
 * index is the fencing token that the engine checks. If the engines of a pool do
 * not check fencing tokens, a new leader waits until the former one must have
 * stepped down.
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

/** Interval between two rounds, in ms. */
const ROUND_INTERVAL_MS = 2_000;

/** Time after which an order without a known result is abandoned, in ms. */
const ORDER_TIMEOUT_MS = 60_000;

/** Dependencies of an OrderController. */
export interface OrderControllerParts {
  readonly clock: Clock;
  readonly ledger: Ledger;
  readonly replica: Replica;
  readonly client: EngineClient;
  readonly timeline: Timeline;
  /** Time after which a former leader must have stepped down, in ms. */
  readonly leaderHandoverDelayMs: number;
}

/** Loads and unloads models on engines while this replica is the leader. */
export class OrderController implements AsyncDisposable {
  private readonly tasks = new TaskGroup();
  private leaderTerm = -1;
  private leaderSince = 0;

  constructor(private readonly parts: OrderControllerParts) {
    this.tasks.start((signal) => this.run(signal));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock, replica} = this.parts;
    while (!signal.aborted) {
      await clock.sleep(ROUND_INTERVAL_MS, signal);
      const {term} = replica.status();
      if (!replica.isLeader || signal.aborted) {
        continue;
      }
      if (term !== this.leaderTerm) {
        this.leaderTerm = term;
        this.leaderSince = clock.now();
      }
      await this.runRound();
    }
  }

  private async runRound(): Promise<void> {
    const {ledger} = this.parts;
    await this.expireOrders();
    for (const {declaration} of ledger.declarations.all()) {
      if (declaration.kind === 'pool' && declaration.spec?.orders) {
        await this.reconcilePool(declaration.name, declaration.spec);
      }
    }
  }

  private async reconcilePool(pool: string, spec: PoolSpec): Promise<void> {
    const {clock, ledger} = this.parts;
    const {orders} = spec;
    const leaderForMs = clock.now() - this.leaderSince;
    if (
      orders === undefined ||
      (!orders.checksFences && leaderForMs < this.parts.leaderHandoverDelayMs)
    ) {
      return;
    }
    const pendingOrders = [...ledger.orders.values()].filter(({upstream}) =>
      upstream.startsWith(`${pool}/`),
    );
    const planned = planOrders(
      await this.readEngineStates(pool, spec),
      orders.placements,
      {
        activeLoads: pendingOrders.filter(({action}) => action === 'load')
          .length,
        busyEngines: new Set(
          pendingOrders.map(({upstream}) => upstream.slice(pool.length + 1)),
        ),
        maxConcurrentLoads: orders.loadsAtOnce,
      },
    );
    for (const order of planned) {
      // Not awaited because a load can take much longer than a round.
      this.tasks.start(() => this.executeOrder(pool, spec, order));
    }
  }

  private async readEngineStates(
    pool: string,
    spec: PoolSpec,
  ): Promise<EngineState[]> {
    const {client, ledger} = this.parts;
    const drainedUpstreams = new Set(
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
        isDraining: drainedUpstreams.has(name),
        models: await client.listModels(url).unwrapOr(undefined as never),
        name,
      })),
    );
  }

  private async executeOrder(
    pool: string,
    spec: PoolSpec,
    order: PlannedOrder,
  ): Promise<void> {
    const {client, clock, timeline} = this.parts;
    const url = spec.upstreams.find(({name}) => name === order.upstream)?.url;
    const upstream = `${pool}/${order.upstream}`;
    const {action, model} = order;
    const at = clock.wallTime();
    const outcome = (await this.propose({
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
    const result = await client.sendOrder(url, {fence, kind: action, model});
    const isOutcomeUnknown =
      result.isErr() && result.error.kind === 'unreachable';
    if (isOutcomeUnknown) {
      // The engine may still execute it, so it stays busy until the timeout.
      return;
    }
    await this.propose({fence, kind: 'order-done', upstream});
    timeline.note(EVENT_KIND.orderDone, {detail, upstream});
  }

  private async expireOrders(): Promise<void> {
    const now = this.parts.clock.wallTime();
    for (const {at, fence, upstream} of this.parts.ledger.orders.values()) {
      if (now - at > ORDER_TIMEOUT_MS) {
        await this.propose({fence, kind: 'order-done', upstream});
      }
    }
  }

  private async propose(record: LedgerRecord): Promise<unknown> {
    return this.parts.replica.propose(record).unwrapOr(undefined);
  }
}
