/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {ResultAsync} from 'neverthrow';
import {errAsync, okAsync} from 'neverthrow';
import {KeptDecisionLog} from 'puffinturn-decisions';
import type {CrashRequest} from 'puffinturn-fleet';
import {NO_QUARANTINE} from 'puffinturn-quarantine';
import type {LinkFailure} from 'puffinturn-wire';
import {Link} from 'puffinturn-wire';
import {ManualClock, settleTasks} from 'shared';

import {EdgeMetrics} from '../../EdgeMetrics';
import {CrashingRequests} from '../../requests/CrashingRequests';
import {upstreamOf} from '../utils/EdgeFixture';

/** Control boxes that take reports, lose the answer, or can't be reached. */
class ReportLink extends Link {
  readonly taken: CrashRequest[] = [];
  isCut = false;
  losesAnswers = false;

  override call(
    _box: string,
    _service: string,
    body: unknown,
  ): ResultAsync<unknown, LinkFailure> {
    if (!this.isCut) {
      this.taken.push(body as CrashRequest);
    }
    return this.isCut || this.losesAnswers
      ? errAsync({kind: 'not-sent', message: 'cut'})
      : okAsync({taken: true});
  }
}

describe('Crashing requests at an edge', () => {
  const clock = new ManualClock();
  let link: ReportLink;
  let log: KeptDecisionLog;
  let crashing: CrashingRequests;

  beforeEach(() => {
    link = new ReportLink();
    log = new KeptDecisionLog();
    crashing = new CrashingRequests({
      box: 'e1',
      clock,
      controls: () => ['c1', 'c2'],
      link,
      log,
      metrics: new EdgeMetrics(),
    });
  });

  afterEach(() => crashing[Symbol.asyncDispose]());

  function crash(life: string, ...fingerprints: string[]): void {
    crashing.crashed({fingerprints, life}, {record: upstreamOf(life)});
  }

  async function pass(ms: number): Promise<void> {
    await settleTasks();
    await clock.advance(ms);
    await settleTasks();
  }

  test('are told to the core once', async () => {
    crash('i-1', 'f');
    await pass(1_000);
    expect(link.taken).toEqual([
      {
        box: 'e1',
        report: {
          answered: [],
          crashes: [{agoMs: 0, fingerprints: ['f'], life: 'i-1'}],
        },
      },
    ]);
  });

  test('are told with their age once the core can be reached again', async () => {
    link.isCut = true;
    crash('i-1', 'f');
    await pass(2_000);
    crash('i-2', 'f');
    await pass(2_000);
    link.isCut = false;
    await pass(500);
    const ages = link.taken[0]?.report.crashes.map(({agoMs}) => agoMs);
    expect(ages?.[0]).toBeGreaterThan(4_000);
    expect(ages?.[1]).toBeLessThan(3_000);
  });

  test('are told again where the answer was lost', async () => {
    link.losesAnswers = true;
    crash('i-1', 'f');
    await pass(100);
    link.losesAnswers = false;
    await pass(1_000);
    const lives = link.taken.map(({report}) => report.crashes[0]?.life);
    expect(new Set(lives)).toEqual(new Set(['i-1']));
    expect(lives.length).toBeGreaterThan(1);
    const {length} = link.taken;
    await pass(5_000);
    expect(link.taken).toHaveLength(length);
  });

  test('are not run here after three crashes, also without the core', async () => {
    link.isCut = true;
    for (const life of ['i-1', 'i-2']) {
      crash(life, 'f');
      await pass(1_000);
    }
    expect(crashing.isQuarantined('f')).toBe(false);
    expect(crashing.isLastTry('f')).toBe(true);
    crash('i-3', 'f');
    expect(crashing.isQuarantined('f')).toBe(true);
    expect(crashing.isQuarantined('g')).toBe(false);
  });

  test('are cleared, here and at the core, by a whole answer', async () => {
    for (const life of ['i-1', 'i-2']) {
      crash(life, 'f');
      await pass(1_000);
    }
    crashing.served('f');
    crashing.served('never suspected');
    await pass(100);
    expect(link.taken.at(-1)?.report).toEqual({answered: ['f'], crashes: []});
    crash('i-3', 'f');
    expect(crashing.isQuarantined('f')).toBe(false);
  });

  test('are taken over from the core, never from an older word', () => {
    expect(crashing.isEmpty).toBe(true);
    crashing.adopt(
      {
        fingerprints: ['f', 'g'],
        revision: 2,
        suspects: [],
      },
      'c1',
    );
    crashing.adopt(
      {
        fingerprints: ['f'],
        revision: 1,
        suspects: [],
      },
      'c2',
    );
    crashing.adopt(NO_QUARANTINE, 'c2');
    expect(crashing.isQuarantined('g')).toBe(true);
    expect(crashing.isEmpty).toBe(false);
    const line = log.lines.find(({event}) => event === 'quarantine-adopted');
    expect(line).toMatchObject({count: 2, former: 0, newest: 'g'});
  });

  test('run again once the core says so', async () => {
    for (const life of ['i-1', 'i-2', 'i-3']) {
      crash(life, 'f');
      await pass(1_000);
    }
    crashing.adopt(
      {
        fingerprints: ['f'],
        revision: 1,
        suspects: [],
      },
      'c1',
    );
    crashing.adopt(
      {
        fingerprints: [],
        revision: 2,
        suspects: [],
      },
      'c1',
    );
    expect(crashing.isQuarantined('f')).toBe(false);
  });
});
