/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The state that the log of a region keeps: declarations, budgets, requests
 * and boxes. Applying is deterministic; times come in the records.
 */
import {Decoder, Encoder} from 'cbor-x';
import {Machine} from 'puffinturn-log';
import type {Declaration} from 'puffinturn-settings';
import {invariant} from 'shared';

import type {BoxEntry, FencedEntry} from './BoxTable';
import {BoxTable} from './BoxTable';
import type {BudgetState} from './BudgetAccount';
import {
  acceptReturn,
  available,
  committed,
  emptyBudget,
  giveBack,
  grant,
  receive,
  release,
  reserve,
  settle,
} from './BudgetAccount';
import type {DeclarationEntry} from './DeclarationTable';
import {DeclarationTable} from './DeclarationTable';
import {FENCED_KEEP_MS, ORPHAN_MS} from './LedgerConstants';
import type {
  AdmitOutcome,
  AttemptOutcome,
  ClaimOutcome,
  DeclareOutcome,
  LedgerOutcome,
  OpenOrder,
  OrderOutcome,
  RequestView,
  TransferOutcome,
} from './LedgerOutcomes';
import type {
  AdmitRecord,
  AttemptId,
  ClaimRecord,
  DeclareRecord,
  DispatchRecord,
  FloorRecord,
  ImportRecord,
  LedgerRecord,
  OrderRecord,
  ReportedRecord,
  RequestState,
  SettleRecord,
  VoidRecord,
} from './LedgerRecords';
import {REQUEST_STATE} from './LedgerRecords';
import type {RequestEntry} from './RequestTable';
import {isOpen, RequestTable} from './RequestTable';

const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false});

/** Deliberate breakages; the fuzzer checks that each one is found. */
export interface LedgerBreakage {
  /** Settles again although the request is closed. */
  readonly settleTwice?: boolean;
  /** Forgets the keys of never-repeated requests at once. */
  readonly forgetTombstone?: boolean;
  /** Takes a dispatched never-repeated request over. */
  readonly repeatMarked?: boolean;
  /** Admits under an older configuration. */
  readonly ignoreConfigIndex?: boolean;
  /** Adds a grant again when it arrives again. */
  readonly receiveTwice?: boolean;
}

/** Told of every record after it was applied on this replica. */
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

/** See the module comment. */
export class Ledger extends Machine {
  /** Declarations in force. */
  readonly declarations = new DeclarationTable();
  /** Budgets by name. */
  readonly budgets = new Map<string, BudgetState>();
  /** Requests known. */
  readonly requests = new RequestTable();
  /** Orders to engines that are not answered, by `POOL/UPSTREAM`. */
  readonly orders = new Map<string, OpenOrder>();
  /** Processes known. */
  readonly boxes = new BoxTable();
  private readonly listeners = new Set<AppliedListener>();

  constructor(
    /** The region of this ledger. */
    readonly region: string,
    /** Whether this region orders the global declarations. */
    readonly primary: boolean,
    private readonly breakage: LedgerBreakage = {},
  ) {
    super();
  }

  /** Calls `listener` after every record until the result is disposed. */
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
        return this.admit(record);
      case 'dispatch':
        return this.dispatch(record);
      case 'settle':
        return this.settle(record);
      case 'void':
        return this.cancel(record);
      case 'declare':
        return this.declare(record, index);
      case 'import':
        return this.import(record, index);
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
        return this.raiseFloor(record);
      case 'claim':
        return this.claim(record);
      case 'reported':
        return this.noteReported(record);
      case 'order':
        return this.order(record, index);
      case 'order-done':
        if (this.orders.get(record.upstream)?.fence === record.fence) {
          this.orders.delete(record.upstream);
        }
        return {kind: 'noted'};
      case 'sweep':
        return this.sweep(record.at);
      default:
        return this.transfer(record);
    }
  }

  // Requests

  private admit(record: AdmitRecord): AdmitOutcome {
    const {configIndex} = this.declarations;
    if (
      record.configIndex < configIndex &&
      this.breakage.ignoreConfigIndex !== true
    ) {
      return {configIndex, kind: 'stale-config'};
    }
    const box = this.boxes.current(record.box, record.incarnation);
    if (box === undefined || record.serial < box.floor) {
      return {kind: 'fenced'};
    }
    const known = this.requests.get(record.team, record.key);
    const answer = known && this.answerKnown(known, record);
    return answer ?? this.admitNew(record, known);
  }

  /** The answer for a known key, or undefined when it may be admitted anew. */
  private answerKnown(
    known: RequestEntry,
    record: AdmitRecord,
  ): AdmitOutcome | undefined {
    if (known.digest !== record.digest) {
      return {kind: 'key-conflict'};
    }
    const sameOwner =
      known.box === record.box && known.incarnation === record.incarnation;
    if (sameOwner && known.serial === record.serial && isOpen(known)) {
      return this.admitted(known.attempt, known.budget);
    }
    if (known.state === REQUEST_STATE.void) {
      return undefined;
    }
    const ownerGone = this.boxes.isGone(known.box, known.incarnation);
    const unsent =
      known.state === REQUEST_STATE.admitted ||
      (this.breakage.repeatMarked === true && isOpen(known));
    return ownerGone && unsent
      ? undefined
      : {kind: 'present', request: this.view(known)};
  }

  private admitNew(
    record: AdmitRecord,
    known: RequestEntry | undefined,
  ): AdmitOutcome {
    const budget = this.budgets.get(record.budget);
    const declared = this.declarations.get('budget', record.budget);
    if (budget === undefined || !declared?.declaration.spec) {
      return {kind: 'no-budget'};
    }
    const held = known !== undefined && isOpen(known) ? known : undefined;
    const heldIn = held && this.budgets.get(held.budget);
    if (held !== undefined && heldIn !== undefined) {
      release(heldIn, held.reserve);
    }
    if (!reserve(budget, record.reserve)) {
      if (held !== undefined && heldIn !== undefined) {
        heldIn.reserved += held.reserve;
      }
      return {
        available: available(budget),
        kind: 'insufficient',
        mayWait: false,
        reserved: budget.reserved,
      };
    }
    const attempt = (known?.attempt ?? 0) + 1;
    this.requests.put(entryOf(record, attempt, known?.claimedBy));
    return this.admitted(attempt, record.budget);
  }

  private admitted(attempt: number, name: string): AdmitOutcome {
    const budget = this.budgets.get(name);
    const free = budget === undefined ? 0 : available(budget);
    return {attempt, available: free, kind: 'admitted'};
  }

  private view(entry: RequestEntry): RequestView {
    const {answer, attempt, box, charge, incarnation, marked, state} = entry;
    const ownerGone = this.boxes.isGone(box, incarnation);
    return {
      answer,
      attempt,
      box,
      charge,
      incarnation,
      marked,
      ownerGone,
      state,
    };
  }

  /** The request of an attempt if that attempt is open, else its outcome. */
  private openAttempt(
    id: AttemptId,
  ): {entry: RequestEntry} | {outcome: AttemptOutcome} {
    const entry = this.requests.get(id.team, id.key);
    if (entry === undefined || entry.attempt !== id.attempt) {
      return {outcome: {kind: 'superseded'}};
    }
    if (!isOpen(entry)) {
      const {charge, state} = entry;
      return {outcome: {charge, kind: 'closed', state}};
    }
    return {entry};
  }

  private dispatch(record: DispatchRecord): AttemptOutcome {
    const found = this.openAttempt(record);
    if ('outcome' in found) {
      return found.outcome;
    }
    found.entry.state = REQUEST_STATE.dispatched;
    return {budget: found.entry.budget, charge: 0, kind: 'done'};
  }

  private settle(record: SettleRecord): AttemptOutcome {
    const found = this.openAttempt(record);
    if ('outcome' in found) {
      this.settleAgainIfBroken(record);
      return found.outcome;
    }
    const {entry} = found;
    entry.answer = entry.marked ? record.answer : undefined;
    this.close(entry, record.outcome, record.charge, record.at);
    const {charge} = entry;
    return {budget: entry.budget, charge, kind: 'done'};
  }

  private settleAgainIfBroken(record: SettleRecord): void {
    const entry = this.requests.get(record.team, record.key);
    const budget = entry && this.budgets.get(entry.budget);
    if (this.breakage.settleTwice === true && budget !== undefined) {
      budget.settled += Math.min(record.charge, available(budget));
    }
  }

  private cancel(record: VoidRecord): AttemptOutcome {
    const found = this.openAttempt(record);
    if ('outcome' in found) {
      return found.outcome;
    }
    this.close(found.entry, REQUEST_STATE.void, 0, record.at);
    return {budget: found.entry.budget, charge: 0, kind: 'done'};
  }

  /** Closes an open request; one that another region bills costs nothing. */
  private close(
    entry: RequestEntry,
    state: RequestState,
    cost: number,
    at: number,
  ): void {
    const billedHere = entry.claimedBy === undefined;
    const charge = billedHere ? Math.max(0, Math.min(cost, entry.reserve)) : 0;
    const budget = this.budgets.get(entry.budget);
    invariant(budget !== undefined, 'an open request without a budget');
    settle(budget, entry.reserve, charge);
    if (this.breakage.forgetTombstone === true && entry.marked) {
      entry.generatedKey = true;
    }
    this.requests.close(entry, state, charge, at);
    const mustReport = !budget.home && !entry.marked && !entry.generatedKey;
    if (mustReport && charge > 0) {
      this.requests.setUnreported(entry, true);
    }
  }

  // Requests that several regions may have billed

  private claim(record: ClaimRecord): ClaimOutcome {
    const {region, team} = record;
    const known = this.requests.get(team, record.key);
    if (known === undefined || known.state === REQUEST_STATE.void) {
      this.requests.put(claimedEntry(record));
      return {kind: 'claimed'};
    }
    if (known.claimedBy === region || known.digest !== record.digest) {
      return {kind: 'claimed'};
    }
    if (known.claimedBy === undefined && isOpen(known)) {
      known.claimedBy = region;
      return {kind: 'claimed'};
    }
    return {kind: 'duplicate'};
  }

  private noteReported(record: ReportedRecord): LedgerOutcome {
    const entry = this.requests.get(record.team, record.key);
    if (entry?.unreported !== true || entry.attempt !== record.attempt) {
      return {kind: 'noted'};
    }
    this.requests.setUnreported(entry, false);
    const budget = this.budgets.get(entry.budget);
    if (record.duplicate && budget !== undefined) {
      budget.settled -= entry.charge;
      entry.charge = 0;
    }
    return {kind: 'noted'};
  }

  /**
   * Releases what a process has given up. A fenced process may still say so,
   * if it goes on under another incarnation; what it gave up has not run.
   */
  private raiseFloor(record: FloorRecord): LedgerOutcome {
    const {at, incarnation, serial} = record;
    const box = this.boxes.current(record.box, incarnation);
    if (box !== undefined) {
      box.floor = Math.max(box.floor, serial);
    }
    for (const entry of this.requests.openOf(record.box, incarnation)) {
      if (entry.serial < serial) {
        this.close(entry, REQUEST_STATE.void, 0, at);
      }
    }
    return {kind: 'noted'};
  }

  private sweep(at: number): LedgerOutcome {
    this.requests.expire(at);
    for (const {box, incarnation} of this.boxes.goneBefore(at - ORPHAN_MS)) {
      for (const entry of this.requests.openOf(box, incarnation)) {
        this.closeOrphan(entry, at);
      }
    }
    this.boxes.forgetBefore(at - FENCED_KEEP_MS);
    return {kind: 'noted'};
  }

  /**
   * A never-repeated request that was not dispatched has certainly not run.
   * Any other orphan may have run, so its whole reserve is charged.
   */
  private closeOrphan(entry: RequestEntry, at: number): void {
    const unsent = entry.marked && entry.state === REQUEST_STATE.admitted;
    if (unsent) {
      this.close(entry, REQUEST_STATE.void, 0, at);
    } else {
      this.close(entry, REQUEST_STATE.unknown, entry.reserve, at);
    }
  }

  // Declarations

  private declare(record: DeclareRecord, index: number): DeclareOutcome {
    const {declaration, digest, operator} = record;
    const objection =
      this.declarations.objection(declaration, digest) ??
      this.rejection(declaration);
    if (objection !== undefined) {
      return objection;
    }
    const global = declaration.scope === 'global';
    const sequence = global ? this.declarations.globalSequence + 1 : 0;
    this.putInForce(declaration, digest, operator, index, sequence);
    return {index, kind: 'accepted', sequence};
  }

  private import(record: ImportRecord, index: number): DeclareOutcome {
    const {declaration, digest, operator, sequence} = record;
    if (sequence > this.declarations.globalSequence) {
      this.putInForce(declaration, digest, operator, index, sequence);
    }
    return {index, kind: 'accepted', sequence};
  }

  private rejection(declaration: Declaration): DeclareOutcome | undefined {
    const {scope} = declaration;
    if (scope === 'global' ? !this.primary : scope !== this.region) {
      return rejected(`scope ${scope} is not decided in ${this.region}`);
    }
    const budget = this.budgets.get(declaration.name);
    if (declaration.kind !== 'budget' || budget === undefined) {
      return undefined;
    }
    const {spec} = declaration;
    if (spec !== null && spec.home !== budget.homeRegion) {
      return rejected(`the home of a budget stays ${budget.homeRegion}`);
    }
    if (spec !== null && budget.home && spec.limit < committed(budget)) {
      const amount = committed(budget);
      return rejected(`${amount} units are spent, reserved or granted already`);
    }
    return undefined;
  }

  private putInForce(
    declaration: Declaration,
    digest: string,
    operator: string,
    index: number,
    sequence: number,
  ): void {
    this.declarations.put(declaration, digest, operator, index, sequence);
    if (declaration.kind === 'budget' && declaration.spec !== null) {
      this.openBudget(declaration.name, declaration.spec);
    }
  }

  private openBudget(name: string, spec: {home: string; limit: number}): void {
    const budget =
      this.budgets.get(name) ??
      emptyBudget(name, spec.home, spec.home === this.region);
    // The home region may have committed more since the change was checked.
    budget.limit = budget.home
      ? Math.max(spec.limit, committed(budget))
      : spec.limit;
    this.budgets.set(name, budget);
  }

  // Orders

  /** One order at a time for each engine; the log index is its fence. */
  private order(record: OrderRecord, index: number): OrderOutcome {
    const {action, at, model, upstream} = record;
    const open = this.orders.get(upstream);
    if (open !== undefined) {
      return {kind: 'busy', open};
    }
    this.orders.set(upstream, {action, at, fence: index, model, upstream});
    return {fence: index, kind: 'ordered'};
  }

  // Transfers between regions

  private transfer(
    record: Extract<
      LedgerRecord,
      {kind: 'accept-return' | 'grant' | 'receive' | 'return'}
    >,
  ): TransferOutcome {
    const budget = this.budgets.get(record.budget);
    if (budget === undefined) {
      return {amount: 0, kind: 'out-of-order'};
    }
    const {amount, number} = record;
    switch (record.kind) {
      case 'grant':
        return transferred(grant(budget, record.region, number, amount));
      case 'return':
        return transferred(giveBack(budget, number, amount));
      case 'receive':
        if (this.breakage.receiveTwice === true) {
          budget.receipts = number - 1;
        }
        return transferred(
          receive(budget, number, amount) ? amount : undefined,
        );
      case 'accept-return':
        return transferred(
          acceptReturn(budget, record.region, number, amount)
            ? amount
            : undefined,
        );
    }
  }
}

function entryOf(
  record: AdmitRecord,
  attempt: number,
  claimedBy: string | undefined,
): RequestEntry {
  return {
    attempt,
    box: record.box,
    budget: record.budget,
    charge: 0,
    claimedBy,
    digest: record.digest,
    expiresAt: 0,
    generatedKey: record.generatedKey,
    incarnation: record.incarnation,
    keepMs: record.keepMs,
    key: record.key,
    marked: record.marked,
    reserve: record.reserve,
    serial: record.serial,
    state: REQUEST_STATE.admitted,
    team: record.team,
  };
}

function claimedEntry(record: ClaimRecord): RequestEntry {
  const {at, attempt, box, budget, digest, incarnation} = record;
  const {keepMs, key, region, team} = record;
  return {
    attempt,
    box,
    budget,
    charge: 0,
    claimedBy: region,
    digest,
    expiresAt: at + keepMs,
    generatedKey: false,
    incarnation,
    keepMs,
    key,
    marked: false,
    reserve: 0,
    serial: 0,
    state: REQUEST_STATE.settled,
    team,
  };
}

function rejected(reason: string): DeclareOutcome {
  return {kind: 'rejected', reason};
}

function transferred(amount: number | undefined): TransferOutcome {
  return amount === undefined
    ? {amount: 0, kind: 'out-of-order'}
    : {amount, kind: 'transferred'};
}
