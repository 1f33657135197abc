/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {ManualClock} from 'shared';

import {LocalQuarantine} from '../../LocalQuarantine';
import {
  LOOKUP_AFTER_CRASH_MS,
  QUARANTINE_DURATION_MS,
} from '../../QuarantineConstants';

const SECOND_MS = 1_000;

/**
 * Guards against running a harmful request again and against quarantining a request that
 * succeeds.
 */
describe('LocalQuarantine', () => {
  let clock: ManualClock;
  let localQuarantine: LocalQuarantine;

  beforeEach(() => {
    clock = new ManualClock();
    localQuarantine = new LocalQuarantine(clock);
  });

  async function recordCrash(incarnation: string): Promise<void> {
    localQuarantine.recordCrash({fingerprints: ['f'], life: incarnation});
    await clock.advance(SECOND_MS);
  }

  test('is empty again after the lookup time since the last crash', async () => {
    expect(localQuarantine.isEmpty).toBe(true);
    await recordCrash('a');
    expect(localQuarantine.isEmpty).toBe(false);
    await clock.advance(LOOKUP_AFTER_CRASH_MS);
    expect(localQuarantine.isEmpty).toBe(true);
  });

  test('clears a request that is suspected only by other boxes', () => {
    localQuarantine.setRemoteQuarantine({fingerprints: [], suspects: ['f']});
    expect(localQuarantine.isEmpty).toBe(false);
    expect(localQuarantine.isSuspect('f')).toBe(true);
    expect(localQuarantine.recordSuccess('f')).toBe(true);
    expect(localQuarantine.pendingReport?.answered).toEqual(['f']);
    expect(localQuarantine.recordSuccess('f')).toBe(false);
    expect(localQuarantine.recordSuccess('g')).toBe(false);
  });

  test('reports a success before or after other boxes have quarantined the request', async () => {
    const quarantined = {fingerprints: ['f', 'g'], suspects: []};
    localQuarantine.recordSuccess('f');
    await clock.advance(SECOND_MS);
    expect(localQuarantine.setRemoteQuarantine(quarantined)).toBe(true);
    expect(localQuarantine.recordSuccess('g')).toBe(true);
    const {pendingReport} = localQuarantine;
    const report = pendingReport && localQuarantine.buildReport(pendingReport);
    expect(report).toMatchObject({
      answered: ['g'],
      answeredParts: [{agoMs: SECOND_MS, feature: 'f'}],
    });
  });

  test('does not suspect a request that succeeded on this box before several crashes', async () => {
    localQuarantine.recordSuccess('f');
    for (const incarnation of ['a', 'b', 'c', 'd']) {
      await recordCrash(incarnation);
    }
    expect(localQuarantine.pendingReport).toBeUndefined();
    expect(localQuarantine.isQuarantined('f')).toBe(false);
  });

  test('removes a successful request from unreported crashes', async () => {
    await recordCrash('a');
    await recordCrash('b');
    localQuarantine.recordSuccess('f');
    const pendingReport = localQuarantine.pendingReport;
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
    expect(localQuarantine.isEmpty).toBe(false);
    expect(localQuarantine.isQuarantined('f')).toBe(true);
    await clock.advance(QUARANTINE_DURATION_MS);
    expect(localQuarantine.isQuarantined('f')).toBe(false);
    expect(localQuarantine.isEmpty).toBe(true);
  });
});
