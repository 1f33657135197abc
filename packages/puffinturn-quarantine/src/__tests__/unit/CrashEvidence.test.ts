/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {ManualClock} from 'shared';

import {CrashEvidence} from '../../CrashEvidence';
import {
  LOOKUP_AFTER_CRASH_MS,
  QUARANTINE_DURATION_MS,
} from '../../QuarantineConstants';

const SECOND_MS = 1_000;

/**
 * Guards against running a harmful request again and against quarantining a request that
 * succeeds.
 */
describe('CrashEvidence', () => {
  let clock: ManualClock;
  let evidence: CrashEvidence;

  beforeEach(() => {
    clock = new ManualClock();
    evidence = new CrashEvidence(clock);
  });

  async function recordCrash(incarnation: string): Promise<void> {
    evidence.crashed({fingerprints: ['f'], life: incarnation});
    await clock.advance(SECOND_MS);
  }

  test('is empty again after the lookup time since the last crash', async () => {
    expect(evidence.isEmpty).toBe(true);
    await recordCrash('a');
    expect(evidence.isEmpty).toBe(false);
    await clock.advance(LOOKUP_AFTER_CRASH_MS);
    expect(evidence.isEmpty).toBe(true);
  });

  test('clears a request that is suspected only by other boxes', () => {
    evidence.adopt({fingerprints: [], suspects: ['f']});
    expect(evidence.isEmpty).toBe(false);
    expect(evidence.isLastTry('f')).toBe(true);
    expect(evidence.served('f')).toBe(true);
    expect(evidence.untold?.answered).toEqual(['f']);
    expect(evidence.served('f')).toBe(false);
    expect(evidence.served('g')).toBe(false);
  });

  test('does not suspect a request that succeeded on this box before several crashes', async () => {
    evidence.served('f');
    for (const incarnation of ['a', 'b', 'c', 'd']) {
      await recordCrash(incarnation);
    }
    expect(evidence.untold).toBeUndefined();
    expect(evidence.isQuarantined('f')).toBe(false);
  });

  test('removes a successful request from unreported crashes', async () => {
    await recordCrash('a');
    await recordCrash('b');
    evidence.served('f');
    const pendingReport = evidence.untold;
    const crashes = pendingReport?.crashes.flatMap(
      ({crash}) => crash.fingerprints,
    );
    expect(crashes).toEqual([]);
    expect(pendingReport?.answered).toEqual(['f']);
  });

  test('keeps its own quarantine until it expires', async () => {
    for (const incarnation of ['a', 'b', 'c']) {
      await recordCrash(incarnation);
    }
    await clock.advance(LOOKUP_AFTER_CRASH_MS);
    expect(evidence.isEmpty).toBe(false);
    expect(evidence.isQuarantined('f')).toBe(true);
    await clock.advance(QUARANTINE_DURATION_MS);
    expect(evidence.isQuarantined('f')).toBe(false);
    expect(evidence.isEmpty).toBe(true);
  });
});
