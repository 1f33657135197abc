/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {
  FORCED_SHIFT_BEFORE_DEADLINE_MS,
  LATE_CANARY_FRACTION,
  LATEST_SHIFT_BEFORE_DEADLINE_MS,
  MIN_ANSWERED_RATIO,
  MIN_ANSWERS,
  MIN_ANSWERS_LATE,
  MIN_ANSWERS_PER_ROUTE,
  MIN_CANARY_FRACTION,
  MIN_SHIFT_FRACTION,
  MIN_SLOTS_RATIO,
  MIN_SLOTS_RATIO_LATE,
  VERDICT_BEFORE_DEADLINE_MS,
} from './RolloutConstants';
import type {RolloutState} from './Rollouts';
import {ROLLOUT_STATE} from './Rollouts';
import type {BadVersionCause} from './VersionComparison';

/** Reasons for a verdict, besides BAD_VERSION_CAUSE. */
export const VERDICT_CAUSE = {
  /** The deadline was reached before the version was found good. */
  noEvidence: 'no-evidence',
  /** The deadline was reached with too few ready upstreams of the new version. */
  noUpstreams: 'no-upstreams',
  /** Enough responses, and the version is not suspect. */
  good: 'good',
  /** The deadline was reached and the version is suspect. */
  suspect: 'suspect',
  /** No requests are in flight at the previous version. */
  shiftFinished: 'shifted',
  /** The deadline was reached; in-flight requests at the previous version are cut off. */
  deadlineReached: 'time-over',
} as const;

/** One of VERDICT_CAUSE or BAD_VERSION_CAUSE. */
export type VerdictCause =
  BadVersionCause | (typeof VERDICT_CAUSE)[keyof typeof VERDICT_CAUSE];

/** Input of a verdict. */
export interface VerdictInput {
  readonly state: RolloutState;
  readonly durationMs: number;
  /** Time since the order, ms. */
  readonly elapsedMs: number;
  /** Whether this leader has waited long enough for reports of edges. */
  readonly hasWaitedForReports: boolean;
  /** Time since the start of the shift, ms; 0 before it. */
  readonly shiftingMs: number;
  /** Why the new version is bad; undefined if it is not. */
  readonly badCause: BadVersionCause | undefined;
  /** Whether the new version may be bad, but the evidence is not sufficient yet. */
  readonly isSuspect: boolean;
  /** Responses of the new version. */
  readonly targetAnswers: number;
  /** Fraction of each version's requests that have a response. */
  readonly targetAnsweredFraction: number;
  readonly stableAnsweredFraction: number;
  /** Responses of the new version on the main route with the fewest of them. */
  readonly minMainRouteAnswers: number;
  /** Whether the exposure bound covers all requests until the deadline. */
  readonly canExposeRemaining: boolean;
  /** Slots of the ready upstreams of each version. */
  readonly targetSlots: number;
  readonly stableSlots: number;
  /** Whether all edges have shifted and the previous version serves no requests. */
  readonly isShiftFinished: boolean;
}

/** The next state of a rollout, with the reason. */
export interface RolloutVerdict {
  readonly state: RolloutState;
  readonly cause: VerdictCause;
}

/**
 * Returns the next state of a rollout, or undefined if it stays in its current state.
 */
export function decideVerdict(input: VerdictInput): RolloutVerdict | undefined {
  const {badCause, state} = input;
  if (badCause !== undefined) {
    return {cause: badCause, state: ROLLOUT_STATE.rolledBack};
  }
  return state === ROLLOUT_STATE.shifting
    ? decideShift(input)
    : decideCanary(input);
}

function decideCanary(input: VerdictInput): RolloutVerdict | undefined {
  if (isReadyToShift(input)) {
    return {cause: VERDICT_CAUSE.good, state: ROLLOUT_STATE.shifting};
  }
  if (!isDeadlineNear(input)) {
    return undefined;
  }
  const cause = hasCapacity(input)
    ? VERDICT_CAUSE.noEvidence
    : VERDICT_CAUSE.noUpstreams;
  return {cause, state: ROLLOUT_STATE.rolledBack};
}

function decideShift(input: VerdictInput): RolloutVerdict | undefined {
  const {durationMs, isShiftFinished, isSuspect, shiftingMs} = input;
  const isLongEnough = shiftingMs >= MIN_SHIFT_FRACTION * durationMs;
  if (isShiftFinished && isLongEnough && !isSuspect) {
    return {cause: VERDICT_CAUSE.shiftFinished, state: ROLLOUT_STATE.completed};
  }
  if (!isDeadlineNear(input) || !input.hasWaitedForReports) {
    return undefined;
  }
  // Rolling back a good version costs less than keeping a bad one.
  return isSuspect
    ? {cause: VERDICT_CAUSE.suspect, state: ROLLOUT_STATE.rolledBack}
    : {cause: VERDICT_CAUSE.deadlineReached, state: ROLLOUT_STATE.completed};
}

function isReadyToShift(input: VerdictInput): boolean {
  return (
    canShiftNow(input) &&
    !input.isSuspect &&
    hasEnoughAnswers(input) &&
    hasCapacity(input)
  );
}

/**
 * Whether the shift may start. It must leave time to notify all edges, and the bound
 * must cover all remaining requests unless the deadline forces the shift.
 */
function canShiftNow(input: VerdictInput): boolean {
  const {canExposeRemaining, durationMs, elapsedMs} = input;
  const remainingMs = durationMs - elapsedMs;
  const isLongEnough = elapsedMs >= MIN_CANARY_FRACTION * durationMs;
  const isForced = remainingMs <= FORCED_SHIFT_BEFORE_DEADLINE_MS;
  const isTooLate = remainingMs < LATEST_SHIFT_BEFORE_DEADLINE_MS;
  return isLongEnough && (canExposeRemaining || isForced) && !isTooLate;
}

function hasEnoughAnswers(input: VerdictInput): boolean {
  const {minMainRouteAnswers, targetAnswers} = input;
  const {stableAnsweredFraction, targetAnsweredFraction} = input;
  if (targetAnsweredFraction < MIN_ANSWERED_RATIO * stableAnsweredFraction) {
    return false;
  }
  return isLateInCanary(input)
    ? targetAnswers >= MIN_ANSWERS_LATE
    : targetAnswers >= MIN_ANSWERS &&
        minMainRouteAnswers >= MIN_ANSWERS_PER_ROUTE;
}

function hasCapacity(input: VerdictInput): boolean {
  const {stableSlots, targetSlots} = input;
  const minRatio = isLateInCanary(input)
    ? MIN_SLOTS_RATIO_LATE
    : MIN_SLOTS_RATIO;
  return targetSlots > 0 && targetSlots >= minRatio * stableSlots;
}

function isLateInCanary({durationMs, elapsedMs}: VerdictInput): boolean {
  return elapsedMs >= LATE_CANARY_FRACTION * durationMs;
}

function isDeadlineNear({durationMs, elapsedMs}: VerdictInput): boolean {
  return elapsedMs >= durationMs - VERDICT_BEFORE_DEADLINE_MS;
}
