/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Constants of rollouts. */

/**
 * Fraction of the exposure bound that may be granted during the canary phase. The rest
 * is reserved for the shift, when all requests go to the new version until a failure is
 * detected.
 */
export const CANARY_BUDGET_FRACTION = 0.35;

/** Unused grants that any edge may hold; enough for one report interval. */
export const MIN_UNUSED_GRANT_LIMIT = 4;

/** Unused grants that a busy edge may hold, as a fraction of its requests so far. */
export const UNUSED_GRANT_FRACTION = 0.02;

/**
 * Requests allocated per log record beyond the current grants: enough to save most log
 * writes, and few enough that the block of a lost leader does not matter.
 */
export const GRANT_BLOCK_REQUESTS = 16;

/**
 * Interval at which the leader evaluates rollouts in progress, ms. Short, because a
 * version that fails under load receives all requests during the shift.
 */
export const LEADER_STEP_INTERVAL_MS = 100;

/** Polling interval while no rollout is in progress, ms. */
export const IDLE_POLL_INTERVAL_MS = 1_000;

/** Maximum interval between log records of the elapsed time, ms. */
export const ELAPSED_RECORD_INTERVAL_MS = 2_000;

/** Minimum interval between log lines about exposure, ms. */
export const EXPOSURE_LOG_INTERVAL_MS = 1_000;

/**
 * Delay before the leader determines the stable version of a service, ms. Longer than a
 * heartbeat interval, so that most upstreams have registered.
 */
export const STABLE_VERSION_DELAY_MS = 3_000;

/**
 * Time after an order in which an identical order counts as a retry, ms. Covers the
 * retries of an operator plus network delay.
 */
export const DUPLICATE_ORDER_WINDOW_MS = 10_000;

/** Minimum duration of the canary phase, as a fraction of the rollout duration. */
export const MIN_CANARY_FRACTION = 0.6;

/** Fraction of the rollout duration after which fewer responses and slots suffice. */
export const LATE_CANARY_FRACTION = 0.8;

/**
 * Minimum fraction of the new version's requests with a response, relative to the
 * stable version. Slow responses arrive late and would otherwise be missed.
 */
export const MIN_ANSWERED_RATIO = 0.6;

/**
 * Fraction of the rollout duration after which the canary phase starts without a warm
 * upstream. Cold upstreams give slow responses, but waiting longer would leave no time.
 */
export const MAX_WARMUP_FRACTION = 0.25;

/** Maximum number of routes in the record of a verdict, to limit its size. */
export const MAX_REPORTED_ROUTES = 8;

/** Minimum responses of the new version before the shift. */
export const MIN_ANSWERS = 25;

/** Minimum responses of the new version late in the canary phase, for low traffic. */
export const MIN_ANSWERS_LATE = 8;

/** Minimum responses of the new version per main route before the shift. */
export const MIN_ANSWERS_PER_ROUTE = 8;

/** Minimum fraction of a service's responses for a route to count as a main route. */
export const MAIN_ROUTE_FRACTION = 0.05;

/**
 * Minimum ratio of the new version's slots to those of the stable version before the
 * shift, so that the new version can serve all requests.
 */
export const MIN_SLOTS_RATIO = 0.75;

/**
 * Minimum slot ratio late in the canary phase. Lower, because crashed upstreams of the
 * stable version may still be counted.
 */
export const MIN_SLOTS_RATIO_LATE = 0.5;

/**
 * Time before the deadline at which an outcome is decided, ms. Leaves time to write the
 * record and for the operator to read it.
 */
export const VERDICT_BEFORE_DEADLINE_MS = 500;

/**
 * Time before the deadline at which the shift starts even if the exposure bound does
 * not cover all remaining requests, ms. Leaves about one second to detect a failure
 * under load. Requests in flight at the previous version are cut off at the deadline.
 */
export const FORCED_SHIFT_BEFORE_DEADLINE_MS = 1_500;

/** Latest start of the shift before the deadline, ms; edges must be notified first. */
export const LATEST_SHIFT_BEFORE_DEADLINE_MS = 750;

/**
 * Minimum duration of the shift as a fraction of the rollout duration, because some
 * versions fail only under load.
 */
export const MIN_SHIFT_FRACTION = 0.1;

/**
 * Time for which a new leader collects reports before it completes a rollout at its
 * deadline, ms. Two report intervals, so that a version that has failed is not
 * completed.
 */
export const REPORT_GATHER_MS = 500;

/**
 * Maximum time that a new leader waits for the first report, ms; edges may have
 * restarted too.
 */
export const MAX_REPORT_WAIT_MS = 3_000;

/** Age after which a report is ignored when checking that all edges have shifted, ms. */
export const REPORT_EXPIRY_MS = 1_500;

/**
 * Lower limit of the baseline failure rate, so that a few failures do not cause a
 * rollback when the stable version has none.
 */
export const MIN_BASELINE_FAILURE_RATE = 0.02;

/**
 * Increase over the baseline failure rate that marks a bad version. A smaller one can't
 * be detected within the canary phase.
 */
export const FAILURE_RATE_INCREASE = 0.1;

/**
 * Lower limit of the baseline rate of slow responses; the new version starts with a
 * cold prompt cache.
 */
export const MIN_BASELINE_SLOW_RATE = 0.05;

/** Increase over the baseline rate of slow responses that marks a bad version. */
export const SLOW_RATE_INCREASE = 0.25;

/** Factor on the observed baseline rate, because it is estimated from few responses. */
export const BASELINE_MARGIN = 1.5;

/** Weight of the lower limit in the estimate of the baseline rate, in responses. */
export const PRIOR_ANSWERS = 50;

/** Maximum raised rate that is tested; above it, good and bad versions look alike. */
export const MAX_TESTABLE_RATE = 0.9;

/** Minimum ratio of actual to expected time for a slow response. */
export const MIN_SLOW_RATIO = 2;

/** Number of recent steps from which the baseline rate is estimated. */
export const BASELINE_STEPS = 50;

/**
 * Log-likelihood ratio at which a version is bad. A version at the baseline rate
 * exceeds it less than once in 10,000 responses.
 */
export const BAD_THRESHOLD = Math.log(10_000);

/** Log-likelihood ratio at which a version is suspect and does not count as good. */
export const SUSPECT_THRESHOLD = BAD_THRESHOLD / 3;

/**
 * Maximum increase of the log-likelihood ratio per step, so that one upstream that
 * fails all its in-flight requests at once does not cause a rollback.
 */
export const MAX_INCREASE_PER_STEP = BAD_THRESHOLD * 0.6;
