/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against running requests with a part of their prompts that crashes upstreams, and
 * against refusing requests that share other parts with them.
 */
import {ManualClock} from 'shared';

import {CrashRegistry} from '../../CrashRegistry';
import {LocalQuarantine} from '../../LocalQuarantine';
import {partFeaturesOf} from '../../PartFeatures';
import {
  MAX_PARTS_PER_REQUEST,
  PART_CONFIRMATION_MS,
  QUARANTINE_DURATION_MS,
} from '../../QuarantineConstants';

const SECOND_MS = 1_000;
const SERVICE = 'llm';

function partsOf(caller: string, ...partIds: string[]): string[] {
  return partFeaturesOf({
    caller,
    partIds: [...partIds, 'last'],
    service: SERVICE,
  });
}

/** The feature of a part for all teams. */
function forAll(id: string): string {
  return partsOf('any', id)[0] ?? '';
}

/** The feature of a part for one team. */
function forTeam(id: string, team: string): string {
  return partsOf(team, id)[1] ?? '';
}

describe('The features of a prompt', () => {
  test('leave out the last part', () => {
    const single = {caller: 't', partIds: ['a'], service: SERVICE};
    expect(partFeaturesOf(single)).toEqual([]);
    expect(partFeaturesOf({...single, partIds: []})).toEqual([]);
    expect(partsOf('t', 'a')).toEqual([forAll('a'), forTeam('a', 't')]);
  });

  test('do not depend on the position, and name each part once', () => {
    expect(partsOf('t', 'a', 'b', 'a')).toEqual(partsOf('t', 'a', 'b'));
    expect(new Set(partsOf('t', 'b', 'a'))).toEqual(
      new Set(partsOf('t', 'a', 'b')),
    );
  });

  test('are few and short, however many and long the parts are', () => {
    const many = Array.from({length: 4_000}, (_, index) => `p${index}`);
    expect(partsOf('t', ...many)).toHaveLength(2 * MAX_PARTS_PER_REQUEST);
    const long = 'x'.repeat(64_000);
    expect(forTeam(long, 't').length).toBeLessThan(100);
    expect(forTeam(long, 't')).not.toBe(forTeam(`${long}y`, 't'));
  });

  test('of one team cannot be those of another one, whatever the IDs are', () => {
    const forged = ['a","t', 'a,t', 'a"', 'a\n', '["a","t"]'];
    const features = forged.flatMap((id) => partsOf('other', id));
    expect(features).not.toContain(forTeam('a', 't'));
    expect(new Set(features).size).toBe(features.length);
  });

  test('differ between services', () => {
    const prompt = {caller: 't', partIds: ['a', 'last']};
    expect(partFeaturesOf({...prompt, service: 's'})).not.toEqual(
      partFeaturesOf({...prompt, service: SERVICE}),
    );
  });
});

describe('A prompt part at crashes', () => {
  let registry: CrashRegistry;
  let crashCount: number;

  beforeEach(() => {
    registry = new CrashRegistry();
    crashCount = 0;
  });

  function crash(at: number, ...parts: string[]): void {
    crashCount += 1;
    const life = `i-${crashCount}`;
    const report = {agoMs: 0, fingerprints: [`q-${crashCount}`], life, parts};
    registry.applyReport({answered: [], crashes: [report]}, at);
  }

  function answer(at: number, ...parts: string[]): void {
    const answeredParts = parts.map((feature) => ({agoMs: 0, feature}));
    registry.applyReport({answered: [], answeredParts, crashes: []}, at);
  }

  /** Reports an answer of before all crashes, which an edge remembers. */
  function rememberAnswer(at: number, ...parts: string[]): void {
    const agoMs = at + SECOND_MS;
    const answeredParts = parts.map((feature) => ({agoMs, feature}));
    registry.applyReport({answered: [], answeredParts, crashes: []}, at);
  }

  function crashThrice(...parts: string[]): void {
    for (const turn of [0, 1, 2]) {
      crash(turn * SECOND_MS, ...parts);
    }
  }

  test('is quarantined for its team at the third one', () => {
    crash(0, ...partsOf('t', 'bad'));
    crash(SECOND_MS, ...partsOf('t', 'bad'));
    expect(registry.quarantine.fingerprints).toEqual([]);
    crash(2 * SECOND_MS, ...partsOf('t', 'bad'));
    expect(registry.quarantine.fingerprints).toEqual([forTeam('bad', 't')]);
    expect(registry.entries[0]?.lives).toEqual(['i-1', 'i-2', 'i-3']);
  });

  test('is quarantined for all teams only if requests of two of them were there', () => {
    crashThrice(...partsOf('t', 'bad'));
    expect(registry.isQuarantined(forAll('bad'))).toBe(false);
    crash(3 * SECOND_MS, ...partsOf('other', 'bad'));
    expect(registry.isQuarantined(forAll('bad'))).toBe(true);
  });

  test('is not quarantined before other boxes could report answers', () => {
    for (const at of [0, 300, 600]) {
      crash(at, ...partsOf('t', 'bad'));
    }
    const due = 300 + PART_CONFIRMATION_MS;
    expect(registry.isUpdateDue(due - 1)).toBe(false);
    expect(registry.update(due - 1)).toBe(false);
    expect(registry.isUpdateDue(due)).toBe(true);
    expect(registry.update(due)).toBe(true);
    expect(registry.isQuarantined(forTeam('bad', 't'))).toBe(true);
  });

  test('is not quarantined if answers begin with it in between', () => {
    const parts = partsOf('t', 'common');
    for (let turn = 0; turn < 20; turn += 1) {
      crash(turn * SECOND_MS, ...parts);
      crash(turn * SECOND_MS + 100, ...parts);
      answer(turn * SECOND_MS + 200, ...parts);
    }
    expect(registry.quarantine.fingerprints).toEqual([]);
  });

  test('is quarantined although an answer began with it before', () => {
    answer(0, ...partsOf('t', 'bad'));
    crash(SECOND_MS, ...partsOf('t', 'bad'));
    answer(1.5 * SECOND_MS, ...partsOf('t', 'bad'));
    for (const turn of [2, 3, 4]) {
      crash(turn * SECOND_MS, ...partsOf('t', 'bad'));
    }
    expect(registry.isQuarantined(forTeam('bad', 't'))).toBe(true);
  });

  test('is not quarantined for three of different causes if most requests share it', () => {
    crash(0, ...partsOf('t', 'common', 'first'));
    crash(SECOND_MS, ...partsOf('t', 'common', 'second'));
    rememberAnswer(SECOND_MS + 100, ...partsOf('t', 'common'));
    crash(2 * SECOND_MS, ...partsOf('t', 'common', 'third'));
    registry.update(10 * SECOND_MS);
    expect(registry.quarantine.fingerprints).toEqual([]);
  });

  test('is quarantined at the fourth one if it was answered before them', () => {
    const parts = partsOf('t', 'bad');
    for (const turn of [0, 1, 2, 3]) {
      registry.update(turn * SECOND_MS);
      expect(registry.isQuarantined(forTeam('bad', 't'))).toBe(false);
      crash(turn * SECOND_MS, ...parts);
      rememberAnswer(turn * SECOND_MS + 100, ...parts);
    }
    registry.update(4 * SECOND_MS);
    expect(registry.isQuarantined(forTeam('bad', 't'))).toBe(true);
  });

  test('stays quarantined for one team if answers begin with it for another one', () => {
    crashThrice(...partsOf('t', 'part'));
    answer(4 * SECOND_MS, ...partsOf('other', 'part'));
    expect(registry.isQuarantined(forTeam('part', 't'))).toBe(true);
    expect(registry.isQuarantined(forAll('part'))).toBe(false);
  });

  test('is not quarantined beside one that answers never began with', () => {
    answer(0, ...partsOf('t', 'common', 'bad'));
    for (const turn of [1, 2, 3]) {
      crash(turn * SECOND_MS, ...partsOf('t', 'common', 'bad'));
      // Known at an edge since before the crashes.
      const [feature = '', ofTeam = ''] = partsOf('t', 'common');
      const answeredParts = [feature, ofTeam].map((name) => ({
        agoMs: turn * SECOND_MS,
        feature: name,
      }));
      registry.applyReport(
        {answered: [], answeredParts, crashes: []},
        turn * SECOND_MS + 10,
      );
    }
    registry.update(5 * SECOND_MS);
    expect(registry.quarantine.fingerprints).toEqual([forTeam('bad', 't')]);
    crash(6 * SECOND_MS, ...partsOf('t', 'common', 'bad'));
    expect(registry.quarantine.fingerprints).toEqual([forTeam('bad', 't')]);
  });

  test('is reported as answered before once, and later if that clears crashes', () => {
    const [feature = ''] = partsOf('t', 'common');
    const answerAt = (agoMs: number) => ({agoMs, feature});
    const now = 2 * SECOND_MS;
    expect(registry.wouldClear(answerAt(now), now)).toBe(false);
    crash(SECOND_MS, feature);
    expect(registry.wouldClear(answerAt(now), now)).toBe(true);
    answer(0, feature);
    expect(registry.wouldClear(answerAt(now), now)).toBe(false);
    expect(registry.wouldClear(answerAt(0), now)).toBe(true);
  });

  test('is quarantined after three more if another one of its prompts was not to blame', () => {
    crashThrice(...partsOf('t', 'bad', 'beside'));
    expect(registry.quarantine.fingerprints).toEqual([forTeam('beside', 't')]);
    for (const turn of [4, 5, 6]) {
      crash(turn * SECOND_MS, ...partsOf('t', 'bad', `other-${turn}`));
    }
    expect(registry.isQuarantined(forTeam('bad', 't'))).toBe(true);
  });

  test('is not quarantined for crashes by one request that is quarantined itself', () => {
    for (const turn of [0, 1, 2, 3, 4]) {
      const report = {
        agoMs: 0,
        fingerprints: ['same'],
        life: `i-${turn}`,
        parts: partsOf('t', 'common'),
      };
      registry.applyReport({answered: [], crashes: [report]}, turn * SECOND_MS);
    }
    registry.update(10 * SECOND_MS);
    expect(registry.quarantine.fingerprints).toEqual(['same']);
  });

  test('is released by an answer that began after the last crash, and by an operator', () => {
    const parts = partsOf('t', 'a', 'b');
    crashThrice(...partsOf('t', 'a'));
    for (const turn of [3, 4, 5]) {
      crash(turn * SECOND_MS, ...partsOf('t', 'b'));
    }
    answer(-SECOND_MS, ...parts);
    expect(registry.isQuarantined(forTeam('a', 't'))).toBe(true);
    answer(6 * SECOND_MS, ...partsOf('t', 'a'));
    expect(registry.isQuarantined(forTeam('a', 't'))).toBe(false);
    expect(registry.isQuarantined(forTeam('b', 't'))).toBe(true);
    const released = [forTeam('b', 't')];
    registry.applyReport({answered: [], crashes: [], released}, 7 * SECOND_MS);
    expect(registry.quarantine.fingerprints).toEqual([]);
  });

  test('is released by a late report of an answer between its crashes', () => {
    const parts = partsOf('t', 'common');
    crashThrice(...parts);
    expect(registry.isQuarantined(forTeam('common', 't'))).toBe(true);
    const late = parts.map((feature) => ({agoMs: 2.5 * SECOND_MS, feature}));
    const now = 4 * SECOND_MS;
    expect(late.some((item) => registry.wouldClear(item, now))).toBe(true);
    const report = {answered: [], answeredParts: late, crashes: []};
    registry.applyReport(report, now);
    expect(registry.quarantine.fingerprints).toEqual([]);
    registry.update(10 * SECOND_MS);
    expect(registry.quarantine.fingerprints).toEqual([]);
  });

  test('stays quarantined if three are left after an answer between them', () => {
    const parts = partsOf('t', 'bad');
    crashThrice(...parts);
    crash(3 * SECOND_MS, ...parts);
    const [, feature = ''] = parts;
    const answered = {agoMs: 4.5 * SECOND_MS, feature};
    const now = 5 * SECOND_MS;
    expect(registry.wouldClear(answered, now)).toBe(false);
    const report = {answered: [], answeredParts: [answered], crashes: []};
    registry.applyReport(report, now);
    expect(registry.isQuarantined(feature)).toBe(true);
  });

  test('is quarantined again at the first one after its quarantine has expired', () => {
    crashThrice(...partsOf('t', 'bad'));
    const expiredAt = 2 * SECOND_MS + QUARANTINE_DURATION_MS + SECOND_MS;
    expect(registry.update(expiredAt)).toBe(true);
    expect(registry.isQuarantined(forTeam('bad', 't'))).toBe(false);
    crash(expiredAt + SECOND_MS, ...partsOf('t', 'bad'));
    expect(registry.isQuarantined(forTeam('bad', 't'))).toBe(true);
  });

  test('is not quarantined for simultaneous ones alone', () => {
    for (const at of [0, 1, 2, 3, 4, 5]) {
      crash(at, ...partsOf('t', 'common'));
    }
    expect(registry.update(10 * SECOND_MS)).toBe(false);
    expect(registry.quarantine.fingerprints).toEqual([]);
  });

  test('is the same in a replica that restores a snapshot', () => {
    crash(0, ...partsOf('t', 'bad'));
    crash(SECOND_MS, ...partsOf('t', 'bad'));
    const replica = new CrashRegistry();
    replica.restore(registry.snapshot());
    crash(2 * SECOND_MS, ...partsOf('t', 'bad'));
    const life = `i-${crashCount}`;
    const parts = partsOf('t', 'bad');
    const report = {agoMs: 0, fingerprints: ['q-3'], life, parts};
    replica.applyReport({answered: [], crashes: [report]}, 2 * SECOND_MS);
    expect(replica.snapshot()).toEqual(registry.snapshot());
  });
});

describe('A box', () => {
  let clock: ManualClock;
  let box: LocalQuarantine;

  beforeEach(() => {
    clock = new ManualClock();
    box = new LocalQuarantine(clock);
  });

  test('reports answers that began before other boxes suspected a part', async () => {
    const [feature = ''] = partsOf('t', 'common');
    expect(box.recordAnswerBegun([feature])).toBe(false);
    await clock.advance(SECOND_MS);
    const listed = {fingerprints: [], suspects: [feature]};
    expect(box.setRemoteQuarantine(listed)).toBe(true);
    const pending = box.pendingReport;
    expect(pending && box.buildReport(pending).answeredParts).toEqual([
      {agoMs: SECOND_MS, feature},
    ]);
  });

  test('reports answers with a part that other boxes have quarantined', () => {
    const [feature = ''] = partsOf('t', 'common');
    box.setRemoteQuarantine({fingerprints: [feature], suspects: []});
    expect(box.isQuarantined(feature)).toBe(true);
    expect(box.recordAnswerBegun([feature])).toBe(true);
    expect(box.isQuarantined(feature)).toBe(false);
  });

  test('refuses a part by the crashes that it has seen itself', async () => {
    const parts = partsOf('t', 'bad');
    for (const life of ['i-1', 'i-2', 'i-3']) {
      box.recordCrash({fingerprints: [life], life, parts});
      await clock.advance(SECOND_MS);
    }
    expect(box.isQuarantined(forTeam('bad', 't'))).toBe(true);
    expect(box.isQuarantined(forTeam('bad', 'other'))).toBe(false);
  });

  test('leaves the decision on a part to the boxes that its reports have reached', async () => {
    const parts = partsOf('t', 'common');
    for (const life of ['i-1', 'i-2', 'i-3']) {
      box.recordCrash({fingerprints: [life], life, parts});
      await clock.advance(SECOND_MS);
    }
    const pending = box.pendingReport;
    if (pending !== undefined) {
      box.confirmReported(pending);
    }
    expect(box.isQuarantined(forTeam('common', 't'))).toBe(false);
    expect(box.isQuarantined(forAll('common'))).toBe(false);
  });
});
