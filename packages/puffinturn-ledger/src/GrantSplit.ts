/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Splits a budget between its home region and another region. */
import {DEFAULT_GRANT_SHARE, GRANT_HORIZON_MS} from './LedgerConstants';

/** Units and spending rate of one region. */
export interface RegionSupply {
  /** Units available in the region. */
  readonly available: number;
  /** Spending rate, units per ms. */
  readonly rate: number;
}

/**
 * Returns the units that the other region should hold so that both regions use
 * up their units at the same time. A budget that lasts longer than the horizon is
 * split mainly by fixed shares: current rates do not predict that far ahead.
 */
export function computeGrantTarget(
  home: RegionSupply,
  other: RegionSupply,
): number {
  const total = home.available + other.available;
  const baseRate = total / GRANT_HORIZON_MS;
  const homeWeight = home.rate + baseRate * (1 - DEFAULT_GRANT_SHARE);
  const otherWeight = other.rate + baseRate * DEFAULT_GRANT_SHARE;
  const weight = homeWeight + otherWeight;
  return weight === 0 ? 0 : Math.floor((total * otherWeight) / weight);
}
