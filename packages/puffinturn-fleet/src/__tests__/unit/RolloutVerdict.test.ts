/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {ROLLOUT_STATE} from '../../index';
import type {VerdictInput} from '../../RolloutVerdict';
import {decideVerdict} from '../../RolloutVerdict';

// Guards against shifting to a version that is not proven, and against rollouts that
// miss their deadline.

const {completed, exposing, rolledBack, shifting} = ROLLOUT_STATE;

/** Input for which the canary phase ends and the shift starts. */
const READY_TO_SHIFT: VerdictInput = {
  badCause: undefined,
  canExposeRemaining: true,
  durationMs: 12_000,
  elapsedMs: 7_500,
  hasWaitedForReports: true,
  isShiftFinished: false,
  isSuspect: false,
  minMainRouteAnswers: 20,
  shiftingMs: 0,
  stableAnsweredFraction: 1,
  stableSlots: 16,
  state: exposing,
  targetAnsweredFraction: 1,
  targetAnswers: 100,
  targetSlots: 16,
};

const SHIFT_FINISHED: VerdictInput = {
  ...READY_TO_SHIFT,
  elapsedMs: 10_500,
  isShiftFinished: true,
  shiftingMs: 3_000,
  state: shifting,
};

const NEAR_DEADLINE = {elapsedMs: 11_600};

describe('Verdicts in the canary phase', () => {
  test('start the shift once the version is good', () => {
    expect(decideVerdict(READY_TO_SHIFT)).toEqual({
      cause: 'good',
      state: shifting,
    });
  });

  test.each<[string, Partial<VerdictInput>]>([
    ['before the minimum duration', {elapsedMs: 7_000}],
    ['with too few answers', {targetAnswers: 20}],
    ['with too few answers on a route', {minMainRouteAnswers: 3}],
    ['with most requests unanswered', {targetAnsweredFraction: 0.4}],
    ['with too little time for the shift', {elapsedMs: 11_300}],
    [
      'if the bound does not cover the remaining requests',
      {canExposeRemaining: false},
    ],
    ['if the version is suspect', {isSuspect: true}],
    ['without upstreams of the new version', {targetSlots: 0}],
    ['without upstreams of either version', {stableSlots: 0, targetSlots: 0}],
    ['with too few slots', {targetSlots: 7}],
  ])(
    'do not start the shift %s, and roll back at the deadline',
    (_, fields) => {
      expect(decideVerdict({...READY_TO_SHIFT, ...fields})).toBeUndefined();
      const late = decideVerdict({
        ...READY_TO_SHIFT,
        ...fields,
        ...NEAR_DEADLINE,
      });
      expect(late?.state).toBe(rolledBack);
    },
  );

  test('require fewer slots late in the phase', () => {
    const fewSlots = {targetSlots: 9};
    expect(decideVerdict({...READY_TO_SHIFT, ...fewSlots})).toBeUndefined();
    const late = {...READY_TO_SHIFT, ...fewSlots, elapsedMs: 9_700};
    expect(decideVerdict(late)?.state).toBe(shifting);
  });

  test('start the shift close to the deadline even if the bound is exceeded', () => {
    const late = {
      ...READY_TO_SHIFT,
      elapsedMs: 10_850,
      canExposeRemaining: false,
    };
    expect(decideVerdict(late)?.state).toBe(shifting);
  });

  test('require fewer answers late in the phase', () => {
    const fewAnswers = {
      targetAnswers: 10,
      elapsedMs: 9_700,
      minMainRouteAnswers: 0,
    };
    expect(decideVerdict({...READY_TO_SHIFT, ...fewAnswers})?.state).toBe(
      shifting,
    );
  });

  test('allow unanswered requests if the stable version has as many', () => {
    const slowService = {
      stableAnsweredFraction: 0.4,
      targetAnsweredFraction: 0.4,
    };
    expect(decideVerdict({...READY_TO_SHIFT, ...slowService})?.state).toBe(
      shifting,
    );
  });

  test.each(['failures', 'slow'] as const)(
    'roll back at once for %s',
    (badCause) => {
      const input = {...READY_TO_SHIFT, badCause, elapsedMs: 100};
      expect(decideVerdict(input)).toEqual({
        cause: badCause,
        state: rolledBack,
      });
    },
  );
});

describe('Verdicts during the shift', () => {
  test('complete the rollout once the previous version is drained', () => {
    expect(decideVerdict(SHIFT_FINISHED)).toEqual({
      cause: 'shifted',
      state: completed,
    });
  });

  test.each<[string, Partial<VerdictInput>]>([
    ['while the previous version is in use', {isShiftFinished: false}],
    ['before the minimum duration', {shiftingMs: 1_000}],
  ])(
    'do not complete the rollout %s, but do so at the deadline',
    (_, fields) => {
      expect(decideVerdict({...SHIFT_FINISHED, ...fields})).toBeUndefined();
      const late = decideVerdict({
        ...SHIFT_FINISHED,
        ...fields,
        ...NEAR_DEADLINE,
      });
      expect(late).toEqual({cause: 'time-over', state: completed});
    },
  );

  test('are delayed past the deadline until a new leader has waited for reports', () => {
    const withoutReports = {
      ...SHIFT_FINISHED,
      ...NEAR_DEADLINE,
      hasWaitedForReports: false,
      isShiftFinished: false,
    };
    expect(decideVerdict(withoutReports)).toBeUndefined();
    expect(
      decideVerdict({...withoutReports, hasWaitedForReports: true})?.state,
    ).toBe(completed);
  });

  test('keep a suspect version until the deadline, then roll back', () => {
    const suspect = {...SHIFT_FINISHED, isSuspect: true};
    expect(decideVerdict(suspect)).toBeUndefined();
    expect(decideVerdict({...suspect, ...NEAR_DEADLINE})?.state).toBe(
      rolledBack,
    );
  });

  test('roll back a version that becomes bad', () => {
    const bad = {...SHIFT_FINISHED, badCause: 'failures'} as const;
    expect(decideVerdict(bad)?.state).toBe(rolledBack);
  });
});
