/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Applies transfers of budget units between regions. */
import type {BudgetState} from './BudgetAccount';
import {
  acceptReturn,
  issueGrant,
  receiveGrant,
  returnUnits,
} from './BudgetAccount';
import type {LedgerBreakage} from './LedgerBreakage';
import type {TransferOutcome} from './LedgerOutcomes';
import type {LedgerRecord} from './LedgerRecords';

/** A record of one step of a transfer. */
export type TransferRecord = Extract<
  LedgerRecord,
  {kind: 'accept-return' | 'grant' | 'receive' | 'return'}
>;

/** Applies one step of a transfer; repeated and out-of-order steps have no effect. */
export function applyTransfer(
  budgets: ReadonlyMap<string, BudgetState>,
  record: TransferRecord,
  {receiveTwice}: LedgerBreakage,
): TransferOutcome {
  const budget = budgets.get(record.budget);
  if (budget === undefined) {
    return {amount: 0, kind: 'out-of-order'};
  }
  const {amount, number} = record;
  switch (record.kind) {
    case 'grant':
      return toTransferOutcome(
        issueGrant(budget, record.region, number, amount),
      );
    case 'return':
      return toTransferOutcome(returnUnits(budget, number, amount));
    case 'receive':
      if (receiveTwice === true) {
        budget.receipts = number - 1;
      }
      return toTransferOutcome(
        receiveGrant(budget, number, amount) ? amount : undefined,
      );
    case 'accept-return':
      return toTransferOutcome(
        acceptReturn(budget, record.region, number, amount)
          ? amount
          : undefined,
      );
  }
}

function toTransferOutcome(amount: number | undefined): TransferOutcome {
  return amount === undefined
    ? {amount: 0, kind: 'out-of-order'}
    : {amount, kind: 'transferred'};
}
