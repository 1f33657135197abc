/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import fc from 'fast-check';
import {ManualClock} from 'shared';

import {GranterSelector} from '../../GranterSelector';
import {PermitGranter} from '../../PermitGranter';
import type {PermitRequest} from '../../PermitMessages';
import type {UpstreamRateLimit} from '../../UpstreamRateLimit';
import {NO_LIMIT} from '../../UpstreamRateLimit';

const UPSTREAM = {hall: 'h', id: 'i-1'};
const LIMIT_WINDOW_MS = 4_000;
const COLD_WINDOW_MS = 1_000;

/** Long enough to fill the bucket of a new granter. */
const FULL_BUCKET_MS = 100_000;

function createGranter(
  coldTolerance = {extra: 5, overage: 1.5},
  peerCount = 0,
) {
  const clock = new ManualClock();
  const peers = Array.from({length: peerCount}, (_, index) => {
    return {box: `b${index}`, hall: 'h'};
  });
  const self = {box: 'self', hall: 'h'};
  const areInSameRegion = () => true;
  const selector = new GranterSelector({
    areInSameRegion,
    peers: () => peers,
    self,
  });
  const granter = new PermitGranter({
    box: self.box,
    clock,
    coldTolerance,
    limitOf: () => NO_LIMIT,
    onCounts: () => undefined,
    selector,
  });
  return {clock, granter, selector};
}

function createLimit(perSecond: number): UpstreamRateLimit {
  return {perSecond, revision: 1};
}

function createRequest(fields: Partial<PermitRequest>): PermitRequest {
  return {
    isLeastUrgent: false,
    limit: NO_LIMIT,
    upstream: UPSTREAM,
    wanted: 1,
    ...fields,
  };
}

/** Returns the highest number of times in any window of the given length. */
function maxInWindow(times: readonly number[], windowMs: number): number {
  const counts = times.map(
    (start) =>
      times.filter((at) => at >= start && at < start + windowMs).length,
  );
  return Math.max(0, ...counts);
}

/** Permit requests and the waits before them. */
const requestSequence = fc.array(
  fc.record({
    isLeastUrgent: fc.boolean(),
    waitMs: fc.integer({max: 400, min: 0}),
    wanted: fc.integer({max: 5, min: 1}),
  }),
  {maxLength: 150, minLength: 20},
);

/** Guards against exceeding the rate limit of an upstream and against lost permits. */
describe('PermitGranter', () => {
  test('never exceeds the limit of an upstream in any window', async () => {
    const property = fc.asyncProperty(
      requestSequence,
      fc.double({max: 100, min: 0, noNaN: true}),
      async (requests, perSecond) => {
        const {clock, granter} = createGranter();
        await clock.advance(FULL_BUCKET_MS);
        const times: number[] = [];
        for (const {isLeastUrgent, waitMs, wanted} of requests) {
          await clock.advance(waitMs);
          const limit = createLimit(perSecond);
          const reply = granter.grant(
            createRequest({isLeastUrgent, limit, wanted}),
          );
          times.push(...Array(reply.granted).fill(clock.now()));
        }
        const allowed = (perSecond * 1.5 * LIMIT_WINDOW_MS) / 1_000 + 5;
        expect(maxInWindow(times, LIMIT_WINDOW_MS)).toBeLessThanOrEqual(
          allowed,
        );
      },
    );
    await fc.assert(property, {numRuns: 60, seed: 3});
  });

  test('never exceeds the warm-up rate of an upstream in any second', async () => {
    const property = fc.asyncProperty(
      requestSequence,
      fc.record({
        extra: fc.integer({max: 20, min: 0}),
        overage: fc.double({max: 3, min: 1, noNaN: true}),
        requestsPerSecond: fc.double({max: 300, min: 1.2, noNaN: true}),
      }),
      async (requests, {extra, overage, requestsPerSecond}) => {
        const {clock, granter} = createGranter({extra, overage});
        await clock.advance(FULL_BUCKET_MS);
        const times: number[] = [];
        for (const {isLeastUrgent, waitMs, wanted} of requests) {
          await clock.advance(waitMs / 10);
          const coldPerSecond = requestsPerSecond;
          const request = createRequest({
            coldPerSecond,
            isLeastUrgent,
            wanted,
          });
          const reply = granter.grant(request);
          times.push(...Array(reply.granted).fill(clock.now()));
        }
        const allowed = Math.max(1, requestsPerSecond * overage + extra);
        expect(maxInWindow(times, COLD_WINDOW_MS)).toBeLessThanOrEqual(
          Math.ceil(allowed),
        );
      },
    );
    await fc.assert(property, {numRuns: 60, seed: 3});
  });

  test('applies a changed limit and the lower of limit and warm-up rate', async () => {
    const {clock, granter} = createGranter();
    await clock.advance(FULL_BUCKET_MS);
    const countGrants = async (fields: Partial<PermitRequest>) => {
      let granted = 0;
      for (let turn = 0; turn < 100; turn += 1) {
        await clock.advance(100);
        granted += granter.grant(createRequest(fields)).granted;
      }
      return granted;
    };
    const atHighLimit = await countGrants({limit: createLimit(5)});
    const atLowLimit = await countGrants({limit: createLimit(0.5)});
    const atWarmUpRate = await countGrants({
      coldPerSecond: 0.5,
      limit: createLimit(5),
    });
    expect(atHighLimit).toBeGreaterThan(40);
    expect(atHighLimit).toBeLessThanOrEqual(52);
    expect(atLowLimit).toBeLessThanOrEqual(8);
    expect(atWarmUpRate).toBeLessThanOrEqual(8);
  });

  test('grants nothing right after a start, when a previous process may have granted', async () => {
    const {clock, granter} = createGranter();
    const request = createRequest({limit: createLimit(1)});
    expect(granter.grant(request).granted).toBe(0);
    await clock.advance(1_100);
    expect(granter.grant(request).granted).toBe(1);
  });

  test('reserves one permit for urgent requests without lowering the rate', async () => {
    const {clock, granter} = createGranter();
    await clock.advance(FULL_BUCKET_MS);
    const limit = createLimit(1);
    const leastUrgent = createRequest({isLeastUrgent: true, limit, wanted: 9});
    expect(granter.grant(leastUrgent).granted).toBe(1);
    expect(granter.grant(leastUrgent).granted).toBe(0);
    expect(granter.grant(createRequest({limit})).granted).toBe(1);
    let granted = 0;
    for (let turn = 0; turn < 100; turn += 1) {
      await clock.advance(100);
      granted += granter.grant({...leastUrgent, wanted: 1}).granted;
    }
    expect(granted).toBeGreaterThanOrEqual(8);
  });

  test('assigns different waits to refused requests', async () => {
    const {clock, granter} = createGranter();
    await clock.advance(FULL_BUCKET_MS);
    const request = createRequest({limit: createLimit(2)});
    granter.grant({...request, wanted: 9});
    const waits = [1, 2, 3].map(() => granter.grant(request).waitMs);
    expect(new Set(waits).size).toBe(3);
    await clock.advance(waits[0] ?? 0);
    expect(granter.grant(request).granted).toBe(1);
  });

  test('grants all requested permits if an upstream has no limit', () => {
    const {granter} = createGranter();
    const limit: UpstreamRateLimit = {perSecond: undefined, revision: 2};
    expect(granter.grant(createRequest({limit, wanted: 7})).granted).toBe(7);
  });

  test('grants nothing on a box that is not selected as a granter', () => {
    const {granter, selector} = createGranter(undefined, 30);
    const ids = Array.from({length: 200}, (_, index) => `i-${index}`);
    const ownIds = ids.filter((id) =>
      selector.select({hall: 'h', id}).includes('self'),
    );
    expect(ownIds.length).toBeGreaterThan(0);
    expect(ownIds.length).toBeLessThan(40);
    const otherId = ids.find((id) => !ownIds.includes(id)) ?? '';
    const upstream = {hall: 'h', id: otherId};
    const request = createRequest({limit: createLimit(5), upstream});
    expect(granter.grant(request)).toMatchObject({granted: 0});
  });
});

/** Guards against permit requests that leave the region of the upstream. */
describe('GranterSelector', () => {
  test('selects boxes in the region of the upstream if there are any', () => {
    const regionOf = (hall: string) => hall.slice(0, 1);
    const selector = new GranterSelector({
      areInSameRegion: (a, b) => regionOf(a) === regionOf(b),
      peers: () => [
        {box: 'w', hall: 'w1'},
        {box: 'x', hall: 'w2'},
        {box: 'y', hall: 'w1'},
      ],
      self: {box: 'e', hall: 'e1'},
    });
    expect(selector.select({hall: 'e9', id: 'i'})).toEqual(['e']);
    expect(selector.select({hall: 'w1', id: 'i'})).toHaveLength(2);
    expect(selector.select({hall: 'n1', id: 'i'})).toHaveLength(2);
  });
});
