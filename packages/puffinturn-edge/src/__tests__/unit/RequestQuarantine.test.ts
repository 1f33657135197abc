/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against lost or repeated crash reports and against stale quarantine state. */
import type {ResultAsync} from 'neverthrow';
import {errAsync, okAsync} from 'neverthrow';
import {InMemoryDecisionLog} from 'puffinturn-decisions';
import type {CrashReportRequest} from 'puffinturn-fleet';
import {EMPTY_QUARANTINE} from 'puffinturn-quarantine';
import type {LinkFailure} from 'puffinturn-wire';
import {Link} from 'puffinturn-wire';
import {ManualClock, settleTasks} from 'shared';

import {EdgeMetrics} from '../../EdgeMetrics';
import type {RequestFeatures} from '../../requests/RequestIdentity';
import {RequestQuarantine} from '../../requests/RequestQuarantine';
import {makeUpstream} from '../utils/EdgeFixture';

/** Control boxes that accept reports, lose their replies or are unreachable. */
class ReportLink extends Link {
  readonly received: CrashReportRequest[] = [];
  isCut = false;
  losesReplies = false;

  override call(
    _box: string,
    _service: string,
    body: unknown,
  ): ResultAsync<unknown, LinkFailure> {
    if (!this.isCut) {
      this.received.push(body as CrashReportRequest);
    }
    return this.isCut || this.losesReplies
      ? errAsync({kind: 'not-sent', message: 'cut'})
      : okAsync({taken: true});
  }
}

describe('RequestQuarantine', () => {
  const clock = new ManualClock();
  let link: ReportLink;
  let log: InMemoryDecisionLog;
  let quarantine: RequestQuarantine;
  let crashedCount: number;

  beforeEach(() => {
    crashedCount = 0;
    link = new ReportLink();
    log = new InMemoryDecisionLog();
    quarantine = new RequestQuarantine({
      box: 'e1',
      clock,
      controlBoxes: () => ['c1', 'c2'],
      areLinksLost: () => false,
      link,
      log,
      metrics: new EdgeMetrics(),
    });
  });

  afterEach(() => quarantine[Symbol.asyncDispose]());

  function recordCrash(life: string, ...fingerprints: string[]): void {
    const markCrashed = (): void => void (crashedCount += 1);
    const record = makeUpstream(life);
    quarantine.recordCrash({fingerprints, life}, {markCrashed, record});
  }

  async function advance(ms: number): Promise<void> {
    await settleTasks();
    await clock.advance(ms);
    await settleTasks();
  }

  test('reports a crash to the control boxes once', async () => {
    recordCrash('i-1', 'f');
    await advance(1_000);
    expect(link.received).toEqual([
      {
        box: 'e1',
        report: {
          answered: [],
          crashes: [{agoMs: 0, fingerprints: ['f'], life: 'i-1'}],
        },
      },
    ]);
    expect(crashedCount).toBe(1);
  });

  test('reports crashes with their age after the control boxes were unreachable', async () => {
    link.isCut = true;
    recordCrash('i-1', 'f');
    await advance(2_000);
    recordCrash('i-2', 'f');
    await advance(2_000);
    link.isCut = false;
    await advance(500);
    const ages = link.received[0]?.report.crashes.map(({agoMs}) => agoMs);
    expect(ages?.[0]).toBeGreaterThan(4_000);
    expect(ages?.[1]).toBeLessThan(3_000);
  });

  test('repeats a report whose reply was lost', async () => {
    link.losesReplies = true;
    recordCrash('i-1', 'f');
    await advance(100);
    link.losesReplies = false;
    await advance(1_000);
    const incarnations = link.received.map(
      ({report}) => report.crashes[0]?.life,
    );
    expect(new Set(incarnations)).toEqual(new Set(['i-1']));
    expect(incarnations.length).toBeGreaterThan(1);
    const {length} = link.received;
    await advance(5_000);
    expect(link.received).toHaveLength(length);
  });

  function request(fingerprint: string): RequestFeatures {
    return {fingerprint, parts: []};
  }

  function isQuarantined(fingerprint: string): boolean {
    return quarantine.findQuarantined(request(fingerprint)) === fingerprint;
  }

  test('quarantines a request after three crashes without control boxes', async () => {
    link.isCut = true;
    for (const life of ['i-1', 'i-2']) {
      recordCrash(life, 'f');
      await advance(1_000);
    }
    expect(isQuarantined('f')).toBe(false);
    expect(quarantine.isOneCrashFromQuarantine(request('f'))).toBe(true);
    recordCrash('i-3', 'f');
    expect(isQuarantined('f')).toBe(true);
    expect(isQuarantined('g')).toBe(false);
  });

  test('clears a suspected request after a complete response and reports it', async () => {
    for (const life of ['i-1', 'i-2']) {
      recordCrash(life, 'f');
      await advance(1_000);
    }
    quarantine.recordSuccess('f');
    quarantine.recordSuccess('never suspected');
    await advance(100);
    expect(link.received.at(-1)?.report).toEqual({
      answered: ['f'],
      crashes: [],
    });
    recordCrash('i-3', 'f');
    expect(isQuarantined('f')).toBe(false);
  });

  test('adopts a quarantine only with a newer revision', () => {
    expect(quarantine.isEmpty).toBe(true);
    quarantine.adopt(
      {
        fingerprints: ['f', 'g'],
        revision: 2,
        suspects: [],
      },
      'c1',
    );
    quarantine.adopt(
      {
        fingerprints: ['f'],
        revision: 1,
        suspects: [],
      },
      'c2',
    );
    quarantine.adopt(EMPTY_QUARANTINE, 'c2');
    expect(isQuarantined('g')).toBe(true);
    expect(quarantine.isEmpty).toBe(false);
    const line = log.decisions.find(
      ({event}) => event === 'quarantine-adopted',
    );
    expect(line).toMatchObject({count: 2, former: 0, newest: 'g'});
  });

  test('releases a request that a newer revision no longer contains', async () => {
    for (const life of ['i-1', 'i-2', 'i-3']) {
      recordCrash(life, 'f');
      await advance(1_000);
    }
    quarantine.adopt(
      {
        fingerprints: ['f'],
        revision: 1,
        suspects: [],
      },
      'c1',
    );
    quarantine.adopt(
      {
        fingerprints: [],
        revision: 2,
        suspects: [],
      },
      'c1',
    );
    expect(isQuarantined('f')).toBe(false);
  });
});
