/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Account of one budget in one region. The home region holds the limit and grants
 * units to other regions; another region holds the units that it has received.
 * Invariant: settled + reserved + granted ≤ limit + received, where granted and
 * received exclude returned units.
 */
import {invariant} from 'shared';

/** The home region's totals of its transfers with another region. */
export interface GrantTally {
  /** Number of the last grant. */
  grants: number;
  /** Units of the last grant, for a repeated request of it. */
  lastGrant: number;
  /** Units of all grants. */
  granted: number;
  /** Number of the last return. */
  returns: number;
  /** Units of all returns. */
  returned: number;
}

/** Stored state of a budget. */
export interface BudgetState {
  name: string;
  /** Whether this region is the home region. */
  home: boolean;
  homeRegion: string;
  limit: number;
  settled: number;
  reserved: number;
  regions: Record<string, GrantTally>;
  /** Units of all grants received from the home region. */
  received: number;
  /** Number of the last grant received. */
  receipts: number;
  /** Units of all returns to the home region. */
  returned: number;
  /** Number of the last return. */
  returns: number;
  /** Units of the last return, sent again when it is repeated. */
  lastReturn: number;
}

/** Creates a budget with a limit of 0 and nothing spent. */
export function emptyBudget(
  name: string,
  homeRegion: string,
  isHome: boolean,
): BudgetState {
  return {
    home: isHome,
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

/** Returns the units granted to other regions and not returned. */
export function outstandingGrants(budget: BudgetState): number {
  return Object.values(budget.regions).reduce(
    (sum, {granted, returned}) => sum + granted - returned,
    0,
  );
}

/** Returns the units that this region may spend, including those already spent. */
export function allocatedUnits(budget: BudgetState): number {
  return budget.home
    ? budget.limit - outstandingGrants(budget)
    : budget.received - budget.returned;
}

/** Returns the units that are neither spent nor reserved in this region. */
export function availableUnits(budget: BudgetState): number {
  return allocatedUnits(budget) - budget.settled - budget.reserved;
}

/** Returns the units that are spent, reserved or granted to other regions. */
export function committedUnits(budget: BudgetState): number {
  return budget.settled + budget.reserved + outstandingGrants(budget);
}

/** Reserves units for a request; returns false if too few are available. */
export function tryReserve(budget: BudgetState, amount: number): boolean {
  if (amount > availableUnits(budget)) {
    return false;
  }
  budget.reserved += amount;
  return true;
}

/** Releases a reservation. */
export function releaseReservation(budget: BudgetState, amount: number): void {
  budget.reserved -= amount;
  assertBudgetInvariants(budget);
}

/** Replaces a reservation by a charge between 0 and the reservation. */
export function settleReservation(
  budget: BudgetState,
  reserved: number,
  charge: number,
): void {
  invariant(
    charge >= 0 && charge <= reserved,
    `budget ${budget.name}: charge ${charge} is not between 0 and the reservation of ${reserved}`,
  );
  budget.reserved -= reserved;
  budget.settled += charge;
  assertBudgetInvariants(budget);
}

function getOrCreateTally(budget: BudgetState, region: string): GrantTally {
  return (budget.regions[region] ??= {
    granted: 0,
    grants: 0,
    lastGrant: 0,
    returned: 0,
    returns: 0,
  });
}

/**
 * Grants up to `amount` units and returns the units granted. A repeated number
 * returns the last amount; any other unexpected number returns undefined.
 */
export function issueGrant(
  budget: BudgetState,
  region: string,
  number: number,
  amount: number,
): number | undefined {
  const tally = getOrCreateTally(budget, region);
  if (number === tally.grants) {
    return tally.lastGrant;
  }
  if (!budget.home || number !== tally.grants + 1) {
    return undefined;
  }
  const granted = Math.max(0, Math.min(amount, availableUnits(budget)));
  tally.grants = number;
  tally.lastGrant = granted;
  tally.granted += granted;
  assertBudgetInvariants(budget);
  return granted;
}

/** Adds a grant in the receiving region; false unless `number` is the next one. */
export function receiveGrant(
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

/**
 * Sends up to `amount` units back to the home region and returns the units sent. A
 * repeated number returns the last amount; any other unexpected number undefined.
 */
export function returnUnits(
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
  const sent = Math.max(0, Math.min(amount, availableUnits(budget)));
  budget.returns = number;
  budget.lastReturn = sent;
  budget.returned += sent;
  assertBudgetInvariants(budget);
  return sent;
}

/** Adds returned units in the home region; false unless `number` is the next one. */
export function acceptReturn(
  budget: BudgetState,
  region: string,
  number: number,
  amount: number,
): boolean {
  const tally = getOrCreateTally(budget, region);
  if (!budget.home || number !== tally.returns + 1) {
    return false;
  }
  tally.returns = number;
  tally.returned += amount;
  assertBudgetInvariants(budget);
  return true;
}

function assertBudgetInvariants(budget: BudgetState): void {
  invariant(
    budget.reserved >= 0,
    `budget ${budget.name} has a negative reservation`,
  );
  invariant(availableUnits(budget) >= 0, `budget ${budget.name} is overspent`);
}
