/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Limits and periods of the ledger. */

/** Wait for a retry elsewhere before an orphaned request is closed, ms. */
export const ORPHAN_MS = 60_000;

/** Largest answer of a never-repeated request that the ledger keeps, bytes. */
export const MAX_KEPT_ANSWER_BYTES = 64 * 1024;

/** Requests whose time is up are removed this often, ms. */
export const SWEEP_EVERY_MS = 5_000;

/** Granularity of the index of expiry times, ms. */
export const EXPIRY_BUCKET_MS = 10_000;

/** Limit for one call to a control box, ms. */
export const CONTROL_CALL_MS = 2_000;

/** Pause before another control box is tried, ms. */
export const CONTROL_RETRY_MS = 50;

/** How often the leaders of regions exchange grants and changes, ms. */
export const EXCHANGE_EVERY_MS = 200;

/** Demand that a region may hold ahead, as time at its present rate, ms. */
export const GRANT_HORIZON_MS = 2 * 3_600_000;

/** Share of a budget that a region without demand is given ahead. */
export const FIRST_GRANT_SHARE = 0.25;

/** Half-life of the demand forecast, ms. */
export const DEMAND_HALF_LIFE_MS = 30_000;

/** Time that an operator's change waits for the other regions, ms. */
export const ACCEPT_WAIT_MS = 5_000;

/** How long processes that are gone are remembered, ms. */
export const FENCED_KEEP_MS = 24 * 3_600_000;

/** An exchange older than this says nothing about the other region, ms. */
export const EXCHANGE_FRESH_MS = 2_000;

/** How often waiting admissions are looked at without a cause, ms. */
export const QUEUE_TICK_MS = 100;

/** Smallest share of its target that a region is refilled by. */
export const REFILL_SHARE = 0.2;

/** Budgets in one round between two regions at most. */
export const MAX_NEEDS = 1_000;

/** Wait for the leader's answer beyond an admission's own wait, ms. */
export const ADMIT_GRACE_MS = 500;

/** Longest wait of an admission within one call, ms. */
export const WAIT_SLICE_MS = 1_500;

/** Billed requests in one round between two regions at most. */
export const MAX_REPORTS = 500;
