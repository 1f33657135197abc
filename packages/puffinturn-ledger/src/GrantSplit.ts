/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** How a budget is split between its home region and another one. */
import {FIRST_GRANT_SHARE, GRANT_HORIZON_MS} from './LedgerConstants';

/** One side of a split. */
export interface SplitSide {
  /** Units that are free there. */
  readonly available: number;
  /** Spending, units a millisecond. */
  readonly rate: number;
}

/**
 * Units that the other region should hold so that both run dry together. A
 * budget that outlasts the horizon at the present rates is split by fixed
 * shares instead, since its rates say little about the far future.
 */
export function targetFor(home: SplitSide, other: SplitSide): number {
  const total = home.available + other.available;
  const idle = total / GRANT_HORIZON_MS;
  const homeWeight = home.rate + idle * (1 - FIRST_GRANT_SHARE);
  const otherWeight = other.rate + idle * FIRST_GRANT_SHARE;
  const weight = homeWeight + otherWeight;
  return weight === 0 ? 0 : Math.floor((total * otherWeight) / weight);
}
