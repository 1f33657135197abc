/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Limits and periods of the ledger. */

/** Time to wait for a retry on another box before closing an orphaned request, ms. */
export const ORPHAN_TIMEOUT_MS = 60_000;

/** Largest stored response of an at-most-once request, bytes. */
export const MAX_STORED_RESPONSE_BYTES = 64 * 1024;

/** Interval between sweeps of expired and orphaned requests, ms. */
export const SWEEP_INTERVAL_MS = 5_000;

/** Width of a bucket in the index of expiry times, ms. */
export const EXPIRY_BUCKET_MS = 10_000;

/** Timeout of one call to a control box, ms. */
export const CONTROL_CALL_TIMEOUT_MS = 2_000;

/** Delay before another control box is tried, ms. */
export const CONTROL_RETRY_DELAY_MS = 50;

/** Interval between exchanges of grants and changes between region leaders, ms. */
export const EXCHANGE_INTERVAL_MS = 200;

/** Budgets that last longer at current rates are split mainly by fixed shares, ms. */
export const GRANT_HORIZON_MS = 2 * 3_600_000;

/** Fraction of a budget granted to another region when there is no demand. */
export const DEFAULT_GRANT_SHARE = 0.25;

/** Half-life of the decaying average of spending, ms. */
export const DEMAND_HALF_LIFE_MS = 30_000;

/** Time to wait for the other regions to confirm an operator's change, ms. */
export const CONFIRM_TIMEOUT_MS = 5_000;

/** Retention time of fenced incarnations, ms. */
export const FENCED_RETENTION_MS = 24 * 3_600_000;

/** Age above which data from an exchange with another region is ignored, ms. */
export const EXCHANGE_MAX_AGE_MS = 2_000;

/** Interval between checks of the admission queue, ms. */
export const QUEUE_POLL_INTERVAL_MS = 100;

/** Smallest refill, as a fraction of the region's target. */
export const MIN_REFILL_SHARE = 0.2;

/** Maximum number of budgets in one exchange between two regions. */
export const MAX_BUDGETS_PER_EXCHANGE = 1_000;

/** Time added to an admission's wait to get the timeout of its call, ms. */
export const ADMIT_CALL_MARGIN_MS = 500;

/** Maximum time that an admission waits within one call, ms. */
export const MAX_WAIT_PER_CALL_MS = 1_500;

/** Maximum number of billed requests in one exchange between two regions. */
export const MAX_BILLED_REQUESTS_PER_EXCHANGE = 500;
