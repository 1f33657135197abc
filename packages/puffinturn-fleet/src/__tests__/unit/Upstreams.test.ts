/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import fc from 'fast-check';

import type {UpstreamRecord} from '../../index';
import {UPSTREAM_STATE, UpstreamTable} from '../../index';
import {upstreamOf} from '../utils/FleetFixture';

describe('UpstreamTable', () => {
  test('tells what changed after a revision, and no plain heartbeat', () => {
    const table = new UpstreamTable();
    expect(table.merge(upstreamOf(), 0)).toBe(true);
    const {revision} = table;
    expect(table.merge(upstreamOf({sequence: 2}), 1)).toBe(false);
    expect(table.changedSince(revision)).toEqual([]);
    const draining = upstreamOf({sequence: 3, state: UPSTREAM_STATE.draining});
    expect(table.merge(draining, 2)).toBe(true);
    expect(table.changedSince(revision)).toEqual([draining]);
  });

  test('does not go back for a heartbeat that comes late', () => {
    const table = new UpstreamTable();
    table.merge(upstreamOf({sequence: 5, state: UPSTREAM_STATE.draining}), 0);
    expect(table.merge(upstreamOf({sequence: 4}), 1)).toBe(false);
    expect(table.get('i-1')?.state).toBe(UPSTREAM_STATE.draining);
  });

  test('keeps what a life said of its limit, whatever its heartbeats say', () => {
    const table = new UpstreamTable();
    table.merge(upstreamOf(), 0);
    const {revision} = table;
    const limit = {perSecond: 1.2, revision: 2};
    expect(table.hearLimit({id: 'i-1'}, limit, 1)).toBe(true);
    expect(table.hearLimit({id: 'i-1'}, limit, 2)).toBe(false);
    const earlier = {perSecond: 0.5, revision: 1};
    expect(table.hearLimit({id: 'i-1'}, earlier, 3)).toBe(false);
    table.merge(upstreamOf({sequence: 2}), 4);
    expect(table.changedSince(revision)).toEqual([
      upstreamOf({limit, sequence: 2}),
    ]);
  });

  test('learns limits from other boxes, in late words of the same life too', () => {
    const table = new UpstreamTable();
    table.merge(upstreamOf({sequence: 5}), 0);
    const limit = {perSecond: 1.2, revision: 1};
    table.merge(upstreamOf({limit, sequence: 4}), 1);
    expect(table.get('i-1')).toEqual(upstreamOf({limit, sequence: 5}));
  });

  test('keeps no limit of another life', () => {
    const table = new UpstreamTable();
    table.merge(upstreamOf({bornAt: 1}), 0);
    const limit = {perSecond: 1.2, revision: 1};
    expect(table.hearLimit({bornAt: 2, id: 'i-1'}, limit, 1)).toBe(false);
    expect(table.hearLimit({bornAt: 1, id: 'i-1'}, limit, 1)).toBe(true);
    table.merge(upstreamOf({bornAt: 2}), 2);
    table.merge(upstreamOf({bornAt: 1, limit, sequence: 9}), 3);
    expect(table.get('i-1')).toEqual(upstreamOf({bornAt: 2}));
  });

  test('remembers an upstream that left before it was known', () => {
    const table = new UpstreamTable();
    expect(table.remove('i-1', 0)).toBe(true);
    expect(table.merge(upstreamOf({sequence: 9}), 1)).toBe(false);
    expect(table.get('i-1')?.state).toBe(UPSTREAM_STATE.gone);
  });

  test('tells when an upstream turns cold, once for each time', () => {
    const table = new UpstreamTable();
    table.merge(upstreamOf({coldMs: 3_000}), 0);
    expect(table.coldUntil('i-1')).toBe(3_000);
    // Nothing new: the same end as known.
    const later = upstreamOf({coldMs: 1_800, sequence: 2});
    expect(table.merge(later, 1_200)).toBe(false);
    expect(table.merge(upstreamOf({sequence: 3}), 3_600)).toBe(false);
    const again = upstreamOf({coldMs: 2_000, sequence: 4});
    expect(table.merge(again, 4_800)).toBe(true);
    // Cold for longer than known: it turned cold once more.
    const more = upstreamOf({coldMs: 3_000, sequence: 5});
    expect(table.merge(more, 6_000)).toBe(true);
    expect(table.coldUntil('i-1')).toBe(9_000);
  });

  test('tells of a cold time once, also where two boxes pass it on', () => {
    const table = new UpstreamTable();
    const cold = upstreamOf({coldMs: 3_000});
    table.merge(cold, 0);
    table.merge(cold, 2_000);
    expect(table.coldUntil('i-1')).toBe(3_000);
  });

  test('another box does not forget an upstream that calls only this one', () => {
    const called = new UpstreamTable();
    const told = new UpstreamTable();
    let revision = 0;
    for (let at = 0; at <= 180_000; at += 1_200) {
      called.merge(upstreamOf({sequence: at + 1}), at);
      for (const record of called.changedSince(revision)) {
        told.merge(record, at);
      }
      revision = called.revision;
      told.expire(at);
    }
    expect(told.get('i-1')?.state).toBe(UPSTREAM_STATE.ready);
    expect(revision).toBeLessThan(12);
  });

  test('forgets what has long been silent', () => {
    const table = new UpstreamTable();
    table.merge(upstreamOf(), 0);
    table.expire(61_000);
    expect(table.records()).toEqual([]);
  });
});

describe('Lives of one id', () => {
  const former = upstreamOf({bornAt: 1_000, sequence: 50});
  const next = upstreamOf({bornAt: 2_000, sequence: 1});
  const {draining, gone, ready} = UPSTREAM_STATE;

  function tableOf(...records: readonly UpstreamRecord[]) {
    const table = new UpstreamTable();
    for (const record of records) {
      table.merge(record, 0);
    }
    return table;
  }

  test('a later one counts though its sequence is lower', () => {
    const table = tableOf(former);
    expect(table.merge(next, 1)).toBe(true);
    expect(table.get('i-1')).toEqual(next);
  });

  test('a late word of a former one changes nothing', () => {
    const table = tableOf(former, next);
    const {revision} = table;
    const late = {...former, sequence: 90, state: draining};
    expect(table.merge(late, 1)).toBe(false);
    expect(table.remove('i-1', 1, 1_000)).toBe(false);
    expect(table.get('i-1')).toEqual(next);
    expect(table.changedSince(revision)).toEqual([]);
  });

  test('one that is gone does not come back, the next one serves', () => {
    const table = tableOf(former);
    expect(table.remove('i-1', 1, 1_000)).toBe(true);
    expect(table.merge({...former, sequence: 51}, 2)).toBe(false);
    expect(table.get('i-1')?.state).toBe(gone);
    expect(table.merge(next, 3)).toBe(true);
    expect(table.get('i-1')?.state).toBe(ready);
  });

  test('a leaving that names none ends the one that is known', () => {
    const table = tableOf(former, next);
    expect(table.remove('i-1', 1)).toBe(true);
    expect(table.get('i-1')).toMatchObject({bornAt: 2_000, state: gone});
    expect(table.merge({...next, sequence: 2}, 2)).toBe(false);
    expect(table.merge({...next, bornAt: 3_000}, 3)).toBe(true);
  });

  test('a leaving of a later one that nobody heard of ends the former too', () => {
    const table = tableOf(former);
    expect(table.remove('i-1', 1, 2_000)).toBe(true);
    expect(table.merge({...former, sequence: 51}, 2)).toBe(false);
    expect(table.merge(next, 2)).toBe(false);
    expect(table.get('i-1')).toMatchObject({bornAt: 2_000, state: gone});
  });

  test('a leaving of an unknown id that names none does not end the next', () => {
    const table = new UpstreamTable();
    expect(table.remove('i-1', 0)).toBe(true);
    expect(table.merge(next, 1)).toBe(true);
    expect(table.get('i-1')?.state).toBe(ready);
  });

  test('a word that names none changes nothing once one is known', () => {
    const table = tableOf(former);
    const untold = upstreamOf({sequence: 99, state: draining});
    expect(table.merge(untold, 1)).toBe(false);
    expect(table.get('i-1')).toEqual(former);
  });

  test('one that names its start follows one that names none', () => {
    const table = tableOf(upstreamOf({sequence: 99}));
    expect(table.merge(next, 1)).toBe(true);
    expect(table.get('i-1')).toEqual(next);
  });

  test('one whose clock stepped back waits until the later one is forgotten', () => {
    const table = tableOf(next);
    const back = upstreamOf({bornAt: 1_500});
    expect(table.merge(back, 1)).toBe(false);
    table.expire(60_001);
    expect(table.merge(back, 60_002)).toBe(true);
  });

  test('the cold time of a former one does not go on', () => {
    const table = tableOf({...former, coldMs: 5_000});
    table.merge({...next, coldMs: 1_000}, 100);
    expect(table.coldUntil('i-1')).toBe(1_100);
    table.merge({...next, bornAt: 3_000}, 200);
    expect(table.coldUntil('i-1')).toBe(-Infinity);
  });

  test('a change of version is news', () => {
    const table = tableOf(former);
    const {revision} = table;
    const other = {...former, sequence: 51, version: 'v2'};
    expect(table.merge(other, 1)).toBe(true);
    expect(table.changedSince(revision)).toEqual([other]);
  });

  test.each(['__proto__', 'constructor', 'hasOwnProperty'])(
    'the id %s is one like any other',
    (id) => {
      const table = new UpstreamTable();
      expect(table.get(id)).toBeUndefined();
      expect(table.remove(id, 0)).toBe(true);
      expect(table.merge({...next, id}, 0)).toBe(true);
      expect(table.get(id)?.bornAt).toBe(2_000);
    },
  );
});

/**
 * Every upstream speaks in order, in one life after the other. Words reach any of
 * two control boxes in any order, twice or late; the boxes tell each other, and an
 * edge hears both.
 */
describe('Words in any order over two control boxes', () => {
  interface Word {
    readonly record: UpstreamRecord;
    readonly leaves: boolean;
  }

  const wordOf = fc
    .record({
      bornAt: fc.constantFrom(undefined, 1_000, 2_000, 3_000),
      id: fc.constantFrom('i-1', '__proto__'),
      leaves: fc.nat(9).map((drawn) => drawn === 0),
      sequence: fc.integer({max: 6, min: 1}),
    })
    .map(({bornAt, id, leaves, sequence}): Word => {
      // What a life says is a function of its sequence, as it says each word once.
      const state =
        (sequence * 7 + (bornAt ?? 0) / 1_000) % 3 === 0
          ? UPSTREAM_STATE.draining
          : UPSTREAM_STATE.ready;
      const address = `10.0.0.1:${bornAt ?? 1}`;
      return {
        leaves,
        record: upstreamOf({address, bornAt, id, sequence, state}),
      };
    });
  const stepOf = fc.oneof(
    {arbitrary: fc.record({box: fc.nat(1), word: wordOf}), weight: 3},
    {arbitrary: fc.record({from: fc.nat(1), to: fc.nat(2)}), weight: 2},
  );

  class Spread {
    readonly tables = [0, 1, 2].map(() => new UpstreamTable());
    private readonly heard = new Map<string, number>();

    tell(from: number, to: number): void {
      const [giver, taker] = [this.tables[from], this.tables[to]];
      if (giver === undefined || taker === undefined || from === to) {
        return;
      }
      const since = this.heard.get(`${from} ${to}`) ?? 0;
      this.heard.set(`${from} ${to}`, giver.revision);
      for (const record of giver.changedSince(since)) {
        taker.merge(record, 0);
      }
    }

    settle(): void {
      for (let round = 0; round < 4; round += 1) {
        for (const from of [0, 1]) {
          for (const to of [0, 1, 2].filter((at) => at !== from)) {
            this.tell(from, to);
          }
        }
      }
    }
  }

  /** What all must end with: the newest life's end, or its last word. */
  function expected(words: readonly Word[], id: string) {
    const own = words.filter(({record}) => record.id === id);
    const newest = own.reduce<number>(
      (latest, {record}) => Math.max(latest, record.bornAt ?? -Infinity),
      -Infinity,
    );
    const said = own.filter(
      ({record}) => (record.bornAt ?? -Infinity) === newest,
    );
    const last = said.reduce<Word | undefined>((best, word) => {
      const sequence = best?.record.sequence ?? -Infinity;
      return word.record.sequence > sequence ? word : best;
    }, undefined);
    const state = said.some(({leaves}) => leaves)
      ? UPSTREAM_STATE.gone
      : last?.record.state;
    return {bornAt: last?.record.bornAt, state};
  }

  test('all end with the newest life, and with its end or its last word', () => {
    fc.assert(
      fc.property(fc.array(stepOf, {maxLength: 40, size: 'max'}), (steps) => {
        const spread = new Spread();
        const words: Word[] = [];
        for (const step of steps) {
          if ('from' in step) {
            spread.tell(step.from, step.to);
            continue;
          }
          const {leaves, record} = step.word;
          // Without a life it is the known one that leaves; see the cases above.
          const hasLife = record.bornAt !== undefined;
          words.push({leaves: leaves && hasLife, record});
          spread.tables[step.box]?.merge(record, 0);
          if (leaves && hasLife) {
            spread.tables[step.box]?.remove(record.id, 0, record.bornAt);
          }
        }
        spread.settle();
        for (const id of new Set(words.map(({record}) => record.id))) {
          const wanted = expected(words, id);
          const found = spread.tables.map((table) => {
            const {bornAt, state} = table.get(id) ?? {};
            return {bornAt, state};
          });
          expect(found).toEqual([wanted, wanted, wanted]);
        }
      }),
      {numRuns: 2_000, seed: 11},
    );
  });

  test('no step brings a former life back', () => {
    fc.assert(
      fc.property(fc.array(stepOf, {maxLength: 40, size: 'max'}), (steps) => {
        const spread = new Spread();
        const newest = new Map<string, number>();
        for (const step of steps) {
          if ('from' in step) {
            spread.tell(step.from, step.to);
          } else {
            spread.tables[step.box]?.merge(step.word.record, 0);
          }
          for (const [at, table] of spread.tables.entries()) {
            for (const {bornAt = -Infinity, id} of table.records()) {
              const key = `${at} ${id}`;
              expect(bornAt).toBeGreaterThanOrEqual(
                newest.get(key) ?? -Infinity,
              );
              newest.set(key, bornAt);
            }
          }
        }
      }),
      {numRuns: 500, seed: 12},
    );
  });
});
