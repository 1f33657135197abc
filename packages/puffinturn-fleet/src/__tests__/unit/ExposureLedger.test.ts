/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import fc from 'fast-check';

import {ExposureLedger} from '../../ExposureLedger';
import type {ExposureReport} from '../../index';

const BOUND = {extra: 50, rollbackMs: 5_000, share: 0.1};
const NOTHING = {counted: 0, granted: 0};

function reportOf(fields: Partial<ExposureReport>): ExposureReport {
  return {
    exposed: 0,
    granted: 0,
    number: 1,
    openAtFormer: 0,
    requests: 0,
    service: 's',
    shifted: false,
    tallies: [],
    ...fields,
  };
}

function tallyOf(answers: number) {
  return {answers, failures: 0, route: 'r', times: [answers], version: 'v2'};
}

describe('The ledger of exposure', () => {
  test('counts reports that come twice, or late, once', () => {
    const ledger = new ExposureLedger(BOUND, NOTHING);
    const early = reportOf({requests: 10, tallies: [tallyOf(4)]});
    const late = reportOf({requests: 30, tallies: [tallyOf(9)]});
    for (const report of [early, late, late, early]) {
      ledger.take('e1', report, 0);
    }
    expect(ledger.requests).toBe(30);
    expect(ledger.tallies).toEqual([tallyOf(9)]);
  });

  test('believes an edge that takes its shift back', () => {
    const ledger = new ExposureLedger(BOUND, NOTHING);
    ledger.take('e1', reportOf({requests: 10, shifted: true}), 0);
    ledger.take('e1', reportOf({openAtFormer: 5, requests: 40}), 1);
    expect(ledger.reportsSince(0)).toEqual([
      reportOf({openAtFormer: 5, requests: 40}),
    ]);
  });

  test('adds up the lives of an edge', () => {
    const ledger = new ExposureLedger(BOUND, NOTHING);
    ledger.take('e1', reportOf({requests: 30, tallies: [tallyOf(9)]}), 0);
    ledger.take('e1 next', reportOf({requests: 5, tallies: [tallyOf(2)]}), 0);
    ledger.take('e1', reportOf({requests: 30, tallies: [tallyOf(9)]}), 0);
    expect(ledger.requests).toBe(35);
    expect(ledger.tallies[0]?.answers).toBe(11);
  });

  test('grants each edge about its part of the traffic', () => {
    const ledger = new ExposureLedger(BOUND, NOTHING);
    for (let turn = 1; turn <= 40; turn += 1) {
      for (const [life, perTurn] of [
        ['busy', 60],
        ['quiet', 20],
      ] as const) {
        const granted = ledger.grant(life);
        const report = {exposed: granted, granted, requests: turn * perTurn};
        ledger.take(life, reportOf(report), turn);
      }
    }
    const [busy, quiet] = [ledger.grant('busy'), ledger.grant('quiet')];
    expect(busy / quiet).toBeGreaterThan(2);
    expect(busy / quiet).toBeLessThan(4);
  });

  test('leaves no edge that has traffic without exposure for long', () => {
    const ledger = new ExposureLedger(BOUND, NOTHING);
    const lives = Array.from({length: 75}, (_, at) => `e${at}`);
    for (let turn = 1; turn <= 40; turn += 1) {
      for (const life of lives) {
        const granted = ledger.grant(life);
        const report = {exposed: granted, granted, requests: turn};
        ledger.take(life, reportOf(report), turn);
      }
    }
    const granted = lives.map((life) => ledger.grant(life));
    expect(Math.min(...granted)).toBeGreaterThan(0);
  });

  test('grants no more to who does not use what it has', () => {
    const ledger = new ExposureLedger(BOUND, NOTHING);
    ledger.take('e1', reportOf({requests: 100}), 0);
    const first = ledger.grant('e1');
    expect(first).toBeGreaterThan(0);
    for (let turn = 0; turn < 10; turn += 1) {
      ledger.take('e1', reportOf({granted: first, requests: 100}), turn);
      expect(ledger.grant('e1')).toBe(first);
    }
  });

  test('takes what former leaders took out of the log as used', () => {
    const ledger = new ExposureLedger(BOUND, {counted: 100, granted: 36});
    ledger.take('e1', reportOf({requests: 100}), 0);
    expect(ledger.grant('e1')).toBe(0);
    ledger.take('e1', reportOf({granted: 7, requests: 100}), 0);
    expect(ledger.grant('e1')).toBe(7);
  });

  const events = fc.array(
    fc.record({
      grants: fc.boolean(),
      life: fc.constantFrom('a', 'b', 'c', 'd'),
      requests: fc.nat(200),
      uses: fc.nat(10),
    }),
    {maxLength: 60},
  );

  test('never grants more in all than its part of the bound', () => {
    fc.assert(
      fc.property(events, fc.nat(40), (all, restartAt) => {
        let base = NOTHING;
        let ledger = new ExposureLedger(BOUND, base);
        const edges = new Map<string, ExposureReport>();
        for (const [at, {grants, life, requests, uses}] of all.entries()) {
          const held = edges.get(life) ?? reportOf({});
          const exposed = Math.min(held.granted, held.exposed + uses);
          const report = {
            ...held,
            exposed,
            requests: held.requests + requests + exposed - held.exposed,
          };
          edges.set(life, report);
          ledger.take(life, report, at);
          if (grants) {
            edges.set(life, {...report, granted: ledger.grant(life)});
          }
          const sum = [...edges.values()].reduce(
            (total, {granted}) => total + granted,
            0,
          );
          const sent = [...edges.values()].reduce(
            (total, one) => total + one.requests,
            0,
          );
          expect(sum).toBeLessThanOrEqual(ledger.granted);
          expect(sum).toBeLessThanOrEqual(BOUND.share * sent + BOUND.extra);
          if (at === restartAt) {
            base = {counted: ledger.requests, granted: ledger.granted};
            ledger = new ExposureLedger(BOUND, base);
          }
        }
      }),
      {numRuns: 300, seed: 12},
    );
  });
});
