/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** What becomes of a roll-out, from what its leader knows. */
import {
  LAST_SHIFT_BEFORE_DEADLINE_MS,
  LATE_TRIAL_PART,
  LEAST_ANSWERED_PART,
  LEAST_ANSWERS,
  LEAST_LATE_ANSWERS,
  LEAST_LATE_SLOTS_PART,
  LEAST_ROUTE_ANSWERS,
  LEAST_SHIFT_PART,
  LEAST_SLOTS_PART,
  SHIFT_BEFORE_DEADLINE_MS,
  TRIAL_PART,
  VERDICT_BEFORE_DEADLINE_MS,
} from './RolloutConstants';
import type {RolloutState} from './Rollouts';
import {ROLLOUT_STATE} from './Rollouts';
import type {BadCause} from './VersionComparison';

/** Why a roll-out moves on or ends, besides BAD_CAUSE. */
export const VERDICT_CAUSE = {
  /** Its time is over and the version was not shown to be good. */
  noEvidence: 'no-evidence',
  /** Its time is over and too few upstreams of the version are ready. */
  noUpstreams: 'no-upstreams',
  /** Enough answers, none of them suspect. */
  good: 'good',
  /** Its time is over and it may be bad. */
  suspect: 'suspect',
  /** Nothing is left at the former version. */
  shifted: 'shifted',
  /** Its time is nearly over; what is open at the former version ends. */
  timeOver: 'time-over',
} as const;

/** One of VERDICT_CAUSE or BAD_CAUSE. */
export type VerdictCause =
  BadCause | (typeof VERDICT_CAUSE)[keyof typeof VERDICT_CAUSE];

/** What a verdict rests on. */
export interface RolloutFacts {
  readonly state: RolloutState;
  readonly durationMs: number;
  /** Time since the order, ms. */
  readonly elapsedMs: number;
  /** Whether this leader has had the time to hear edges. */
  readonly hasHeardEdges: boolean;
  /** Time since all requests were shifted, ms; 0 before. */
  readonly shiftingMs: number;
  /** Why the new version is bad, if it is. */
  readonly bad: BadCause | undefined;
  /** Whether the next answers may show that it is bad. */
  readonly isSuspect: boolean;
  /** Answers of the new version. */
  readonly answers: number;
  /** The part of each version's requests that were answered. */
  readonly targetAnswered: number;
  readonly stableAnswered: number;
  /** The same as `answers` on the main route that has fewest. */
  readonly routeAnswers: number;
  /** Whether all requests until the deadline may be exposed within the bound. */
  readonly restFits: boolean;
  /** Slots of ready upstreams of both versions. */
  readonly targetSlots: number;
  readonly stableSlots: number;
  /** Whether all edges have shifted and nothing is open at the former version. */
  readonly isShifted: boolean;
}

/** The next state, and why. */
export interface RolloutVerdict {
  readonly state: RolloutState;
  readonly cause: VerdictCause;
}

/** The verdict; undefined while the roll-out goes on as it is. */
export function verdictOn(facts: RolloutFacts): RolloutVerdict | undefined {
  const {bad, state} = facts;
  if (bad !== undefined) {
    return {cause: bad, state: ROLLOUT_STATE.rolledBack};
  }
  return state === ROLLOUT_STATE.shifting
    ? verdictOnShift(facts)
    : verdictOnTrial(facts);
}

function verdictOnTrial(facts: RolloutFacts): RolloutVerdict | undefined {
  if (isGood(facts)) {
    return {cause: VERDICT_CAUSE.good, state: ROLLOUT_STATE.shifting};
  }
  if (!isTimeOver(facts)) {
    return undefined;
  }
  const cause = bearsLoad(facts)
    ? VERDICT_CAUSE.noEvidence
    : VERDICT_CAUSE.noUpstreams;
  return {cause, state: ROLLOUT_STATE.rolledBack};
}

function verdictOnShift(facts: RolloutFacts): RolloutVerdict | undefined {
  const {durationMs, isShifted, isSuspect, shiftingMs} = facts;
  const isTried = shiftingMs >= LEAST_SHIFT_PART * durationMs;
  if (isShifted && isTried && !isSuspect) {
    return {cause: VERDICT_CAUSE.shifted, state: ROLLOUT_STATE.completed};
  }
  if (!isTimeOver(facts) || !facts.hasHeardEdges) {
    return undefined;
  }
  // A bad version that serves on harms more than a good one that is ordered again.
  return isSuspect
    ? {cause: VERDICT_CAUSE.suspect, state: ROLLOUT_STATE.rolledBack}
    : {cause: VERDICT_CAUSE.timeOver, state: ROLLOUT_STATE.completed};
}

function isGood(facts: RolloutFacts): boolean {
  return (
    isTimeToShift(facts) &&
    !facts.isSuspect &&
    hasEvidence(facts) &&
    bearsLoad(facts)
  );
}

/** A version that turns bad as all use it has to stay within the bound as well. */
function isTimeToShift(facts: RolloutFacts): boolean {
  const {durationMs, elapsedMs, restFits} = facts;
  const leftMs = durationMs - elapsedMs;
  const isTried = elapsedMs >= TRIAL_PART * durationMs;
  const isLast = leftMs <= SHIFT_BEFORE_DEADLINE_MS;
  const isTooLate = leftMs < LAST_SHIFT_BEFORE_DEADLINE_MS;
  return isTried && (restFits || isLast) && !isTooLate;
}

function hasEvidence(facts: RolloutFacts): boolean {
  const {answers, routeAnswers} = facts;
  const {stableAnswered, targetAnswered} = facts;
  if (targetAnswered < LEAST_ANSWERED_PART * stableAnswered) {
    return false;
  }
  return isLate(facts)
    ? answers >= LEAST_LATE_ANSWERS
    : answers >= LEAST_ANSWERS && routeAnswers >= LEAST_ROUTE_ANSWERS;
}

function bearsLoad(facts: RolloutFacts): boolean {
  const {stableSlots, targetSlots} = facts;
  const part = isLate(facts) ? LEAST_LATE_SLOTS_PART : LEAST_SLOTS_PART;
  return targetSlots > 0 && targetSlots >= part * stableSlots;
}

function isLate({durationMs, elapsedMs}: RolloutFacts): boolean {
  return elapsedMs >= LATE_TRIAL_PART * durationMs;
}

function isTimeOver({durationMs, elapsedMs}: RolloutFacts): boolean {
  return elapsedMs >= durationMs - VERDICT_BEFORE_DEADLINE_MS;
}
