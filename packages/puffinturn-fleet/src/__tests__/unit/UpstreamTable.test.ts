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

// Lost, late or repeated heartbeats must not revert newer state.
describe('UpstreamTable', () => {
  test('returns changes after a revision, but no unchanged heartbeats', () => {
    const table = new UpstreamTable();
    expect(table.merge(upstreamOf(), 0)).toBe(true);
    const {revision} = table;
    expect(table.merge(upstreamOf({sequence: 2}), 1)).toBe(false);
    expect(table.changedSince(revision)).toEqual([]);
    const draining = upstreamOf({sequence: 3, state: UPSTREAM_STATE.draining});
    expect(table.merge(draining, 2)).toBe(true);
    expect(table.changedSince(revision)).toEqual([draining]);
  });

  test('does not return a draining upstream to service, whatever comes after it', () => {
    const table = new UpstreamTable();
    const draining = upstreamOf({sequence: 3, state: UPSTREAM_STATE.draining});
    table.merge(upstreamOf({sequence: 5}), 0);
    expect(table.merge(draining, 1)).toBe(true);
    const {revision} = table;
    expect(table.merge(upstreamOf({sequence: 6}), 2)).toBe(false);
    const current = upstreamOf({sequence: 6, state: UPSTREAM_STATE.draining});
    // The sender of the ready heartbeat lacks the drain.
    expect(table.changedSince(revision)).toEqual([current]);
  });

  test('publishes a departure once, however often the log repeats it', () => {
    const table = new UpstreamTable();
    table.merge(upstreamOf(), 0);
    expect(table.markDeparted({id: 'i-1'}, 1)).toBe(true);
    table.markGone('i-1', 2);
    const {revision} = table;
    expect(table.markDeparted({id: 'i-1'}, 3)).toBe(false);
    expect(table.changedSince(revision)).toEqual([]);
  });

  test('ignores a heartbeat that arrives out of order', () => {
    const table = new UpstreamTable();
    table.merge(upstreamOf({sequence: 5, state: UPSTREAM_STATE.draining}), 0);
    expect(table.merge(upstreamOf({sequence: 4}), 1)).toBe(false);
    expect(table.get('i-1')?.state).toBe(UPSTREAM_STATE.draining);
  });

  test('keeps the limit of an incarnation when heartbeats carry none', () => {
    const table = new UpstreamTable();
    table.merge(upstreamOf(), 0);
    const {revision} = table;
    const limit = {perSecond: 1.2, revision: 2};
    expect(table.updateLimit({id: 'i-1'}, limit, 1)).toBe(true);
    expect(table.updateLimit({id: 'i-1'}, limit, 2)).toBe(false);
    const earlier = {perSecond: 0.5, revision: 1};
    expect(table.updateLimit({id: 'i-1'}, earlier, 3)).toBe(false);
    table.merge(upstreamOf({sequence: 2}), 4);
    expect(table.changedSince(revision)).toEqual([
      upstreamOf({limit, sequence: 2}),
    ]);
  });

  test('accepts a limit from a late record of the same incarnation', () => {
    const table = new UpstreamTable();
    table.merge(upstreamOf({sequence: 5}), 0);
    const limit = {perSecond: 1.2, revision: 1};
    table.merge(upstreamOf({limit, sequence: 4}), 1);
    expect(table.get('i-1')).toEqual(upstreamOf({limit, sequence: 5}));
  });

  test('drops limits of other incarnations', () => {
    const table = new UpstreamTable();
    table.merge(upstreamOf({bornAt: 1}), 0);
    const limit = {perSecond: 1.2, revision: 1};
    expect(table.updateLimit({bornAt: 2, id: 'i-1'}, limit, 1)).toBe(false);
    expect(table.updateLimit({bornAt: 1, id: 'i-1'}, limit, 1)).toBe(true);
    table.merge(upstreamOf({bornAt: 2}), 2);
    table.merge(upstreamOf({bornAt: 1, limit, sequence: 9}), 3);
    expect(table.get('i-1')).toEqual(upstreamOf({bornAt: 2}));
  });

  test('ignores heartbeats of an upstream that left before its first heartbeat', () => {
    const table = new UpstreamTable();
    expect(table.markGone('i-1', 0)).toBe(true);
    expect(table.merge(upstreamOf({sequence: 9}), 1)).toBe(false);
    expect(table.get('i-1')?.state).toBe(UPSTREAM_STATE.gone);
  });

  test('reports each start of a warm-up once', () => {
    const table = new UpstreamTable();
    table.merge(upstreamOf({coldMs: 3_000}), 0);
    expect(table.coldUntil('i-1')).toBe(3_000);
    // The warm-up end is unchanged.
    const later = upstreamOf({coldMs: 1_800, sequence: 2});
    expect(table.merge(later, 1_200)).toBe(false);
    expect(table.merge(upstreamOf({sequence: 3}), 3_600)).toBe(false);
    const restarted = upstreamOf({coldMs: 2_000, sequence: 4});
    expect(table.merge(restarted, 4_800)).toBe(true);
    // A later warm-up end means that another warm-up has started.
    const extended = upstreamOf({coldMs: 3_000, sequence: 5});
    expect(table.merge(extended, 6_000)).toBe(true);
    expect(table.coldUntil('i-1')).toBe(9_000);
  });

  test('does not extend a warm-up when two boxes forward the same record', () => {
    const table = new UpstreamTable();
    const record = upstreamOf({coldMs: 3_000});
    table.merge(record, 0);
    table.merge(record, 2_000);
    expect(table.coldUntil('i-1')).toBe(3_000);
  });

  test('another box does not expire an upstream that sends heartbeats only to this one', () => {
    const receiver = new UpstreamTable();
    const replica = new UpstreamTable();
    let revision = 0;
    for (let now = 0; now <= 180_000; now += 1_200) {
      receiver.merge(upstreamOf({sequence: now + 1}), now);
      for (const record of receiver.changedSince(revision)) {
        replica.merge(record, now);
      }
      revision = receiver.revision;
      replica.expire(now);
    }
    expect(replica.get('i-1')?.state).toBe(UPSTREAM_STATE.ready);
    expect(revision).toBeLessThan(12);
  });

  test('removes upstreams that have sent nothing for too long', () => {
    const table = new UpstreamTable();
    table.merge(upstreamOf(), 0);
    table.expire(61_000);
    expect(table.records()).toEqual([]);
  });
});

// Records of an earlier incarnation must not replace those of a later one.
describe('Incarnations of one upstream', () => {
  const previous = upstreamOf({bornAt: 1_000, sequence: 50});
  const next = upstreamOf({bornAt: 2_000, sequence: 1});
  const {draining, gone, ready} = UPSTREAM_STATE;

  function createTable(...records: readonly UpstreamRecord[]) {
    const table = new UpstreamTable();
    for (const record of records) {
      table.merge(record, 0);
    }
    return table;
  }

  test('a later one replaces an earlier one despite a lower sequence', () => {
    const table = createTable(previous);
    expect(table.merge(next, 1)).toBe(true);
    expect(table.get('i-1')).toEqual(next);
  });

  test('a late record of an earlier one changes nothing', () => {
    const table = createTable(previous, next);
    const {revision} = table;
    const late = {...previous, sequence: 90, state: draining};
    expect(table.merge(late, 1)).toBe(false);
    expect(table.markGone('i-1', 1, 1_000)).toBe(false);
    expect(table.get('i-1')).toEqual(next);
    expect(table.changedSince(revision)).toEqual([]);
  });

  test('one that is gone does not return, and the next one is ready', () => {
    const table = createTable(previous);
    expect(table.markGone('i-1', 1, 1_000)).toBe(true);
    expect(table.merge({...previous, sequence: 51}, 2)).toBe(false);
    expect(table.get('i-1')?.state).toBe(gone);
    expect(table.merge(next, 3)).toBe(true);
    expect(table.get('i-1')?.state).toBe(ready);
  });

  test('a leave call without a start time ends the known one', () => {
    const table = createTable(previous, next);
    expect(table.markGone('i-1', 1)).toBe(true);
    expect(table.get('i-1')).toMatchObject({bornAt: 2_000, state: gone});
    expect(table.merge({...next, sequence: 2}, 2)).toBe(false);
    expect(table.merge({...next, bornAt: 3_000}, 3)).toBe(true);
  });

  test('a leave call of an unknown later one ends the earlier one too', () => {
    const table = createTable(previous);
    expect(table.markGone('i-1', 1, 2_000)).toBe(true);
    expect(table.merge({...previous, sequence: 51}, 2)).toBe(false);
    expect(table.merge(next, 2)).toBe(false);
    expect(table.get('i-1')).toMatchObject({bornAt: 2_000, state: gone});
  });

  test('a leave call for an unknown ID without a start time does not end a later one', () => {
    const table = new UpstreamTable();
    expect(table.markGone('i-1', 0)).toBe(true);
    expect(table.merge(next, 1)).toBe(true);
    expect(table.get('i-1')?.state).toBe(ready);
  });

  test('a record without a start time changes nothing once a start time is known', () => {
    const table = createTable(previous);
    const withoutStart = upstreamOf({sequence: 99, state: draining});
    expect(table.merge(withoutStart, 1)).toBe(false);
    expect(table.get('i-1')).toEqual(previous);
  });

  test('one with a start time replaces one without', () => {
    const table = createTable(upstreamOf({sequence: 99}));
    expect(table.merge(next, 1)).toBe(true);
    expect(table.get('i-1')).toEqual(next);
  });

  test('one whose clock was set back is ignored until the later one has expired', () => {
    const table = createTable(next);
    const earlier = upstreamOf({bornAt: 1_500});
    expect(table.merge(earlier, 1)).toBe(false);
    table.expire(60_001);
    expect(table.merge(earlier, 60_002)).toBe(true);
  });

  test('a later one does not inherit the warm-up of an earlier one', () => {
    const table = createTable({...previous, coldMs: 5_000});
    table.merge({...next, coldMs: 1_000}, 100);
    expect(table.coldUntil('i-1')).toBe(1_100);
    table.merge({...next, bornAt: 3_000}, 200);
    expect(table.coldUntil('i-1')).toBe(-Infinity);
  });

  test('a version change is published', () => {
    const table = createTable(previous);
    const {revision} = table;
    const upgraded = {...previous, sequence: 51, version: 'v2'};
    expect(table.merge(upgraded, 1)).toBe(true);
    expect(table.changedSince(revision)).toEqual([upgraded]);
  });

  test.each(['__proto__', 'constructor', 'hasOwnProperty'])(
    'the ID %s is handled like any other',
    (id) => {
      const table = new UpstreamTable();
      expect(table.get(id)).toBeUndefined();
      expect(table.markGone(id, 0)).toBe(true);
      expect(table.merge({...next, id}, 0)).toBe(true);
      expect(table.get(id)?.bornAt).toBe(2_000);
    },
  );
});

// Two control boxes and an edge must converge on the same state although heartbeats
// arrive late, repeatedly or out of order.
describe('Replication of heartbeats over two control boxes', () => {
  interface Heartbeat {
    readonly record: UpstreamRecord;
    readonly isLeaving: boolean;
  }

  const heartbeatArbitrary = fc
    .record({
      bornAt: fc.constantFrom(undefined, 1_000, 2_000, 3_000),
      id: fc.constantFrom('i-1', '__proto__'),
      isLeaving: fc.nat(9).map((value) => value === 0),
      sequence: fc.integer({max: 6, min: 1}),
    })
    .map(({bornAt, id, isLeaving, sequence}): Heartbeat => {
      // State is a function of the sequence, as each sequence number is used once.
      const state =
        (sequence * 7 + (bornAt ?? 0) / 1_000) % 3 === 0
          ? UPSTREAM_STATE.draining
          : UPSTREAM_STATE.ready;
      const address = `10.0.0.1:${bornAt ?? 1}`;
      return {
        isLeaving,
        record: upstreamOf({address, bornAt, id, sequence, state}),
      };
    });
  const stepArbitrary = fc.oneof(
    {
      arbitrary: fc.record({box: fc.nat(1), heartbeat: heartbeatArbitrary}),
      weight: 3,
    },
    {arbitrary: fc.record({from: fc.nat(1), to: fc.nat(2)}), weight: 2},
  );

  class ReplicaNetwork {
    readonly tables = [0, 1, 2].map(() => new UpstreamTable());
    private readonly receivedRevisions = new Map<string, number>();

    replicate(from: number, to: number): void {
      const [source, target] = [this.tables[from], this.tables[to]];
      if (source === undefined || target === undefined || from === to) {
        return;
      }
      const since = this.receivedRevisions.get(`${from} ${to}`) ?? 0;
      this.receivedRevisions.set(`${from} ${to}`, source.revision);
      for (const record of source.changedSince(since)) {
        target.merge(record, 0);
      }
    }

    replicateAll(): void {
      for (let round = 0; round < 4; round += 1) {
        for (const from of [0, 1]) {
          for (const to of [0, 1, 2].filter((index) => index !== from)) {
            this.replicate(from, to);
          }
        }
      }
    }
  }

  /** Returns the latest state in the life of the latest incarnation, in any order. */
  function expectedState(heartbeats: readonly Heartbeat[], id: string) {
    const own = heartbeats.filter(({record}) => record.id === id);
    const latestStart = own.reduce<number>(
      (latest, {record}) => Math.max(latest, record.bornAt ?? -Infinity),
      -Infinity,
    );
    const latest = own.filter(
      ({record}) => (record.bornAt ?? -Infinity) === latestStart,
    );
    const states = latest.map(({isLeaving, record}) =>
      isLeaving ? UPSTREAM_STATE.gone : record.state,
    );
    const {draining, gone, ready} = UPSTREAM_STATE;
    const state = [gone, draining, ready].find((value) =>
      states.includes(value),
    );
    return {bornAt: latest[0]?.record.bornAt, state};
  }

  test('all tables converge on the final state of the latest incarnation', () => {
    fc.assert(
      fc.property(
        fc.array(stepArbitrary, {maxLength: 40, size: 'max'}),
        (steps) => {
          const network = new ReplicaNetwork();
          const heartbeats: Heartbeat[] = [];
          for (const step of steps) {
            if ('from' in step) {
              network.replicate(step.from, step.to);
              continue;
            }
            const {isLeaving, record} = step.heartbeat;
            // Without a start time, a leave call would end the known incarnation.
            const hasStart = record.bornAt !== undefined;
            heartbeats.push({isLeaving: isLeaving && hasStart, record});
            network.tables[step.box]?.merge(record, 0);
            if (isLeaving && hasStart) {
              network.tables[step.box]?.markGone(record.id, 0, record.bornAt);
            }
          }
          network.replicateAll();
          for (const id of new Set(heartbeats.map(({record}) => record.id))) {
            const expected = expectedState(heartbeats, id);
            const actual = network.tables.map((table) => {
              const {bornAt, state} = table.get(id) ?? {};
              return {bornAt, state};
            });
            expect(actual).toEqual([expected, expected, expected]);
          }
        },
      ),
      {numRuns: 2_000, seed: 11},
    );
  });

  test('no step restores an earlier incarnation', () => {
    fc.assert(
      fc.property(
        fc.array(stepArbitrary, {maxLength: 40, size: 'max'}),
        (steps) => {
          const network = new ReplicaNetwork();
          const latestStarts = new Map<string, number>();
          for (const step of steps) {
            if ('from' in step) {
              network.replicate(step.from, step.to);
            } else {
              network.tables[step.box]?.merge(step.heartbeat.record, 0);
            }
            for (const [index, table] of network.tables.entries()) {
              for (const {bornAt = -Infinity, id} of table.records()) {
                const key = `${index} ${id}`;
                expect(bornAt).toBeGreaterThanOrEqual(
                  latestStarts.get(key) ?? -Infinity,
                );
                latestStarts.set(key, bornAt);
              }
            }
          }
        },
      ),
      {numRuns: 500, seed: 12},
    );
  });
});
