/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against double billing, overspent budgets, and replicas that diverge when
 * records are repeated, delayed or restored from a snapshot.
 */
import fc from 'fast-check';
import type {Declaration} from 'puffinturn-settings';

import type {AdmitRecord, LedgerOutcome, LedgerRecord} from '../../index';
import {
  availableUnits,
  computeGrantTarget,
  Ledger,
  ORPHAN_TIMEOUT_MS,
} from '../../index';

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

function admit(
  key: string,
  serial: number,
  overrides: Partial<AdmitRecord> = {},
) {
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
    ...overrides,
  } as const satisfies LedgerRecord;
}

/** A ledger with a budget and a registered box; assigns log indexes. */
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
      throw new Error(`budget ${BUDGET} does not exist`);
    }
    return budget;
  }
}

const ATTEMPT = {attempt: 1, key: 'k', team: 't'};

/** Claims the request of ATTEMPT for a region that has billed it. */
function claimFrom(region: string): LedgerRecord {
  return {
    ...ATTEMPT,
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
  // Guards against reserving twice when the reply to an admission is lost.
  test('a repeated admission reserves once', () => {
    const fixture = new Fixture();
    fixture.apply(admit('k', 1));
    expect(fixture.apply(admit('k', 1))).toMatchObject({kind: 'admitted'});
    expect(fixture.budget.reserved).toBe(10);
  });

  // Guards against charging twice when the reply to a settlement is lost.
  test('a repeated settlement charges once', () => {
    const fixture = new Fixture();
    fixture.apply(admit('k', 1));
    const settle = {
      ...ATTEMPT,
      at: 0,
      charge: 7,
      kind: 'settle',
      outcome: 'settled',
    } as const;
    expect(fixture.apply(settle)).toMatchObject({charge: 7, kind: 'done'});
    expect(fixture.apply(settle)).toMatchObject({charge: 7, kind: 'closed'});
    expect(fixture.budget).toMatchObject({reserved: 0, settled: 7});
  });

  // Guards against a delayed admission that no process would settle.
  test('an admission below the floor is refused', () => {
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

  // Guards against reservations that stay open after the reply was lost.
  test('a floor releases the admissions below it', () => {
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

  // Guards against billing requests that a fenced process did not run.
  test('a floor from a fenced incarnation releases its admissions without a charge', () => {
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
    fixture.apply({at: ORPHAN_TIMEOUT_MS + 1, kind: 'sweep'});
    expect(fixture.budget).toMatchObject({reserved: 0, settled: 0});
  });

  // Guards against admissions under limits that were replaced.
  test('an admission under an older configuration is refused', () => {
    const fixture = new Fixture();
    fixture.apply(declareBudget(2, 200));
    const outcome = fixture.apply(admit('k', 1, {configIndex: 1}));
    expect(outcome).toMatchObject({configIndex: 3, kind: 'stale-config'});
  });

  // Guards against running an at-most-once request twice.
  test('a dispatched at-most-once request of a fenced box is not admitted again', () => {
    const fixture = new Fixture();
    fixture.register('other', 'i2');
    fixture.apply(admit('k', 1, {marked: true}));
    fixture.apply({...ATTEMPT, kind: 'dispatch', upstream: 'u'});
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
    fixture.apply({at: ORPHAN_TIMEOUT_MS + 1, kind: 'sweep'});
    expect(fixture.budget).toMatchObject({reserved: 0, settled: 10});
    expect(fixture.apply(retry)).toMatchObject({
      request: {state: 'unknown'},
    });
  });

  // Guards against a second reservation, and against a settlement by the old attempt.
  test("a retry of a fenced box's request starts a new attempt", () => {
    const fixture = new Fixture();
    fixture.register('other', 'i2');
    fixture.apply(admit('k', 1));
    fixture.apply({at: 0, box: 'box', incarnation: 'i1', kind: 'fence'});
    const retry = admit('k', 1, {box: 'other', incarnation: 'i2'});
    expect(fixture.apply(retry)).toMatchObject({attempt: 2, kind: 'admitted'});
    expect(fixture.budget.reserved).toBe(10);
    const lateSettlement = {
      ...ATTEMPT,
      at: 0,
      charge: 5,
      kind: 'settle',
      outcome: 'settled',
    } as const;
    expect(fixture.apply(lateSettlement).kind).toBe('superseded');
  });

  // Guards against two versions of a declaration with the same number.
  test('of two changes with one number the first is accepted, also when repeated', () => {
    const fixture = new Fixture();
    expect(fixture.apply(declareBudget(2, 300)).kind).toBe('accepted');
    expect(fixture.apply(declareBudget(2, 400)).kind).toBe('conflict');
    expect(fixture.apply(declareBudget(2, 300)).kind).toBe('accepted');
    expect(fixture.apply(declareBudget(1, 100)).kind).toBe('stale');
    expect(fixture.budget.limit).toBe(300);
  });

  // Guards against an overspent budget after its limit is lowered.
  test('a limit below the committed units is rejected', () => {
    const fixture = new Fixture();
    fixture.apply(admit('k', 1));
    expect(fixture.apply(declareBudget(2, 9)).kind).toBe('rejected');
  });

  // Guards against billing a request in two regions.
  test('only the first of two regions that billed a request keeps the charge', () => {
    const fixture = new Fixture();
    expect(fixture.apply(claimFrom('south')).kind).toBe('claimed');
    expect(fixture.apply(claimFrom('south')).kind).toBe('claimed');
    expect(fixture.apply(claimFrom('west')).kind).toBe('duplicate');
    expect(fixture.apply(admit('k', 1)).kind).toBe('present');
  });

  // Guards against billing a claimed request when another box retries it.
  test('a claim by another region still holds for a new attempt', () => {
    const fixture = new Fixture();
    fixture.register('other', 'i2');
    fixture.apply(admit('k', 1));
    fixture.apply(claimFrom('south'));
    fixture.apply({at: 0, box: 'box', incarnation: 'i1', kind: 'fence'});
    fixture.apply(admit('k', 1, {box: 'other', incarnation: 'i2'}));
    fixture.apply({
      ...ATTEMPT,
      at: 0,
      attempt: 2,
      charge: 5,
      kind: 'settle',
      outcome: 'settled',
    });
    expect(fixture.budget).toMatchObject({reserved: 0, settled: 0});
  });

  // Guards against billing a claimed request when it is swept.
  test('an orphaned request that another region bills is not charged', () => {
    const fixture = new Fixture();
    fixture.apply(admit('k', 1));
    fixture.apply(claimFrom('south'));
    fixture.apply({at: 0, box: 'box', incarnation: 'i1', kind: 'fence'});
    fixture.apply({at: ORPHAN_TIMEOUT_MS + 1, kind: 'sweep'});
    expect(fixture.budget).toMatchObject({reserved: 0, settled: 0});
  });

  // Guards against adding a grant twice, and against a fault that has no effect.
  test.each([
    ['once', {}, 30],
    ['twice with the injected fault', {receiveTwice: true}, 60],
  ])('a repeated grant is added %s', (_name, injectedFaults, expected) => {
    const south = new Ledger('south', false, injectedFaults);
    const declareRecord = declareBudget(1, 100);
    if (declareRecord.kind === 'declare') {
      south.apply({...declareRecord, kind: 'import', sequence: 1}, 1);
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

  // Guards against overspending and against state missing from snapshots.
  test('no sequence of records overspends the budget or changes in a snapshot', () => {
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
        for (const next of records) {
          // Other regions never return units that were not granted to them.
          const granted = fixture.budget.regions.south?.granted ?? 0;
          if (next.kind !== 'accept-return' || granted > 10) {
            fixture.apply(next);
          }
          expect(availableUnits(fixture.budget)).toBeGreaterThanOrEqual(0);
        }
        const restored = new Ledger('north', true);
        restored.restore(fixture.ledger.snapshot());
        expect(restored.snapshot()).toEqual(fixture.ledger.snapshot());
      }),
      {numRuns: 200, seed: 3},
    );
  });
});

describe('computeGrantTarget', () => {
  // Guards against one region running out while the other has units left.
  test('both regions use up their units at the same time', () => {
    const home = {available: 900, rate: 3};
    const other = {available: 100, rate: 1};
    expect(computeGrantTarget(home, other)).toBeGreaterThanOrEqual(249);
    expect(computeGrantTarget(home, other)).toBeLessThanOrEqual(251);
  });

  // Guards against granting units that do not exist.
  test('the target is between 0 and the units of both regions', () => {
    const amount = fc.integer({max: 1e9, min: 0});
    const rate = fc.double({max: 1e6, min: 0, noNaN: true});
    fc.assert(
      fc.property(amount, amount, rate, rate, (a, b, r, s) => {
        const target = computeGrantTarget(
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
