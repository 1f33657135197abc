/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * What the records of requests change: their entries, and the budgets that pay for
 * them. Applying is deterministic; times come in the records.
 */
import {invariant} from 'shared';

import type {BoxTable} from './BoxTable';
import type {BudgetState} from './BudgetAccount';
import {available, release, reserve, settle} from './BudgetAccount';
import type {DeclarationTable} from './DeclarationTable';
import type {LedgerBreakage} from './LedgerBreakage';
import {FENCED_KEEP_MS, ORPHAN_MS} from './LedgerConstants';
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

/** The state that requests rest on; the ledger owns it. */
export interface RequestLedgerParts {
  readonly boxes: BoxTable;
  readonly breakage: LedgerBreakage;
  readonly budgets: ReadonlyMap<string, BudgetState>;
  readonly declarations: DeclarationTable;
  readonly requests: RequestTable;
}

/** See the module comment. */
export class RequestLedger {
  constructor(private readonly parts: RequestLedgerParts) {}

  /** Reserves the most that a request can cost, and claims its key. */
  admit(record: AdmitRecord): AdmitOutcome {
    const {configIndex} = this.parts.declarations;
    if (
      record.configIndex < configIndex &&
      this.parts.breakage.ignoreConfigIndex !== true
    ) {
      return {configIndex, kind: 'stale-config'};
    }
    const box = this.parts.boxes.current(record.box, record.incarnation);
    if (box === undefined || record.serial < box.floor) {
      return {kind: 'fenced'};
    }
    const known = this.parts.requests.get(record.team, record.key);
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
    const ownerGone = this.parts.boxes.isGone(known.box, known.incarnation);
    const unsent =
      known.state === REQUEST_STATE.admitted ||
      (this.parts.breakage.repeatMarked === true && isOpen(known));
    return ownerGone && unsent
      ? undefined
      : {kind: 'present', request: this.view(known)};
  }

  private admitNew(
    record: AdmitRecord,
    known: RequestEntry | undefined,
  ): AdmitOutcome {
    const budget = this.parts.budgets.get(record.budget);
    const declared = this.parts.declarations.get('budget', record.budget);
    if (budget === undefined || !declared?.declaration.spec) {
      return {kind: 'no-budget'};
    }
    const held = known !== undefined && isOpen(known) ? known : undefined;
    const heldIn = held && this.parts.budgets.get(held.budget);
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
    this.parts.requests.put(entryOf(record, attempt, known?.claimedBy));
    return this.admitted(attempt, record.budget);
  }

  private admitted(attempt: number, name: string): AdmitOutcome {
    const budget = this.parts.budgets.get(name);
    const free = budget === undefined ? 0 : available(budget);
    return {attempt, available: free, kind: 'admitted'};
  }

  private view(entry: RequestEntry): RequestView {
    const {answer, attempt, box, charge, incarnation, marked, state} = entry;
    const ownerGone = this.parts.boxes.isGone(box, incarnation);
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

  /** Notes that a request is about to be sent. */
  dispatch(record: DispatchRecord): AttemptOutcome {
    const found = this.openAttempt(record);
    if ('outcome' in found) {
      return found.outcome;
    }
    found.entry.state = REQUEST_STATE.dispatched;
    return {budget: found.entry.budget, charge: 0, kind: 'done'};
  }

  /** Bills a request and releases the rest of its reserve. */
  settle(record: SettleRecord): AttemptOutcome {
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
    const entry = this.parts.requests.get(record.team, record.key);
    const budget = entry && this.parts.budgets.get(entry.budget);
    if (this.parts.breakage.settleTwice === true && budget !== undefined) {
      budget.settled += Math.min(record.charge, available(budget));
    }
  }

  /** Closes a request that has not run. */
  cancel(record: VoidRecord): AttemptOutcome {
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
    const budget = this.parts.budgets.get(entry.budget);
    invariant(budget !== undefined, 'an open request without a budget');
    settle(budget, entry.reserve, charge);
    if (this.parts.breakage.forgetTombstone === true && entry.marked) {
      entry.generatedKey = true;
    }
    this.parts.requests.close(entry, state, charge, at);
    const mustReport = !budget.home && !entry.marked && !entry.generatedKey;
    if (mustReport && charge > 0) {
      this.parts.requests.setUnreported(entry, true);
    }
  }

  /** Notes that another region has billed a key, unless this one has. */
  claim(record: ClaimRecord): ClaimOutcome {
    const {region, team} = record;
    const known = this.parts.requests.get(team, record.key);
    if (known === undefined || known.state === REQUEST_STATE.void) {
      this.parts.requests.put(claimedEntry(record));
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

  /** Takes in what the home region said of a charge. */
  noteReported(record: ReportedRecord): LedgerOutcome {
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
   * Releases what a process has given up. A fenced process may still say so,
   * if it goes on under another incarnation; what it gave up has not run.
   */
  raiseFloor(record: FloorRecord): LedgerOutcome {
    const {at, incarnation, serial} = record;
    const box = this.parts.boxes.current(record.box, incarnation);
    if (box !== undefined) {
      box.floor = Math.max(box.floor, serial);
    }
    for (const entry of this.parts.requests.openOf(record.box, incarnation)) {
      if (entry.serial < serial) {
        this.close(entry, REQUEST_STATE.void, 0, at);
      }
    }
    return {kind: 'noted'};
  }

  /** Closes what nobody will, and forgets what is long over. */
  sweep(at: number): LedgerOutcome {
    this.parts.requests.expire(at);
    for (const {box, incarnation} of this.parts.boxes.goneBefore(
      at - ORPHAN_MS,
    )) {
      for (const entry of this.parts.requests.openOf(box, incarnation)) {
        this.closeOrphan(entry, at);
      }
    }
    this.parts.boxes.forgetBefore(at - FENCED_KEEP_MS);
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
