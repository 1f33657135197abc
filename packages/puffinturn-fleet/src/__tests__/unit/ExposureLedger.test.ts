/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import fc from 'fast-check';

import {ExposureLedger} from '../../ExposureLedger';
import type {ExposureReport} from '../../index';

// Guards against granting more requests to a new version than the bound allows, and
// against counting a report twice.

const EXPOSURE_BOUND = {extra: 50, rollbackMs: 5_000, share: 0.1};
const EMPTY_BASELINE = {counted: 0, granted: 0};

function createReport(fields: Partial<ExposureReport>): ExposureReport {
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

function createTally(answers: number) {
  return {answers, failures: 0, route: 'r', times: [answers], version: 'v2'};
}

// Guards against granting more exposure than the bound allows, also if reports are
// repeated, delayed or from earlier incarnations.
describe('The exposure ledger', () => {
  test('counts duplicate and delayed reports once', () => {
    const ledger = new ExposureLedger(EXPOSURE_BOUND, EMPTY_BASELINE);
    const older = createReport({requests: 10, tallies: [createTally(4)]});
    const newer = createReport({requests: 30, tallies: [createTally(9)]});
    for (const report of [older, newer, newer, older]) {
      ledger.recordReport('e1', report, 0);
    }
    expect(ledger.requests).toBe(30);
    expect(ledger.tallies).toEqual([createTally(9)]);
  });

  test('accepts a report that an edge is no longer shifted', () => {
    const ledger = new ExposureLedger(EXPOSURE_BOUND, EMPTY_BASELINE);
    ledger.recordReport('e1', createReport({requests: 10, shifted: true}), 0);
    ledger.recordReport('e1', createReport({openAtFormer: 5, requests: 40}), 1);
    expect(ledger.reportsSince(0)).toEqual([
      createReport({openAtFormer: 5, requests: 40}),
    ]);
  });

  test('adds up the incarnations of an edge', () => {
    const ledger = new ExposureLedger(EXPOSURE_BOUND, EMPTY_BASELINE);
    ledger.recordReport(
      'e1',
      createReport({requests: 30, tallies: [createTally(9)]}),
      0,
    );
    ledger.recordReport(
      'e1 restarted',
      createReport({requests: 5, tallies: [createTally(2)]}),
      0,
    );
    ledger.recordReport(
      'e1',
      createReport({requests: 30, tallies: [createTally(9)]}),
      0,
    );
    expect(ledger.requests).toBe(35);
    expect(ledger.tallies[0]?.answers).toBe(11);
  });

  test('grants each edge its approximate share of the traffic', () => {
    const ledger = new ExposureLedger(EXPOSURE_BOUND, EMPTY_BASELINE);
    for (let turn = 1; turn <= 40; turn += 1) {
      for (const [edge, requestsPerTurn] of [
        ['busy', 60],
        ['quiet', 20],
      ] as const) {
        const granted = ledger.grant(edge);
        const report = {
          exposed: granted,
          granted,
          requests: turn * requestsPerTurn,
        };
        ledger.recordReport(edge, createReport(report), turn);
      }
    }
    const [busy, quiet] = [ledger.grant('busy'), ledger.grant('quiet')];
    expect(busy / quiet).toBeGreaterThan(2);
    expect(busy / quiet).toBeLessThan(4);
  });

  test('grants exposure to every edge that has traffic', () => {
    const ledger = new ExposureLedger(EXPOSURE_BOUND, EMPTY_BASELINE);
    const edges = Array.from({length: 75}, (_, index) => `e${index}`);
    for (let turn = 1; turn <= 40; turn += 1) {
      for (const edge of edges) {
        const granted = ledger.grant(edge);
        const report = {exposed: granted, granted, requests: turn};
        ledger.recordReport(edge, createReport(report), turn);
      }
    }
    const granted = edges.map((edge) => ledger.grant(edge));
    expect(Math.min(...granted)).toBeGreaterThan(0);
  });

  test('does not increase a grant that is not used', () => {
    const ledger = new ExposureLedger(EXPOSURE_BOUND, EMPTY_BASELINE);
    ledger.recordReport('e1', createReport({requests: 100}), 0);
    const first = ledger.grant('e1');
    expect(first).toBeGreaterThan(0);
    for (let turn = 0; turn < 10; turn += 1) {
      ledger.recordReport(
        'e1',
        createReport({granted: first, requests: 100}),
        turn,
      );
      expect(ledger.grant('e1')).toBe(first);
    }
  });

  test('counts exposure allocated by earlier leaders as used', () => {
    const ledger = new ExposureLedger(EXPOSURE_BOUND, {
      counted: 100,
      granted: 36,
    });
    ledger.recordReport('e1', createReport({requests: 100}), 0);
    expect(ledger.grant('e1')).toBe(0);
    ledger.recordReport('e1', createReport({granted: 7, requests: 100}), 0);
    expect(ledger.grant('e1')).toBe(7);
  });

  const events = fc.array(
    fc.record({
      isGrantRequested: fc.boolean(),
      incarnationId: fc.constantFrom('a', 'b', 'c', 'd'),
      requests: fc.nat(200),
      usedGrants: fc.nat(10),
    }),
    {maxLength: 60},
  );

  test('never grants more in total than its fraction of the bound', () => {
    fc.assert(
      fc.property(events, fc.nat(40), (all, restartIndex) => {
        let baseline = EMPTY_BASELINE;
        let ledger = new ExposureLedger(EXPOSURE_BOUND, baseline);
        const edges = new Map<string, ExposureReport>();
        for (const [
          index,
          {incarnationId, requests, isGrantRequested, usedGrants},
        ] of all.entries()) {
          const previous = edges.get(incarnationId) ?? createReport({});
          const exposed = Math.min(
            previous.granted,
            previous.exposed + usedGrants,
          );
          const report = {
            ...previous,
            exposed,
            requests: previous.requests + requests + exposed - previous.exposed,
          };
          edges.set(incarnationId, report);
          ledger.recordReport(incarnationId, report, index);
          if (isGrantRequested) {
            edges.set(incarnationId, {
              ...report,
              granted: ledger.grant(incarnationId),
            });
          }
          const totalGranted = [...edges.values()].reduce(
            (total, {granted}) => total + granted,
            0,
          );
          const totalRequests = [...edges.values()].reduce(
            (total, edge) => total + edge.requests,
            0,
          );
          expect(totalGranted).toBeLessThanOrEqual(ledger.granted);
          expect(totalGranted).toBeLessThanOrEqual(
            EXPOSURE_BOUND.share * totalRequests + EXPOSURE_BOUND.extra,
          );
          if (index === restartIndex) {
            baseline = {counted: ledger.requests, granted: ledger.granted};
            ledger = new ExposureLedger(EXPOSURE_BOUND, baseline);
          }
        }
      }),
      {numRuns: 300, seed: 12},
    );
  });
});
