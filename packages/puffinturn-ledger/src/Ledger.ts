/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Replicated state machine of a region: declarations, budgets, requests, orders and
 * boxes. Records carry their times, so that all replicas reach the same state.
 */
import {Decoder, Encoder} from 'cbor-x';
import {StateMachine} from 'puffinturn-log';

import type {BoxEntry, FencedEntry} from './BoxTable';
import {BoxTable} from './BoxTable';
import type {BudgetState} from './BudgetAccount';
import {applyTransfer} from './BudgetTransfers';
import {DeclarationLedger} from './DeclarationLedger';
import type {DeclarationEntry} from './DeclarationTable';
import {DeclarationTable} from './DeclarationTable';
import type {LedgerBreakage} from './LedgerBreakage';
import type {LedgerOutcome, OpenOrder, OrderOutcome} from './LedgerOutcomes';
import type {LedgerRecord, OrderRecord} from './LedgerRecords';
import {RequestLedger} from './RequestLedger';
import type {RequestEntry} from './RequestTable';
import {RequestTable} from './RequestTable';

const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false});

/** Called after a record was applied on this replica. */
export type AppliedListener = (
  record: LedgerRecord,
  outcome: LedgerOutcome,
  index: number,
) => void;

interface LedgerState {
  readonly declarations: readonly DeclarationEntry[];
  readonly configIndex: number;
  readonly globalSequence: number;
  readonly budgets: readonly BudgetState[];
  readonly requests: readonly RequestEntry[];
  readonly boxes: readonly BoxEntry[];
  readonly fenced: readonly FencedEntry[];
  readonly orders: readonly OpenOrder[];
}

/** State machine that applies the records of a region's log. */
export class Ledger extends StateMachine {
  /** Current declarations. */
  readonly declarations = new DeclarationTable();
  /** Budgets by name. */
  readonly budgets = new Map<string, BudgetState>();
  /** Open and recently closed requests. */
  readonly requests = new RequestTable();
  /** Open orders to engines, by `POOL/UPSTREAM`. */
  readonly orders = new Map<string, OpenOrder>();
  /** Registered boxes and their incarnations. */
  readonly boxes = new BoxTable();
  private readonly listeners = new Set<AppliedListener>();
  private readonly requestLedger: RequestLedger;
  private readonly declarationLedger: DeclarationLedger;

  constructor(
    /** The region of this ledger. */
    readonly region: string,
    /** Whether this is the primary region, which decides global declarations. */
    readonly isPrimary: boolean,
    private readonly injectedFaults: LedgerBreakage = {},
  ) {
    super();
    const {boxes, budgets, declarations, requests} = this;
    this.requestLedger = new RequestLedger({
      boxes,
      injectedFaults,
      budgets,
      declarations,
      requests,
    });
    this.declarationLedger = new DeclarationLedger({
      budgets,
      declarations,
      isPrimary,
      region,
    });
  }

  /** Calls `listener` after every applied record until the result is disposed. */
  subscribe(listener: AppliedListener): Disposable {
    this.listeners.add(listener);
    return {[Symbol.dispose]: () => void this.listeners.delete(listener)};
  }

  override apply(value: unknown, index: number): LedgerOutcome {
    const record = value as LedgerRecord;
    const outcome = this.applyRecord(record, index);
    for (const listener of this.listeners) {
      listener(record, outcome, index);
    }
    return outcome;
  }

  override snapshot(): Uint8Array {
    const state: LedgerState = {
      boxes: this.boxes.all(),
      budgets: [...this.budgets.values()],
      configIndex: this.declarations.configIndex,
      declarations: this.declarations.all(),
      fenced: this.boxes.allFenced(),
      globalSequence: this.declarations.globalSequence,
      orders: [...this.orders.values()],
      requests: this.requests.all(),
    };
    return encoder.encode(state);
  }

  override restore(bytes: Uint8Array): void {
    const state = decoder.decode(Buffer.from(bytes)) as LedgerState;
    const {configIndex, globalSequence} = state;
    this.declarations.restore(state.declarations, configIndex, globalSequence);
    this.boxes.restore(state.boxes, state.fenced);
    this.budgets.clear();
    for (const budget of state.budgets) {
      this.budgets.set(budget.name, budget);
    }
    this.orders.clear();
    for (const order of state.orders) {
      this.orders.set(order.upstream, order);
    }
    this.requests.clear();
    for (const entry of state.requests) {
      this.requests.put(entry);
    }
  }

  private applyRecord(record: LedgerRecord, index: number): LedgerOutcome {
    switch (record.kind) {
      case 'admit':
        return this.requestLedger.admit(record);
      case 'dispatch':
        return this.requestLedger.dispatch(record);
      case 'settle':
        return this.requestLedger.settle(record);
      case 'void':
        return this.requestLedger.voidRequest(record);
      case 'declare':
        return this.declarationLedger.declare(record, index);
      case 'import':
        return this.declarationLedger.import(record, index);
      case 'register':
        return this.boxes.register(
          record.box,
          record.incarnation,
          record.hall,
          record.at,
        ) === 'fenced'
          ? {kind: 'fenced'}
          : {kind: 'noted'};
      case 'fence':
        this.boxes.fence(record.box, record.incarnation, record.at);
        return {kind: 'noted'};
      case 'floor':
        return this.requestLedger.raiseFloor(record);
      case 'claim':
        return this.requestLedger.claim(record);
      case 'reported':
        return this.requestLedger.applyReported(record);
      case 'order':
        return this.placeOrder(record, index);
      case 'order-done':
        if (this.orders.get(record.upstream)?.fence === record.fence) {
          this.orders.delete(record.upstream);
        }
        return {kind: 'noted'};
      case 'sweep':
        return this.requestLedger.sweep(record.at);
      default:
        return applyTransfer(this.budgets, record, this.injectedFaults);
    }
  }

  /** Opens an order unless the engine has one; the log index is its fencing token. */
  private placeOrder(record: OrderRecord, index: number): OrderOutcome {
    const {action, at, model, upstream} = record;
    const open = this.orders.get(upstream);
    if (open !== undefined) {
      return {kind: 'busy', open};
    }
    this.orders.set(upstream, {action, at, fence: index, model, upstream});
    return {fence: index, kind: 'ordered'};
  }
}
