/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {ManualClock} from 'shared';

import {CrashEvidence} from '../../CrashEvidence';
import {QUARANTINE_MS, SUSPECTED_MS} from '../../QuarantineConstants';

const SECOND_MS = 1_000;

describe('What a box knows of crashing requests', () => {
  let clock: ManualClock;
  let evidence: CrashEvidence;

  beforeEach(() => {
    clock = new ManualClock();
    evidence = new CrashEvidence(clock);
  });

  async function crash(life: string): Promise<void> {
    evidence.crashed({fingerprints: ['f'], life});
    await clock.advance(SECOND_MS);
  }

  test('is empty again some time after the last crash', async () => {
    expect(evidence.isEmpty).toBe(true);
    await crash('a');
    expect(evidence.isEmpty).toBe(false);
    await clock.advance(SUSPECTED_MS);
    expect(evidence.isEmpty).toBe(true);
  });

  test('clears a request that only others suspect', () => {
    evidence.adopt({fingerprints: [], suspects: ['f']});
    expect(evidence.isEmpty).toBe(false);
    expect(evidence.isLastTry('f')).toBe(true);
    expect(evidence.served('f')).toBe(true);
    expect(evidence.untold?.answered).toEqual(['f']);
    expect(evidence.served('f')).toBe(false);
    expect(evidence.served('g')).toBe(false);
  });

  test('does not suspect what was answered here, however many crashes it is at', async () => {
    evidence.served('f');
    for (const life of ['a', 'b', 'c', 'd']) {
      await crash(life);
    }
    expect(evidence.untold).toBeUndefined();
    expect(evidence.isQuarantined('f')).toBe(false);
  });

  test('drops crashes that nobody has been told of before an answer', async () => {
    await crash('a');
    await crash('b');
    evidence.served('f');
    const untold = evidence.untold;
    const crashes = untold?.crashes.flatMap(({crash}) => crash.fingerprints);
    expect(crashes).toEqual([]);
    expect(untold?.answered).toEqual(['f']);
  });

  test('keeps what it quarantined itself until the time for that is over', async () => {
    for (const life of ['a', 'b', 'c']) {
      await crash(life);
    }
    await clock.advance(SUSPECTED_MS);
    expect(evidence.isEmpty).toBe(false);
    expect(evidence.isQuarantined('f')).toBe(true);
    await clock.advance(QUARANTINE_MS);
    expect(evidence.isQuarantined('f')).toBe(false);
    expect(evidence.isEmpty).toBe(true);
  });
});
