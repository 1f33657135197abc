/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import fc from 'fast-check';
import {ManualClock} from 'shared';

import {Granters} from '../../Granters';
import {PermitGranter} from '../../PermitGranter';
import type {PermitRequest} from '../../PermitMessages';
import type {UpstreamLimit} from '../../UpstreamLimit';
import {NO_LIMIT} from '../../UpstreamLimit';

const UPSTREAM = {hall: 'h', id: 'i-1'};
const LIMIT_SPAN_MS = 4_000;
const COLD_SPAN_MS = 1_000;

/** Long enough for a granter to have gathered all that it may. */
const SETTLED_MS = 100_000;

function start(coldTolerance = {extra: 5, overage: 1.5}, others = 0) {
  const clock = new ManualClock();
  const peers = Array.from({length: others}, (_, at) => {
    return {box: `b${at}`, hall: 'h'};
  });
  const self = {box: 'self', hall: 'h'};
  const areTogether = () => true;
  const granters = new Granters({areTogether, peers: () => peers, self});
  const granter = new PermitGranter({
    box: self.box,
    clock,
    coldTolerance,
    granters,
    limitOf: () => NO_LIMIT,
    onCount: () => undefined,
  });
  return {clock, granter, granters};
}

function limitOf(perSecond: number): UpstreamLimit {
  return {perSecond, revision: 1};
}

function ask(fields: Partial<PermitRequest>): PermitRequest {
  return {
    isLeastUrgent: false,
    limit: NO_LIMIT,
    upstream: UPSTREAM,
    wanted: 1,
    ...fields,
  };
}

/** The most that lies in any span of the given length. */
function mostIn(times: readonly number[], spanMs: number): number {
  const counts = times.map(
    (first) => times.filter((at) => at >= first && at < first + spanMs).length,
  );
  return Math.max(0, ...counts);
}

/** Waits between questions, and how many permits each one is for. */
const questions = fc.array(
  fc.record({
    isLeastUrgent: fc.boolean(),
    waitMs: fc.integer({max: 400, min: 0}),
    wanted: fc.integer({max: 5, min: 1}),
  }),
  {maxLength: 150, minLength: 20},
);

describe('What a granter grants', () => {
  test('is in no span more than an upstream may get by its limit', async () => {
    const property = fc.asyncProperty(
      questions,
      fc.double({max: 100, min: 0, noNaN: true}),
      async (asked, perSecond) => {
        const {clock, granter} = start();
        await clock.advance(SETTLED_MS);
        const times: number[] = [];
        for (const {isLeastUrgent, waitMs, wanted} of asked) {
          await clock.advance(waitMs);
          const limit = limitOf(perSecond);
          const reply = granter.grant(ask({isLeastUrgent, limit, wanted}));
          times.push(...Array(reply.granted).fill(clock.now()));
        }
        const allowed = (perSecond * 1.5 * LIMIT_SPAN_MS) / 1_000 + 5;
        expect(mostIn(times, LIMIT_SPAN_MS)).toBeLessThanOrEqual(allowed);
      },
    );
    await fc.assert(property, {numRuns: 60, seed: 3});
  });

  test('is in no second more than a cold upstream may get', async () => {
    const property = fc.asyncProperty(
      questions,
      fc.record({
        extra: fc.integer({max: 20, min: 0}),
        overage: fc.double({max: 3, min: 1, noNaN: true}),
        requestsPerSecond: fc.double({max: 300, min: 1.2, noNaN: true}),
      }),
      async (asked, {extra, overage, requestsPerSecond}) => {
        const {clock, granter} = start({extra, overage});
        await clock.advance(SETTLED_MS);
        const times: number[] = [];
        for (const {isLeastUrgent, waitMs, wanted} of asked) {
          await clock.advance(waitMs / 10);
          const coldPerSecond = requestsPerSecond;
          const question = ask({coldPerSecond, isLeastUrgent, wanted});
          const reply = granter.grant(question);
          times.push(...Array(reply.granted).fill(clock.now()));
        }
        const allowed = Math.max(1, requestsPerSecond * overage + extra);
        expect(mostIn(times, COLD_SPAN_MS)).toBeLessThanOrEqual(
          Math.ceil(allowed),
        );
      },
    );
    await fc.assert(property, {numRuns: 60, seed: 3});
  });

  test('follows a limit that changes, and the lower one of two bounds', async () => {
    const {clock, granter} = start();
    await clock.advance(SETTLED_MS);
    const grantsIn = async (fields: Partial<PermitRequest>) => {
      let granted = 0;
      for (let at = 0; at < 100; at += 1) {
        await clock.advance(100);
        granted += granter.grant(ask(fields)).granted;
      }
      return granted;
    };
    const high = await grantsIn({limit: limitOf(5)});
    const low = await grantsIn({limit: limitOf(0.5)});
    const both = await grantsIn({coldPerSecond: 0.5, limit: limitOf(5)});
    expect(high).toBeGreaterThan(40);
    expect(high).toBeLessThanOrEqual(52);
    expect(low).toBeLessThanOrEqual(8);
    expect(both).toBeLessThanOrEqual(8);
  });

  test('is nothing right after its start, as a former life may have granted', async () => {
    const {clock, granter} = start();
    const question = ask({limit: limitOf(1)});
    expect(granter.grant(question).granted).toBe(0);
    await clock.advance(1_100);
    expect(granter.grant(question).granted).toBe(1);
  });

  test('leaves one permit to urgent requests, and loses none by it', async () => {
    const {clock, granter} = start();
    await clock.advance(SETTLED_MS);
    const limit = limitOf(1);
    const low = ask({isLeastUrgent: true, limit, wanted: 9});
    expect(granter.grant(low).granted).toBe(1);
    expect(granter.grant(low).granted).toBe(0);
    expect(granter.grant(ask({limit})).granted).toBe(1);
    let granted = 0;
    for (let at = 0; at < 100; at += 1) {
      await clock.advance(100);
      granted += granter.grant({...low, wanted: 1}).granted;
    }
    expect(granted).toBeGreaterThanOrEqual(8);
  });

  test('tells those whom it refuses different times', async () => {
    const {clock, granter} = start();
    await clock.advance(SETTLED_MS);
    const question = ask({limit: limitOf(2)});
    granter.grant({...question, wanted: 9});
    const waits = [1, 2, 3].map(() => granter.grant(question).waitMs);
    expect(new Set(waits).size).toBe(3);
    await clock.advance(waits[0] ?? 0);
    expect(granter.grant(question).granted).toBe(1);
  });

  test('is all that is asked for where nothing bounds an upstream any more', () => {
    const {granter} = start();
    const limit: UpstreamLimit = {perSecond: undefined, revision: 2};
    expect(granter.grant(ask({limit, wanted: 7})).granted).toBe(7);
  });

  test('is nothing at a box that others come before', () => {
    const {granter, granters} = start(undefined, 30);
    const ids = Array.from({length: 200}, (_, at) => `i-${at}`);
    const own = ids.filter((id) =>
      granters.of({hall: 'h', id}).includes('self'),
    );
    expect(own.length).toBeGreaterThan(0);
    expect(own.length).toBeLessThan(40);
    const foreign = ids.find((id) => !own.includes(id)) ?? '';
    const upstream = {hall: 'h', id: foreign};
    const question = ask({limit: limitOf(5), upstream});
    expect(granter.grant(question)).toMatchObject({granted: 0});
  });
});

describe('The boxes that grant', () => {
  test('are of the region of the upstream, where it has any', () => {
    const regionOf = (hall: string) => hall.slice(0, 1);
    const granters = new Granters({
      areTogether: (a, b) => regionOf(a) === regionOf(b),
      peers: () => [
        {box: 'w', hall: 'w1'},
        {box: 'x', hall: 'w2'},
        {box: 'y', hall: 'w1'},
      ],
      self: {box: 'e', hall: 'e1'},
    });
    expect(granters.of({hall: 'e9', id: 'i'})).toEqual(['e']);
    expect(granters.of({hall: 'w1', id: 'i'})).toHaveLength(2);
    expect(granters.of({hall: 'n1', id: 'i'})).toHaveLength(2);
  });
});
