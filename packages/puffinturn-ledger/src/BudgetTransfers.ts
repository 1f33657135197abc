/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Transfers of budgets between regions. */
import type {BudgetState} from './BudgetAccount';
import {acceptReturn, giveBack, grant, receive} from './BudgetAccount';
import type {LedgerBreakage} from './LedgerBreakage';
import type {TransferOutcome} from './LedgerOutcomes';
import type {LedgerRecord} from './LedgerRecords';

/** A step of a transfer. */
export type TransferRecord = Extract<
  LedgerRecord,
  {kind: 'accept-return' | 'grant' | 'receive' | 'return'}
>;

/** Moves units of a budget between two regions, each step once and in order. */
export function transfer(
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
      return transferred(grant(budget, record.region, number, amount));
    case 'return':
      return transferred(giveBack(budget, number, amount));
    case 'receive':
      if (receiveTwice === true) {
        budget.receipts = number - 1;
      }
      return transferred(receive(budget, number, amount) ? amount : undefined);
    case 'accept-return':
      return transferred(
        acceptReturn(budget, record.region, number, amount)
          ? amount
          : undefined,
      );
  }
}

function transferred(amount: number | undefined): TransferOutcome {
  return amount === undefined
    ? {amount: 0, kind: 'out-of-order'}
    : {amount, kind: 'transferred'};
}
