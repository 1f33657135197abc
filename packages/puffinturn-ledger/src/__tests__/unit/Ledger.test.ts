/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import fc from 'fast-check';
import type {Declaration} from 'puffinturn-settings';

import type {AdmitRecord, LedgerOutcome, LedgerRecord} from '../../index';
import {available, Ledger, ORPHAN_MS, targetFor} from '../../index';

const BUDGET = 'b';

function declareBudget(number: number, limit: number): LedgerRecord {
  const declaration = {
    kind: 'budget',
    name: BUDGET,
    number,
    scope: 'global',
    spec: {home: 'north', limit, team: 't'},
  } as Declaration;
  const digest = String(limit);
  return {at: 0, declaration, digest, kind: 'declare', operator: 'o'};
}

function admit(key: string, serial: number, change: Partial<AdmitRecord> = {}) {
  return {
    at: 0,
    box: 'box',
    budget: BUDGET,
    configIndex: 1_000_000,
    digest: key,
    generatedKey: false,
    incarnation: 'i1',
    keepMs: 1_000,
    key,
    kind: 'admit',
    marked: false,
    reserve: 10,
    serial,
    team: 't',
    ...change,
  } as const satisfies LedgerRecord;
}

/** A ledger that numbers its own records. */
class Fixture {
  readonly ledger = new Ledger('north', true);
  private index = 0;

  constructor(limit = 100) {
    this.apply(declareBudget(1, limit));
    this.register('box', 'i1');
  }

  apply(record: LedgerRecord): LedgerOutcome {
    this.index += 1;
    return this.ledger.apply(record, this.index);
  }

  register(box: string, incarnation: string): void {
    this.apply({at: 0, box, hall: 'h', incarnation, kind: 'register'});
  }

  get budget() {
    const budget = this.ledger.budgets.get(BUDGET);
    if (budget === undefined) {
      throw new Error('no budget');
    }
    return budget;
  }
}

const ID = {attempt: 1, key: 'k', team: 't'};

/** Another region has billed the request of ID. */
function claimBy(region: string): LedgerRecord {
  return {
    ...ID,
    at: 0,
    box: 's',
    budget: BUDGET,
    digest: 'k',
    incarnation: 's',
    keepMs: 1_000,
    kind: 'claim',
    region,
  };
}

describe('Ledger', () => {
  test('an admission that is sent again reserves once', () => {
    const fixture = new Fixture();
    fixture.apply(admit('k', 1));
    expect(fixture.apply(admit('k', 1))).toMatchObject({kind: 'admitted'});
    expect(fixture.budget.reserved).toBe(10);
  });

  test('a settlement that is sent again charges once', () => {
    const fixture = new Fixture();
    fixture.apply(admit('k', 1));
    const settle = {
      ...ID,
      at: 0,
      charge: 7,
      kind: 'settle',
      outcome: 'settled',
    } as const;
    expect(fixture.apply(settle)).toMatchObject({charge: 7, kind: 'done'});
    expect(fixture.apply(settle)).toMatchObject({charge: 7, kind: 'closed'});
    expect(fixture.budget).toMatchObject({reserved: 0, settled: 7});
  });

  test('a late admission below the floor is refused', () => {
    const fixture = new Fixture();
    fixture.apply({
      at: 0,
      box: 'box',
      incarnation: 'i1',
      kind: 'floor',
      serial: 5,
    });
    expect(fixture.apply(admit('k', 4)).kind).toBe('fenced');
  });

  test('a floor releases admissions whose answer was lost', () => {
    const fixture = new Fixture();
    fixture.apply(admit('k', 1));
    fixture.apply({
      at: 0,
      box: 'box',
      incarnation: 'i1',
      kind: 'floor',
      serial: 2,
    });
    expect(fixture.budget.reserved).toBe(0);
  });

  test('a fenced process still releases what it gave up, unbilled', () => {
    const fixture = new Fixture();
    fixture.apply(admit('k', 1, {generatedKey: true}));
    fixture.apply({at: 0, box: 'box', incarnation: 'i1', kind: 'fence'});
    fixture.apply({
      at: 0,
      box: 'box',
      incarnation: 'i1',
      kind: 'floor',
      serial: 2,
    });
    fixture.apply({at: ORPHAN_MS + 1, kind: 'sweep'});
    expect(fixture.budget).toMatchObject({reserved: 0, settled: 0});
  });

  test('a decision under an older configuration is refused', () => {
    const fixture = new Fixture();
    fixture.apply(declareBudget(2, 200));
    const outcome = fixture.apply(admit('k', 1, {configIndex: 1}));
    expect(outcome).toMatchObject({configIndex: 3, kind: 'stale-config'});
  });

  test('a dispatched request of a dead box is never taken over', () => {
    const fixture = new Fixture();
    fixture.register('other', 'i2');
    fixture.apply(admit('k', 1, {marked: true}));
    fixture.apply({...ID, kind: 'dispatch', upstream: 'u'});
    fixture.apply({at: 0, box: 'box', incarnation: 'i1', kind: 'fence'});
    const retry = admit('k', 1, {
      box: 'other',
      incarnation: 'i2',
      marked: true,
    });
    expect(fixture.apply(retry)).toMatchObject({
      kind: 'present',
      request: {ownerGone: true, state: 'dispatched'},
    });
    fixture.apply({at: ORPHAN_MS + 1, kind: 'sweep'});
    expect(fixture.budget).toMatchObject({reserved: 0, settled: 10});
    expect(fixture.apply(retry)).toMatchObject({
      request: {state: 'unknown'},
    });
  });

  test('a repeatable request of a dead box goes on under the next attempt', () => {
    const fixture = new Fixture();
    fixture.register('other', 'i2');
    fixture.apply(admit('k', 1));
    fixture.apply({at: 0, box: 'box', incarnation: 'i1', kind: 'fence'});
    const retry = admit('k', 1, {box: 'other', incarnation: 'i2'});
    expect(fixture.apply(retry)).toMatchObject({attempt: 2, kind: 'admitted'});
    expect(fixture.budget.reserved).toBe(10);
    const late = {
      ...ID,
      at: 0,
      charge: 5,
      kind: 'settle',
      outcome: 'settled',
    } as const;
    expect(fixture.apply(late).kind).toBe('superseded');
  });

  test('racing changes with one number: one wins, the same one repeats', () => {
    const fixture = new Fixture();
    expect(fixture.apply(declareBudget(2, 300)).kind).toBe('accepted');
    expect(fixture.apply(declareBudget(2, 400)).kind).toBe('conflict');
    expect(fixture.apply(declareBudget(2, 300)).kind).toBe('accepted');
    expect(fixture.apply(declareBudget(1, 100)).kind).toBe('stale');
    expect(fixture.budget.limit).toBe(300);
  });

  test('a limit below what is committed is rejected', () => {
    const fixture = new Fixture();
    fixture.apply(admit('k', 1));
    expect(fixture.apply(declareBudget(2, 9)).kind).toBe('rejected');
  });

  test('of two regions that billed one request the second takes it back', () => {
    const fixture = new Fixture();
    expect(fixture.apply(claimBy('south')).kind).toBe('claimed');
    expect(fixture.apply(claimBy('south')).kind).toBe('claimed');
    expect(fixture.apply(claimBy('west')).kind).toBe('duplicate');
    expect(fixture.apply(admit('k', 1)).kind).toBe('present');
  });

  test('a claim outlives the attempt that was running here', () => {
    const fixture = new Fixture();
    fixture.register('other', 'i2');
    fixture.apply(admit('k', 1));
    fixture.apply(claimBy('south'));
    fixture.apply({at: 0, box: 'box', incarnation: 'i1', kind: 'fence'});
    fixture.apply(admit('k', 1, {box: 'other', incarnation: 'i2'}));
    fixture.apply({
      ...ID,
      at: 0,
      attempt: 2,
      charge: 5,
      kind: 'settle',
      outcome: 'settled',
    });
    expect(fixture.budget).toMatchObject({reserved: 0, settled: 0});
  });

  test('an orphan that another region bills costs nothing', () => {
    const fixture = new Fixture();
    fixture.apply(admit('k', 1));
    fixture.apply(claimBy('south'));
    fixture.apply({at: 0, box: 'box', incarnation: 'i1', kind: 'fence'});
    fixture.apply({at: ORPHAN_MS + 1, kind: 'sweep'});
    expect(fixture.budget).toMatchObject({reserved: 0, settled: 0});
  });

  test.each([
    ['counts once', {}, 30],
    ['would count twice if the ledger were broken', {receiveTwice: true}, 60],
  ])('a grant that arrives again %s', (_name, breakage, expected) => {
    const south = new Ledger('south', false, breakage);
    const declared = declareBudget(1, 100);
    if (declared.kind === 'declare') {
      south.apply({...declared, kind: 'import', sequence: 1}, 1);
    }
    const receive = {
      amount: 30,
      budget: BUDGET,
      kind: 'receive',
      number: 1,
    } as const;
    south.apply(receive, 2);
    south.apply(receive, 3);
    expect(south.budgets.get(BUDGET)?.received).toBe(expected);
  });

  test('any records keep the budget and survive a snapshot', () => {
    const key = fc.constantFrom('k1', 'k2', 'k3');
    const serial = fc.integer({max: 6, min: 1});
    const attempt = fc.integer({max: 3, min: 1});
    const amount = fc.integer({max: 60, min: 0});
    const number = fc.integer({max: 3, min: 1});
    const at = fc.integer({max: 200_000, min: 0});
    const record: fc.Arbitrary<LedgerRecord> = fc.oneof(
      fc
        .tuple(key, serial, amount, fc.boolean(), fc.boolean())
        .map(([k, s, reserve, marked, generatedKey]) =>
          admit(k, s, {generatedKey, marked, reserve}),
        ),
      fc.tuple(key, attempt, amount, at).map(([k, a, charge, time]) => ({
        at: time,
        attempt: a,
        charge,
        key: k,
        kind: 'settle' as const,
        outcome: 'settled' as const,
        team: 't',
      })),
      fc.tuple(key, attempt, at).map(([k, a, time]) => ({
        at: time,
        attempt: a,
        key: k,
        kind: 'void' as const,
        team: 't',
      })),
      fc.tuple(number, amount).map(([n, units]) => ({
        amount: units,
        budget: BUDGET,
        kind: 'grant' as const,
        number: n,
        region: 'south',
      })),
      fc.tuple(number, amount).map(([n, units]) => ({
        amount: Math.min(units, 1),
        budget: BUDGET,
        kind: 'accept-return' as const,
        number: n,
        region: 'south',
      })),
      at.map((time) => ({at: time, kind: 'sweep' as const})),
    );
    fc.assert(
      fc.property(fc.array(record, {maxLength: 40}), (records) => {
        const fixture = new Fixture();
        for (const one of records) {
          // Returns without a grant are never sent; the receiver counts them.
          const granted = fixture.budget.regions.south?.granted ?? 0;
          if (one.kind !== 'accept-return' || granted > 10) {
            fixture.apply(one);
          }
          expect(available(fixture.budget)).toBeGreaterThanOrEqual(0);
        }
        const copy = new Ledger('north', true);
        copy.restore(fixture.ledger.snapshot());
        expect(copy.snapshot()).toEqual(fixture.ledger.snapshot());
      }),
      {numRuns: 200, seed: 3},
    );
  });
});

describe('targetFor', () => {
  test('both regions run dry together', () => {
    const home = {available: 900, rate: 3};
    const other = {available: 100, rate: 1};
    expect(targetFor(home, other)).toBeGreaterThanOrEqual(249);
    expect(targetFor(home, other)).toBeLessThanOrEqual(251);
  });

  test('never gives more than there is', () => {
    const amount = fc.integer({max: 1e9, min: 0});
    const rate = fc.double({max: 1e6, min: 0, noNaN: true});
    fc.assert(
      fc.property(amount, amount, rate, rate, (a, b, r, s) => {
        const target = targetFor(
          {available: a, rate: r},
          {available: b, rate: s},
        );
        expect(target).toBeLessThanOrEqual(a + b);
        expect(target).toBeGreaterThanOrEqual(0);
      }),
      {seed: 4},
    );
  });
});
