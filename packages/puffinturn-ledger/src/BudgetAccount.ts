/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * One budget as one region sees it. The home region holds the whole limit and
 * grants parts of it; another region holds what it has received. Always:
 * settled + reserved + granted ≤ limit + received.
 */
import {invariant} from 'shared';

/** Parts of a budget at another region, as the home region counts them. */
export interface GrantTally {
  /** Grants so far; the next one has the next number. */
  grants: number;
  /** Amount of the last grant, for a repeated request. */
  lastGrant: number;
  granted: number;
  returns: number;
  returned: number;
}

/** Everything about a budget that is stored. */
export interface BudgetState {
  name: string;
  /** Whether this region is the home. */
  home: boolean;
  homeRegion: string;
  limit: number;
  settled: number;
  reserved: number;
  regions: Record<string, GrantTally>;
  received: number;
  receipts: number;
  returned: number;
  returns: number;
  lastReturn: number;
}

/** A budget with nothing spent. */
export function emptyBudget(
  name: string,
  homeRegion: string,
  home: boolean,
): BudgetState {
  return {
    home,
    homeRegion,
    lastReturn: 0,
    limit: 0,
    name,
    receipts: 0,
    received: 0,
    regions: {},
    reserved: 0,
    returned: 0,
    returns: 0,
    settled: 0,
  };
}

/** Units granted to other regions and not returned. */
export function grantedOut(budget: BudgetState): number {
  return Object.values(budget.regions).reduce(
    (sum, {granted, returned}) => sum + granted - returned,
    0,
  );
}

/** Units that this region may spend in all. */
export function allotted(budget: BudgetState): number {
  return budget.home
    ? budget.limit - grantedOut(budget)
    : budget.received - budget.returned;
}

/** Units that are neither spent nor reserved here. */
export function available(budget: BudgetState): number {
  return allotted(budget) - budget.settled - budget.reserved;
}

/** Units that can never be taken back: spent, reserved or granted. */
export function committed(budget: BudgetState): number {
  return budget.settled + budget.reserved + grantedOut(budget);
}

/** Takes `amount` for a request, if there is as much. */
export function reserve(budget: BudgetState, amount: number): boolean {
  if (amount > available(budget)) {
    return false;
  }
  budget.reserved += amount;
  return true;
}

/** Gives a reservation back. */
export function release(budget: BudgetState, amount: number): void {
  budget.reserved -= amount;
  checkBudget(budget);
}

/** Turns a reservation into a charge that is no larger. */
export function settle(
  budget: BudgetState,
  reserved: number,
  charge: number,
): void {
  invariant(charge >= 0 && charge <= reserved, 'a charge above the reserve');
  budget.reserved -= reserved;
  budget.settled += charge;
  checkBudget(budget);
}

function tallyOf(budget: BudgetState, region: string): GrantTally {
  return (budget.regions[region] ??= {
    granted: 0,
    grants: 0,
    lastGrant: 0,
    returned: 0,
    returns: 0,
  });
}

/** Grants up to `amount`; undefined when `number` is not the next one. */
export function grant(
  budget: BudgetState,
  region: string,
  number: number,
  amount: number,
): number | undefined {
  const tally = tallyOf(budget, region);
  if (number === tally.grants) {
    return tally.lastGrant;
  }
  if (!budget.home || number !== tally.grants + 1) {
    return undefined;
  }
  const granted = Math.max(0, Math.min(amount, available(budget)));
  tally.grants = number;
  tally.lastGrant = granted;
  tally.granted += granted;
  checkBudget(budget);
  return granted;
}

/** Adds a grant on the receiving side, once. */
export function receive(
  budget: BudgetState,
  number: number,
  amount: number,
): boolean {
  if (budget.home || number !== budget.receipts + 1) {
    return false;
  }
  budget.receipts = number;
  budget.received += amount;
  return true;
}

/** Sends up to `amount` back; undefined when `number` is not the next one. */
export function giveBack(
  budget: BudgetState,
  number: number,
  amount: number,
): number | undefined {
  if (number === budget.returns) {
    return budget.lastReturn;
  }
  if (budget.home || number !== budget.returns + 1) {
    return undefined;
  }
  const sent = Math.max(0, Math.min(amount, available(budget)));
  budget.returns = number;
  budget.lastReturn = sent;
  budget.returned += sent;
  checkBudget(budget);
  return sent;
}

/** Adds a returned part at home, once. */
export function acceptReturn(
  budget: BudgetState,
  region: string,
  number: number,
  amount: number,
): boolean {
  const tally = tallyOf(budget, region);
  if (!budget.home || number !== tally.returns + 1) {
    return false;
  }
  tally.returns = number;
  tally.returned += amount;
  checkBudget(budget);
  return true;
}

function checkBudget(budget: BudgetState): void {
  invariant(budget.reserved >= 0, `budget ${budget.name}: negative reserve`);
  invariant(available(budget) >= 0, `budget ${budget.name}: overspent`);
}
