/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Applies request records to the requests and to the budgets that pay for them.
 * Records carry their times, so that all replicas reach the same state.
 */
import {invariant} from 'shared';

import type {BoxTable} from './BoxTable';
import type {BudgetState} from './BudgetAccount';
import {
  availableUnits,
  releaseReservation,
  settleReservation,
  tryReserve,
} from './BudgetAccount';
import type {DeclarationTable} from './DeclarationTable';
import type {LedgerBreakage} from './LedgerBreakage';
import {FENCED_RETENTION_MS, ORPHAN_TIMEOUT_MS} from './LedgerConstants';
import type {
  AdmitOutcome,
  AttemptOutcome,
  ClaimOutcome,
  LedgerOutcome,
  RequestView,
} from './LedgerOutcomes';
import type {
  AdmitRecord,
  AttemptId,
  ClaimRecord,
  DispatchRecord,
  FloorRecord,
  ReportedRecord,
  RequestState,
  SettleRecord,
  VoidRecord,
} from './LedgerRecords';
import {REQUEST_STATE} from './LedgerRecords';
import type {RequestEntry, RequestTable} from './RequestTable';
import {isOpen} from './RequestTable';

/** State that request records read or change; owned by the ledger. */
export interface RequestLedgerParts {
  readonly boxes: BoxTable;
  readonly injectedFaults: LedgerBreakage;
  readonly budgets: ReadonlyMap<string, BudgetState>;
  readonly declarations: DeclarationTable;
  readonly requests: RequestTable;
}

/** Applies request records. */
export class RequestLedger {
  constructor(private readonly parts: RequestLedgerParts) {}

  /** Reserves the worst-case cost of a request and assigns its key to the owner. */
  admit(record: AdmitRecord): AdmitOutcome {
    const {configIndex} = this.parts.declarations;
    if (
      record.configIndex < configIndex &&
      this.parts.injectedFaults.ignoreConfigIndex !== true
    ) {
      return {configIndex, kind: 'stale-config'};
    }
    const box = this.parts.boxes.findIncarnation(
      record.box,
      record.incarnation,
    );
    if (box === undefined || record.serial < box.floor) {
      return {kind: 'fenced'};
    }
    const existing = this.parts.requests.get(record.team, record.key);
    const outcome = existing && this.outcomeForKnownKey(existing, record);
    return outcome ?? this.admitNew(record, existing);
  }

  /** Returns the outcome for an existing key; undefined if a new attempt may start. */
  private outcomeForKnownKey(
    existing: RequestEntry,
    record: AdmitRecord,
  ): AdmitOutcome | undefined {
    if (existing.digest !== record.digest) {
      return {kind: 'key-conflict'};
    }
    const isSameOwner =
      existing.box === record.box &&
      existing.incarnation === record.incarnation;
    if (isSameOwner && existing.serial === record.serial && isOpen(existing)) {
      return this.admittedOutcome(existing.attempt, existing.budget);
    }
    if (existing.state === REQUEST_STATE.void) {
      return undefined;
    }
    const ownerGone = this.parts.boxes.isFenced(
      existing.box,
      existing.incarnation,
    );
    const isUnsent =
      existing.state === REQUEST_STATE.admitted ||
      (this.parts.injectedFaults.repeatMarked === true && isOpen(existing));
    return ownerGone && isUnsent
      ? undefined
      : {kind: 'present', request: this.toView(existing)};
  }

  private admitNew(
    record: AdmitRecord,
    existing: RequestEntry | undefined,
  ): AdmitOutcome {
    const budget = this.parts.budgets.get(record.budget);
    const declared = this.parts.declarations.get('budget', record.budget);
    if (budget === undefined || !declared?.declaration.spec) {
      return {kind: 'no-budget'};
    }
    const openRequest =
      existing !== undefined && isOpen(existing) ? existing : undefined;
    const previousBudget =
      openRequest && this.parts.budgets.get(openRequest.budget);
    if (openRequest !== undefined && previousBudget !== undefined) {
      releaseReservation(previousBudget, openRequest.reserve);
    }
    if (!tryReserve(budget, record.reserve)) {
      if (openRequest !== undefined && previousBudget !== undefined) {
        previousBudget.reserved += openRequest.reserve;
      }
      return {
        available: availableUnits(budget),
        kind: 'insufficient',
        mayWait: false,
        reserved: budget.reserved,
      };
    }
    const attempt = (existing?.attempt ?? 0) + 1;
    this.parts.requests.put(createEntry(record, attempt, existing?.claimedBy));
    return this.admittedOutcome(attempt, record.budget);
  }

  private admittedOutcome(attempt: number, name: string): AdmitOutcome {
    const budget = this.parts.budgets.get(name);
    const available = budget === undefined ? 0 : availableUnits(budget);
    return {attempt, available, kind: 'admitted'};
  }

  private toView(entry: RequestEntry): RequestView {
    const {answer, attempt, box, charge, incarnation, marked, state} = entry;
    const ownerGone = this.parts.boxes.isFenced(box, incarnation);
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

  /** Returns the request if the attempt is open, else the outcome of the record. */
  private findOpenAttempt(
    id: AttemptId,
  ): {entry: RequestEntry} | {outcome: AttemptOutcome} {
    const entry = this.parts.requests.get(id.team, id.key);
    if (entry === undefined || entry.attempt !== id.attempt) {
      return {outcome: {kind: 'superseded'}};
    }
    if (!isOpen(entry)) {
      const {charge, state} = entry;
      return {outcome: {charge, kind: 'closed', state}};
    }
    return {entry};
  }

  /** Marks a request as dispatched, before it is sent. */
  dispatch(record: DispatchRecord): AttemptOutcome {
    const found = this.findOpenAttempt(record);
    if ('outcome' in found) {
      return found.outcome;
    }
    found.entry.state = REQUEST_STATE.dispatched;
    return {budget: found.entry.budget, charge: 0, kind: 'done'};
  }

  /** Bills a request and releases the rest of its reservation. */
  settle(record: SettleRecord): AttemptOutcome {
    const found = this.findOpenAttempt(record);
    if ('outcome' in found) {
      this.chargeAgainIfFaultInjected(record);
      return found.outcome;
    }
    const {entry} = found;
    entry.answer = entry.marked ? record.answer : undefined;
    this.closeRequest(entry, record.outcome, record.charge, record.at);
    const {charge} = entry;
    return {budget: entry.budget, charge, kind: 'done'};
  }

  private chargeAgainIfFaultInjected(record: SettleRecord): void {
    const entry = this.parts.requests.get(record.team, record.key);
    const budget = entry && this.parts.budgets.get(entry.budget);
    if (
      this.parts.injectedFaults.settleTwice === true &&
      budget !== undefined
    ) {
      budget.settled += Math.min(record.charge, availableUnits(budget));
    }
  }

  /** Closes a request that did not run, without a charge. */
  voidRequest(record: VoidRecord): AttemptOutcome {
    const found = this.findOpenAttempt(record);
    if ('outcome' in found) {
      return found.outcome;
    }
    this.closeRequest(found.entry, REQUEST_STATE.void, 0, record.at);
    return {budget: found.entry.budget, charge: 0, kind: 'done'};
  }

  /** Closes an open request; charges nothing if another region bills it. */
  private closeRequest(
    entry: RequestEntry,
    state: RequestState,
    cost: number,
    at: number,
  ): void {
    const isBilledHere = entry.claimedBy === undefined;
    const charge = isBilledHere
      ? Math.max(0, Math.min(cost, entry.reserve))
      : 0;
    const budget = this.parts.budgets.get(entry.budget);
    invariant(
      budget !== undefined,
      `open request has an unknown budget ${entry.budget}`,
    );
    settleReservation(budget, entry.reserve, charge);
    if (this.parts.injectedFaults.forgetTombstone === true && entry.marked) {
      entry.generatedKey = true;
    }
    this.parts.requests.close(entry, state, charge, at);
    const mustReport = !budget.home && !entry.marked && !entry.generatedKey;
    if (mustReport && charge > 0) {
      this.parts.requests.setUnreported(entry, true);
    }
  }

  /** Lets another region bill a key, unless this or a third region bills it. */
  claim(record: ClaimRecord): ClaimOutcome {
    const {region, team} = record;
    const existing = this.parts.requests.get(team, record.key);
    if (existing === undefined || existing.state === REQUEST_STATE.void) {
      this.parts.requests.put(createClaimedEntry(record));
      return {kind: 'claimed'};
    }
    if (existing.claimedBy === region || existing.digest !== record.digest) {
      return {kind: 'claimed'};
    }
    if (existing.claimedBy === undefined && isOpen(existing)) {
      existing.claimedBy = region;
      return {kind: 'claimed'};
    }
    return {kind: 'duplicate'};
  }

  /** Marks a charge as reported; refunds it if the home region found a duplicate. */
  applyReported(record: ReportedRecord): LedgerOutcome {
    const entry = this.parts.requests.get(record.team, record.key);
    if (entry?.unreported !== true || entry.attempt !== record.attempt) {
      return {kind: 'noted'};
    }
    this.parts.requests.setUnreported(entry, false);
    const budget = this.parts.budgets.get(entry.budget);
    if (record.duplicate && budget !== undefined) {
      budget.settled -= entry.charge;
      entry.charge = 0;
    }
    return {kind: 'noted'};
  }

  /**
   * Voids the open requests below the floor, which have not run. Also accepted
   * from a fenced incarnation, whose process may continue under a new one.
   */
  raiseFloor(record: FloorRecord): LedgerOutcome {
    const {at, incarnation, serial} = record;
    const box = this.parts.boxes.findIncarnation(record.box, incarnation);
    if (box !== undefined) {
      box.floor = Math.max(box.floor, serial);
    }
    for (const entry of this.parts.requests.openRequestsOf(
      record.box,
      incarnation,
    )) {
      if (entry.serial < serial) {
        this.closeRequest(entry, REQUEST_STATE.void, 0, at);
      }
    }
    return {kind: 'noted'};
  }

  /** Closes orphaned requests and deletes expired requests and fenced incarnations. */
  sweep(at: number): LedgerOutcome {
    this.parts.requests.deleteExpired(at);
    for (const {box, incarnation} of this.parts.boxes.fencedBefore(
      at - ORPHAN_TIMEOUT_MS,
    )) {
      for (const entry of this.parts.requests.openRequestsOf(
        box,
        incarnation,
      )) {
        this.closeOrphan(entry, at);
      }
    }
    this.parts.boxes.deleteFencedBefore(at - FENCED_RETENTION_MS);
    return {kind: 'noted'};
  }

  /**
   * Closes an orphaned request. An at-most-once request that was not dispatched
   * has not run; any other may have run, so its whole reservation is charged.
   */
  private closeOrphan(entry: RequestEntry, at: number): void {
    const isUnsent = entry.marked && entry.state === REQUEST_STATE.admitted;
    if (isUnsent) {
      this.closeRequest(entry, REQUEST_STATE.void, 0, at);
    } else {
      this.closeRequest(entry, REQUEST_STATE.unknown, entry.reserve, at);
    }
  }
}

function createEntry(
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

function createClaimedEntry(record: ClaimRecord): RequestEntry {
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
